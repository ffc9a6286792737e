// Package fleet is a control instance: it finds the others from seeds, forms
// the group at the first start of all, keeps a replicated log (package quorum)
// on its disk (package wal) and holds one document, the configuration with the
// highest version that was ever committed. It knows nothing of what the document
// means. Beside it stands which data centres are evacuated (package evacuation).
//
// A document that was acknowledged is on the disks of a majority of the voters.
// A read is confirmed by a majority after it began, so that no clock and no
// belief from before a freeze decides it. Instances beyond the wanted number of
// voters stand by: they pass requests on to the leader, learn what is committed
// from it, and take the place of a voter that is lost.
package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/link"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
	"balsamwinch.example/wal"
)

// DocumentLimit is the size of the largest document in bytes.
const MaxDocumentBytes = 1 << 20

// The times used where the Config leaves them zero.
const (
	defaultElection  = 600 * time.Millisecond
	defaultHeartbeat = 120 * time.Millisecond
)

// Config is what a control instance is started with.
type Config struct {
	Name    string          // Name is unique and stays over restarts; it holds no slash.
	Address string          // Address is the own IP:port for links between control instances.
	Seeds   func() []string // Seeds are addresses of the form of Address and may change; it must not block.

	// First says that the whole system starts for the first time, with empty
	// disks. Only then may a group be formed.
	FirstStart bool
	// Losses is how many control instances may be lost at once, their disks
	// included; 2*Losses+1 voters are wanted.
	MaxFailures int
	Dir         string // Dir is the data folder.

	ElectionTimeout   time.Duration // Election is the base of the election timeouts; 600 ms if zero.
	HeartbeatInterval time.Duration // Heartbeat is the time between two heartbeats of a leader; 120 ms if zero.
	Link              link.Config   // Link is for the links that this instance opens; its codec knows Messages.
}

// wanted returns how many voters there should be.
func (cf Config) wanted() int { return 2*max(0, cf.MaxFailures) + 1 }

// Member is a control instance and the address of its links.
type Member struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Observer is told what a node learns. It is called from the node's goroutine
// and must not block.
type Observer interface {
	// DocumentCommitted gives a newly committed document; versions only rise. The
	// data must not be changed.
	DocumentCommitted(version uint64, data []byte)
	// EvacuationsCommitted gives newly committed evacuations; revisions only rise.
	EvacuationsCommitted(st evacuation.Set)
	// MembersChanged gives all control instances that are voters or were linked
	// within the last minute, this one included, by name.
	MembersChanged(mes []Member)
}

// document is a committed document; it is immutable.
type document struct {
	Version uint64 `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint"`
}

// Node is one control instance. Its methods may be called from any goroutine,
// and before and after Serve runs.
type Node struct {
	cf    Config
	ts    *timer.Service
	lg    *zap.Logger
	ob    Observer
	start uint64 // start tells this process from earlier ones of its name.
	co    *peer.Codec
	fsys  wal.FileSystem

	li     *lines
	ca     calls
	events chan event
	queued atomic.Int64  // queued is how many bytes the events hold.
	nudge  chan struct{} // nudge says that a line or a report changed.

	newest atomic.Pointer[document] // newest is the highest document known to be committed.
	// evacuations are those with the highest revision known to be committed.
	evacuations atomic.Pointer[evacuation.Set]
	report      atomic.Pointer[Report] // report is what others are told of this instance.
	// sequence numbers the reports.
	sequence atomic.Uint64
	// busy is since when the node's goroutine has been at work, in nanoseconds after
	// born, or 0 if it waits.
	busy   atomic.Int64
	born   time.Time
	status atomic.Pointer[Status]
	random struct {
		sync.Mutex
		*rand.Rand
	}
}

