package limit

import (
	_ "embed"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/chart"
)

//go:embed server.yaml
var serverChart []byte

// Events of the state chart.
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

// States of the state chart.
const (
	StateCold     chart.State = "Cold"
	StateServing  chart.State = "Serving"
	StateEjected  chart.State = "SetAside"
	StateProbing  chart.State = "Probing"
	StateDraining chart.State = "Draining"
	StateGone     chart.State = "Gone"
)

var serverStates = chart.MustLoad(serverChart, warm, suspect, probe, pass, fail, recall, drain, resume, restart, leave)

// Reason tells why a server is ejected.
type Reason string

// The reasons for ejecting a server.
const (
	Slow    Reason = "Slow"    // slower than its peers
	Failing Reason = "Failing" // consecutive failures
	Stuck   Reason = "Stuck"   // no replies
)

// Server is this instance's view of one backend server. It is immutable: Step
// returns the next value.
type Server struct {
	incarnation    uint64
	sequence       uint64
	slots          int
	slotShare      float64 // this instance's equal share of the slots
	maxConnections int
	announcedCold  bool // whether the server reports itself as cold

	state      chart.State
	stateSince time.Time
	reason     Reason // why the server is ejected, or was last

	limit            float64 // maximum of requests in flight; below one, the fraction of time in which one may be
	limitReached     bool    // whether the limit was reached since it last grew
	growthDivisor    float64
	repliesSinceShed int
	lastCut          time.Time
	pauseUntil       time.Time // nothing is sent before this time, after a shed reply
	pacedUntil       time.Time // when the next request is due at the constant rate of a limit below one
	consecutiveSheds int       // shed replies since the last OK reply

	inFlight   int
	held       int       // abandoned requests that may still hold a slot
	oldestSent time.Time // when the oldest request in flight or held was sent; zero if none
	lastReply  time.Time // when the last reply other than a failure came
	lastEnd    time.Time // when the last request ended, whatever its outcome

	latency             latency
	unloadedLatency     time.Duration // latency without load
	medianLatency       time.Duration // median of the peers at the last comparison
	repliesSinceCold    int           // OK replies since the server became cold
	consecutiveFailures int           // failures since the last OK reply

	probing      bool // whether a probe is in flight
	nextProbe    time.Time
	probeBackoff time.Duration
	goodProbes   int
}

// Event is something that happened to a backend server.
type Event interface{ isEvent() }

// Announced is a record of the server in a newer view.
type Announced struct {
	Now            time.Time
	Record         backend.Record
	MaxConnections int // this instance's share of the connection limit
	NumSharers     int // number of instances that share the slots
}

// Sent is a request that is sent to the server.
type Sent struct {
	Now    time.Time
	Oldest time.Time // when the oldest request in flight or held was sent
	Probe  bool
}

// Ended is the end of a request.
type Ended struct {
	Now     time.Time
	Outcome Outcome
	Oldest  time.Time // when the oldest request still in flight or held was sent; zero if none
	Probe   bool
	Held    bool    // whether the request may still run and keeps its slot
	Random  float64 // between 0 and 1; jitter, so that instances don't act in step
}

// SlotReleased is the end of a held request: its slot is free again.
type SlotReleased struct {
	Oldest time.Time // when the oldest request still in flight or held was sent; zero if none
}

// Compared is the result of comparing the server with its peers.
type Compared struct {
	Now           time.Time
	MedianLatency time.Duration // median of the peers; zero if unknown
	Verdict       Verdict
	Reason        Reason
	Random        float64
}

// Verdict is what a comparison decides about a server.
type Verdict uint8

// The verdicts.
const (
	NoChange Verdict = iota // leaves the server as it is
	Eject                   // ejects the server
	Readmit                 // ends the ejection, because a shard has no other server
)

// Removed says that the server is no longer in the view.
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
		se.oldestSent = ev.Oldest
	case Compared:
		return se.compared(ev)
	case Removed:
		return se.transition(leave, ev.Now)
	}
	return se
}

// State returns the server's state in the chart.
func (se Server) State() chart.State { return se.state }

