package fleet

import (
	"balsamwinch.example/evacuation"
	"balsamwinch.example/peer"
)

// Bounds of what waits for the node's goroutine, which may hang in a write to
// its disk. What finds no room is dropped: messages of the log may be lost, and
// who asks is refused or asks again.
const (
	eventRoom  = 1024
	eventBytes = 4 << 20
)

// event is something for the node's goroutine.
type event interface{ isEvent() }

// sized is an event whose bytes are counted.
type sized struct {
	event
	size int
}

// routed is a message of the log from an instance.
type routed struct {
	from string
	ms   Envelope
}

// learned is a document that a leader says is committed.
type learned struct{ do *document }

// toldEvacuations are evacuations that a leader says are committed.
type toldEvacuations struct{ set evacuation.Set }

// demanded is a Proposal, a Reading or an EvacuationOrder. The reply is given once and doesn't block.
type demanded struct {
	ms    peer.Message
	reply func(Answer)
}

// resigning asks to hand the lead over; done is closed afterwards.
type resigning struct{ done chan struct{} }

func (sized) isEvent()           {}
func (routed) isEvent()          {}
func (learned) isEvent()         {}
func (demanded) isEvent()        {}
func (toldEvacuations) isEvent() {}
func (resigning) isEvent()       {}