// New returns a node that does nothing before Serve.
func New(cf Config, ts *timer.Service, lg *zap.Logger, ob Observer) *Node {
	if cf.ElectionTimeout == 0 {
		cf.ElectionTimeout = defaultElection
	}
	if cf.HeartbeatInterval == 0 {
		cf.HeartbeatInterval = defaultHeartbeat
	}
	nd := &Node{
		cf:     cf,
		ts:     ts,
		lg:     lg,
		ob:     ob,
		start:  rand.Uint64(),
		co:     peer.NewCodec(quorum.Messages()),
		fsys:   wal.System(),
		li:     newLines(cf.Name),
		events: make(chan event, eventRoom),
		nudge:  make(chan struct{}, 1),
		born:   ts.Now(),
	}
	nd.random.Rand = rand.New(rand.NewPCG(nd.start, uint64(ts.Now().UnixNano())))
	nd.newest.Store(&document{})
	nd.evacuations.Store(&evacuation.Set{})
	nd.report.Store(&Report{Start: nd.start, Name: cf.Name, Address: cf.Address})
	nd.status.Store(&Status{Name: cf.Name, Role: roleStarting})
	return nd
}

// Serve runs the node until the context ends, whose error it returns. A disk that
// fails doesn't end it: the log is dropped and opened again after a pause.
func (nd *Node) Serve(ctx context.Context) error {
	th := newThread(ctx, nd)
	defer th.close()
	return th.run()
}

// Resign hands the lead over before a planned stop. It returns once another
// instance leads or the context ends, and at once at an instance that doesn't
// lead. A node that resigned never leads again.
func (nd *Node) Resign(ctx context.Context) {
	done := make(chan struct{})
	select {
	case nd.events <- resigning{done: done}:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Propose returns nil once a version at least as high is committed by a majority
// of the voters and synced to their disks. A version that is not higher than the
// committed one is acknowledged and changes nothing. It asks one leader after the
// other until the context ends; the error is then a *result.Error with the code
// ControlUnavailable, and the outcome is unknown.
func (nd *Node) Propose(ctx context.Context, version uint64, data []byte) error {
	if len(data) > MaxDocumentBytes {
		return &result.Error{Code: result.Invalid, Op: opPropose, Detail: "the document is larger than DocumentLimit"}
	}
	if version <= nd.newest.Load().Version {
		return nil
	}
	pr := Proposal{Version: version, Data: data}
	_, err := nd.ask(ctx, opPropose, func(request uint64) peer.Message {
		pr.Request = request
		return pr
	})
	return err
}

// Read returns the committed document, version 0 if there is none yet. It is
// never older than any for which Propose returned nil before Read was called, at
// any node. If no leader can vouch for that before the context ends, the error
// is a *result.Error with the code ControlUnavailable.
func (nd *Node) Read(ctx context.Context) (version uint64, data []byte, err error) {
	held := nd.newest.Load()
	an, err := nd.ask(ctx, opRead, func(request uint64) peer.Message {
		return ReadRequest{Request: request, Held: held.Version}
	})
	if err != nil {
		return 0, nil, err
	}
	do := &document{Version: an.Version, Data: an.Data}
	if an.Same {
		do = held
	}
	if no := nd.newest.Load(); no.Version > do.Version {
		do = no
	}
	return do.Version, do.Data, nil
}

// The roles of a Status beyond those of package quorum.
const (
	roleStarting = "Starting" // roleStarting is before the data folder was opened.
	roleUnformed = "Unformed" // roleUnformed waits for the group to be formed.
	roleNoDisk   = "NoDisk"   // roleNoDisk is after a failure of the disk.
)

// Status says how a node stands. It is immutable.
type Status struct {
	Name, ID string
	Role     string // Role is a quorum.Role, Starting, Unformed or NoDisk.
	Term     uint64
	Leader   string // Leader is the name of the leader, "" if none is known.
	Commit   uint64
	Version  uint64 // Version is that of the newest document known to be committed.
	Voters   []quorum.ID
	Learners []quorum.ID
	Members  []Member
	Linked   int // Linked counts the other instances that a link is open to.
}

// Status returns how the node stands.
func (nd *Node) Status() Status {
	st := *nd.status.Load()
	st.Linked = len(nd.li.each())
	return st
}

// jitter returns a random time between half of the given one and the whole.
func (nd *Node) jitter(du time.Duration) time.Duration {
	nd.random.Lock()
	defer nd.random.Unlock()
	return du/2 + time.Duration(nd.random.Int64N(int64(du/2)+1))
}
