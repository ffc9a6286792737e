package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Checker validates decoded values and collects the faults found. A value that already has a
// fault gets no second one.
type Checker struct {
	locator Locator
	faults  Faults
}

// NewChecker returns a checker for the values of a tree. It starts with the faults found while
// decoding it.
func NewChecker(tr Tree, decoded Faults) *Checker {
	return &Checker{locator: tr.Locator(), faults: slices.Clone(decoded)}
}

// Faults returns all faults, sorted.
func (ck *Checker) Faults() Faults {
	return ck.faults.Sorted()
}

// Want records a fault of the value at the path if ok is false. Got is the checked value. If
// no file sets it, a zero value is reported as nothing and any other value as a default.
func (ck *Checker) Want(ok bool, want string, got any, path ...string) {
	if ok {
		return
	}
	te := fmt.Sprint(got)
	va := reflect.ValueOf(got)
	if va.Kind() == reflect.String {
		te = strconv.Quote(te)
	}
	if !ck.locator.Has(path...) && va.IsZero() {
		te = "nothing"
	} else if !ck.locator.Has(path...) {
		te += " by default"
	}
	ck.add(want, te, path)
}

func (ck *Checker) add(want, got string, path []string) {
	fa := ck.locator.Fault(want, got, path...)
	if !ck.hasFault(fa, path) {
		ck.faults = append(ck.faults, fa)
	}
}

// hasFault reports whether the value has a fault, or is absent because an enclosing value has
// one.
func (ck *Checker) hasFault(fa Fault, path []string) bool {
	absent := !ck.locator.Has(path...)
	return slices.ContainsFunc(ck.faults, func(ot Fault) bool {
		above := absent && strings.HasPrefix(fa.Field, ot.Field+".")
		return ot.File == fa.File && (ot.Field == fa.Field || above)
	})
}

// Between checks that a value lies between lo and hi, both included.
func Between[T cmp.Ordered](ck *Checker, va, lo, hi T, path ...string) {
	if va < lo || va > hi {
		ck.Want(false, fmt.Sprintf("a value from %v to %v", lo, hi), va, path...)
	}
}

// OneOf checks that a value is one of the allowed ones.
func OneOf[T ~string](ck *Checker, va T, allowed []T, path ...string) {
	if slices.Contains(allowed, va) {
		return
	}
	li := make([]string, len(allowed))
	for i, wo := range allowed {
		li[i] = string(wo)
	}
	ck.Want(false, "one of "+strings.Join(li, ", "), va, path...)
}

var nameSyntax = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Name checks the name of an instance, data centre, service or the like: lower-case letters,
// digits and hyphens, at most 63, like a label of a host name.
func (ck *Checker) Name(na string, path ...string) {
	ck.Want(nameSyntax.MatchString(na), "a name of small letters, digits and hyphens", na, path...)
}

// Address checks that a value is an IP address and a port. Callers and peers connect to this
// address, so two kinds are rejected: host names, whose resolution may change while a
// connection is open, and the unspecified address 0.0.0.0. Port 0 is accepted if anyPort is
// set; the kernel then chooses the port.
func (ck *Checker) Address(ad string, anyPort bool, path ...string) {
	ap, err := netip.ParseAddrPort(ad)
	ok := err == nil && !ap.Addr().IsUnspecified() && (anyPort || ap.Port() != 0)
	want := "an IP number and a port such as 10.1.2.3:7001"
	ck.Want(ok, want, ad, path...)
}

// Unique checks that no value occurs twice. Empty values are ignored. Paths holds the path of
// each value.
func (ck *Checker) Unique(kind string, values []string, paths [][]string) {
	first := make(map[string]int)
	for i, va := range values {
		if va == "" {
			continue
		}
		if j, ok := first[va]; ok {
			_, field, _ := ck.locator.tr.find(paths[j])
			ck.add("each "+kind+" once", strconv.Quote(va)+" as in "+field, paths[i])
			continue
		}
		first[va] = i
	}
}
