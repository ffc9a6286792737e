package registry

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a union together with the state that it must have.
type model struct {
	unionTest
	connected map[string]bool            // every source that isn't removed
	held      map[string]map[string]bool // ids in each source's catalog
	gone      map[string]bool
	draining  map[string]bool
	seen      []string // ids in the order in which they were first seen

	version uint64
	listed  map[string][]Server // last result of Servers, and before a copy of it
	before  map[string][]Server
}

var (
	modelIDs     = rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
	modelSources = rapid.SampledFrom([]string{"1", "2", "3"})
	modelAddress = map[string]string{"a": "x", "b": "x", "c": "x", "d": "y", "e": "y"}
)

func drawServer(t *rapid.T) Server {
	id := modelIDs.Draw(t, "id")
	se := withAddress(id, modelAddress[id], rapid.Uint64Range(1, 9).Draw(t, "sequence"))
	se.State = rapid.SampledFrom([]State{Ready, Ready, Ready, Draining, Gone}).Draw(t, "state")
	return se
}

// drawConnected returns a source that may send changes: after a disconnection the whole
// catalog comes first.
func (mo *model) drawConnected(t *rapid.T) string {
	source := modelSources.Draw(t, "source")
	if connected, known := mo.connected[source]; known && !connected {
		t.Skip("not connected")
	}
	return source
}

// record adds a source's record of a server to the model.
func (mo *model) record(source string, se Server) {
	if mo.connected[source] = true; mo.held[source] == nil {
		mo.held[source] = map[string]bool{}
	}
	if se.State == Gone {
		mo.gone[se.ID] = true
	}
	if mo.gone[se.ID] {
		return
	}
	mo.held[source][se.ID] = true
	mo.draining[se.ID] = mo.draining[se.ID] || se.State == Draining
	if !slices.Contains(mo.seen, se.ID) {
		mo.seen = append(mo.seen, se.ID)
	}
}

func (mo *model) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"replace": func(t *rapid.T) {
			source := modelSources.Draw(t, "source")
			ses := rapid.SliceOfN(rapid.Custom(drawServer), 0, 5).Draw(t, "servers")
			replace(source, ses...)(&mo.unionTest)
			mo.connected[source], mo.held[source] = true, map[string]bool{}
			for _, se := range ses {
				mo.record(source, se)
			}
		},
		"announce": func(t *rapid.T) {
			source, se := mo.drawConnected(t), drawServer(t)
			announce(source, se)(&mo.unionTest)
			mo.record(source, se)
		},
		"drop": func(t *rapid.T) {
			source, id := mo.drawConnected(t), modelIDs.Draw(t, "id")
			drop(source, id)(&mo.unionTest)
			mo.connected[source] = true
			delete(mo.held[source], id)
		},
		"disconnect": func(t *rapid.T) {
			source := modelSources.Draw(t, "source")
			disconnect(source)(&mo.unionTest)
			if _, ok := mo.connected[source]; ok {
				mo.connected[source] = false
			}
		},
		"forget": func(t *rapid.T) {
			source := modelSources.Draw(t, "source")
			removeSource(source)(&mo.unionTest)
			delete(mo.connected, source)
			delete(mo.held, source)
		},
		"mark gone": func(t *rapid.T) {
			id := modelIDs.Draw(t, "id")
			markGone(id)(&mo.unionTest)
			mo.gone[id] = true
		},
		"wait": func(t *rapid.T) {
			wait(time.Duration(rapid.IntRange(1, 25).Draw(t, "ticks")) * tick)(&mo.unionTest)
		},
		"suspend": func(t *rapid.T) {
			suspend(time.Duration(rapid.IntRange(2, 9).Draw(t, "seconds")) * time.Second)(&mo.unionTest)
		},
		"": mo.check,
	}
}

// check verifies the invariants after each step.
func (mo *model) check(t *rapid.T) {
	listed := mo.un.Servers()
	if !reflect.DeepEqual(mo.listed, mo.before) {
		t.Fatalf("a published map was changed: %v to %v", mo.before, mo.listed)
	}
	if changed := !reflect.DeepEqual(listed, mo.before); changed != (mo.un.Version() > mo.version) || mo.un.Version() < mo.version {
		t.Fatalf("version %d after %d, %v after %v", mo.un.Version(), mo.version, listed, mo.before)
	}
	mo.listed, mo.before, mo.version = listed, copyOf(listed), mo.un.Version()
	byAddress := map[string]string{}
	for service, ses := range listed {
		mo.checkService(t, service, ses)
		for _, se := range ses {
			if other, ok := byAddress[se.Address]; ok {
				t.Fatalf("%s and %s are listed at one address", other, se.ID)
			}
			byAddress[se.Address] = se.ID
		}
	}
	for id, address := range modelAddress {
		newest := mo.newest(address)
		if id == newest && mo.heldAndNeverSuperseded(id) && byAddress[address] != id {
			t.Fatalf("%s is held and the newest at its address, %q is listed there", id, byAddress[address])
		}
	}
	mo.checkConsistency(t)
}

