package limit

import (
	"time"

	"balsamwinch.example/backend"
)

// OutcomeKind tells how a leaf request ended.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	OK             OutcomeKind = iota // reply with rows
	Shed                              // not run: the server had no free slot
	Draining                          // not run: the server is leaving
	Failed                            // reply that reports failure, or a refused connection
	ConnectionLost                    // connection was cut or made no progress
	TimedOut                          // abandoned at its deadline
	Cancelled                         // abandoned before its deadline
	NotSent                           // no byte was sent
)

// mayHoldSlot reports whether the request may still hold a slot after its end.
func (ki OutcomeKind) mayHoldSlot() bool {
	return ki == ConnectionLost || ki == TimedOut || ki == Cancelled
}

// Outcome describes how a leaf request ended and how long it took.
type Outcome struct {
	Kind         OutcomeKind
	Latency      time.Duration // time from sending to the end
	RetryAfter   time.Duration // delay that a Shed reply asked for; zero if none
	SlotReleased bool          // whether the server has confirmed that the request holds no slot
}

// Choice is a backend server to which one leaf request may be sent. Each Choice
// must be passed to Table.Done once.
type Choice struct {
	Server         string
	Record         backend.Record
	MaxConnections int  // this instance's share of the connection limit
	Probe          bool // whether the server is ejected and this request probes it

	en *serverEntry
	id uint64
}
