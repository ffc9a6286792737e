// Package scatter decides how one request is carried out over the shards of its route:
// which shards are tried, retried or hedged, when the parts so far are given to the caller,
// and which error is returned if too few came. A request to a single backend server is a
// query over one shard.
//
// A Query is driven by events that carry the time. It uses no clock and no socket, so that
// a whole request can be tested as a table of events.
package scatter

import (
	"time"
)

// Plan configures a query.
type Plan struct {
	Shards               int       // Shards is the number of parts of a complete answer, at least 1.
	MinParts             int       // MinParts is how many parts an answer needs.
	MaxAttempts          int       // MaxAttempts is how many backend servers may run the request for one shard.
	Repeatable           bool      // Repeatable is set if a request may run more than once.
	NoServerDeadline     time.Time // NoServerDeadline is when a shard without any server to try is given up.
	NoConnectionDeadline time.Time // NoConnectionDeadline is when a shard is given up that gets no attempt for another cause, such as no free connection; zero means NoServerDeadline.
	PartialDeadline      time.Time // PartialDeadline is until when missing parts are awaited once MinParts are in.
	Deadline             time.Time // Deadline is when the query expires.
	// RetryDelay is the delay before a shard is retried after its second refusal, and by how
	// much the delay grows with each of the next two; after the first refusal there is none.
	// It is also the first delay if no connection is free.
	RetryDelay time.Duration
	// MaxRefusals is how many refusals of a shard may be followed by another try; zero
	// means 3.
	MaxRefusals int
	// Probe is set if servers have failed under the same request before. One server is
	// tried alone, and others only once it has answered.
	Probe      bool
	FirstShard int // FirstShard is the index of the shard that is tried first.
}

// Cause says why a shard has no part.
type Cause uint8

// The causes. A greater one tells more about what happened to the request.
const (
	CauseNone         Cause = iota
	CauseNoServer           // No backend server of the shard is known.
	CauseDown               // Its backend servers fail nearly all requests of all entry instances.
	CauseCold               // Its backend servers are cold and already get all they can take.
	CauseNoConnection       // No connection or slot was free, so nothing was sent.
	CauseBudget             // The retry budget is spent.
	CauseNotRun             // Backend servers refused it without running it, or were unreachable.
	CauseTimeout            // It was sent and not answered in time.
	CauseFailed             // A backend server answered with a failure.
	CauseLost               // It was sent and the answer was lost or invalid.
)

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	OutcomePart         Outcome = iota // OutcomePart: a complete successful answer came.
	OutcomeNotRun                      // OutcomeNotRun: the server said that it refused the request, or no byte was sent.
	OutcomeFailed                      // OutcomeFailed: the server answered with a failure.
	OutcomeLost                        // OutcomeLost: bytes were sent and no valid answer came.
	OutcomeNoConnection                // OutcomeNoConnection: this instance had no free connection, so nothing was sent.
)

// State is the state of a query.
type State uint8

// The states of a query.
const (
	Running  State = iota
	Answered       // At least MinParts parts are in.
	Failed         // Too few parts came, and no more can come.
	Expired        // The deadline passed.
)

// Attempt is an attempt that the executor should start for a shard. It reports back with
// AttemptStarted or AttemptDeferred.
type Attempt struct {
	Shard int
	Kind  AttemptKind
}

// AttemptKind says why an attempt is made.
type AttemptKind uint8

// The kinds of attempts.
const (
	First AttemptKind = iota // First is the first attempt for a shard, which costs no budget.
	Retry                    // Retry follows an attempt that ended without a part.
	Hedge                    // Hedge runs beside an attempt that is overdue.
)

// defaultMaxRefusals is used if the Plan sets no MaxRefusals. Each refused attempt reached
// a server, so they are bounded separately from MaxAttempts, which counts attempts that may
// have run.
const defaultMaxRefusals = 3

// maxRefusalDelays bounds the delay after a refusal, as a multiple of RetryDelay. A server
// that refuses a part of its requests may accept the next one, and the other parts wait.
const maxRefusalDelays = 3

