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

// TestConverges sends what two servers and four instances say through a network
// that loses, doubles and reorders it, lets old announcements arrive late and
// instances restart. No instance may ever go back to an older entry or list an
// incarnation that it knows to have left. Once the network is whole again, all
// must list what each server said last.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(4, rapid.Uint64().Draw(t, "seed"))
		wo := &world{cluster: cl, said: map[string][]backend.Record{}, held: map[string]map[string]version{}}
		t.Repeat(map[string]func(*rapid.T){
			"announce": wo.announceNew,
			"late":     wo.announceOld,
			"packet":   wo.movePacket,
			"tick": func(t *rapid.T) {
				cl.now = cl.now.Add(tickTime / 4)
				cl.step(rapid.SampledFrom(cl.names).Draw(t, "name"), Tick{Now: cl.now})
			},
			"restart": func(t *rapid.T) {
				name := rapid.SampledFrom(cl.names).Draw(t, "name")
				cl.start(name, cl.states[name].self.Incarnation+1)
				cl.grantAll()
				delete(wo.held, name)
			},
			"": wo.check,
		})
		for range 12 {
			for _, said := range wo.said {
				cl.announce("b0", said[len(said)-1])
			}
			cl.ticks(2)
			wo.check(t)
		}
		if !cl.alike() {
			t.Fatalf("tables differ")
		}
		for server, said := range wo.said {
			want := said[len(said)-1].State
			if want == backend.Left {
				want = ""
			}
			if got := cl.everywhere(server); !slices.Equal(got, []backend.State{want}) {
				t.Fatalf("%s is listed as %q, want %q", server, got, want)
			}
		}
	})
}

// world is a cluster with what its servers said and what its instances held.
type world struct {
	*cluster
	said map[string][]backend.Record
	held map[string]map[string]version
}

// announceNew lets a server say something new at any instance.
func (wo *world) announceNew(t *rapid.T) {
	server := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "server")
	re := record(server, 1, 1, backend.Serving)
	if said := wo.said[server]; len(said) > 0 {
		re = said[len(said)-1]
		re.Sequence++
		re.State = rapid.SampledFrom([]backend.State{backend.Serving, backend.Draining, backend.Left}).Draw(t, "state")
		if said[len(said)-1].State == backend.Left || rapid.Bool().Draw(t, "restart") {
			re = record(server, re.Incarnation+1, 1, backend.Cold)
		}
	}
	wo.said[server] = append(wo.said[server], re)
	wo.step(rapid.SampledFrom(wo.names).Draw(t, "at"), Announced{Now: wo.now, Record: re})
}

// announceOld lets anything that a server ever said arrive once more, or a
// process that said that it left go on announcing itself.
func (wo *world) announceOld(t *rapid.T) {
	said := slices.Concat(wo.said["s"], wo.said["t"])
	if len(said) == 0 {
		t.Skip("nothing said")
	}
	re := rapid.SampledFrom(said).Draw(t, "record")
	if re.State == backend.Left && rapid.Bool().Draw(t, "goes on") {
		re.Sequence += 100
		re.State = backend.Serving
	}
	wo.step(rapid.SampledFrom(wo.names).Draw(t, "at"), Announced{Now: wo.now, Record: re})
}

// movePacket delivers, doubles or loses any message under way.
func (wo *world) movePacket(t *rapid.T) {
	if len(wo.ways) == 0 {
		t.Skip("nothing under way")
	}
	ix := rapid.IntRange(0, len(wo.ways)-1).Draw(t, "packet")
	pk := wo.ways[ix]
	fate := rapid.SampledFrom([]string{"deliver", "double", "lose"}).Draw(t, "fate")
	if fate != "double" {
		wo.ways = slices.Delete(slices.Clone(wo.ways), ix, ix+1)
	}
	if fate != "lose" {
		wo.step(pk.to, Received{Now: wo.now, From: pk.from, Message: pk.ms})
	}
}

