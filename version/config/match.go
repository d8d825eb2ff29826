package config

import "sort"

// lineRange is a range of old lines and the range of new lines that replaces it.
type lineRange struct {
	oldStart, oldEnd, newStart, newEnd int
}

func (r lineRange) empty() bool { return r.oldStart == r.oldEnd && r.newStart == r.newEnd }

// changedRanges compares two texts by the lines that occur exactly once in both. Almost all lines of a rules file do, because
// names are unique, and the comparison stays fast when a whole file is replaced, where a shortest edit script would not.
func changedRanges(old, new []string) []lineRange {
	var changed []lineRange
	whole := shrink(old, new, lineRange{0, len(old), 0, len(new)})
	end := [2]int{whole.oldEnd, whole.newEnd}
	done := lineRange{oldEnd: whole.oldStart, newEnd: whole.newStart}
	for _, a := range append(anchors(old, new, whole), end) {
		if a[0] < done.oldEnd || a[1] < done.newEnd {
			continue // The run of equal lines after an earlier anchor already covers this one.
		}
		gap := shrink(old, new, lineRange{done.oldEnd, a[0], done.newEnd, a[1]})
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

// shrink removes equal lines from both ends of a range.
func shrink(old, new []string, r lineRange) lineRange {
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

// anchors returns the pairs of line numbers of the longest run of lines, not necessarily adjacent, that occur once in each side
// of a range and in the same order in both.
func anchors(old, new []string, within lineRange) [][2]int {
	pairs := uniquePairs(old, new, within)
	// best[k] is the pair that ends the run of length k+1 with the smallest new line; before links each pair to the previous
	// one of its run.
	best := make([]int, 0, len(pairs))
	before := make([]int, len(pairs))
	for i, pair := range pairs {
		k := sort.Search(len(best), func(k int) bool { return pairs[best[k]][1] > pair[1] })
		before[i] = -1
		if k > 0 {
			before[i] = best[k-1]
		}
		if k == len(best) {
			best = append(best, i)
		} else {
			best[k] = i
		}
	}
	run := make([][2]int, len(best))
	for k := len(best) - 1; k >= 0; k-- {
		run[k] = pairs[best[k]]
		if k > 0 {
			best[k-1] = before[best[k]]
		}
	}
	return run
}

// uniquePairs returns the line numbers of lines that occur once in each side of a range, in ascending order of the old line.
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
