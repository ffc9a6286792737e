package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is an error in a settings or configuration file.
type Fault struct {
	File  string
	Line  int    // line number from 1; 0 if the fault is not in a line of a file
	Field string // path of the value, such as "Control.Voters[1].Address"
	Want  string // what was expected
	Got   string // what was found
}

// String formats the fault as "file:line: field: want ..., got ...". Unknown parts are
// omitted.
func (fa Fault) String() string {
	var sb strings.Builder
	sb.WriteString(fa.File)
	if fa.Line > 0 {
		fmt.Fprintf(&sb, ":%d", fa.Line)
	}
	if sb.Len() > 0 {
		sb.WriteString(": ")
	}
	if fa.Field != "" {
		sb.WriteString(fa.Field + ": ")
	}
	fmt.Fprintf(&sb, "want %s, got %s", fa.Want, fa.Got)
	return sb.String()
}

// Faults are all faults found while reading, sorted by file and line. As an error it must not
// be empty; see Err.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	li := make([]string, len(fs))
	for i, fa := range fs {
		li[i] = fa.String()
	}
	return strings.Join(li, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Sorted returns the faults sorted by file, line and field.
func (fs Faults) Sorted() Faults {
	so := slices.Clone(fs)
	slices.SortStableFunc(so, func(aa, bb Fault) int {
		return cmp.Or(
			cmp.Compare(aa.File, bb.File),
			cmp.Compare(aa.Line, bb.Line),
			cmp.Compare(aa.Field, bb.Field),
		)
	})
	return so
}