// A request may be a query of death, which crashes every server that runs it. This is
// unknown until a server has answered. A failure response proves nothing: a server may send
// it before it runs the request, or at the deadline, shortly before it would crash.
const (
	// maxEarlyHedges bounds the hedges before the first answer.
	maxEarlyHedges = 3
	// cautiousAfter is how many servers may break off before the first answer until servers
	// are tried one at a time, and maxLost how many until no further one is tried.
	cautiousAfter = 2
	maxLost       = 3
)

// maxBackoffDoublings is how often the delay for lack of a connection doubles.
const maxBackoffDoublings = 3

// shard is the state of one part.
type shard struct {
	inFlight        int // inFlight counts attempts in flight.
	numRun          int // numRun counts ended attempts that may have run.
	numRefused      int
	numNoConnection int // numNoConnection counts how often no connection was free.
	hasPart         bool
	givenUp         bool      // givenUp is set if no further attempt is made.
	nextAt          time.Time // nextAt is when the next attempt or hedge is due.
	cause           Cause
}

// Query is the state of one query. It is not safe for concurrent use.
type Query struct {
	pl         Plan
	shards     []shard
	numParts   int
	numGivenUp int
	state      State

	inFlight     int  // inFlight counts the attempts in flight for all shards.
	earlyHedges  int  // earlyHedges counts the hedges started before any server had answered.
	numLost      int  // numLost counts the attempts that were sent and got no valid answer.
	answered     bool // answered is set once a part has come: the request is no query of death.
	alone        bool // alone is set if the attempt in flight was started alone to probe for a query of death.
	assumedFatal bool // assumedFatal is set if the request is taken for a query of death, so that no further server is tried.
}

// New returns a query without any attempt yet.
func New(pl Plan) *Query {
	if pl.NoConnectionDeadline.IsZero() {
		pl.NoConnectionDeadline = pl.NoServerDeadline
	}
	if pl.MaxRefusals <= 0 {
		pl.MaxRefusals = defaultMaxRefusals
	}
	return &Query{pl: pl, shards: make([]shard, pl.Shards)}
}

// State returns the state of the query.
func (qu *Query) State() State { return qu.state }

// NumParts returns how many parts are in.
func (qu *Query) NumParts() int { return qu.numParts }

// HasPart reports whether the part of a shard is in.
func (qu *Query) HasPart(index int) bool { return qu.shards[index].hasPart }

// Cause returns why a shard has no part yet.
func (qu *Query) Cause(index int) Cause { return qu.shards[index].cause }

// NeedsAttempt reports whether the query is running and a shard has neither a part nor an
// attempt in flight, and is not given up.
func (qu *Query) NeedsAttempt(index int) bool {
	sh := &qu.shards[index]
	return qu.state == Running && !sh.hasPart && !sh.givenUp && sh.inFlight == 0
}

// Exhausted reports whether a shard waits only for attempts in flight, since no other one
// is allowed beside or after them.
func (qu *Query) Exhausted(index int) bool {
	sh := &qu.shards[index]
	return qu.state == Running && !sh.hasPart && !sh.givenUp && sh.inFlight > 0 && sh.numRun+sh.inFlight >= max(1, qu.pl.MaxAttempts)
}

// NeedsRetries reports whether the answer can't reach MinParts without a further attempt,
// even if all attempts in flight bring their parts. Otherwise a retry only makes a partial
// answer more complete, or serves if an attempt in flight fails.
func (qu *Query) NeedsRetries() bool {
	expected := qu.numParts
	for index := range qu.shards {
		if sh := &qu.shards[index]; !sh.hasPart && !sh.givenUp && sh.inFlight > 0 {
			expected++
		}
	}
	return expected < qu.pl.MinParts
}

// Next appends the attempts that are due now to out and returns it. Unless an event comes
// first, it should be called again at WakeAt.
func (qu *Query) Next(now time.Time, out []Attempt) []Attempt {
	qu.updateState(now)
	if qu.state != Running {
		return out
	}
	planned := 0
	for ix := range qu.shards {
		index := (qu.pl.FirstShard + ix) % len(qu.shards)
		sh := &qu.shards[index]
		if sh.hasPart || sh.givenUp || now.Before(sh.nextAt) || !qu.mayAttempt(sh) {
			continue
		}
		switch {
		case sh.inFlight > 0 && !qu.mayHedge(planned):
			continue
		case sh.inFlight > 0:
			planned++
			out = append(out, Attempt{index, Hedge})
		case sh.numRun+sh.numRefused > 0:
			out = append(out, Attempt{index, Retry})
		default:
			out = append(out, Attempt{index, First})
		}
		if qu.oneAtATime() {
			break
		}
	}
	return out
}