// Reason returns why the server is ejected; empty if it is not.
func (se Server) Reason() Reason {
	if se.state == StateEjected || se.state == StateProbing {
		return se.reason
	}
	return ""
}

// Limit returns how many requests this instance may have in flight.
func (se Server) Limit() float64 { return se.limit }

// InFlight returns how many requests are running, and how many ended ones still
// hold a slot because the server has not confirmed their end.
func (se Server) InFlight() (running, held int) { return se.inFlight, se.held }

// Latency returns the moving average of the latency; zero if unknown.
func (se Server) Latency() time.Duration { return se.latency.value }

func (se Server) transition(ev chart.Event, now time.Time) Server {
	to, ok := serverStates.Next(se.state, ev)
	if !ok {
		return se
	}
	se.state, se.stateSince = to, now
	if to == StateCold {
		se.repliesSinceCold, se.consecutiveFailures, se.goodProbes, se.probeBackoff = 0, 0, 0, 0
		se.limit = min(se.limit, max(1, se.slotShare))
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
	se.slotShare = float64(se.slots) / float64(max(1, ev.NumSharers))
	se.maxConnections = ev.MaxConnections
	se.announcedCold = re.State == backend.Cold
	switch {
	case !known:
		se.state, se.stateSince = serverStates.Initial(), ev.Now
		se.limit, se.growthDivisor = max(1, se.slotShare), 1
	case newer:
		se = se.restarted(ev.Now)
	}
	se.limit = max(se.minLimit(), min(se.limit, se.maxLimit()))
	switch {
	case re.State == backend.Draining || re.State == backend.Left:
		return se.transition(drain, ev.Now)
	case resumed:
		return se.transition(resume, ev.Now)
	}
	return se
}

// restarted resets what was learned about the previous process. The requests
// that it held are gone with it.
func (se Server) restarted(now time.Time) Server {
	se = se.transition(restart, now)
	se.inFlight, se.held, se.oldestSent, se.probing = 0, 0, time.Time{}, false
	se.latency, se.unloadedLatency, se.lastReply = latency{}, 0, time.Time{}
	se.consecutiveSheds, se.growthDivisor, se.pauseUntil = 0, 1, time.Time{}
	return se
}

func (se Server) end(ev Ended) Server {
	se.inFlight--
	se.oldestSent, se.lastEnd = ev.Oldest, ev.Now
	if ev.Held {
		se.held++
	}
	switch oc := ev.Outcome; oc.Kind {
	case OK:
		se = se.replied(oc.Latency, ev.Now).grown(ev.Now)
	case Shed:
		se.lastReply = ev.Now
		se = se.shed(ev)
	case Draining:
		// A draining reply takes effect at once. The record that this instance
		// has may be older and still say Serving; only a newer record makes the
		// server usable again.
		se.lastReply = ev.Now
		se = se.transition(drain, ev.Now)
	case Failed:
		se.consecutiveFailures++
	case ConnectionLost, TimedOut:
		se.consecutiveFailures++
		se.latency = se.latency.withLowerBound(oc.Latency)
	case Cancelled:
		se.latency = se.latency.withLowerBound(oc.Latency)
	case NotSent:
		if se.limit < 1 {
			se.pacedUntil = se.pacedUntil.Add(-se.sendInterval())
		}
	}
	if ev.Probe {
		se = se.probeEnded(ev)
	}
	return se
}

func (se Server) replied(sample time.Duration, now time.Time) Server {
	se.lastReply = now
	se.consecutiveFailures, se.consecutiveSheds = 0, 0
	se.repliesSinceCold++
	se.latency = se.latency.with(sample)
	if se.unloadedLatency == 0 || se.latency.value < se.unloadedLatency {
		se.unloadedLatency = se.latency.value
	} else {
		se.unloadedLatency += time.Duration(unloadedLatencyDrift * float64(se.latency.value-se.unloadedLatency))
	}
	return se
}

func later(ti, ot time.Time) time.Time {
	if ti.After(ot) {
		return ti
	}
	return ot
}
