// Package evacuation holds which data centres are evacuated: their backend servers get no
// requests until the evacuation is withdrawn. A Set is immutable; Changes are applied to it
// in the order of a replicated log. The package does no I/O and reads no clock.
package evacuation

import (
	"fmt"
	"slices"
	"strings"
	"unicode"

	"balsamwinch.example/identifier"
	"balsamwinch.example/result"
)

const (
	// MaxNameLength is the maximum length of a data centre's name in bytes.
	MaxNameLength = 64
	// maxDataCentres bounds the data centres that are evacuated at the same time.
	maxDataCentres = 64
)

// Set is the set of evacuated data centres. The zero Set is that of a new group.
type Set struct {
	Revision    uint64   `cbor:"1,keyasint"`           // Revision grows by one with every change.
	DataCentres []string `cbor:"2,keyasint,omitempty"` // DataCentres is sorted and never changed in place.
}

// Change evacuates a data centre or withdraws its evacuation.
type Change struct {
	DataCentre string `cbor:"1,keyasint"`
	Evacuate   bool   `cbor:"2,keyasint,omitempty"` // Evacuate is false for a withdrawal.
	// BaseRevision is the revision of the Set that the change is based on.
	BaseRevision uint64 `cbor:"3,keyasint,omitempty"`
}

// Outcome is the result of applying a Change.
type Outcome uint8

// The outcomes of a change.
const (
	// InForce means that the Set is as the change wants it, by this change or an earlier
	// one.
	InForce Outcome = iota
	// Stale means that the change had no effect, because the Set was not at its base
	// revision.
	Stale
	// Full means that too many data centres are evacuated already.
	Full
)

// Has reports whether a data centre is evacuated.
func (st Set) Has(dataCentre string) bool {
	_, ok := slices.BinarySearch(st.DataCentres, dataCentre)
	return ok
}

// Apply returns the set after a change.
//
// A delayed change may arrive after the one that reversed it, and if it were applied then,
// the data centre would stay evacuated. So a change applies only to the revision that it is
// based on.
func (st Set) Apply(ch Change) (Set, Outcome) {
	at, has := slices.BinarySearch(st.DataCentres, ch.DataCentre)
	switch {
	case has == ch.Evacuate:
		return st, InForce
	case ch.BaseRevision != st.Revision:
		return st, Stale
	case ch.Evacuate && len(st.DataCentres) >= maxDataCentres:
		return st, Full
	}
	next := Set{Revision: st.Revision + 1, DataCentres: slices.Clone(st.DataCentres)}
	if ch.Evacuate {
		next.DataCentres = slices.Insert(next.DataCentres, at, ch.DataCentre)
	} else {
		next.DataCentres = slices.Delete(next.DataCentres, at, at+1)
	}
	return next, InForce
}

// CheckName returns an error if a text can't be the name of a data centre. The error is a
// *result.Error with the code Invalid.
func CheckName(name string) error {
	detail := ""
	err := identifier.Check("Name", name)
	switch {
	case err != nil:
		detail = err.Error()
	case len(name) > MaxNameLength:
		detail = fmt.Sprintf("it has more than %d bytes", MaxNameLength)
	case strings.ContainsFunc(name, func(ru rune) bool { return unicode.IsSpace(ru) || ru == '/' }):
		detail = "it has a space or a slash"
	default:
		return nil
	}
	return &result.Error{Code: result.Invalid, Op: "check name of data centre", Detail: detail}
}

// String returns the name of the outcome.
func (ou Outcome) String() string {
	switch ou {
	case InForce:
		return "InForce"
	case Stale:
		return "Stale"
	case Full:
		return "Full"
	default:
		return fmt.Sprintf("Outcome(%d)", uint8(ou))
	}
}
