package config

import "github.com/jayridge/jayridge/connection/wire"

// Answer returns the pushes that bring a peer from pull.Since to the current version: the changes between them, merged into a delta
// (wire.ConfigDelta) if there are many, or the whole text in parts if the changes are no longer kept. It returns none if the peer's
// version is the current one or newer. A peer that asks from zero always gets the whole text. The pushes are shared; callers must
// not modify them.
func (s *State) Answer(pull wire.ConfigPull) []wire.ConfigPush {
	if s.current == nil || pull.Since >= s.current.Version {
		return nil
	}
	if pull.Since > 0 {
		if pushes := s.answerFromHistory(pull); pushes != nil {
			return pushes
		}
	}
	if s.snapshot == nil {
		s.snapshot = snapshotPushes(s.current, s.cfg.PartBytes)
	}
	return s.snapshot
}

// answerFromHistory returns the changes since the peer's version, one by one or as a delta. It returns nil if the history does not
// reach back to that version, or if one of the steps covers several versions and no delta can be sent to the peer.
func (s *State) answerFromHistory(pull wire.ConfigPull) []wire.ConfigPush {
	steps, ok := s.history.since(pull.Since)
	if !ok {
		return nil
	}
	list, single := changes(steps)
	if pull.AcceptsDeltas && (!single || len(list) >= minDeltaChanges) {
		if push, ok := s.delta(pull.Since, steps); ok {
			return []wire.ConfigPush{push}
		}
	}
	if !single {
		return nil
	}
	return batchChanges(list, s.cfg.MaxPushBytes)
}

// batchChanges divides changes into pushes of at most limit bytes. A change that is larger is a push of its own.
func batchChanges(changes []wire.ConfigChange, limit int) []wire.ConfigPush {
	var pushes []wire.ConfigPush
	start, bytes := 0, 0
	for i, c := range changes {
		n := changeBytes(c)
		if i > start && bytes+n > limit {
			pushes = append(pushes, wire.ConfigPush{Changes: changes[start:i:i]})
			start, bytes = i, 0
		}
		bytes += n
	}
	return append(pushes, wire.ConfigPush{Changes: changes[start:len(changes):len(changes)]})
}

// snapshotPushes divides a text into parts and compresses each part separately, so that a receiver can combine parts of peers whose
// compressors differ.
func snapshotPushes(a *Accepted, partBytes int) []wire.ConfigPush {
	parts := max(1, (len(a.Text)+partBytes-1)/partBytes)
	pushes := make([]wire.ConfigPush, parts)
	for i := range parts {
		end := min((i+1)*partBytes, len(a.Text))
		pushes[i].Snapshot = &wire.ConfigSnapshotPart{
			Version: a.Version, ChangeID: a.ChangeID, Author: a.Author, UnixMS: a.Time.UnixMilli(),
			Part: uint32(i), Parts: uint32(parts), TextHash: a.TextHash,
			Data: compress([]byte(a.Text[i*partBytes : end])),
		}
	}
	return pushes
}
