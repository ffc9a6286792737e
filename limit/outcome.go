package limit

import (
	"time"

	"balsamwinch.example/backend"
)

// OutcomeKind says how a leaf request ended.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	OK             OutcomeKind = iota // OK is a reply with rows.
	Shed                              // Shed is a reply that no slot was free; not run.
	Draining                          // Draining is a reply that the server is leaving; not run.
	Failed                            // Failed is a reply that reports failure, or a refused connection.
	ConnectionLost                    // Silent is a connection that was cut or made no progress.
	TimedOut                          // Timeout is a request given up at its deadline.
	Cancelled                         // Cancelled is a request given up before its deadline.
	NotSent                           // NotSent is a request of which no byte left.
)

// unproven reports whether the request may still hold a slot after its end.
func (ki OutcomeKind) unproven() bool {
	return ki == ConnectionLost || ki == TimedOut || ki == Cancelled
}

// Outcome is how a leaf request ended, and after how long.
type Outcome struct {
	Kind         OutcomeKind
	Latency      time.Duration // Latency is the time from sending to the end.
	RetryAfter   time.Duration // RetryAfter is what a Shed reply asked for; zero if nothing.
	SlotReleased bool          // Stopped says that the server has proved that it holds no slot.
}

// Choice is a backend server that may be sent one leaf request. Each Choice
// must be given to Table.Done once.
type Choice struct {
	Server         string
	Record         backend.Record
	MaxConnections int  // Connections is this instance's share of the connection limit.
	Probe          bool // Probe says that the server is set aside and this request tries it.

	en     *entry
	ticket uint64
}
