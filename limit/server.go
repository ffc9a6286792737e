package limit

import (
	_ "embed"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/chart"
)

//go:embed server.yaml
var serverChart []byte

// The events of the chart.
const (
	warm    chart.Event = "Warm"
	suspect chart.Event = "Suspect"
	probe   chart.Event = "Probe"
	pass    chart.Event = "Pass"
	fail    chart.Event = "Fail"
	recall  chart.Event = "Recall"
	drain   chart.Event = "Drain"
	resume  chart.Event = "Resume"
	restart chart.Event = "Restart"
	leave   chart.Event = "Leave"
)

// The states of the chart.
const (
	StateCold     chart.State = "Cold"
	StateServing  chart.State = "Serving"
	StateEjected  chart.State = "SetAside"
	StateProbing  chart.State = "Probing"
	StateDraining chart.State = "Draining"
	StateGone     chart.State = "Gone"
)

var servers = chart.MustLoad(serverChart, warm, suspect, probe, pass, fail, recall, drain, resume, restart, leave)

// Reason says why a server is set aside.
type Reason string

// The reasons for which a server is set aside.
const (
	Slow    Reason = "Slow"    // Slow is slower than its peers.
	Failing Reason = "Failing" // Failing is failures in a row.
	Stuck   Reason = "Stuck"   // Stuck is nothing coming back.
)

// Server is what one instance knows of one backend server. It is immutable:
// Step returns the next value.
type Server struct {
	incarnation uint64
	sequence    uint64
	slots       int
	share       float64 // share is this instance's equal part of the slots.
	connections int
	cold        bool // cold says that the server announces itself as cold.

	state  chart.State
	since  time.Time
	reason Reason // reason is why the server is set aside, or was last.

	limit    float64 // limit is how many requests may be in flight; below one, their share of time.
	bound    bool    // bound says that the limit was reached since the last growth.
	patience float64
	calm     int
	cutAt    time.Time
	pause    time.Time // pause is before when nothing is sent, after a shed reply.
	paced    time.Time // paced is when the requests so far would have been sent at an even pace.
	sheds    int       // sheds counts the shed replies in a row.

	inFlight int
	held     int       // held counts the requests given up on that may still hold a slot.
	oldest   time.Time // oldest is when the oldest of these was sent; zero for none.
	heard    time.Time // heard is when the last reply came.
	ended    time.Time // ended is when the last request ended, in whatever way.

	latency  latency
	best     time.Duration // best is the latency that the server shows when it is not loaded.
	typical  time.Duration // typical is the latency of the peers at the last comparison.
	replies  int           // replies counts those since the server became cold.
	failures int           // failures counts those in a row.

	probing    bool // probing says that a probe is in flight.
	probeAt    time.Time
	probeAfter time.Duration
	goodProbes int
}

// Event is something that happened to a backend server.
type Event interface{ isEvent() }

// Announced is a record of the server in a newer view.
type Announced struct {
	Now            time.Time
	Record         backend.Record
	MaxConnections int // Connections is this instance's share of the connection limit.
	NumSharers     int // Entries is how many instances share the slots.
}

// Sent is a request on its way to the server.
type Sent struct {
	Now    time.Time
	Oldest time.Time // Oldest is when the oldest request in flight was sent.
	Probe  bool
}

// Ended is the end of a request.
type Ended struct {
	Now     time.Time
	Outcome Outcome
	Oldest  time.Time
	Probe   bool
	Held    bool    // Held says that the request may still run and keeps its slot.
	Random  float64 // Random is between 0 and 1; it spreads what instances do at a time.
}

// Proved says that a held request has ended.
type SlotReleased struct {
	Oldest time.Time
}

// Judged is the result of comparing the server with its peers.
type Compared struct {
	Now           time.Time
	MedianLatency time.Duration // Typical is the median latency of the peers; zero if unknown.
	Verdict       Verdict
	Reason        Reason
	Random        float64
}

// Verdict is what a comparison says of a server.
type Verdict uint8

// The verdicts.
const (
	NoChange Verdict = iota // Keep leaves the server as it is.
	Eject                   // Aside sets the server aside.
	Readmit                 // Recalled takes it back, because a shard has no other.
)

// Missed says that the server is in no view any more.
type Removed struct {
	Now time.Time
}

func (Announced) isEvent()    {}
func (Sent) isEvent()         {}
func (Ended) isEvent()        {}
func (SlotReleased) isEvent() {}
func (Compared) isEvent()     {}
func (Removed) isEvent()      {}

