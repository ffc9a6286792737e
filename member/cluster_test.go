package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/peer"
	"balsamwinch.example/view"
)

const tickTime = 500 * time.Millisecond

func isRumour(ms peer.Message) bool {
	tr, ok := ms.(Transfer)
	return ok && tr.Forward
}

// packet is a message under way.
type packet struct {
	from, to string
	ms       peer.Message
}

// cluster drives states in memory, with a clock and a network of its own.
type cluster struct {
	now    time.Time
	random *rand.Rand
	names  []string
	states map[string]State
	ways   []packet
	// lose says whether a message is lost; nil loses none.
	lose func(pk packet) bool
}

// newCluster returns instances "a", "b" and so on that control has told of each
// other and that have had time to meet.
func newCluster(n int, seed uint64) *cluster {
	cl := &cluster{
		now:    time.Unix(1_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 0)),
		states: make(map[string]State),
	}
	for ix := range n {
		cl.start(instanceName(ix), 1)
	}
	cl.grantAll()
	cl.ticks(8)
	return cl
}

func instanceName(ix int) string {
	return fmt.Sprintf("%c%d", 'a'+ix%26, ix/26)
}

func instance(name string, incarnation uint64) view.Instance {
	return view.Instance{Name: name, DataCentre: "miraflores", Entry: true, PeerAddress: name + ":1", Incarnation: incarnation}
}

func (cl *cluster) start(name string, incarnation uint64) {
	if !slices.Contains(cl.names, name) {
		cl.names = append(cl.names, name)
	}
	cl.states[name] = New(instance(name, incarnation), cl.random.Uint64(), cl.now)
}

// kill ends an instance without a word.
func (cl *cluster) kill(name string) {
	delete(cl.states, name)
	cl.names = slices.DeleteFunc(cl.names, func(na string) bool { return na == name })
}

// grantAll is a grant of control to every instance.
func (cl *cluster) grantAll() {
	var ins []view.Instance
	for _, name := range cl.names {
		ins = append(ins, cl.states[name].self)
	}
	for _, name := range cl.names {
		cl.step(name, InstancesGranted{Now: cl.now, Instances: ins})
	}
}

func (cl *cluster) step(name string, ev Event) {
	st, acs := Step(cl.states[name], ev)
	cl.states[name] = st
	for _, ac := range acs {
		se := ac.(Send)
		pk := packet{from: name, to: se.To, ms: se.Message}
		if cl.lose == nil || !cl.lose(pk) {
			cl.ways = append(cl.ways, pk)
		}
	}
}

// deliver carries messages until none is under way.
func (cl *cluster) deliver() {
	for len(cl.ways) > 0 {
		pk := cl.ways[0]
		cl.ways = cl.ways[1:]
		if _, ok := cl.states[pk.to]; ok {
			cl.step(pk.to, Received{Now: cl.now, From: pk.from, Message: pk.ms})
		}
	}
}

// ticks lets time pass.
func (cl *cluster) ticks(n int) {
	for range n {
		cl.now = cl.now.Add(tickTime)
		for _, ix := range cl.random.Perm(len(cl.names)) {
			cl.step(cl.names[ix], Tick{Now: cl.now})
		}
		cl.deliver()
	}
}

func (cl *cluster) announce(at string, re backend.Record) {
	cl.step(at, Announced{Now: cl.now, Record: re})
	cl.deliver()
}

// listed returns the state in which an instance lists a server, or "".
func (cl *cluster) listed(at, server string) backend.State {
	for _, re := range cl.states[at].Servers() {
		if re.Server == server {
			return re.State
		}
	}
	return ""
}

// everywhere returns the states in which instances list a server.
func (cl *cluster) everywhere(server string) []backend.State {
	var sts []backend.State
	for _, name := range cl.names {
		if st := cl.listed(name, server); !slices.Contains(sts, st) {
			sts = append(sts, st)
		}
	}
	return sts
}

func (cl *cluster) sees(at string) []string {
	var names []string
	for _, in := range cl.states[at].Instances() {
		names = append(names, in.Name)
	}
	return names
}

// alike reports whether all tables hold the same versions.
func (cl *cluster) alike() bool {
	return !slices.ContainsFunc(cl.names, func(name string) bool {
		return cl.states[name].table.sum != cl.states[cl.names[0]].table.sum
	})
}

func record(server string, incarnation, sequence uint64, st backend.State) backend.Record {
	return backend.Record{
		Server: server, Service: "archivo", Address: server + ":2", State: st, Slots: 6,
		Incarnation: incarnation, Sequence: sequence, TTLMillis: 6000,
	}
}
