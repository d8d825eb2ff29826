package main

import (
	"fmt"
	"strconv"
	"strings"
)

// basePrefix starts the first line of a rules file that show or apply has written. The line names the accepted version that the file is
// based on, so that apply can detect concurrent changes by other operators.
const basePrefix = "# based on version "

// cutBase splits the base line from a rules file. base is zero if there is none.
func cutBase(content string) (text string, base uint64) {
	first, rest, _ := strings.Cut(content, "\n")
	number, ok := strings.CutPrefix(first, basePrefix)
	if !ok {
		return content, 0
	}
	base, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
	if err != nil {
		return content, 0
	}
	return rest, base
}

// withBase prepends the base line to the text of a rules file.
func withBase(text string, base uint64) string {
	return fmt.Sprintf("%s%d\n%s", basePrefix, base, text)
}
