// Package member implements the gossip protocol by which instances share what they
// know of backend servers and of each other. It is a pure function over immutable
// values: it opens no connection and reads no clock.
//
// Each instance holds a table of entries, one for each backend server and each
// instance. Of two entries of the same subject the one with the higher version
// always wins, so all tables converge even if messages are reordered, lost or
// duplicated. Entries spread in two ways. A change is pushed at once to a few
// instances, which forward it. Anti-entropy finds what that misses: every tick,
// each instance sends the checksum of its table to another one, and the two
// exchange details only of the parts whose checksums differ.
//
// The instance that receives a server's announcements owns its entry and vouches
// for the server, so a repeated announcement causes no traffic between instances.
package member

import (
	"math/rand/v2"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/peer"
	"balsamwinch.example/view"
)

// State is the view of one instance. It is immutable: Step returns a new one.
type State struct {
	self     view.Instance
	sequence uint64    // increases with each change of self
	origin   time.Time // time of New, which has the offset startOffset
	random   rand.PCG
	ticks    uint64

	table       *table
	granted     []view.Instance // instances named in the last grant of control
	grantAt     time.Duration
	grantValid  bool // whether granted is younger than grantTTL
	partners    []partner
	cursor      int
	unreachable []unreachable
	pushQueue   []queuedPush
	tokens      float64 // tokens in the bucket that limits pushes between ticks
	tokensAt    time.Duration

	lastHeard time.Duration // when the last message arrived from any instance
	instances *instanceList
	servers   *serverList
	lastScan  *instanceList // instance list at the last scan of the whole table
}

// Event is an input of Step. The types are Announced, Received, Tick,
// InstancesGranted, SelfChanged and Leave.
type Event interface{ isEvent() }

// Announced is an announcement that a backend server sent to this instance.
type Announced struct {
	Now    time.Time
	Record backend.Record
}

// Received is a message of this package from another instance.
type Received struct {
	Now     time.Time
	From    string
	Message peer.Message
}

// Tick advances the time. It should occur about every 500 ms.
type Tick struct{ Now time.Time }

// InstancesGranted lists the instances that control names in a grant.
type InstancesGranted struct {
	Now       time.Time
	Instances []view.Instance
}

// SelfChanged reports that this instance's own entry changed, for example that it
// is draining. Its name and incarnation must stay the same.
type SelfChanged struct {
	Now  time.Time
	Self view.Instance
}

// Leave reports that this instance is stopping. The resulting actions inform the
// others.
type Leave struct{ Now time.Time }

func (Announced) isEvent()        {}
func (Received) isEvent()         {}
func (Tick) isEvent()             {}
func (InstancesGranted) isEvent() {}
func (SelfChanged) isEvent()      {}
func (Leave) isEvent()            {}

// Action is an output of Step for the caller to carry out. The only type is Send.
type Action interface{ isAction() }

// Send sends a one-way message to an instance.
type Send struct {
	To      string // instance's name
	Address string // peer address of the instance
	Message peer.Message
}

func (Send) isAction() {}

// New returns the state of an instance that knows only itself. The incarnation of
// self must be higher than in any earlier run under the same name.
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
	sp.publishSelf(statusAlive, 1)
	return sp.State
}

// startOffset is the offset at which a State begins, so that earlier times can be
// represented: a new instance learns of servers that left before it started and
// must not treat them as having left just now.
const startOffset = 24 * time.Hour

// Step returns the state after an event and the actions to carry out. The times of
// events must not decrease.
func Step(st State, ev Event) (State, []Action) {
	sp := &step{State: st}
	switch ev := ev.(type) {
	case Announced:
		sp.setNow(ev.Now)
		sp.handleAnnouncement(ev.Record)
	case Received:
		sp.setNow(ev.Now)
		sp.handleMessage(ev.From, ev.Message)
	case Tick:
		sp.setNow(ev.Now)
		sp.tick()
	case InstancesGranted:
		sp.setNow(ev.Now)
		sp.handleGrant(ev.Instances)
	case SelfChanged:
		sp.setNow(ev.Now)
		sp.handleSelfChanged(ev.Self)
	case Leave:
		sp.setNow(ev.Now)
		sp.leave()
	}
	return sp.State, sp.actions
}

// step holds the working state of a Step. Its State is a copy whose slices are
// replaced, never modified.
type step struct {
	State
	now     time.Duration // time since origin plus startOffset
	actions []Action
}

func (sp *step) setNow(now time.Time) {
	sp.now = max(now.Sub(sp.origin), 0) + startOffset
}

// intn returns a random number in [0, n).
func (sp *step) intn(n int) int {
	return rand.New(&sp.random).IntN(n)
}

func (sp *step) send(to string, ms peer.Message) {
	if address := sp.peerAddress(to); address != "" {
		sp.actions = append(sp.actions, Send{To: to, Address: address, Message: ms})
	}
}
