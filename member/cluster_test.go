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

const tickInterval = 500 * time.Millisecond

func isPush(ms peer.Message) bool {
	tr, ok := ms.(Transfer)
	return ok && tr.Forward
}

// packet is a message in flight.
type packet struct {
	from, to string
	ms       peer.Message
}

// cluster runs states in memory with a simulated clock and network.
type cluster struct {
	now      time.Time
	random   *rand.Rand
	names    []string
	states   map[string]State
	inFlight []packet
	// drop reports whether a message is lost; nil loses none.
	drop func(pk packet) bool
}

// newCluster returns n instances, "a0", "b0" and so on, that control has granted
// and that have exchanged their entries.
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

// kill stops an instance without a Leave event.
func (cl *cluster) kill(name string) {
	delete(cl.states, name)
	cl.names = slices.DeleteFunc(cl.names, func(na string) bool { return na == name })
}

// grantAll gives every instance a grant that names all instances.
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
		if cl.drop == nil || !cl.drop(pk) {
			cl.inFlight = append(cl.inFlight, pk)
		}
	}
}

// deliver delivers messages until none is in flight.
func (cl *cluster) deliver() {
	for len(cl.inFlight) > 0 {
		pk := cl.inFlight[0]
		cl.inFlight = cl.inFlight[1:]
		if _, ok := cl.states[pk.to]; ok {
			cl.step(pk.to, Received{Now: cl.now, From: pk.from, Message: pk.ms})
		}
	}
}

// ticks advances the time by n ticks and delivers the messages.
func (cl *cluster) ticks(n int) {
	for range n {
		cl.now = cl.now.Add(tickInterval)
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

// listedState returns the state in which an instance lists a server, or "".
func (cl *cluster) listedState(at, server string) backend.State {
	for _, re := range cl.states[at].Servers() {
		if re.Server == server {
			return re.State
		}
	}
	return ""
}

// listedStates returns the distinct states in which all instances list a server.
func (cl *cluster) listedStates(server string) []backend.State {
	var sts []backend.State
	for _, name := range cl.names {
		if st := cl.listedState(name, server); !slices.Contains(sts, st) {
			sts = append(sts, st)
		}
	}
	return sts
}

func (cl *cluster) instanceNames(at string) []string {
	var names []string
	for _, in := range cl.states[at].Instances() {
		names = append(names, in.Name)
	}
	return names
}

// converged reports whether all tables hold the same versions.
func (cl *cluster) converged() bool {
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