func (mo *model) checkService(t *rapid.T, service string, ses []Server) {
	if service != "s" || len(ses) == 0 {
		t.Fatalf("service %q has %v", service, ses)
	}
	for ix, se := range ses {
		switch {
		case mo.gone[se.ID]:
			t.Fatalf("%s is Gone and listed", se.ID)
		case mo.draining[se.ID] != (se.State == Draining):
			t.Fatalf("%s is listed as %v, Draining is %v", se.ID, se.State, mo.draining[se.ID])
		case ix > 0 && ses[ix-1].ID >= se.ID:
			t.Fatalf("not sorted: %v", ses)
		case se.Address != modelAddress[se.ID]:
			t.Fatalf("%s has address %q", se.ID, se.Address)
		}
	}
}

// newest returns the id at an address that isn't Gone and was first seen last.
func (mo *model) newest(address string) string {
	for _, id := range slices.Backward(mo.seen) {
		if modelAddress[id] == address && !mo.gone[id] {
			return id
		}
	}
	return ""
}

// heldAndNeverSuperseded reports whether a connected source holds an id that was never
// superseded and so can't be Gone for that reason.
func (mo *model) heldAndNeverSuperseded(id string) bool {
	if mo.superseded(id) {
		return false
	}
	for source, connected := range mo.connected {
		if connected && mo.held[source][id] {
			return true
		}
	}
	return false
}

// superseded reports whether a newer id was ever seen at the id's address.
func (mo *model) superseded(id string) bool {
	ix := slices.Index(mo.seen, id)
	return ix < 0 || slices.ContainsFunc(mo.seen[ix+1:], func(other string) bool {
		return modelAddress[other] == modelAddress[id]
	})
}

// checkConsistency verifies that the indexes of the union are consistent.
func (mo *model) checkConsistency(t *rapid.T) {
	un := mo.un
	atAddresses, listed := 0, 0
	for _, its := range un.byAddress {
		atAddresses += len(its)
	}
	for _, gr := range un.byService {
		listed += len(gr)
	}
	if atAddresses != len(un.items) || listed > len(un.byAddress) || len(un.dirtyServices) != 0 || len(un.dirtyAddresses) != 0 || un.changed {
		t.Fatalf("%d items, %d at %d addresses, %d listed, %d dirty services, changed %v", len(un.items), atAddresses, len(un.byAddress), listed, len(un.dirtyServices), un.changed)
	}
	for name, so := range un.sources {
		for id, it := range so.held {
			if _, ok := it.sources[so]; !ok || un.items[id] != it {
				t.Fatalf("source %s holds %s, the item differs", name, id)
			}
		}
	}
	for id := range un.items {
		if _, ok := un.past.get(id); ok {
			t.Fatalf("%s is an item and past", id)
		}
	}
}

// Drives a union with random operations of sources, in any order, and compares it with
// the model.
func TestUnionMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mo := &model{
			unionTest: *newUnionTest(), connected: map[string]bool{}, held: map[string]map[string]bool{},
			gone: map[string]bool{}, draining: map[string]bool{},
			listed: map[string][]Server{}, before: map[string][]Server{},
		}
		t.Repeat(mo.steps())
	})
}

// Guards against a union that depends on the order of messages. Several sources differ
// about the same servers, each at its own address. Whatever the order of the catalogs,
// sent as a whole or as changes, the union must be the same.
func TestUnionIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		catalogs := map[string][]Server{}
		for ix := range 4 {
			var ses []Server
			for _, id := range slices.Sorted(maps.Keys(modelAddress)) {
				if rapid.Bool().Draw(t, "held") {
					se := ready(id, rapid.Uint64Range(1, 5).Draw(t, "sequence"))
					se.Slots = int(se.Sequence)
					se.State = rapid.SampledFrom([]State{Ready, Ready, Ready, Draining, Gone}).Draw(t, "state")
					ses = append(ses, se)
				}
			}
			catalogs[fmt.Sprint(ix)] = ses
		}
		names := slices.Sorted(maps.Keys(catalogs))
		var want map[string][]Server
		for range 4 {
			ut := newUnionTest()
			for _, name := range rapid.Permutation(names).Draw(t, "order") {
				apply := rapid.SampledFrom([]func(string, ...Server) step{replace, announce}).Draw(t, "tell")
				apply(name, rapid.Permutation(catalogs[name]).Draw(t, "servers")...)(ut)
			}
			wait(2 * testRetention)(ut)
			got := ut.un.Servers()
			if want == nil {
				want = got
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		}
	})
}
