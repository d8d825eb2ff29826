package claim

// search finds the first segment that a log has to read: the last one whose first batch is at least as old as the retention. All
// earlier segments are older still. A stale read, or one that finds no segment, can only make the result smaller, which costs extra
// reads.
type search struct {
	cutoffMS int64
	// low is a segment that is old enough, if hasLow.
	low    uint64
	hasLow bool
	// high is a segment that is missing or too young, if hasHigh.
	high    uint64
	hasHigh bool
}

// next returns the segment to probe next, or false if low is the result.
func (s *search) next() (uint64, bool) {
	switch {
	case !s.hasLow && !s.hasHigh:
		return 0, true
	case s.hasHigh && s.high-s.low <= 1:
		return 0, false
	case s.hasHigh:
		return s.low + (s.high-s.low)/2, true
	default:
		return 2*s.low + 1, true
	}
}

// observe records the timestamp of a probed segment's first batch; exists is false if there is no such segment. It returns
// false if the search ended at segment zero, whose value can then be used as it was read.
func (s *search) observe(segment uint64, exists bool, firstMS int64) bool {
	if exists && firstMS <= s.cutoffMS {
		s.low, s.hasLow = segment, true
		return true
	}
	s.high, s.hasHigh = segment, true
	return segment != 0
}
