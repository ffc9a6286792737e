package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a settings or configuration file.
type Fault struct {
	File  string
	Line  int    // Line counts from 1; 0 means that no line of a file is to blame.
	Field string // Field is the path of the value, such as "Control.Voters[1].Address".
	Want  string // Want is what was expected.
	Got   string // Got is what was found.
}

// String returns the fault as "file:line: field: want ..., got ...". Parts that
// are not known are left out.
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

// Faults are all faults that one reading found, sorted by file and line. Faults
// is an error when it is not empty; see Err.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	li := make([]string, len(fs))
	for i, fa := range fs {
		li[i] = fa.String()
	}
	return strings.Join(li, "\n")
}

// Err returns the faults as an error, or nil when there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Sorted returns the faults in the order of file, line and field.
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