func (wo *world) check(t *rapid.T) {
	for _, name := range wo.names {
		held := wo.held[name]
		if held == nil {
			held = make(map[string]version)
			wo.held[name] = held
		}
		wo.states[name].table.each(func(it *item) {
			old, ok := held[it.key]
			if ok && it.version.compare(old) < 0 {
				t.Fatalf("%s went back from %+v to %+v of %s", name, old, it.version, it.key)
			}
			if ok && old.status == statusLeft && it.version.incarnation == old.incarnation && it.shown {
				t.Fatalf("%s lists %s, which has left", name, it.key)
			}
			held[it.key] = it.version
		})
	}
}

// TestTable compares the table with a map, and its shape and sums with those of
// a table that was built from the same items at once.
func TestTable(t *testing.T) {
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
				pa := path{}.kid(0).kid(int(hashes.Draw(t, "kid")) % tableFan)
				if got := ta.part(pa).sum; got != newLeaf(newLeaf(items).within(pa)).sum {
					t.Fatalf("sum under %+v is %x", pa, got)
				}
			},
		})
	})
}

func sameShape(aa, bb *table) bool {
	if aa.count != bb.count || aa.sum != bb.sum || (aa.kids == nil) != (bb.kids == nil) || !slices.Equal(aa.items, bb.items) {
		return false
	}
	for ix := 0; aa.kids != nil && ix < tableFan; ix++ {
		if !sameShape(aa.kid(ix), bb.kid(ix)) {
			return false
		}
	}
	return true
}

// TestWire sends a record with every field set over the wire. A field that is
// added to backend.Record and not carried would be lost on all instances but
// the one that heard the server.
func TestWire(t *testing.T) {
	c := qt.New(t)
	var re backend.Record
	fill(reflect.ValueOf(&re).Elem())
	sp := &step{State: New(instance("a", 1), 1, newCluster(1, 1).now)}
	co := peer.NewCodec(Messages())
	for _, en := range []*entry{
		newServerEntry(&re, version{claim: 3, status: statusDoubted, owner: "o", ownerIncarnation: 4}),
		newInstanceEntry(&sp.self, version{sequence: 2, claim: 5}),
	} {
		frame, err := co.Encode(Transfer{Entries: []Entry{sp.pack(item{entry: en})}, Forward: true})
		c.Assert(err, qt.IsNil)
		ms, err := co.Decode(frame)
		c.Assert(err, qt.IsNil)
		got, err := ms.(Transfer).Entries[0].unpack()
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(got, en), qt.IsTrue, qt.Commentf("%+v", got))
	}
	c.Assert(sp.pack(item{entry: newServerEntry(&re, version{}), mark: 1}).AgeMillis, qt.Equals, int64(0))
	for _, we := range []Entry{{}, {Status: 9, Record: &Record{Server: "s"}}, {Record: &Record{}}, {Instance: &sp.self, Incarnation: 7}} {
		_, err := we.unpack()
		c.Assert(err, qt.ErrorMatches, `member: .*`)
	}
	// Paths that no instance of ours sends must not bring one down.
	sums, counts := make([]uint64, tableFan), make([]int, tableFan)
	st, acs := Step(sp.State, Received{Now: sp.origin, From: "x", Message: Compare{
		Branches: []Branch{{path{Depth: 99}, sums, counts}, {path{Depth: -9}, sums, counts}, {}},
		Leaves:   []Leaf{{Path: path{Depth: 16}}},
	}})
	c.Assert(acs, qt.HasLen, 0)
	c.Assert(st.Servers(), qt.HasLen, 0)
}

// fill sets every field to something that is not its zero value.
func fill(va reflect.Value) {
	switch va.Kind() {
	case reflect.Struct:
		for ix := range va.NumField() {
			fill(va.Field(ix))
		}
	case reflect.Slice:
		va.Set(reflect.MakeSlice(va.Type(), 2, 2))
		fill(va.Index(0))
		fill(va.Index(1))
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
