// Package loadgen sends chats and bookings to entries and compares every response with what the stand-ins must return.
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

// Config describes the requests to send and how to send them.
type Config struct {
	// Entries are the base URLs of entries, which are used in turn.
	Entries []string
	// Team is the team that all requests are sent for.
	Team string
	// Chats is the number of chats. Each has TurnsPerChat turns, and each turn makes its prompt longer.
	Chats, TurnsPerChat int
	// ChatPath is the route of the chats.
	ChatPath string
	// Bookings is the number of bookings. Each is sent SendsPerBooking times with the same idempotency key, concurrently and to different
	// entries.
	Bookings, SendsPerBooking int
	// BookingPath is the route of the bookings.
	BookingPath string
	// Workers is the number of concurrent requests.
	Workers int
	// MaxAttempts is the maximum number of attempts for a request that is refused as not run.
	MaxAttempts int
	// Name prefixes the IDs of chats and bookings, so that they differ from those of other runs.
	Name string
}

// Summary is the result of a run.
type Summary struct {
	Requests int64 `json:"requests"`
	OK       int64 `json:"ok"`
	// Retried counts refusals as "not run" after which the caller tried again.
	Retried int64 `json:"retried"`
	// Failed counts the requests that are neither OK nor wrong, by the name of their result.
	Failed map[string]int64 `json:"failed"`
	// Wrong counts answers that are incomplete or belong to another request.
	Wrong int64 `json:"wrong"`
	// FirstPartP50MS, P95 and P99 are percentiles of the time to the first part of a chat's response, in milliseconds.
	FirstPartP50MS float64 `json:"first_part_p50_ms"`
	FirstPartP95MS float64 `json:"first_part_p95_ms"`
	FirstPartP99MS float64 `json:"first_part_p99_ms"`
	// Confirmed are the IDs of the bookings whose response has the status "done".
	Confirmed []string `json:"-"`
	// Bookings is the number of confirmed bookings.
	Bookings int     `json:"bookings_confirmed"`
	Seconds  float64 `json:"seconds"`
}

// Bounds and precision of the latency histogram.
const (
	minLatencyUS       = 1
	maxLatencyUS       = 600_000_000
	significantFigures = 3
)

// run is the state of one call of Run.
type run struct {
	cfg       Config
	client    *http.Client
	nextEntry atomic.Int64

	mu        sync.Mutex
	summary   Summary
	latency   *hdrhistogram.Histogram
	confirmed map[string]bool
}

// Run sends all requests and returns when each has ended. When ctx ends, the remaining requests fail at once.
func Run(ctx context.Context, cfg Config) Summary {
	transport := &http.Transport{MaxIdleConnsPerHost: cfg.Workers}
	defer transport.CloseIdleConnections()
	r := &run{
		cfg: cfg, client: &http.Client{Transport: transport},
		latency: hdrhistogram.New(minLatencyUS, maxLatencyUS, significantFigures), confirmed: map[string]bool{},
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
	return r.summarize(time.Since(start))
}

// schedule queues the requests. It runs each turn of all chats before the next turn and spreads the bookings among them, so that other
// requests come between two turns of a chat.
func (r *run) schedule(ctx context.Context, jobs chan<- func()) {
	booking := 0
	for turn := range r.cfg.TurnsPerChat {
		for chat := range r.cfg.Chats {
			jobs <- func() { r.chat(ctx, chat, turn) }
			if booking < r.cfg.Bookings && (turn*r.cfg.Chats+chat)%max(1, r.cfg.Chats*r.cfg.TurnsPerChat/max(1, r.cfg.Bookings)) == 0 {
				r.scheduleBooking(ctx, jobs, booking)
				booking++
			}
		}
	}
	for ; booking < r.cfg.Bookings; booking++ {
		r.scheduleBooking(ctx, jobs, booking)
	}
}

// scheduleBooking queues all sends of a booking.
func (r *run) scheduleBooking(ctx context.Context, jobs chan<- func(), booking int) {
	for range r.cfg.SendsPerBooking {
		jobs <- func() { r.book(ctx, booking) }
	}
}

// summarize completes and returns the summary.
func (r *run) summarize(elapsed time.Duration) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summary
	s.Seconds = elapsed.Seconds()
	s.FirstPartP50MS = float64(r.latency.ValueAtQuantile(50)) / 1000
	s.FirstPartP95MS = float64(r.latency.ValueAtQuantile(95)) / 1000
	s.FirstPartP99MS = float64(r.latency.ValueAtQuantile(99)) / 1000
	for id := range r.confirmed {
		s.Confirmed = append(s.Confirmed, id)
	}
	s.Bookings = len(s.Confirmed)
	return s
}

