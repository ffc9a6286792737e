package instance

import (
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/control"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
)

// event is an input of the control thread.
type event interface{ isEvent() }

// messageReceived is a message from another instance. For a call, reply has room for one
// message; for a one-way message it is nil.
type messageReceived struct {
	from  string
	ms    peer.Message
	reply chan<- peer.Message
}

// serverAnnounced is an announcement of a backend server.
type serverAnnounced struct {
	re    backend.Record
	reply chan<- backend.AnnounceReply
}

// grantReceived is control's reply to a renewal.
type grantReceived struct {
	gr           control.Grant
	sentAt       time.Time // when the renewal was sent; the lease counts from then
	baseRevision uint64    // the revision that the renewal reported as in force
}

// tierFormed carries the voter set of the tier's first start. An empty set means that this
// instance is not in it.
type tierFormed struct {
	vs quorum.VoterSet
}

// drainStarted starts a graceful stop: the instance takes no new callers and then stops.
type drainStarted struct{}

// leaveRequested says that the last request was served. reply is closed once the other
// instances were notified.
type leaveRequested struct {
	reply chan<- struct{}
}

// statusRequested asks for the thread's view of control and membership.
type statusRequested struct {
	reply chan<- threadStatus
}

func (messageReceived) isEvent() {}
func (serverAnnounced) isEvent() {}
func (grantReceived) isEvent()   {}
func (tierFormed) isEvent()      {}
func (drainStarted) isEvent()    {}
func (leaveRequested) isEvent()  {}
func (statusRequested) isEvent() {}
