package config

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
)

// ReadAuditRecords returns the audit records of the accepted versions, newest first. It returns at most limit records, or all if
// limit is not positive. The newest record is in the head; each other one takes at least one read. After an error it returns the
// records read so far.
func ReadAuditRecords(ctx context.Context, kv services.KV, limit int) ([]AuditRecord, error) {
	s := newStore(kv)
	head, err := s.head(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var records []AuditRecord
	err = s.walkRecords(ctx, &head, func(r AuditRecord) (bool, error) {
		records = append(records, r)
		return limit <= 0 || len(records) < limit, nil
	})
	return records, trace.Wrap(err)
}

// TextAt returns the text of an accepted version. It reads the head and the audit records of the versions since.
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
