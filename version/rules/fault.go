package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is an error in a rules file, with its position and what is expected instead.
type Fault struct {
	File string
	// Line and Column are counted from one; columns are counted in characters.
	Line, Column int
	// Text describes the error; Want describes what is expected.
	Text, Want string
}

// Error returns the fault as one line that starts with "file:line:column:", as compilers print positions.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; want %s", f.File, f.Line, f.Column, f.Text, f.Want)
}

// Faults is the list of all faults of a file, in ascending order of line and column.
type Faults []Fault

// Error returns the faults, one per line.
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
