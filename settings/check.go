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

// Checker collects the faults that checks of decoded values find. A value that
// has a fault already gets no second one.
type Checker struct {
	lo     Locator
	faults Faults
}

// NewChecker returns a checker of the values of a tree, with the faults found
// by decoding it.
func NewChecker(tr Tree, decoded Faults) *Checker {
	return &Checker{lo: tr.Locator(), faults: slices.Clone(decoded)}
}

// Faults returns all faults in order.
func (ck *Checker) Faults() Faults {
	return ck.faults.Sorted()
}

// Want adds a fault of the value at the path unless ok holds. Got is the value
// that was checked; if no file names it, a zero value counts as nothing and any
// other as a default.
func (ck *Checker) Want(ok bool, want string, got any, path ...string) {
	if ok {
		return
	}
	te := fmt.Sprint(got)
	va := reflect.ValueOf(got)
	if va.Kind() == reflect.String {
		te = strconv.Quote(te)
	}
	if !ck.lo.Has(path...) && va.IsZero() {
		te = "nothing"
	} else if !ck.lo.Has(path...) {
		te += " by default"
	}
	ck.add(want, te, path)
}

func (ck *Checker) add(want, got string, path []string) {
	fa := ck.lo.Fault(want, got, path...)
	if !ck.faulty(fa, path) {
		ck.faults = append(ck.faults, fa)
	}
}

// faulty reports whether the value has a fault, or is absent because a value
// above it has one.
func (ck *Checker) faulty(fa Fault, path []string) bool {
	absent := !ck.lo.Has(path...)
	return slices.ContainsFunc(ck.faults, func(ot Fault) bool {
		above := absent && strings.HasPrefix(fa.Field, ot.Field+".")
		return ot.File == fa.File && (ot.Field == fa.Field || above)
	})
}

// Between wants a value from lo to hi.
func Between[T cmp.Ordered](ck *Checker, va, lo, hi T, path ...string) {
	if va < lo || va > hi {
		ck.Want(false, fmt.Sprintf("a value from %v to %v", lo, hi), va, path...)
	}
}

// OneOf wants one of the given words.
func OneOf[T ~string](ck *Checker, va T, words []T, path ...string) {
	if slices.Contains(words, va) {
		return
	}
	li := make([]string, len(words))
	for i, wo := range words {
		li[i] = string(wo)
	}
	ck.Want(false, "one of "+strings.Join(li, ", "), va, path...)
}

var nameSyntax = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Name wants a name of an instance, data centre, service or the like: small
// letters, digits and hyphens, at most 63, as a host name's label.
func (ck *Checker) Name(na string, path ...string) {
	ck.Want(nameSyntax.MatchString(na), "a name of small letters, digits and hyphens", na, path...)
}

// Address wants an IP number and a port. Callers and peers connect to what is
// written here, so a host name, whose answer may change under an open
// connection, and the unspecified address 0.0.0.0 are refused. The port may be
// 0 if the kernel may choose it.
func (ck *Checker) Address(ad string, anyPort bool, path ...string) {
	ap, err := netip.ParseAddrPort(ad)
	ok := err == nil && !ap.Addr().IsUnspecified() && (anyPort || ap.Port() != 0)
	want := "an IP number and a port such as 10.1.2.3:7001"
	ck.Want(ok, want, ad, path...)
}

// Unique wants each of the values to differ from those before it. Empty values
// are passed over; paths holds the path of each value.
func (ck *Checker) Unique(what string, values []string, paths [][]string) {
	first := make(map[string]int)
	for i, va := range values {
		if va == "" {
			continue
		}
		if j, ok := first[va]; ok {
			_, field, _ := ck.lo.tr.find(paths[j])
			ck.add("each "+what+" once", strconv.Quote(va)+" as in "+field, paths[i])
			continue
		}
		first[va] = i
	}
}
