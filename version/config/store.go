package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
)

// Bounds of repeated platform calls. Seven waits of 20 ms to 1 s add up to about 2.5 s, well below the 13 s in which a change is
// to be in effect.
const (
	maxAttempts = 8
	minBackoff  = 20 * time.Millisecond
	maxBackoff  = time.Second
)

// store reads and writes the keys of the configuration. Its methods block on calls to the platform.
type store struct {
	kv     services.KV
	layout layout
	// wait delays a retry. It returns the context's error if the context ends first.
	wait func(ctx context.Context, attempt int) error
}

func newStore(kv services.KV) *store { return &store{kv: kv, layout: defaultLayout, wait: backoff} }

// backoff waits for a random time between half of a delay and the whole delay, which doubles with each attempt up to maxBackoff.
func backoff(ctx context.Context, attempt int) error {
	delay := min(minBackoff<<attempt, maxBackoff)
	timer := time.NewTimer(delay/2 + rand.N(delay/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// head reads the head without loading its parts. If there is none, it returns version zero with an empty text.
func (s *store) head(ctx context.Context) (Head, error) {
	kv, err := s.kv.Get(ctx, HeadKey)
	if errors.Is(err, services.ErrNotFound) {
		return Head{Loaded: true, TextHash: Hash("")}, nil
	}
	if err != nil {
		return Head{}, err
	}
	h, err := DecodeHead(kv.Value)
	h.value, h.revision = kv.Value, kv.Revision
	return h, err
}

// getExisting reads a key that was written before the value that refers to it. A result of "not found" is therefore a stale read
// and is retried.
func (s *store) getExisting(ctx context.Context, key string) ([]byte, error) {
	for attempt := 0; ; attempt++ {
		kv, err := s.kv.Get(ctx, key)
		if err == nil {
			return kv.Value, nil
		}
		if attempt+1 == maxAttempts || !errors.Is(err, services.ErrNotFound) && !errors.Is(err, services.ErrUnavailable) {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
		if err := s.wait(ctx, attempt); err != nil {
			return nil, err
		}
	}
}

// createIfAbsent writes a key whose value is determined by its name. An existing key counts as success, so the write can be
// repeated after a lost response.
func (s *store) createIfAbsent(ctx context.Context, key string, value []byte) error {
	for attempt := 0; ; attempt++ {
		_, err := s.kv.CompareAndSwap(ctx, key, 0, value, 0)
		if err == nil || errors.Is(err, services.ErrConflict) {
			return nil
		}
		if !errors.Is(err, services.ErrOutcomeUnknown) && !errors.Is(err, services.ErrUnavailable) {
			return fmt.Errorf("%s: %w", key, err)
		}
		if attempt+1 == maxAttempts {
			// Nothing refers to the key yet, so the caller can treat a lost response like a write that was not sent.
			return fmt.Errorf("%s: %w: %v", key, services.ErrUnavailable, err)
		}
		if err := s.wait(ctx, attempt); err != nil {
			return err
		}
	}
}

// createParts writes the parts that are not among the existing ones.
func (s *store) createParts(ctx context.Context, parts []part, existing []partID) error {
	known := make(map[partID]bool, len(existing))
	for _, id := range existing {
		known[id] = true
	}
	for _, p := range parts {
		if known[p.id] {
			continue
		}
		known[p.id] = true
		if err := s.createIfAbsent(ctx, partPrefix+string(p.id), compress(p.content)); err != nil {
			return err
		}
	}
	return nil
}

// loadParts returns the concatenated content of parts of at most limit bytes. Those among known are not read.
func (s *store) loadParts(ctx context.Context, list []partID, known []part, limit int) ([]byte, error) {
	contents := make(map[partID][]byte, len(known))
	for _, p := range known {
		contents[p.id] = p.content
	}
	var value []byte
	for _, id := range list {
		content, found := contents[id]
		if !found {
			var err error
			if content, err = s.loadPart(ctx, id); err != nil {
				return nil, err
			}
		}
		value = append(value, content...)
		if len(value) > limit {
			return nil, fmt.Errorf("%w: parts exceed %d bytes", ErrInvalidFormat, limit)
		}
	}
	return value, nil
}

// loadPart reads a part and checks its hash.
func (s *store) loadPart(ctx context.Context, id partID) ([]byte, error) {
	value, err := s.getExisting(ctx, partPrefix+string(id))
	if err != nil {
		return nil, err
	}
	content, err := decompress(value, services.MaxValueBytes)
	if err != nil {
		return nil, err
	}
	if newPart(content).id != id {
		return nil, fmt.Errorf("%w: part %s does not match its hash", ErrInvalidFormat, id)
	}
	return content, nil
}

// loadText loads the text of a head. Parts that also occur in a similar text are not read.
func (s *store) loadText(ctx context.Context, h *Head, similar string) error {
	if h.Loaded {
		return nil
	}
	var known []part
	for _, chunk := range s.layout.splitText(similar) {
		known = append(known, newPart(chunk))
	}
	text, err := s.loadParts(ctx, h.parts, known, MaxTextBytes)
	if err != nil {
		return err
	}
	return h.setText(string(text))
}

// loadRecord decodes an audit record and loads edits that are stored in parts.
func (s *store) loadRecord(ctx context.Context, value []byte) (AuditRecord, error) {
	r, stored, err := decodeRecord(value)
	if err != nil || len(stored.Parts) == 0 {
		return r, err
	}
	raw, err := s.loadParts(ctx, stored.Parts, nil, maxEditsBytes)
	if err != nil {
		return AuditRecord{}, err
	}
	err = r.setEdits(raw)
	return r, err
}

// ReadHead reads the head and completes it for a process whose accepted version is current, which may be nil. If there is no head,
// it returns version zero. Errors wrap those of the platform or ErrInvalidFormat.
func ReadHead(ctx context.Context, kv services.KV, current *Accepted) (Head, error) {
	h, err := newStore(kv).head(ctx)
	if err != nil {
		return Head{}, trace.Wrap(err)
	}
	h, err = CompleteHead(ctx, kv, h, current)
	return h, trace.Wrap(err)
}

// CompleteHead loads what State.AdoptHead needs to adopt a head that a watch returned: nothing if the head is not newer than
// current or its changes reach back to current, and the text otherwise.
func CompleteHead(ctx context.Context, kv services.KV, h Head, current *Accepted) (Head, error) {
	if current != nil && (h.Version <= current.Version || h.reachesBackTo(current.Version)) {
		return h, nil
	}
	similar := ""
	if current != nil {
		similar = current.Text
	}
	if err := newStore(kv).loadText(ctx, &h, similar); err != nil {
		return Head{}, trace.Wrap(err)
	}
	return h, nil
}