// oneAtATime reports whether servers are tried one at a time. Otherwise a query of death
// and its retries would take two servers of each shard within milliseconds.
func (qu *Query) oneAtATime() bool {
	return !qu.answered && (qu.pl.Probe || qu.numLost >= cautiousAfter)
}

// mayHedge reports whether one more hedge is allowed beside those already planned. Hedges
// help against a slow server. If no shard has answered, the cause is another one, and the
// request may be crashing every server that has it.
func (qu *Query) mayHedge(planned int) bool {
	return qu.answered || qu.earlyHedges+planned < maxEarlyHedges
}

// mayAttempt reports whether one more backend server may get the request.
func (qu *Query) mayAttempt(sh *shard) bool {
	switch {
	case sh.inFlight > 0 && !qu.pl.Repeatable:
		return false // A request that may run only once has one attempt at a time.
	case qu.inFlight > 0 && qu.oneAtATime():
		return false
	case sh.inFlight > 0 && !qu.mayHedge(0):
		return false
	}
	return sh.numRun+sh.inFlight < max(1, qu.pl.MaxAttempts)
}

// updateState ends the query if waiting can't improve the result.
func (qu *Query) updateState(now time.Time) {
	if qu.state != Running {
		return
	}
	total := qu.pl.Shards
	switch {
	case qu.assumedFatal:
		qu.state = Failed
	case qu.numParts == total:
		qu.state = Answered
	case qu.numParts+qu.numGivenUp == total && qu.numParts >= qu.pl.MinParts:
		qu.state = Answered
	case total-qu.numGivenUp < qu.pl.MinParts:
		// Enough parts can't come any more, so the failure is reported at once.
		qu.state = Failed
	case qu.numParts >= qu.pl.MinParts && !now.Before(qu.pl.PartialDeadline):
		qu.state = Answered
	case !now.Before(qu.pl.Deadline):
		qu.state = Expired
	}
	if qu.state == Answered || qu.state == Running {
		return
	}
	for index := range qu.shards {
		if sh := &qu.shards[index]; !sh.hasPart && sh.inFlight > 0 && sh.cause < CauseTimeout {
			sh.cause = CauseTimeout
		}
	}
}

// WakeAt returns when Next should be called again if no event comes first.
func (qu *Query) WakeAt(now time.Time) time.Time {
	wake := qu.pl.Deadline
	if qu.numParts >= qu.pl.MinParts && qu.pl.PartialDeadline.Before(wake) {
		wake = qu.pl.PartialDeadline
	}
	for index := range qu.shards {
		sh := &qu.shards[index]
		if !sh.hasPart && !sh.givenUp && qu.mayAttempt(sh) && sh.nextAt.Before(wake) {
			wake = sh.nextAt
		}
	}
	if wake.Before(now) {
		return now
	}
	return wake
}

// MayHaveRun reports whether any backend server may have run the request.
func (qu *Query) MayHaveRun() bool {
	for _, sh := range qu.shards {
		if sh.hasPart || sh.numRun > 0 || sh.inFlight > 0 {
			return true
		}
	}
	return false
}

// OnlyInFlight reports whether attempts are in flight and no ended one may have run the
// request.
func (qu *Query) OnlyInFlight() bool {
	for _, sh := range qu.shards {
		if sh.hasPart || sh.numRun > 0 {
			return false
		}
	}
	return qu.inFlight > 0
}

// String returns the cause in a few words.
func (ca Cause) String() string {
	switch ca {
	case CauseNoServer:
		return "no backend server is known"
	case CauseDown:
		return "backend servers are down"
	case CauseCold:
		return "backend servers are warming up"
	case CauseNoConnection:
		return "no connection was free"
	case CauseBudget:
		return "the retry budget is spent"
	case CauseNotRun:
		return "backend servers refused it"
	case CauseTimeout:
		return "no answer in time"
	case CauseFailed:
		return "backend servers failed"
	case CauseLost:
		return "an answer was lost"
	}
	return "no cause"
}
