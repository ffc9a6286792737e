// Package fleet implements a control instance. It discovers the other control instances
// from seeds, forms the group at the first start of the whole system, keeps a replicated
// log (package quorum) on disk (package wal) and holds one document: the configuration with
// the highest version that was ever committed. The document's content is opaque to this
// package. The replicated state also includes the evacuated data centres (package
// evacuation).
//
// An acknowledged document is on the disks of a majority of the voters. A read is confirmed
// by a majority after it began, so that it depends neither on a clock nor on a view from
// before a pause of the process. Instances beyond the wanted number of voters are on
// standby: they forward requests to the leader, learn committed state from it, and replace
// a voter that is lost.
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

// MaxDocumentBytes is the size of the largest document in bytes.
const MaxDocumentBytes = 1 << 20

// Defaults of Config.
const (
	defaultElectionTimeout   = 600 * time.Millisecond
	defaultHeartbeatInterval = 120 * time.Millisecond
)

// Config configures a control instance.
type Config struct {
	Name    string          // Name is unique and the same after a restart; it contains no slash.
	Address string          // Address is this instance's IP:port for links between control instances.
	Seeds   func() []string // Seeds returns addresses of the form of Address; they may change. It must not block.

	// FirstStart is set when the whole system starts for the first time, with empty disks.
	// Only then may a group be formed.
	FirstStart bool
	// MaxFailures is the number of control instances that may be lost at once, disks
	// included; 2*MaxFailures+1 voters are wanted.
	MaxFailures int
	Dir         string // Dir is the data folder.

	ElectionTimeout   time.Duration // ElectionTimeout is the base of the randomized election timeouts; 600 ms if zero.
	HeartbeatInterval time.Duration // HeartbeatInterval is the time between two heartbeats of a leader; 120 ms if zero.
	Link              link.Config   // Link configures the links that this instance opens; its codec includes Messages.
}

// targetVoters returns the wanted number of voters.
func (cf Config) targetVoters() int { return 2*max(0, cf.MaxFailures) + 1 }

// Member is a control instance and its address for links.
type Member struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Observer receives what a node learns. Its methods are called from the node's goroutine
// and must not block.
type Observer interface {
	// DocumentCommitted passes a newly committed document; versions only increase. The data
	// must not be changed.
	DocumentCommitted(version uint64, data []byte)
	// EvacuationsCommitted passes newly committed evacuations; revisions only increase.
	EvacuationsCommitted(st evacuation.Set)
	// MembersChanged passes all control instances that are voters or were linked within the
	// last minute, including this one, by name.
	MembersChanged(mes []Member)
}

// document is a committed document; it is immutable.
type document struct {
	Version uint64 `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint"`
}

// Node is one control instance. Its methods may be called from any goroutine, also before
// and after Serve runs.
type Node struct {
	cf    Config
	ts    *timer.Service
	lg    *zap.Logger
	ob    Observer
	start uint64 // start distinguishes this process from earlier ones with the same name.
	co    *peer.Codec
	fsys  wal.FileSystem

	links        *linkSet
	pending      pendingRequests
	events       chan event
	queuedBytes  atomic.Int64  // queuedBytes is the size of the queued events.
	linksChanged chan struct{} // linksChanged signals that a link or a report changed.

	newest atomic.Pointer[document] // newest is the document with the highest version known to be committed.
	// evacuations are those with the highest revision known to be committed.
	evacuations atomic.Pointer[evacuation.Set]
	report      atomic.Pointer[Report] // report is what this instance reports of itself to the others.
	// reportSequence numbers the reports.
	reportSequence atomic.Uint64
	// busySince is the time since which the node's goroutine has been busy, in nanoseconds
	// after createdAt, or 0 while it waits.
	busySince atomic.Int64
	createdAt time.Time
	status    atomic.Pointer[Status]
	standing  atomic.Pointer[Standing]
	random    struct {
		sync.Mutex
		*rand.Rand
	}
}

