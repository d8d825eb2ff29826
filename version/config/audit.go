package config

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
)

// Audit returns the records of the accepted versions, newest first, at most limit of them; a limit of zero or less returns all.
// It reads one key for each record. With an error it returns the records that were read before it.
func Audit(ctx context.Context, kv services.KV, limit int) ([]Record, error) {
	s := newStore(kv)
	head, err := s.head(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var records []Record
	err = s.walk(ctx, &head, func(r Record) (bool, error) {
		records = append(records, r)
		return limit <= 0 || len(records) < limit, nil
	})
	return records, trace.Wrap(err)
}

// TextAt returns the text of an accepted version. It reads the head and one record for each version since.
func TextAt(ctx context.Context, kv services.KV, version uint64) (string, error) {
	s := newStore(kv)
	head, err := s.head(ctx)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if version > head.Version {
		return "", trace.Wrap(services.ErrNotFound, "version %d is newer than the accepted version %d", version, head.Version)
	}
	if err := s.loadText(ctx, &head, ""); err != nil {
		return "", trace.Wrap(err)
	}
	text, err := s.textAt(ctx, &head, version)
	return text, trace.Wrap(err)
}
