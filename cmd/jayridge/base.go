package main

import (
	"fmt"
	"strconv"
	"strings"
)

// basePrefix heads the first line of a rules file that was written by show or apply. It names the accepted version that the file was
// made from, so that apply can tell when another operator was faster.
const basePrefix = "# based on version "

// cutBase splits the base line from a rules file.
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

// withBase puts the base line in front of a text.
func withBase(text string, base uint64) string {
	return fmt.Sprintf("%s%d\n%s", basePrefix, base, text)
}
