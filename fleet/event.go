package fleet

import (
	"balsamwinch.example/evacuation"
	"balsamwinch.example/peer"
)

// Bounds of the queue of the node's goroutine, which may hang in a write to its disk.
// Events beyond them are dropped: the replicated log tolerates lost messages, and requests
// are rejected or retried.
const (
	maxQueuedEvents = 1024
	maxQueuedBytes  = 4 << 20
)

// event is an input of the node's goroutine.
type event interface{ isEvent() }

// sizedEvent is an event whose bytes count towards maxQueuedBytes.
type sizedEvent struct {
	event
	size int
}

// envelopeReceived is a message of the replicated log from an instance.
type envelopeReceived struct {
	from string
	ms   Envelope
}

// documentReceived is a document that a leader reports as committed.
type documentReceived struct{ do *document }

// evacuationsReceived is a set of evacuations that a leader reports as committed.
type evacuationsReceived struct{ set evacuation.Set }

// requestReceived is a Proposal, a ReadRequest or an EvacuationRequest. reply is called
// once and doesn't block.
type requestReceived struct {
	ms    peer.Message
	reply func(Answer)
}

// resignRequested asks to transfer leadership; done is closed afterwards.
type resignRequested struct{ done chan struct{} }

func (sizedEvent) isEvent()          {}
func (envelopeReceived) isEvent()    {}
func (documentReceived) isEvent()    {}
func (requestReceived) isEvent()     {}
func (evacuationsReceived) isEvent() {}
func (resignRequested) isEvent()     {}