// entry returns the base URL of the next entry in turn.
func (r *run) entry() string {
	return r.cfg.Entries[int(r.nextEntry.Add(1))%len(r.cfg.Entries)]
}

// prompt returns the request body of a turn. Its prompt is the whole conversation so far, so it starts with the prompt of the previous
// turn, as engines with a prefix cache expect.
func (r *run) prompt(chat, turn int) []byte {
	text := strings.Repeat(fmt.Sprintf("%s chat %d asks about fabric care and pressing; ", r.cfg.Name, chat), 4*(turn+1))
	body, _ := json.Marshal(map[string]any{"prompt": text, "max_tokens": 12})
	return body
}

// chat sends one turn of a chat.
func (r *run) chat(ctx context.Context, chat, turn int) {
	body := r.prompt(chat, turn)
	want := strings.Join(engine.ExpectedAnswer(body), "")
	header := http.Header{"Jayridge-Chat": {fmt.Sprintf("%s-%d", r.cfg.Name, chat)}, "Accept": {"text/event-stream"}}
	r.send(ctx, r.cfg.ChatPath, body, header, func(resp *http.Response, sent time.Time) string {
		return r.readStream(resp, sent, want)
	})
}

// book sends a booking once.
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
		r.confirmed[id] = true
		r.mu.Unlock()
		return "ok"
	})
}

// send sends one request, retries it while it is refused as not run, and counts its outcome.
func (r *run) send(ctx context.Context, path string, body []byte, header http.Header, read func(*http.Response, time.Time) string) {
	for attempt := 1; ; attempt++ {
		outcome, retry := r.attempt(ctx, path, body, header, read)
		if !retry || attempt >= r.cfg.MaxAttempts || ctx.Err() != nil {
			r.count(outcome)
			return
		}
		r.mu.Lock()
		r.summary.Retried++
		r.mu.Unlock()
		// Backs off for less than the Retry-After of one second, so that demos stay short.
		select {
		case <-time.After(time.Duration(attempt) * 20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// attempt sends a request once. retry is true if it was certainly not run.
func (r *run) attempt(ctx context.Context, path string, body []byte, header http.Header, read func(*http.Response, time.Time) string) (outcome string, retry bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.entry()+path, bytes.NewReader(body))
	if err != nil {
		return "bad-url", false
	}
	req.Header = header.Clone()
	req.Header.Set("Jayridge-Team", r.cfg.Team)
	sent := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		// If the entry refuses connections, a load balancer would choose another one.
		return "no-answer", strings.Contains(err.Error(), "connection refused")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r.failure(resp)
	}
	return read(resp, sent), false
}

// failure returns the name of the result in an error response, and whether the request was not run.
func (r *run) failure(resp *http.Response) (outcome string, retry bool) {
	var body struct {
		Name string `json:"name"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil || body.Name == "" {
		body.Name = resp.Status
	}
	return body.Name, resp.Header.Get(entry.HeaderOutcome) == "not-run"
}

// readStream reads server-sent events up to the final one and compares their text with want.
func (r *run) readStream(resp *http.Response, sent time.Time, want string) string {
	var text strings.Builder
	complete, event := false, ""
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
			complete = true
		case "error":
			var failure struct {
				Name string `json:"name"`
			}
			_ = json.Unmarshal([]byte(data), &failure)
			return failure.Name
		default:
			r.addPart(data, sent, &text)
		}
	}
	if lines.Err() != nil && lines.Err() != io.EOF || !complete {
		return "broken"
	}
	if text.String() != want {
		return "wrong"
	}
	return "ok"
}

// addPart appends the text of an event to text and records the latency of the first one.
func (r *run) addPart(data string, sent time.Time, text *strings.Builder) {
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

// count adds the outcome of a request to the summary.
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

// EffectCounts returns how often each booking was executed, summed over the plain services at the given base URLs.
func EffectCounts(ctx context.Context, services []string) (map[string]int, error) {
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

// EngineCounters returns the counters of the engines at the given base URLs, by URL.
func EngineCounters(ctx context.Context, engines []string) (map[string]engine.Counters, error) {
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

// getJSON reads a JSON document from a URL.
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