// Step returns the server after an event.
func (se Server) Step(ev Event) Server {
	switch ev := ev.(type) {
	case Announced:
		return se.announced(ev)
	case Sent:
		return se.sent(ev)
	case Ended:
		return se.end(ev)
	case SlotReleased:
		se.held--
		se.oldest = ev.Oldest
	case Compared:
		return se.judged(ev)
	case Removed:
		return se.moved(leave, ev.Now)
	}
	return se
}

// State returns the state of the chart.
func (se Server) State() chart.State { return se.state }

// Reason returns why the server is set aside; empty if it is not.
func (se Server) Reason() Reason {
	if se.state == StateEjected || se.state == StateProbing {
		return se.reason
	}
	return ""
}

// Limit returns how many requests this instance may have in flight.
func (se Server) Limit() float64 { return se.limit }

// InFlight returns how many requests are running and how many are held as
// taken because nothing proved that they have ended.
func (se Server) InFlight() (running, held int) { return se.inFlight, se.held }

// Latency returns the decaying mean latency; zero if unknown.
func (se Server) Latency() time.Duration { return se.latency.value }

func (se Server) moved(ev chart.Event, now time.Time) Server {
	to, ok := servers.Next(se.state, ev)
	if !ok {
		return se
	}
	se.state, se.since = to, now
	if to == StateCold {
		se.replies, se.failures, se.goodProbes, se.probeAfter = 0, 0, 0, 0
		se.limit = min(se.limit, max(1, se.share))
	}
	return se
}

func (se Server) announced(ev Announced) Server {
	re := ev.Record
	known := se.state != ""
	if known && re.Incarnation < se.incarnation {
		return se
	}
	newer := re.Incarnation > se.incarnation
	resumed := newer || re.Sequence > se.sequence
	se.incarnation, se.sequence = re.Incarnation, re.Sequence
	se.slots = max(1, re.Slots)
	se.share = float64(se.slots) / float64(max(1, ev.NumSharers))
	se.connections = ev.MaxConnections
	se.cold = re.State == backend.Cold
	switch {
	case !known:
		se.state, se.since = servers.Initial(), ev.Now
		se.limit, se.patience = max(1, se.share), 1
	case newer:
		se = se.restarted(ev.Now)
	}
	se.limit = max(se.least(), min(se.limit, se.most()))
	switch {
	case re.State == backend.Draining || re.State == backend.Left:
		return se.moved(drain, ev.Now)
	case resumed:
		return se.moved(resume, ev.Now)
	}
	return se
}

// restarted forgets what was learned of the process before, which is gone with
// the requests that it held.
func (se Server) restarted(now time.Time) Server {
	se = se.moved(restart, now)
	se.inFlight, se.held, se.oldest, se.probing = 0, 0, time.Time{}, false
	se.latency, se.best, se.heard = latency{}, 0, time.Time{}
	se.sheds, se.patience, se.pause = 0, 1, time.Time{}
	return se
}

func (se Server) end(ev Ended) Server {
	se.inFlight--
	se.oldest, se.ended = ev.Oldest, ev.Now
	if ev.Held {
		se.held++
	}
	switch oc := ev.Outcome; oc.Kind {
	case OK:
		se = se.replied(oc.Latency, ev.Now).grown(ev.Now)
	case Shed:
		se.heard = ev.Now
		se = se.shed(ev)
	case Draining:
		// The server's own word counts at once. The record that this instance holds
		// may be older and say Serving; only a newer one takes the server back.
		se.heard = ev.Now
		se = se.moved(drain, ev.Now)
	case Failed:
		se.failures++
	case ConnectionLost, TimedOut:
		se.failures++
		se.latency = se.latency.withAtLeast(oc.Latency)
	case Cancelled:
		se.latency = se.latency.withAtLeast(oc.Latency)
	case NotSent:
		if se.limit < 1 {
			se.paced = se.paced.Add(-se.pace())
		}
	}
	if ev.Probe {
		se = se.probed(ev)
	}
	return se
}

func (se Server) replied(sample time.Duration, now time.Time) Server {
	se.heard = now
	se.failures, se.sheds = 0, 0
	se.replies++
	se.latency = se.latency.with(sample)
	if se.best == 0 || se.latency.value < se.best {
		se.best = se.latency.value
	} else {
		se.best += time.Duration(bestDrift * float64(se.latency.value-se.best))
	}
	return se
}

func later(ti, ot time.Time) time.Time {
	if ti.After(ot) {
		return ti
	}
	return ot
}
