package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong in a rules file, with its place and what would be right.
type Fault struct {
	File string
	// Line and Column count from one; a column is one character.
	Line, Column int
	// Text says what is wrong; Want says what would be right.
	Text, Want string
}

// Error returns the fault in one line, in the form that editors and compilers use for places.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; want %s", f.File, f.Line, f.Column, f.Text, f.Want)
}

// Faults are all faults of a file, in ascending order of line and column.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if there is no fault.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func (f Faults) sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
