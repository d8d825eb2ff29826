package rules

import "strings"

const (
	// chunkLines is the number of lines per chunk when a whole text is parsed. An edit copies the chunks that it changes and the
	// list of all chunks; this size keeps both small for tens of thousands of lines.
	chunkLines = 64
	// maxChunkLines is the maximum number of lines in a chunk after edits. Above it, the whole text is parsed into new chunks.
	maxChunkLines = 4 * chunkLines
)

// chunk is a run of consecutive lines. It is immutable and shared by the sets of successive versions. Edits keep the number and
// order of the chunks, so the index of a chunk identifies it across these sets.
type chunk struct {
	// lines have no newlines; bytes is their total size including one newline each.
	lines []string
	bytes int
	// teams holds the team rule of each line, or nil for lines without one.
	teams []*team
	// otherRules are the indices of the lines with non-team rules, in ascending order.
	otherRules []int32
}

// team is a parsed team rule. It has no line number, because that changes when lines are added or removed above it.
type team struct {
	name              string
	requester, reason string
	limit             float64
	weight            int32
	// chunk is the index of the chunk that contains the rule.
	chunk int32
}

// toTeam returns the team with the line number of its rule.
func (t *team) toTeam(line int) Team {
	return Team{
		Name: t.name, Weight: int(t.weight), Limit: t.limit,
		Origin: Origin{Line: line, Comment: Comment{Requester: t.requester, Reason: t.reason}},
	}
}

// newChunk returns a chunk whose lines are not parsed yet.
func newChunk(lines []string) *chunk {
	c := &chunk{lines: lines, teams: make([]*team, len(lines))}
	for _, line := range lines {
		c.bytes += len(line) + 1
	}
	return c
}

// splitChunks divides a text into chunks. It returns at least one, because even an empty text has one line.
func splitChunks(text string) []*chunk {
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

// numberLines sets the number of the first line of each chunk.
func (s *Set) numberLines() {
	s.firstLine = make([]int, len(s.chunks))
	next := 1
	for i, c := range s.chunks {
		s.firstLine[i] = next
		next += len(c.lines)
	}
}
