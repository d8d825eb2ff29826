package config

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/version/rules"
)

// runSteps is the number of changes from which a run is sent instead. One change is smaller as it is.
const runSteps = 4

// encodeRun encodes edits for a receiver that has the removed lines. An added line is encoded by what it has in common with the
// removed line at the same place, because most edits change a few characters of a line. The numbers come first and the characters
// behind them, which compresses better than the two mixed.
func encodeRun(edits []wire.LineEdit, removed [][]string) []byte {
	var numbers, text []byte
	number := func(n int) { numbers = binary.AppendUvarint(numbers, uint64(n)) }
	next := 0
	for i, e := range edits {
		number(int(e.Line) - next)
		number(int(e.Removed))
		number(len(e.Added))
		next = int(e.Line + e.Removed)
		for j, line := range e.Added {
			head, tail := commonEnds(counterpart(removed[i], j), line)
			number(head)
			number(tail)
			number(len(line) - head - tail)
			text = append(text, line[head:len(line)-tail]...)
		}
	}
	content := binary.AppendUvarint(nil, uint64(len(numbers)))
	content = append(content, numbers...)
	return compress(append(content, text...))
}

// counterpart is the removed line that an added one is compared with.
func counterpart(removed []string, j int) string {
	if j < len(removed) {
		return removed[j]
	}
	return ""
}

func commonEnds(a, b string) (head, tail int) {
	n := min(len(a), len(b))
	for head < n && a[head] == b[head] {
		head++
	}
	for tail < n-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	return head, tail
}

// runReader reads what encodeRun wrote. After an error all that it returns is zero.
type runReader struct {
	numbers, text []byte
	err           error
}

var errRun = errors.New("malformed run")

func newRunReader(data []byte) (*runReader, error) {
	content, err := decompress(data, maxPayloadBytes)
	if err != nil {
		return nil, err
	}
	size, n := binary.Uvarint(content)
	if n <= 0 || size > uint64(len(content)-n) {
		return nil, errRun
	}
	content = content[n:]
	return &runReader{numbers: content[:size], text: content[size:]}, nil
}

// number returns the next number, which is at most limit.
func (r *runReader) number(limit int) int {
	v, n := binary.Uvarint(r.numbers)
	if n <= 0 || v > uint64(limit) {
		r.err, r.numbers = errRun, nil
		return 0
	}
	r.numbers = r.numbers[n:]
	return int(v)
}

// line returns an added line, given its counterpart.
func (r *runReader) line(was string) string {
	head := r.number(len(was))
	tail := r.number(len(was) - head)
	n := r.number(len(r.text))
	line := was[:head] + string(r.text[:n]) + was[len(was)-tail:]
	r.text = r.text[n:]
	return line
}

// decodeRun returns the edits of a run and the lines of the draft that they remove.
func decodeRun(data []byte, draft *rules.Draft) ([]wire.LineEdit, [][]string, error) {
	r, err := newRunReader(data)
	if err != nil {
		return nil, nil, err
	}
	var edits []wire.LineEdit
	var removed [][]string
	next := 0
	for len(r.numbers) > 0 {
		line := next + r.number(allLines)
		e := wire.LineEdit{Line: uint32(line), Removed: uint32(r.number(allLines))}
		was := draft.Lines(line, int(e.Removed))
		// Each line takes three numbers, so that a faulty message cannot make this loop run for long.
		for j := range r.number(len(r.numbers)) {
			e.Added = append(e.Added, r.line(counterpart(was, j)))
		}
		if r.err != nil || len(was) != int(e.Removed) {
			return nil, nil, errRun
		}
		edits, removed = append(edits, e), append(removed, was)
		next = line + len(was)
	}
	return edits, removed, nil
}

// applyRun moves to the version of a run that starts at the current one.
func (s *State) applyRun(run *wire.ConfigRun) error {
	if run.Version <= s.Version() {
		s.stats.Ignored++
		return nil
	}
	if s.current == nil || run.From != s.current.Version {
		return fmt.Errorf("%w: a run from version %d, current %d", ErrGap, run.From, s.Version())
	}
	draft := s.current.Rules.Edit()
	edits, removed, err := decodeRun(run.Data, draft)
	if err != nil {
		return fmt.Errorf("%w: run from version %d to %d: %v", ErrMessage, run.From, run.Version, err)
	}
	change := wire.ConfigChange{
		Version: run.Version, ChangeID: run.ChangeID, Author: run.Author, UnixMS: run.UnixMS, TextHash: run.TextHash, Edits: edits,
	}
	if err := apply(draft, change); err != nil {
		return err
	}
	c := s.candidate(draft, change)
	c.steps = []step{{from: run.From, change: change, removed: removed}}
	return s.adopt(c)
}

// candidate returns the draft as the version to which a change led.
func (s *State) candidate(draft *rules.Draft, last wire.ConfigChange) candidate {
	return candidate{
		Accepted: Accepted{
			Version: last.Version, ChangeID: last.ChangeID, Author: last.Author, Time: time.UnixMilli(last.UnixMS).UTC(),
			Text: draft.Text(), TextHash: last.TextHash,
		},
		draft: draft,
	}
}

// run returns the difference between a version and the current one as a push, or false if the steps do not allow it or it does
// not fit a push. The last one is kept, because after an outage many peers ask from the same version.
func (s *State) run(from uint64, steps []step) (wire.ConfigPush, bool) {
	if s.lastRun.From == from && s.lastRun.Version == s.current.Version {
		run := s.lastRun
		return wire.ConfigPush{Run: &run}, true
	}
	edits, removed, ok := merge(steps)
	if !ok {
		return wire.ConfigPush{}, false
	}
	data := encodeRun(edits, removed)
	if len(data) > s.cfg.PushBytes {
		return wire.ConfigPush{}, false
	}
	a := s.current
	// A new value each time: earlier pushes that have not been sent yet still refer to theirs.
	run := wire.ConfigRun{
		From: from, Version: a.Version, ChangeID: a.ChangeID, Author: a.Author, UnixMS: a.Time.UnixMilli(),
		TextHash: a.TextHash, Data: data,
	}
	s.lastRun = run
	return wire.ConfigPush{Run: &run}, true
}
