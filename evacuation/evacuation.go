// Package evacuation holds which data centres are evacuated: their backend servers get no
// requests until the evacuation is withdrawn. A Set is immutable; Orders change it in the
// order of a replicated log. The package keeps no disk, reads no clock and sends nothing.
package evacuation

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"balsamwinch.example/result"
)

const (
	// NameLimit is the longest name of a data centre in bytes.
	MaxNameLength = 64
	// mostDataCentres bounds the data centres that are evacuated at one time.
	mostDataCentres = 64
)

// Set is the evacuated data centres. The zero Set is that of a new group.
type Set struct {
	Revision    uint64   `cbor:"1,keyasint"`           // Revision grows by one with every change.
	DataCentres []string `cbor:"2,keyasint,omitempty"` // DataCentres are in order and never changed in place.
}

// Order evacuates a data centre or withdraws that.
type Change struct {
	DataCentre string `cbor:"1,keyasint"`
	Evacuate   bool   `cbor:"2,keyasint,omitempty"` // Evacuate is false for a withdrawal.
	// Base is the revision of the Set that the order is based on.
	BaseRevision uint64 `cbor:"3,keyasint,omitempty"`
}

// Outcome says what became of an order.
type Outcome uint8

// The outcomes of an order.
const (
	// InForce says that the Set is as the order wants it, by this order or an earlier one.
	InForce Outcome = iota
	// Stale says that the order changed nothing, since another one came between its base
	// and it.
	Stale
	// Full says that too many data centres are evacuated already.
	Full
)

// Has reports whether a data centre is evacuated.
func (st Set) Has(dataCentre string) bool {
	_, ok := slices.BinarySearch(st.DataCentres, dataCentre)
	return ok
}

// With returns the set after an order.
//
// A delayed order may arrive after the one that reversed it, and applied then would evacuate
// the data centre for good. So an order changes only the revision that it is based on.
func (st Set) Apply(or Change) (Set, Outcome) {
	at, has := slices.BinarySearch(st.DataCentres, or.DataCentre)
	switch {
	case has == or.Evacuate:
		return st, InForce
	case or.BaseRevision != st.Revision:
		return st, Stale
	case or.Evacuate && len(st.DataCentres) >= mostDataCentres:
		return st, Full
	}
	next := Set{Revision: st.Revision + 1, DataCentres: slices.Clone(st.DataCentres)}
	if or.Evacuate {
		next.DataCentres = slices.Insert(next.DataCentres, at, or.DataCentre)
	} else {
		next.DataCentres = slices.Delete(next.DataCentres, at, at+1)
	}
	return next, InForce
}

// Check returns an error if a text can't be the name of a data centre. It is a
// *result.Error with the code Invalid.
func CheckName(dataCentre string) error {
	fault := ""
	switch {
	case dataCentre == "":
		fault = "it is empty"
	case len(dataCentre) > MaxNameLength:
		fault = fmt.Sprintf("it has more than %d bytes", MaxNameLength)
	case !utf8.ValidString(dataCentre):
		fault = "it isn't UTF-8"
	case strings.ContainsFunc(dataCentre, func(ru rune) bool { return !unicode.IsGraphic(ru) || unicode.IsSpace(ru) || ru == '/' }):
		fault = "it has a space, a slash or a control character"
	default:
		return nil
	}
	return &result.Error{Code: result.Invalid, Op: "check name of data centre", Detail: fault}
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
