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

// model is a union with what must hold of it.
type model struct {
	world
	connected map[string]bool            // connected has each source that isn't forgotten.
	held      map[string]map[string]bool // held holds the ids in each source's book.
	gone      map[string]bool
	draining  map[string]bool
	heard     []string // heard holds the ids in the order of first hearing.

	version uint64
	listed  map[string][]Server // listed is the last result of Servers, and before a copy of it.
	before  map[string][]Server
}

var (
	modelIDs     = rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
	modelSources = rapid.SampledFrom([]string{"1", "2", "3"})
	modelAddress = map[string]string{"a": "x", "b": "x", "c": "x", "d": "y", "e": "y"}
)

func drawServer(t *rapid.T) Server {
	id := modelIDs.Draw(t, "id")
	se := at(id, modelAddress[id], rapid.Uint64Range(1, 9).Draw(t, "sequence"))
	se.State = rapid.SampledFrom([]State{Ready, Ready, Ready, Draining, Gone}).Draw(t, "state")
	return se
}

// drawConnected returns a source that may send changes: after a disconnection
// the whole book comes first.
func (mo *model) drawConnected(t *rapid.T) string {
	source := modelSources.Draw(t, "source")
	if connected, known := mo.connected[source]; known && !connected {
		t.Skip("not connected")
	}
	return source
}

// say takes into the model what a source says of a server.
func (mo *model) say(source string, se Server) {
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
	if !slices.Contains(mo.heard, se.ID) {
		mo.heard = append(mo.heard, se.ID)
	}
}

func (mo *model) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"replace": func(t *rapid.T) {
			source := modelSources.Draw(t, "source")
			ses := rapid.SliceOfN(rapid.Custom(drawServer), 0, 5).Draw(t, "servers")
			replace(source, ses...)(&mo.world)
			mo.connected[source], mo.held[source] = true, map[string]bool{}
			for _, se := range ses {
				mo.say(source, se)
			}
		},
		"announce": func(t *rapid.T) {
			source, se := mo.drawConnected(t), drawServer(t)
			announce(source, se)(&mo.world)
			mo.say(source, se)
		},
		"drop": func(t *rapid.T) {
			source, id := mo.drawConnected(t), modelIDs.Draw(t, "id")
			drop(source, id)(&mo.world)
			mo.connected[source] = true
			delete(mo.held[source], id)
		},
		"disconnect": func(t *rapid.T) {
			source := modelSources.Draw(t, "source")
			disconnect(source)(&mo.world)
			if _, ok := mo.connected[source]; ok {
				mo.connected[source] = false
			}
		},
		"forget": func(t *rapid.T) {
			source := modelSources.Draw(t, "source")
			forget(source)(&mo.world)
			delete(mo.connected, source)
			delete(mo.held, source)
		},
		"mark gone": func(t *rapid.T) {
			id := modelIDs.Draw(t, "id")
			markGone(id)(&mo.world)
			mo.gone[id] = true
		},
		"wait": func(t *rapid.T) {
			wait(time.Duration(rapid.IntRange(1, 25).Draw(t, "ticks")) * tick)(&mo.world)
		},
		"suspend": func(t *rapid.T) {
			suspend(time.Duration(rapid.IntRange(2, 9).Draw(t, "seconds")) * time.Second)(&mo.world)
		},
		"": mo.check,
	}
}

// check demands what must hold after each step.
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
		if id == newest && mo.heldNow(id) && byAddress[address] != id {
			t.Fatalf("%s is held and the newest at its address, %q is listed there", id, byAddress[address])
		}
	}
	mo.checkSizes(t)
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

// newest returns the id that isn't Gone and was first heard of last at an address.
func (mo *model) newest(address string) string {
	for _, id := range slices.Backward(mo.heard) {
		if modelAddress[id] == address && !mo.gone[id] {
			return id
		}
	}
	return ""
}

// heldNow reports whether a connected source holds an id now that was never
// superseded, so that it can't be Gone for that.
func (mo *model) heldNow(id string) bool {
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

// superseded reports whether a newer id was ever heard of at the id's address.
func (mo *model) superseded(id string) bool {
	ix := slices.Index(mo.heard, id)
	return ix < 0 || slices.ContainsFunc(mo.heard[ix+1:], func(other string) bool {
		return modelAddress[other] == modelAddress[id]
	})
}

// checkSizes demands that the parts of the union agree on what there is.
func (mo *model) checkSizes(t *rapid.T) {
	un := mo.un
	spots, groups := 0, 0
	for _, its := range un.spots {
		spots += len(its)
	}
	for _, gr := range un.groups {
		groups += len(gr)
	}
	if spots != len(un.items) || groups > len(un.spots) || len(un.dirty) != 0 || len(un.touched) != 0 || un.changed {
		t.Fatalf("%d items, %d in %d spots, %d listed, %d dirty, changed %v", len(un.items), spots, len(un.spots), groups, len(un.dirty), un.changed)
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

// TestUnionHolds drives a union with all that sources may say, in any order.
func TestUnionHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mo := &model{
			world: *newWorld(), connected: map[string]bool{}, held: map[string]map[string]bool{},
			gone: map[string]bool{}, draining: map[string]bool{},
			listed: map[string][]Server{}, before: map[string][]Server{},
		}
		t.Repeat(mo.steps())
	})
}

// TestUnionOrder has several sources that say different things of the same
// servers, each at an address of its own. Whatever the order in which the books
// come, and whether as a whole or in changes, the union must be the same.
func TestUnionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := map[string][]Server{}
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
			books[fmt.Sprint(ix)] = ses
		}
		names := slices.Sorted(maps.Keys(books))
		var want map[string][]Server
		for range 4 {
			wo := newWorld()
			for _, name := range rapid.Permutation(names).Draw(t, "order") {
				tell := rapid.SampledFrom([]func(string, ...Server) step{replace, announce}).Draw(t, "tell")
				tell(name, rapid.Permutation(books[name]).Draw(t, "servers")...)(wo)
			}
			wait(2 * hold)(wo)
			got := wo.un.Servers()
			if want == nil {
				want = got
			}
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		}
	})
}
