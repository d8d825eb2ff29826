package config

import "sort"

// lineRange is a range of old lines and the range of new lines that replaces it.
type lineRange struct {
	oldStart, oldEnd, newStart, newEnd int
}

func (r lineRange) empty() bool { return r.oldStart == r.oldEnd && r.newStart == r.newEnd }

// changedRanges compares two texts by patience diff, which aligns the lines that occur exactly once in both. Almost all lines of a
// rules file are unique, because names are. Unlike the search for a shortest edit script, it stays fast when a whole file is
// replaced.
func changedRanges(old, new []string) []lineRange {
	var changed []lineRange
	whole := trimEqual(old, new, lineRange{0, len(old), 0, len(new)})
	end := [2]int{whole.oldEnd, whole.newEnd}
	done := lineRange{oldEnd: whole.oldStart, newEnd: whole.newStart}
	for _, a := range append(anchors(old, new, whole), end) {
		if a[0] < done.oldEnd || a[1] < done.newEnd {
			continue // The equal lines after an earlier anchor already cover this one.
		}
		gap := trimEqual(old, new, lineRange{done.oldEnd, a[0], done.newEnd, a[1]})
		if !gap.empty() {
			changed = append(changed, gap)
		}
		done = lineRange{oldEnd: a[0], newEnd: a[1]}
		for done.oldEnd < end[0] && done.newEnd < end[1] && old[done.oldEnd] == new[done.newEnd] {
			done.oldEnd++
			done.newEnd++
		}
	}
	return changed
}

// trimEqual excludes equal lines at both ends of a range.
func trimEqual(old, new []string, r lineRange) lineRange {
	for r.oldStart < r.oldEnd && r.newStart < r.newEnd && old[r.oldStart] == new[r.newStart] {
		r.oldStart++
		r.newStart++
	}
	for r.oldStart < r.oldEnd && r.newStart < r.newEnd && old[r.oldEnd-1] == new[r.newEnd-1] {
		r.oldEnd--
		r.newEnd--
	}
	return r
}

// anchors returns the old and new line numbers of the longest common subsequence of the lines that occur exactly once in each side
// of a range.
func anchors(old, new []string, within lineRange) [][2]int {
	pairs := uniquePairs(old, new, within)
	// best[k] is the pair with the smallest new line that ends an increasing sequence of length k+1. previous links each pair to its
	// predecessor in the sequence.
	best := make([]int, 0, len(pairs))
	previous := make([]int, len(pairs))
	for i, pair := range pairs {
		k := sort.Search(len(best), func(k int) bool { return pairs[best[k]][1] > pair[1] })
		previous[i] = -1
		if k > 0 {
			previous[i] = best[k-1]
		}
		if k == len(best) {
			best = append(best, i)
		} else {
			best[k] = i
		}
	}
	sequence := make([][2]int, len(best))
	for k := len(best) - 1; k >= 0; k-- {
		sequence[k] = pairs[best[k]]
		if k > 0 {
			best[k-1] = previous[best[k]]
		}
	}
	return sequence
}

// uniquePairs returns the old and new numbers of the lines that occur exactly once in each side of a range, in ascending order of
// the old number.
func uniquePairs(old, new []string, within lineRange) [][2]int {
	type count struct{ old, new, newLine int }
	counts := make(map[string]*count, within.oldEnd-within.oldStart)
	for _, line := range old[within.oldStart:within.oldEnd] {
		if c := counts[line]; c != nil {
			c.old++
			continue
		}
		counts[line] = &count{old: 1}
	}
	for i := within.newStart; i < within.newEnd; i++ {
		if c := counts[new[i]]; c != nil {
			c.new++
			c.newLine = i
		}
	}
	var pairs [][2]int
	for i := within.oldStart; i < within.oldEnd; i++ {
		if c := counts[old[i]]; c.old == 1 && c.new == 1 {
			pairs = append(pairs, [2]int{i, c.newLine})
		}
	}
	return pairs
}
