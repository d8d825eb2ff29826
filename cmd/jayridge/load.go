package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/internal/loadgen"
	"github.com/jayridge/jayridge/request/result"
)

// loadReport is the result of load, with the tags of its JSON output.
type loadReport struct {
	loadgen.Summary
	// Duplicates are the bookings that were executed more than once. Lost are the confirmed bookings that were not executed.
	Duplicates []string `json:"duplicates"`
	Lost       []string `json:"lost"`
	// CacheReuse is the share of prompt tokens that were cached by the engines.
	CacheReuse float64 `json:"cache_reuse"`
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send many chats and bookings to stand-ins and check every response",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "base `URL` of an entry; may be repeated"},
			&cli.StringSliceFlag{Name: "service", Usage: "base `URL` of a stand-in plain service whose executions are counted; may be repeated"},
			&cli.StringSliceFlag{Name: "engine", Usage: "base `URL` of a stand-in engine whose cache hits are counted; may be repeated"},
			&cli.StringFlag{Name: "team", Value: "demo", Usage: "`TEAM` of the caller"},
			&cli.StringFlag{Name: "name", Value: "load", Usage: "`NAME` that prefixes the IDs of this run, so that they differ from those of other runs"},
			&cli.StringFlag{Name: "chat-path", Value: "/chat", Usage: "`PATH` of the chat route"},
			&cli.StringFlag{Name: "booking-path", Value: "/bookings", Usage: "`PATH` of the booking route"},
			&cli.IntFlag{Name: "chats", Value: 50, Usage: "number of chats, `N`"},
			&cli.IntFlag{Name: "returns", Value: 4, Usage: "number of turns of each chat, `N`"},
			&cli.IntFlag{Name: "bookings", Value: 20, Usage: "number of bookings, `N`"},
			&cli.IntFlag{Name: "sends", Value: 2, Usage: "send each booking `N` times with the same idempotency key"},
			&cli.IntFlag{Name: "workers", Value: 16, Usage: "number of concurrent requests, `N`"},
			&cli.IntFlag{Name: "tries", Value: 20, Usage: "maximum number of attempts, `N`, for a request that is refused as not run"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	summary := loadgen.Run(ctx, loadgen.Config{
		Entries: cmd.StringSlice("entry"), Team: cmd.String("team"), Name: cmd.String("name"),
		Chats: cmd.Int("chats"), TurnsPerChat: cmd.Int("returns"), ChatPath: cmd.String("chat-path"),
		Bookings: cmd.Int("bookings"), SendsPerBooking: cmd.Int("sends"), BookingPath: cmd.String("booking-path"),
		Workers: max(1, cmd.Int("workers")), MaxAttempts: cmd.Int("tries"),
	})
	report := loadReport{Summary: summary, Duplicates: []string{}, Lost: []string{}}
	if err := report.countEffects(ctx, cmd.StringSlice("service"), cmd.String("name")); err != nil {
		return fail(result.DemoFailed, err)
	}
	if err := report.countCache(ctx, cmd.StringSlice("engine")); err != nil {
		return fail(result.DemoFailed, err)
	}
	if err := newPrinter(cmd).print(report, []string{"MEASURE", "VALUE"}, report.rows()); err != nil {
		return err
	}
	return report.check()
}

// countEffects reads the executed bookings from the services and fills in Duplicates and Lost.
func (r *loadReport) countEffects(ctx context.Context, services []string, name string) error {
	if len(services) == 0 {
		return nil
	}
	effects, err := loadgen.EffectCounts(ctx, services)
	if err != nil {
		return err
	}
	for id, n := range effects {
		if n > 1 && strings.HasPrefix(id, name+"-") {
			r.Duplicates = append(r.Duplicates, id)
		}
	}
	for _, id := range r.Confirmed {
		if effects[id] == 0 {
			r.Lost = append(r.Lost, id)
		}
	}
	return nil
}

// countCache reads the token counters of the engines and fills in CacheReuse.
func (r *loadReport) countCache(ctx context.Context, engines []string) error {
	counters, err := loadgen.EngineCounters(ctx, engines)
	if err != nil {
		return err
	}
	var prompt, cached uint64
	for _, c := range counters {
		prompt += c.PromptTokens
		cached += c.CachedTokens
	}
	r.CacheReuse = float64(cached) / float64(max(1, prompt))
	return nil
}

// rows returns the rows of the table output.
func (r *loadReport) rows() [][]string {
	milliseconds := func(ms float64) string { return strconv.FormatFloat(ms, 'f', 1, 64) + " ms" }
	rows := [][]string{
		{"requests", strconv.FormatInt(r.Requests, 10)},
		{"answered whole", strconv.FormatInt(r.OK, 10)},
		{"wrong answers", strconv.FormatInt(r.Wrong, 10)},
		{"refused as not run, sent again", strconv.FormatInt(r.Retried, 10)},
		{"first part p50 / p95 / p99", milliseconds(r.FirstPartP50MS) + " / " + milliseconds(r.FirstPartP95MS) + " / " + milliseconds(r.FirstPartP99MS)},
		{"bookings confirmed", strconv.Itoa(r.Bookings)},
		{"bookings run twice", strconv.Itoa(len(r.Duplicates))},
		{"bookings lost", strconv.Itoa(len(r.Lost))},
		{"prompt tokens found in caches", fmt.Sprintf("%.0f%%", 100*r.CacheReuse)},
		{"seconds", strconv.FormatFloat(r.Seconds, 'f', 1, 64)},
	}
	for name, n := range r.Failed {
		rows = append(rows, []string{"ended with " + name, strconv.FormatInt(n, 10)})
	}
	return rows
}

// check returns an error if a response was wrong or missing, or a booking was lost or executed twice.
func (r *loadReport) check() error {
	if r.Wrong > 0 || len(r.Duplicates) > 0 || len(r.Lost) > 0 || r.OK < r.Requests {
		return failf(result.DemoFailed, "%d of %d requests were answered completely, %d responses were wrong, %d bookings were executed twice, %d were lost",
			r.OK, r.Requests, r.Wrong, len(r.Duplicates), len(r.Lost))
	}
	return nil
}
