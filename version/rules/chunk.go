package rules

import "strings"

const (
	// chunkLines is the number of lines in a chunk of a text that was parsed as a whole. A change copies the chunks that it
	// touches and the list of all chunks, so that both stay small for tens of thousands of lines.
	chunkLines = 64
	// maxChunkLines is the size that a chunk may reach by edits. Beyond it the whole text is parsed, which forms new chunks.
	maxChunkLines = 4 * chunkLines
)

// chunk is a run of consecutive lines. It is immutable and shared by the sets of successive versions. A set keeps the number and
// order of its chunks when it is edited, so that the index of a chunk identifies it.
type chunk struct {
	// lines are the lines without their newlines; bytes counts them with one newline each.
	lines []string
	bytes int
	// teams has the team of each line, nil for other lines.
	teams []*team
	// others are the indices of the lines that hold another rule, in ascending order.
	others []int32
}

// team is a parsed team rule without its line number, which changes when lines are added or removed above it.
type team struct {
	name, who, why string
	limit          float64
	weight         int32
	// chunk is the index of the chunk that has the rule.
	chunk int32
}

// public returns the team as the rule on a line.
func (t *team) public(line int) Team {
	return Team{
		Name: t.name, Weight: int(t.weight), Limit: t.limit,
		Origin: Origin{Line: line, Comment: Comment{Who: t.who, Why: t.why}},
	}
}

// newChunk returns a chunk of lines whose rules have not been parsed.
func newChunk(lines []string) *chunk {
	c := &chunk{lines: lines, teams: make([]*team, len(lines))}
	for _, line := range lines {
		c.bytes += len(line) + 1
	}
	return c
}

// cut divides a text into chunks; there is at least one, because every text has a line.
func cut(text string) []*chunk {
	lines := strings.Split(text, "\n")
	chunks := make([]*chunk, 0, (len(lines)+chunkLines-1)/chunkLines)
	for start := 0; start < len(lines); start += chunkLines {
		end := min(start+chunkLines, len(lines))
		chunks = append(chunks, newChunk(lines[start:end:end]))
	}
	return chunks
}

// lineOf returns the line number of a team's rule.
func (s *Set) lineOf(t *team) int {
	for i, other := range s.chunks[t.chunk].teams {
		if other == t {
			return s.firstLine[t.chunk] + i
		}
	}
	return 0
}

// number counts the lines of all chunks.
func (s *Set) number() {
	s.firstLine = make([]int, len(s.chunks))
	next := 1
	for i, c := range s.chunks {
		s.firstLine[i] = next
		next += len(c.lines)
	}
}
