// Package loadgen sends chats and bookings to entries and checks every answer against what the stand-ins must give.
package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/internal/standin/service"
	"github.com/jayridge/jayridge/process/entry"
)

// Config describes a load.
type Config struct {
	// Entries are base URLs; requests alternate between them.
	Entries []string
	// Team is the team of all requests.
	Team string
	// Chats is the number of chats; each comes Returns times, with a prompt that grows by one turn each time.
	Chats, Returns int
	// ChatPath is the route of the chats.
	ChatPath string
	// Bookings is the number of bookings; each is sent Sends times with the same idempotency key, at the same time, to different
	// entries.
	Bookings, Sends int
	// BookingPath is the route of the bookings.
	BookingPath string
	// Workers is the number of requests at one time.
	Workers int
	// Tries bounds the tries of a request that was refused as not run.
	Tries int
	// Name makes the ids of this load differ from those of others.
	Name string
}

// Summary is what happened.
type Summary struct {
	Requests int64 `json:"requests"`
	OK       int64 `json:"ok"`
	// Retried counts refusals as "not run" after which the caller tried again.
	Retried int64 `json:"retried"`
	// Failed counts requests that ended otherwise, by result name.
	Failed map[string]int64 `json:"failed"`
	// Wrong counts answers that are not whole or belong to another request.
	Wrong int64 `json:"wrong"`
	// FirstPartP50MS, P95 and P99 are times to the first part of a chat's answer, in milliseconds.
	FirstPartP50MS float64 `json:"first_part_p50_ms"`
	FirstPartP95MS float64 `json:"first_part_p95_ms"`
	FirstPartP99MS float64 `json:"first_part_p99_ms"`
	// Confirmed are the ids of bookings that were answered "done".
	Confirmed []string `json:"-"`
	// Bookings is the number of bookings that were confirmed.
	Bookings int     `json:"bookings_confirmed"`
	Seconds  float64 `json:"seconds"`
}

// histogram bounds, in microseconds.
const (
	minLatency = 1
	maxLatency = 600_000_000
	digits     = 3
)

type run struct {
	cfg    Config
	client *http.Client
	next   atomic.Int64

	mu      sync.Mutex
	summary Summary
	latency *hdrhistogram.Histogram
	booked  map[string]bool
}

// Run sends the load and returns when every request has ended or ctx has.
func Run(ctx context.Context, cfg Config) Summary {
	transport := &http.Transport{MaxIdleConnsPerHost: cfg.Workers}
	defer transport.CloseIdleConnections()
	r := &run{
		cfg: cfg, client: &http.Client{Transport: transport},
		latency: hdrhistogram.New(minLatency, maxLatency, digits), booked: map[string]bool{},
	}
	r.summary.Failed = map[string]int64{}
	start := time.Now()
	jobs := make(chan func(), cfg.Workers)
	var workers sync.WaitGroup
	for range cfg.Workers {
		workers.Go(func() {
			for job := range jobs {
				job()
			}
		})
	}
	r.schedule(ctx, jobs)
	close(jobs)
	workers.Wait()
	return r.finish(time.Since(start))
}

// schedule interleaves the chats' turns with the bookings, so that a chat returns after others came in between.
func (r *run) schedule(ctx context.Context, jobs chan<- func()) {
	booking := 0
	for turn := range r.cfg.Returns {
		for chat := range r.cfg.Chats {
			jobs <- func() { r.chat(ctx, chat, turn) }
			if booking < r.cfg.Bookings && (turn*r.cfg.Chats+chat)%max(1, r.cfg.Chats*r.cfg.Returns/max(1, r.cfg.Bookings)) == 0 {
				r.sendBooking(ctx, jobs, booking)
				booking++
			}
		}
	}
	for ; booking < r.cfg.Bookings; booking++ {
		r.sendBooking(ctx, jobs, booking)
	}
}

func (r *run) sendBooking(ctx context.Context, jobs chan<- func(), booking int) {
	for range r.cfg.Sends {
		jobs <- func() { r.book(ctx, booking) }
	}
}

func (r *run) finish(elapsed time.Duration) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summary
	s.Seconds = elapsed.Seconds()
	s.FirstPartP50MS = float64(r.latency.ValueAtQuantile(50)) / 1000
	s.FirstPartP95MS = float64(r.latency.ValueAtQuantile(95)) / 1000
	s.FirstPartP99MS = float64(r.latency.ValueAtQuantile(99)) / 1000
	for id := range r.booked {
		s.Confirmed = append(s.Confirmed, id)
	}
	s.Bookings = len(s.Confirmed)
	return s
}

func (r *run) entry() string {
	return r.cfg.Entries[int(r.next.Add(1))%len(r.cfg.Entries)]
}

