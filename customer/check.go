package customer

import (
	"fmt"
	"math"
	"strings"
)

// maxRate bounds Quota.Rate and Quota.Burst, so that sums of quotas over a window stay exact
// enough and fit an integer.
const maxRate = 1e9

// Error is the first error found in a customer. It never contains an API key.
type Error struct {
	Name   string // name of the customer; may be empty, which is an error
	Field  string // field of Customer with the invalid value
	Detail string // what was expected and what was found
}

// Error returns the customer, the field and the detail in one line.
func (er *Error) Error() string {
	return fmt.Sprintf("customer %q: %s: %s", er.Name, er.Field, er.Detail)
}

// Label returns the name of the customer, or "(no name)" if it is empty.
func (er *Error) Label() string {
	if er.Name == "" {
		return "(no name)"
	}
	return er.Name
}

func (cu *Customer) invalid(field, detail string) error {
	return &Error{Name: cu.Name, Field: field, Detail: detail}
}

func (cu *Customer) check() error {
	if cu.Name == "" {
		return cu.invalid("Name", "want a name, got none")
	}
	if !isHeaderValue(cu.Name) {
		return cu.invalid("Name", "want a name that is valid as the value of a header: no control characters, no space at the beginning and the end")
	}
	for _, key := range cu.Keys {
		if key == "" {
			return cu.invalid("Keys", "want no empty key, got one")
		}
	}
	if !isRate(cu.Quota.Rate) {
		return cu.invalid("Rate", fmt.Sprintf("want 0 to %g, got %v", maxRate, cu.Quota.Rate))
	}
	if !isRate(cu.Quota.Burst) {
		return cu.invalid("Burst", fmt.Sprintf("want 0 to %g, got %v", maxRate, cu.Quota.Burst))
	}
	return nil
}

// isRate reports whether a rate or burst is valid; NaN is not.
func isRate(ra float64) bool { return !math.IsNaN(ra) && ra >= 0 && ra <= maxRate }

// isHeaderValue reports whether a header with the value reaches its receiver unchanged.
// Receivers remove spaces and tabs at both ends.
func isHeaderValue(st string) bool {
	if strings.Trim(st, " \t") != st {
		return false
	}
	for _, ch := range []byte(st) {
		if (ch < ' ' && ch != '\t') || ch == 0x7f {
			return false
		}
	}
	return true
}
