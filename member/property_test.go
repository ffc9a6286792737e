package member

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamwinch.example/backend"
	"balsamwinch.example/peer"
)

// Four instances receive the announcements of two servers over a network that
// loses, duplicates and reorders messages; old announcements arrive late and
// instances restart. No instance may go back to an older entry or list an
// incarnation that it knows to have left. Once the network is reliable again, all
// must list the last announced state of each server.
func TestConvergesOnUnreliableNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(4, rapid.Uint64().Draw(t, "seed"))
		cm := &convergenceModel{cluster: cl, announced: map[string][]backend.Record{}, seen: map[string]map[string]version{}}
		t.Repeat(map[string]func(*rapid.T){
			"announce": cm.announceNew,
			"late":     cm.announceStale,
			"packet":   cm.movePacket,
			"tick": func(t *rapid.T) {
				cl.now = cl.now.Add(tickInterval / 4)
				cl.step(rapid.SampledFrom(cl.names).Draw(t, "name"), Tick{Now: cl.now})
			},
			"restart": func(t *rapid.T) {
				name := rapid.SampledFrom(cl.names).Draw(t, "name")
				cl.start(name, cl.states[name].self.Incarnation+1)
				cl.grantAll()
				delete(cm.seen, name)
			},
			"": cm.checkInvariants,
		})
		for range 12 {
			for _, records := range cm.announced {
				cl.announce("b0", records[len(records)-1])
			}
			cl.ticks(2)
			cm.checkInvariants(t)
		}
		if !cl.converged() {
			t.Fatalf("tables differ")
		}
		for server, records := range cm.announced {
			want := records[len(records)-1].State
			if want == backend.Left {
				want = ""
			}
			if got := cl.listedStates(server); !slices.Equal(got, []backend.State{want}) {
				t.Fatalf("%s is listed as %q, want %q", server, got, want)
			}
		}
	})
}

// convergenceModel is a cluster with the records that its servers announced and the
// versions that its instances had, by instance and key.
type convergenceModel struct {
	*cluster
	announced map[string][]backend.Record
	seen      map[string]map[string]version
}

// announceNew lets a server announce a new record to any instance.
func (cm *convergenceModel) announceNew(t *rapid.T) {
	server := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "server")
	re := record(server, 1, 1, backend.Serving)
	if records := cm.announced[server]; len(records) > 0 {
		re = records[len(records)-1]
		re.Sequence++
		re.State = rapid.SampledFrom([]backend.State{backend.Serving, backend.Draining, backend.Left}).Draw(t, "state")
		if records[len(records)-1].State == backend.Left || rapid.Bool().Draw(t, "restart") {
			re = record(server, re.Incarnation+1, 1, backend.Cold)
		}
	}
	cm.announced[server] = append(cm.announced[server], re)
	cm.step(rapid.SampledFrom(cm.names).Draw(t, "at"), Announced{Now: cm.now, Record: re})
}

// announceStale repeats any earlier announcement, or lets a process that announced
// that it left go on announcing itself.
func (cm *convergenceModel) announceStale(t *rapid.T) {
	records := slices.Concat(cm.announced["s"], cm.announced["t"])
	if len(records) == 0 {
		t.Skip("no announcements yet")
	}
	re := rapid.SampledFrom(records).Draw(t, "record")
	if re.State == backend.Left && rapid.Bool().Draw(t, "keeps announcing") {
		re.Sequence += 100
		re.State = backend.Serving
	}
	cm.step(rapid.SampledFrom(cm.names).Draw(t, "at"), Announced{Now: cm.now, Record: re})
}

// movePacket delivers, duplicates or loses any message in flight.
func (cm *convergenceModel) movePacket(t *rapid.T) {
	if len(cm.inFlight) == 0 {
		t.Skip("no messages in flight")
	}
	ix := rapid.IntRange(0, len(cm.inFlight)-1).Draw(t, "packet")
	pk := cm.inFlight[ix]
	outcome := rapid.SampledFrom([]string{"deliver", "duplicate", "lose"}).Draw(t, "outcome")
	if outcome != "duplicate" {
		cm.inFlight = slices.Delete(slices.Clone(cm.inFlight), ix, ix+1)
	}
	if outcome != "lose" {
		cm.step(pk.to, Received{Now: cm.now, From: pk.from, Message: pk.ms})
	}
}

func (cm *convergenceModel) checkInvariants(t *rapid.T) {
	for _, name := range cm.names {
		seen := cm.seen[name]
		if seen == nil {
			seen = make(map[string]version)
			cm.seen[name] = seen
		}
		cm.states[name].table.each(func(it *item) {
			old, ok := seen[it.key]
			if ok && it.version.compare(old) < 0 {
				t.Fatalf("%s went back from %+v to %+v of %s", name, old, it.version, it.key)
			}
			if ok && old.status == statusLeft && it.version.incarnation == old.incarnation && it.listed {
				t.Fatalf("%s lists %s, which has left", name, it.key)
			}
			seen[it.key] = it.version
		})
	}
}

