package config

import "github.com/jayridge/jayridge/connection/wire"

// Answer returns the pushes that bring a peer from the version it asks from to the current one: the changes between them, merged
// into a run if they are many, or if they are no longer kept, the whole text in parts. It returns none if the peer has the current version or a newer one. A peer
// that asks from zero always gets the whole text. The pushes are shared; callers must not modify them.
func (s *State) Answer(pull wire.ConfigPull) []wire.ConfigPush {
	if s.current == nil || pull.Since >= s.current.Version {
		return nil
	}
	if pull.Since > 0 {
		if pushes := s.answerSteps(pull); pushes != nil {
			return pushes
		}
	}
	if s.snapshot == nil {
		s.snapshot = snapshot(s.current, s.cfg.PartBytes)
	}
	return s.snapshot
}

// answerSteps returns nil if the history does not reach back to the asked version, or only by a run that the peer does not read.
func (s *State) answerSteps(pull wire.ConfigPull) []wire.ConfigPush {
	steps, ok := s.history.since(pull.Since)
	if !ok {
		return nil
	}
	list, single := changes(steps)
	if pull.Runs && (!single || len(list) >= runSteps) {
		if push, ok := s.run(pull.Since, steps); ok {
			return []wire.ConfigPush{push}
		}
	}
	if !single {
		return nil
	}
	return batches(list, s.cfg.PushBytes)
}

// batches divides changes into pushes of at most limit bytes.
func batches(changes []wire.ConfigChange, limit int) []wire.ConfigPush {
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

// snapshot divides a text into parts and compresses each on its own, so that the same part of different peers has the same
// content even if their compression differs.
func snapshot(a *Accepted, partBytes int) []wire.ConfigPush {
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
