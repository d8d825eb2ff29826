package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/request/result"
)

// maxLogLine bounds the length of a log line in bytes. Longer lines are skipped.
const maxLogLine = 1 << 20

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print what the logs of all processes say about one request", ArgsUsage: "REQUEST [FILE...]",
		Description: "Reads the files, or standard input if none is given. Prints the log lines of the request sorted by time, together with the state\n" +
			"changes that the same instances logged around that time: of the request's upstreams, the store, peers and the configuration.",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "around", Value: 3 * time.Second, Usage: "how long before the request's first line state changes are shown"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.NArg() == 0 {
				return failf(result.UsageError, "explain takes the ID of a REQUEST")
			}
			lines, skipped, err := readLogs(cmd.Args().Tail())
			if err != nil {
				return fail(result.UsageError, err)
			}
			return explain(os.Stdout, lines, skipped, cmd.Args().First(), cmd.Duration("around"))
		},
	}
}

// logLine is one line of a structured log.
type logLine struct {
	fields map[string]any
	at     time.Time
	number event.ID
	// request, upstream and instance are "" if the line does not have them.
	request, upstream, instance string
}

// readLogs parses the logs at the paths, or standard input if there are none.
func readLogs(paths []string) (lines []logLine, skipped int, err error) {
	if len(paths) == 0 {
		return parseLog(os.Stdin)
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, 0, err
		}
		fileLines, fileSkipped, err := parseLog(file)
		_ = file.Close() // opened only for reading
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w", path, err)
		}
		lines, skipped = append(lines, fileLines...), skipped+fileSkipped
	}
	return lines, skipped, nil
}

// parseLog reads lines that end in a JSON object with a time and an event number. Text before the object, such as the prefix of a log
// collector, is ignored. Other lines are skipped and counted.
func parseLog(r io.Reader) (lines []logLine, skipped int, err error) {
	reader := bufio.NewReaderSize(r, maxLogLine)
	for {
		text, tooLong, err := reader.ReadLine()
		if err == io.EOF {
			return lines, skipped, nil
		}
		if err != nil {
			return nil, 0, err
		}
		line, ok := parseLine(text)
		for tooLong && err == nil {
			_, tooLong, err = reader.ReadLine()
			ok = false
		}
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
}

func parseLine(text []byte) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var l logLine
	if json.Unmarshal(text[start:], &l.fields) != nil {
		return logLine{}, false
	}
	field := func(name string) string { s, _ := l.fields[name].(string); return s }
	number, ok := l.fields["event"].(float64)
	if !ok {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, field("time"))
	l.at, l.number = at, event.ID(number)
	l.request, l.upstream, l.instance = field("request"), field("upstream"), field("instance")
	return l, err == nil
}

// explain prints the log lines of a request, and the state changes that its instances logged from around before its first line until its
// last. Lines about other upstreams than those of the request are left out.
func explain(w io.Writer, lines []logLine, skipped int, request string, around time.Duration) error {
	var first, last time.Time
	upstreams, instances := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.request != request {
			continue
		}
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
		instances[l.instance] = true
		if l.upstream != "" {
			upstreams[l.upstream] = true
		}
	}
	if first.IsZero() {
		return failf(result.NotFound, "no log line for request %q; %d lines read, %d skipped", request, len(lines), skipped)
	}
	selected := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool {
		inWindow := !l.at.Before(first.Add(-around)) && !l.at.After(last)
		stateChange := l.request == "" && instances[l.instance] && (l.upstream == "" || upstreams[l.upstream])
		return l.request != request && !(inWindow && stateChange)
	})
	slices.SortStableFunc(selected, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range selected {
		if _, err := fmt.Fprintln(w, l.text(first)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d lines read, %d skipped\n", len(lines), skipped)
	return err
}

// text formats the line with its time relative to start. Lines of the request are marked with an asterisk.
func (l logLine) text(start time.Time) string {
	var b strings.Builder
	mark := " "
	if l.request != "" {
		mark = "*"
	}
	message, _ := l.fields["message"].(string)
	fmt.Fprintf(&b, "%s %+9.1f ms  %-16s %d %s", mark, float64(l.at.Sub(start).Microseconds())/1000, l.instance, l.number, message)
	var names []string
	for name := range l.fields {
		switch name {
		case "time", "instance", "event", "message", "level", "request":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}