// The table must match a map, and its shape and checksums must match a table that
// was built from the same items at once.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ta, model := emptyTable, map[uint64]item{}
		// Few hashes that share their first bits, so that nodes split and merge.
		hashes := rapid.Uint64Range(0, 200)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				hash := hashes.Draw(t, "hash") << 48
				it := item{entry: &entry{hash: hash, sum: rapid.Uint64().Draw(t, "sum")}}
				ta, model[hash] = ta.with(it), it
			},
			"remove": func(t *rapid.T) {
				hash := hashes.Draw(t, "hash") << 48
				ta = ta.without(hash)
				delete(model, hash)
			},
			"": func(t *rapid.T) {
				var items []item
				ta.each(func(it *item) { items = append(items, *it) })
				if !sameShape(ta, build(items, 0)) || len(items) != len(model) {
					t.Fatalf("shape depends on the order of changes")
				}
				for hash, it := range model {
					if got, ok := ta.get(hash); !ok || got != it {
						t.Fatalf("%x is %v, want %v", hash, got, it)
					}
				}
				pa := path{}.child(0).child(int(hashes.Draw(t, "child")) % tableFanout)
				if got := ta.subtable(pa).sum; got != newLeaf(newLeaf(items).itemsUnder(pa)).sum {
					t.Fatalf("sum under %+v is %x", pa, got)
				}
			},
		})
	})
}

func sameShape(aa, bb *table) bool {
	if aa.count != bb.count || aa.sum != bb.sum || (aa.children == nil) != (bb.children == nil) || !slices.Equal(aa.items, bb.items) {
		return false
	}
	for ix := 0; aa.children != nil && ix < tableFanout; ix++ {
		if !sameShape(aa.childAt(ix), bb.childAt(ix)) {
			return false
		}
	}
	return true
}

// Encodes and decodes a record with every field set. A field that is added to
// backend.Record but not to Record would be missing on all instances except the
// owner.
func TestEntryRoundTrip(t *testing.T) {
	c := qt.New(t)
	var re backend.Record
	setNonZero(reflect.ValueOf(&re).Elem())
	sp := &step{State: New(instance("a", 1), 1, newCluster(1, 1).now)}
	co := peer.NewCodec(Messages())
	for _, en := range []*entry{
		newServerEntry(&re, version{epoch: 3, status: statusSuspected, owner: "o", ownerIncarnation: 4}),
		newInstanceEntry(&sp.self, version{sequence: 2, epoch: 5}),
	} {
		frame, err := co.Encode(Transfer{Entries: []Entry{sp.pack(item{entry: en})}, Forward: true})
		c.Assert(err, qt.IsNil)
		ms, err := co.Decode(frame)
		c.Assert(err, qt.IsNil)
		got, err := ms.(Transfer).Entries[0].unpack()
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(got, en), qt.IsTrue, qt.Commentf("%+v", got))
	}
	c.Assert(sp.pack(item{entry: newServerEntry(&re, version{}), unavailableSince: 1}).AgeMillis, qt.Equals, int64(0))
	for _, we := range []Entry{{}, {Status: 9, Record: &Record{Server: "s"}}, {Record: &Record{}}, {Instance: &sp.self, Incarnation: 7}} {
		_, err := we.unpack()
		c.Assert(err, qt.ErrorMatches, `member: .*`)
	}
	// Invalid paths must not cause a panic.
	sums, counts := make([]uint64, tableFanout), make([]int, tableFanout)
	st, acs := Step(sp.State, Received{Now: sp.origin, From: "x", Message: Compare{
		Branches: []Branch{{path{Depth: 99}, sums, counts}, {path{Depth: -9}, sums, counts}, {}},
		Leaves:   []Leaf{{Path: path{Depth: 16}}},
	}})
	c.Assert(acs, qt.HasLen, 0)
	c.Assert(st.Servers(), qt.HasLen, 0)
}

// setNonZero sets every field to a non-zero value.
func setNonZero(va reflect.Value) {
	switch va.Kind() {
	case reflect.Struct:
		for ix := range va.NumField() {
			setNonZero(va.Field(ix))
		}
	case reflect.Slice:
		va.Set(reflect.MakeSlice(va.Type(), 2, 2))
		setNonZero(va.Index(0))
		setNonZero(va.Index(1))
	case reflect.Map:
		va.Set(reflect.ValueOf(map[string]string{"rack": "7"}))
	case reflect.String:
		va.SetString("text")
	case reflect.Uint64:
		va.SetUint(77)
	case reflect.Int, reflect.Int64:
		va.SetInt(78)
	default:
		panic(fmt.Sprintf("no value for %v", va.Type()))
	}
}