// prompt is the whole conversation so far, as engines with a prefix cache receive it.
func (r *run) prompt(chat, turn int) []byte {
	text := strings.Repeat(fmt.Sprintf("%s chat %d asks about fabric care and pressing; ", r.cfg.Name, chat), 4*(turn+1))
	body, _ := json.Marshal(map[string]any{"prompt": text, "max_tokens": 12})
	return body
}

func (r *run) chat(ctx context.Context, chat, turn int) {
	body := r.prompt(chat, turn)
	want := strings.Join(engine.Answer(body), "")
	header := http.Header{"Jayridge-Chat": {fmt.Sprintf("%s-%d", r.cfg.Name, chat)}, "Accept": {"text/event-stream"}}
	r.send(ctx, r.cfg.ChatPath, body, header, func(resp *http.Response, sent time.Time) string {
		return r.readStream(resp, sent, want)
	})
}

func (r *run) book(ctx context.Context, booking int) {
	id := fmt.Sprintf("%s-booking-%d", r.cfg.Name, booking)
	body, _ := json.Marshal(service.Effect{ID: id})
	header := http.Header{"Idempotency-Key": {id}}
	r.send(ctx, r.cfg.BookingPath, body, header, func(resp *http.Response, _ time.Time) string {
		var effect service.Effect
		if json.NewDecoder(resp.Body).Decode(&effect) != nil || effect.ID != id || effect.Status != "done" {
			return "wrong"
		}
		r.mu.Lock()
		r.booked[id] = true
		r.mu.Unlock()
		return "ok"
	})
}

// send sends one request, again while it is refused as "not run", and counts how it ended.
func (r *run) send(ctx context.Context, path string, body []byte, header http.Header, read func(*http.Response, time.Time) string) {
	for try := 1; ; try++ {
		outcome, again := r.try(ctx, path, body, header, read)
		if !again || try >= r.cfg.Tries || ctx.Err() != nil {
			r.count(outcome)
			return
		}
		r.mu.Lock()
		r.summary.Retried++
		r.mu.Unlock()
		// A caller's own back-off, well below the Retry-After of a second so that demos stay short.
		select {
		case <-time.After(time.Duration(try) * 20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (r *run) try(ctx context.Context, path string, body []byte, header http.Header, read func(*http.Response, time.Time) string) (outcome string, again bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.entry()+path, bytes.NewReader(body))
	if err != nil {
		return "bad-url", false
	}
	req.Header = header.Clone()
	req.Header.Set("Jayridge-Team", r.cfg.Team)
	sent := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		// No connection to this entry: the balancer would choose another one.
		return "no-answer", strings.Contains(err.Error(), "connection refused")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r.failure(resp)
	}
	return read(resp, sent), false
}

func (r *run) failure(resp *http.Response) (outcome string, again bool) {
	var body struct {
		Name string `json:"name"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil || body.Name == "" {
		body.Name = resp.Status
	}
	return body.Name, resp.Header.Get(entry.HeaderOutcome) == "not-run"
}

// readStream reads server-sent events up to the terminal one and compares the text.
func (r *run) readStream(resp *http.Response, sent time.Time, want string) string {
	var text strings.Builder
	ended, event := false, ""
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch event {
		case "end":
			ended = true
		case "error":
			var failure struct {
				Name string `json:"name"`
			}
			_ = json.Unmarshal([]byte(data), &failure)
			return failure.Name
		default:
			r.part(data, sent, &text)
		}
	}
	if lines.Err() != nil && lines.Err() != io.EOF || !ended {
		return "broken"
	}
	if text.String() != want {
		return "wrong"
	}
	return "ok"
}

func (r *run) part(data string, sent time.Time, text *strings.Builder) {
	if text.Len() == 0 {
		r.mu.Lock()
		_ = r.latency.RecordValue(time.Since(sent).Microseconds())
		r.mu.Unlock()
	}
	var part struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal([]byte(data), &part)
	text.WriteString(part.Text)
}

func (r *run) count(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Requests++
	switch outcome {
	case "ok":
		r.summary.OK++
	case "wrong":
		r.summary.Wrong++
	default:
		r.summary.Failed[outcome]++
	}
}

// Effects adds up how often each effect took place at the given plain services.
func Effects(ctx context.Context, services []string) (map[string]int, error) {
	total := map[string]int{}
	for _, url := range services {
		var counters service.Counters
		if err := getJSON(ctx, url+"/counters", &counters); err != nil {
			return nil, err
		}
		for id, n := range counters.Effects {
			total[id] += n
		}
	}
	return total, nil
}

// Engines adds up the counters of the given engines.
func Engines(ctx context.Context, engines []string) (map[string]engine.Counters, error) {
	counters := map[string]engine.Counters{}
	for _, url := range engines {
		var c engine.Counters
		if err := getJSON(ctx, url+"/counters", &c); err != nil {
			return nil, err
		}
		counters[url] = c
	}
	return counters, nil
}

func getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}