// New returns a node that is inactive until Serve is called.
func New(cf Config, ts *timer.Service, lg *zap.Logger, ob Observer) *Node {
	if cf.ElectionTimeout == 0 {
		cf.ElectionTimeout = defaultElectionTimeout
	}
	if cf.HeartbeatInterval == 0 {
		cf.HeartbeatInterval = defaultHeartbeatInterval
	}
	nd := &Node{
		cf:           cf,
		ts:           ts,
		lg:           lg,
		ob:           ob,
		start:        rand.Uint64(),
		co:           peer.NewCodec(quorum.Messages()),
		fsys:         wal.System(),
		links:        newLinkSet(cf.Name),
		events:       make(chan event, maxQueuedEvents),
		linksChanged: make(chan struct{}, 1),
		createdAt:    ts.Now(),
	}
	nd.random.Rand = rand.New(rand.NewPCG(nd.start, uint64(ts.Now().UnixNano())))
	nd.newest.Store(&document{})
	nd.evacuations.Store(&evacuation.Set{})
	nd.report.Store(&Report{Start: nd.start, Name: cf.Name, Address: cf.Address})
	nd.standing.Store(&Standing{})
	nd.status.Store(&Status{Name: cf.Name, Role: roleStarting})
	return nd
}

// Serve runs the node until the context ends, and returns the context's error. A disk
// failure doesn't end it: the log is closed and opened again after a backoff.
func (nd *Node) Serve(ctx context.Context) error {
	th := newThread(ctx, nd)
	defer th.close()
	return th.run()
}

// Resign transfers leadership before a planned stop. It returns once another instance leads
// or the context ends, or at once if this instance doesn't lead. A node that resigned never
// leads again.
func (nd *Node) Resign(ctx context.Context) {
	done := make(chan struct{})
	select {
	case nd.events <- resignRequested{done: done}:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Propose returns nil once a version at least as high is committed and synced to disk by a
// majority of the voters. A version that is not higher than the committed one is
// acknowledged and changes nothing. Propose retries with the current leader until the
// context ends; the error is then a *result.Error with the code ControlUnavailable, and the
// outcome is unknown.
func (nd *Node) Propose(ctx context.Context, version uint64, data []byte) error {
	if len(data) > MaxDocumentBytes {
		return &result.Error{Code: result.Invalid, Op: opPropose, Detail: "the document is larger than DocumentLimit"}
	}
	if version <= nd.newest.Load().Version {
		return nil
	}
	pr := Proposal{Version: version, Data: data}
	_, err := nd.askLeader(ctx, opPropose, func(request uint64) peer.Message {
		pr.Request = request
		return pr
	})
	return err
}

// Read returns the committed document; its version is 0 if there is none yet. The document
// is never older than any for which Propose returned nil, at any node, before Read was
// called. If no leader can confirm that before the context ends, the error is a
// *result.Error with the code ControlUnavailable.
func (nd *Node) Read(ctx context.Context) (version uint64, data []byte, err error) {
	held := nd.newest.Load()
	an, err := nd.askLeader(ctx, opRead, func(request uint64) peer.Message {
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
	roleStarting = "Starting" // The data folder has not been opened yet.
	roleUnformed = "Unformed" // The instance waits until the group is formed.
	roleNoDisk   = "NoDisk"   // The disk has failed.
)

// Status is a snapshot of a node's state. It is immutable.
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
	Linked   int // Linked is the number of other instances with an open link.
}

// Status returns the node's status.
func (nd *Node) Status() Status {
	st := *nd.status.Load()
	st.Linked = len(nd.links.newestPerInstance())
	return st
}

// jitter returns a random duration between half of the given one and all of it.
func (nd *Node) jitter(du time.Duration) time.Duration {
	nd.random.Lock()
	defer nd.random.Unlock()
	return du/2 + time.Duration(nd.random.Int64N(int64(du/2)+1))
}
