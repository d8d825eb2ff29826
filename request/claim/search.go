package claim

// search finds the first segment that a log has to read: the last one whose first batch is not younger than the retention.
// Everything before it is older still. A stale or missing answer can only make the result smaller, which costs reads.
type search struct {
	cutoffMS int64
	// low is a segment that is old enough; any says that one was found.
	low uint64
	any bool
	// high is a segment that is missing or too young, if bounded.
	high    uint64
	bounded bool
}

// probe returns the segment to look at next, or false if low is the result.
func (s *search) probe() (uint64, bool) {
	switch {
	case !s.any && !s.bounded:
		return 0, true
	case s.bounded && s.high-s.low <= 1:
		return 0, false
	case s.bounded:
		return s.low + (s.high-s.low)/2, true
	default:
		return 2*s.low + 1, true
	}
}

// found takes the time of a probed segment's first batch; exists is false if there is no such segment. It returns false if the
// search is over with the probed segment zero itself, whose value can be used as read.
func (s *search) found(segment uint64, exists bool, firstMS int64) bool {
	if exists && firstMS <= s.cutoffMS {
		s.low, s.any = segment, true
		return true
	}
	s.high, s.bounded = segment, true
	return segment != 0
}
