package customer

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// The index derived from changes must equal one built from the whole list, find no removed
// key or name, and leave the index that it was derived from unchanged: requests in flight
// still use that one.
func TestNextEqualsNew(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nameGen, keyGen := rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.SampledFrom([]string{"1", "2", "3", "4", "5"})
		listGen := rapid.SliceOfNDistinct(rapid.Custom(func(rt *rapid.T) Customer {
			return Customer{Name: nameGen.Draw(rt, "name"), Keys: rapid.SliceOfN(keyGen, 0, 2).Draw(rt, "keys"), Priority: rapid.IntRange(0, 1).Draw(rt, "priority")}
		}), 0, 4, func(cu Customer) string { return cu.Name })
		was, ix := []Customer{}, &Index{}
		for range 5 {
			cus := listGen.Draw(rt, "customers")
			before := contents(ix)
			removed, added := changes(was, cus)
			next, err := ix.Next(removed, added)
			whole, wholeErr := New(cus)
			if contents(ix) != before {
				rt.Fatalf("the earlier index changed")
			}
			if (err == nil) != (wholeErr == nil) {
				rt.Fatalf("got error %v, want %v", err, wholeErr)
			}
			if err != nil {
				continue
			}
			if contents(next) != contents(whole) || next.Len() != len(cus) {
				rt.Fatalf("got %s\nwant %s", contents(next), contents(whole))
			}
			was, ix = cus, next
		}
	})
}

// changes returns the names of customers that are gone or changed, and the customers that
// are new or changed.
func changes(was, cus []Customer) (removed []string, added []Customer) {
	same := func(a, b Customer) bool {
		return a.Name == b.Name && slices.Equal(a.Keys, b.Keys) && a.Priority == b.Priority
	}
	for _, cu := range was {
		if !slices.ContainsFunc(cus, func(other Customer) bool { return same(cu, other) }) {
			removed = append(removed, cu.Name)
		}
	}
	for _, cu := range cus {
		if !slices.ContainsFunc(was, func(other Customer) bool { return same(cu, other) }) {
			added = append(added, cu)
		}
	}
	return removed, added
}

// contents returns what an index finds for each name and key of the test.
func contents(ix *Index) string {
	found := make(map[string]string)
	for cu := range ix.All() {
		found["all "+cu.Name] = fmt.Sprint(cu.Priority, len(cu.Keys))
	}
	for _, na := range []string{"a", "b", "c", "d"} {
		if cu, ok := ix.ByName(na); ok {
			found["name "+na] = fmt.Sprint(cu.Name, cu.Priority)
		}
	}
	for _, key := range []string{"1", "2", "3", "4", "5"} {
		if cu, ok := ix.ByKey(key); ok {
			found["key "+key] = fmt.Sprint(cu.Name, cu.Priority)
		}
	}
	return fmt.Sprint(len(found), slices.Sorted(maps.Keys(found)), found)
}

// Two customers with one key would each be taken for the other, also if only one of them
// is new. A key may move from one customer to another in one version.
func TestNextRefusesSharedKey(t *testing.T) {
	c := qt.New(t)
	ix, err := New([]Customer{{Name: "linda", Keys: []string{"sk-1", "sk-1"}}, {Name: "otter"}})
	c.Assert(err, qt.IsNil)
	_, err = ix.Next(nil, []Customer{{Name: "heron", Keys: []string{"sk-1"}}})
	c.Assert(err, qt.ErrorMatches, `customer "heron": Keys: .*"linda"`)
	_, err = ix.Next([]string{"otter"}, []Customer{{Name: "otter", Keys: []string{"sk-1"}}})
	c.Assert(err, qt.ErrorMatches, `customer "otter": Keys: .*"linda"`)
	_, err = ix.Next(nil, []Customer{{Name: "linda"}})
	c.Assert(err, qt.ErrorMatches, `customer "linda": Name: .*`)

	next, err := ix.Next([]string{"linda", "otter", "unknown"}, []Customer{{Name: "otter", Keys: []string{"sk-1"}}, {Name: "linda"}})
	c.Assert(err, qt.IsNil)
	cu, ok := next.ByKey("sk-1")
	c.Assert(ok, qt.IsTrue)
	c.Assert(cu.Name, qt.Equals, "otter")
}

// Values that are not finite can be written in YAML and would pass a comparison with a bound.
func TestInvalidQuota(t *testing.T) {
	for _, va := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1.0000001e9} {
		_, err := New([]Customer{{Name: "linda", Quota: Quota{Rate: va}}})
		qt.Check(t, err, qt.ErrorMatches, `customer "linda": Rate: .*`)
		_, err = New([]Customer{{Name: "linda", Quota: Quota{Burst: va}}})
		qt.Check(t, err, qt.ErrorMatches, `customer "linda": Burst: .*`)
	}
	_, err := New([]Customer{{Name: "linda", Quota: Quota{Rate: 1e9, Burst: 1e9}}})
	qt.Check(t, err, qt.IsNil)
}

// A customer that is printed or encoded whole, by mistake, must not reveal its keys.
func TestCustomerPrintsNoKey(t *testing.T) {
	cu := Customer{Name: "linda", Keys: []string{"sk-1"}}
	data, err := json.Marshal(map[string]any{"a": cu, "b": &cu})
	qt.Assert(t, err, qt.IsNil)
	text := string(data) + fmt.Sprintf("%v %+v %#v %s %q %x %v %+v %#v %v", cu, cu, cu, cu, cu, cu, &cu, &cu, &cu, []*Customer{&cu})
	qt.Check(t, strings.Contains(text, "sk-"), qt.IsFalse, qt.Commentf(text))
	qt.Check(t, strings.Contains(text, "linda"), qt.IsTrue)
}

// sizes are the numbers of customers for benchmarks.
var sizes = []int{86, 10_000, 100_000}

func manyCustomers(count int) []Customer {
	cus := make([]Customer, count)
	for ix := range cus {
		cus[ix] = Customer{Name: fmt.Sprint("customer-", ix), Keys: []string{fmt.Sprintf("sk-%032d", ix)}}
	}
	return cus
}

// BenchmarkByKey measures one lookup of a valid key.
func BenchmarkByKey(be *testing.B) {
	for _, size := range sizes {
		be.Run(fmt.Sprint(size), func(be *testing.B) {
			cus := manyCustomers(size)
			ix, err := New(cus)
			qt.Assert(be, err, qt.IsNil)
			be.ReportAllocs()
			for at := 0; be.Loop(); at++ {
				if _, ok := ix.ByKey(cus[at%size].Keys[0]); !ok {
					be.Fatal("not found")
				}
			}
		})
	}
}

// BenchmarkNew measures the first version of a configuration.
func BenchmarkNew(be *testing.B) {
	for _, size := range sizes {
		be.Run(fmt.Sprint(size), func(be *testing.B) {
			cus := manyCustomers(size)
			be.ReportAllocs()
			for be.Loop() {
				if _, err := New(cus); err != nil {
					be.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkNext measures a version that changes one key.
func BenchmarkNext(be *testing.B) {
	for _, size := range sizes {
		be.Run(fmt.Sprint(size), func(be *testing.B) {
			cus := manyCustomers(size)
			ix, err := New(cus)
			qt.Assert(be, err, qt.IsNil)
			cu := cus[size/2]
			be.ReportAllocs()
			for at := 0; be.Loop(); at++ {
				cu.Keys = []string{fmt.Sprint("sk-", at)}
				if ix, err = ix.Next([]string{cu.Name}, []Customer{cu}); err != nil {
					be.Fatal(err)
				}
			}
		})
	}
}
