// Package member decides how instances spread what they know of backend servers
// and of each other. It is a pure function over immutable values: it opens no
// connection and reads no clock.
//
// Each instance holds a table of entries, one for each backend server and each
// instance, and of two entries with the same name the newer one always wins, so
// the order in which messages come, and whether some are lost or doubled, makes
// no difference in the end. Entries travel in two ways. A change is pushed at
// once to a few instances, which push it on. What that misses is found by
// comparing tables: every tick, each instance sends the sum over its table to
// another one, and only where the sums differ do the two look closer.
//
// The instance that hears a server's announcements owns its entry: it vouches
// for the server, so a repeated announcement costs the others nothing.
package member

import (
	"math/rand/v2"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/peer"
	"balsamwinch.example/view"
)

// State is what one instance knows. It is immutable: Step returns a new one.
type State struct {
	self     view.Instance
	sequence uint64    // sequence rises with each change of self.
	origin   time.Time // origin is when the State began, at startOffset.
	random   rand.PCG
	ticks    uint64

	table    *table
	granted  []view.Instance // granted are the instances that control named last.
	grantAt  time.Duration
	fresh    bool // fresh says that granted is not too old to rely on.
	partners []partner
	cursor   int
	avoided  []avoided
	rumours  []rumour
	tokens   float64 // tokens are how many pushes may go out before the next tick.
	tokensAt time.Duration

	lastHeard time.Duration // lastHeard is when any message came.
	instances *instanceList
	servers   *serverList
	expired   *instanceList // expired are the instances by which the whole table was last gone through.
}

// Event is something that a State is told. The types are Announced, Received,
// Tick, Instances, Changed and Leave.
type Event interface{ isEvent() }

// Announced says that a backend server announced itself to this instance.
type Announced struct {
	Now    time.Time
	Record backend.Record
}

// Received says that a message of this package came from another instance.
type Received struct {
	Now     time.Time
	From    string
	Message peer.Message
}

// Tick says that time has passed. It should come about every 500 ms.
type Tick struct{ Now time.Time }

// Instances says which instances control names in a grant.
type InstancesGranted struct {
	Now       time.Time
	Instances []view.Instance
}

// Changed says that this instance's own entry changed, for example that it
// drains. Its name and incarnation must stay.
type SelfChanged struct {
	Now  time.Time
	Self view.Instance
}

// Leave says that this instance stops. The actions tell the others.
type Leave struct{ Now time.Time }

func (Announced) isEvent()        {}
func (Received) isEvent()         {}
func (Tick) isEvent()             {}
func (InstancesGranted) isEvent() {}
func (SelfChanged) isEvent()      {}
func (Leave) isEvent()            {}

// Action is something that a State asks for. The only type is Send.
type Action interface{ isAction() }

// Send asks for a one-way message to an instance.
type Send struct {
	To      string // To is the instance's name.
	Address string // Address is its peer address.
	Message peer.Message
}

func (Send) isAction() {}

// New returns the state of an instance that knows only itself. The incarnation
// of self must be higher than that of any earlier run under its name.
func New(self view.Instance, seed uint64, now time.Time) State {
	sp := step{
		State: State{
			self:      self,
			origin:    now,
			random:    *rand.NewPCG(seed, self.Incarnation),
			table:     &table{},
			tokens:    pushBurst,
			instances: &instanceList{},
			servers:   &serverList{},
		},
		now: startOffset,
	}
	sp.tokensAt = sp.now
	sp.declare(statusVouched, 1)
	return sp.State
}

// startOffset is the time at which a State begins. It leaves room for what
// happened before: a newcomer is told of servers that went while it was not
// there, and must not take them for servers that went just now.
const startOffset = 24 * time.Hour

// Step returns the state after an event and what is to be done. Times must not
// run backwards.
func Step(st State, ev Event) (State, []Action) {
	sp := &step{State: st}
	switch ev := ev.(type) {
	case Announced:
		sp.at(ev.Now)
		sp.announced(ev.Record)
	case Received:
		sp.at(ev.Now)
		sp.received(ev.From, ev.Message)
	case Tick:
		sp.at(ev.Now)
		sp.tick()
	case InstancesGranted:
		sp.at(ev.Now)
		sp.grant(ev.Instances)
	case SelfChanged:
		sp.at(ev.Now)
		sp.changed(ev.Self)
	case Leave:
		sp.at(ev.Now)
		sp.leave()
	}
	return sp.State, sp.actions
}

// step is a Step under way. Its State is a copy whose slices are replaced, never
// written to.
type step struct {
	State
	now     time.Duration // now is the time since origin.
	actions []Action
}

func (sp *step) at(now time.Time) {
	sp.now = max(now.Sub(sp.origin), 0) + startOffset
}

// intn returns a random number below n.
func (sp *step) intn(n int) int {
	return rand.New(&sp.random).IntN(n)
}

func (sp *step) send(to string, ms peer.Message) {
	if address := sp.address(to); address != "" {
		sp.actions = append(sp.actions, Send{To: to, Address: address, Message: ms})
	}
}
