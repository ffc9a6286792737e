package instance

import (
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/control"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
)

// event is something that the control thread is told.
type event interface{ isEvent() }

// messaged is a message of another instance. A call has a reply channel with
// room for one message; a one-way message has none.
type messaged struct {
	from  string
	ms    peer.Message
	reply chan<- peer.Message
}

// announced is an announcement of a backend server.
type announced struct {
	re    backend.Record
	reply chan<- backend.AnnounceReply
}

// granted is control's answer to a renewal.
type granted struct {
	gr      control.Grant
	sentAt  time.Time // sentAt is when the renewal was sent; the lease counts from it.
	inForce uint64    // inForce is the revision that the renewal named.
}

// formed says that the voter set of the tier's first start is known. An empty
// set means that this instance is not in it.
type formed struct {
	vs quorum.VoterSet
}

// drained says that this instance stops: no new callers, then the end.
type drained struct{}

// leaving says that the last request was served. The reply is closed once the
// others were told.
type leaving struct {
	reply chan<- struct{}
}

// statusAsked asks for the thread's view of control and membership.
type statusAsked struct {
	reply chan<- statusSeen
}

func (messaged) isEvent()    {}
func (announced) isEvent()   {}
func (granted) isEvent()     {}
func (formed) isEvent()      {}
func (drained) isEvent()     {}
func (leaving) isEvent()     {}
func (statusAsked) isEvent() {}
