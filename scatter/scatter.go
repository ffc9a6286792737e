// Package scatter decides how one request is carried out over the shards of its
// route: which shard is asked, asked again or hedged, when the parts that are in
// are given to the caller, and what is said if too few came. A request to a
// single backend server is a query over one shard.
//
// A Query is driven by events with the time in them. It touches no clock and no
// socket, so that a whole request can be tested as a table of events.
package scatter

import (
	"time"
)

// Plan is what a query is started with.
type Plan struct {
	Shards               int           // Shards is how many parts make the whole answer, at least 1.
	MinParts             int           // Least is how many parts an answer needs.
	MaxAttempts          int           // MaxAttempts is how many backend servers may run the request for one shard.
	Repeatable           bool          // Repeatable says whether a request may run more than once.
	NoServerDeadline     time.Time     // Offer is until when a shard that nobody could be asked for is tried.
	NoConnectionDeadline time.Time     // Room is the same for one whose servers have no connection free; Offer if zero.
	PartialDeadline      time.Time     // Hold is until when missing parts are waited for once Least are in.
	Deadline             time.Time     // Deadline is when the query is given up.
	RetryDelay           time.Duration // Pause is the time before a shard is asked again after a refusal, or the first time for want of a connection.
	// Probe says that servers have ended under the same request before. One is asked
	// alone, and others only once it has answered.
	Probe      bool
	FirstShard int // From is the shard that is asked first, from 0.
}

// Cause says why a shard has no part.
type Cause uint8

// The causes, the later ones telling more about what happened to the request.
const (
	CauseNone         Cause = iota
	CauseNoServer           // No backend server of the shard is known.
	CauseCold               // Its backend servers are cold and get what they bear already.
	CauseNoConnection       // No connection or slot was to be had, so nothing was sent.
	CauseBudget             // The retry budget is spent.
	CauseNotRun             // Backend servers refused it unrun, or were not reached.
	CauseTimeout            // It was sent and not answered in time.
	CauseFailed             // A backend server answered with a failure.
	CauseLost               // It was sent and the answer was lost or wrong.
)

// Reply says how an attempt ended.
type Outcome uint8

// The kinds of replies.
const (
	OutcomePart         Outcome = iota // ReplyPart is a whole success.
	OutcomeNotRun                      // ReplyNotRun: refused by the server's own word, or no byte was sent.
	OutcomeFailed                      // ReplyFailed: the server answered with a failure of its own.
	OutcomeLost                        // ReplyLost: bytes were sent and no good answer came.
	OutcomeNoConnection                // ReplyBusy: this instance had no connection free, so nobody was asked.
)

// End says that a query is over.
type State uint8

// The ends of a query.
const (
	Running  State = iota
	Answered       // At least Least parts are in.
	Failed         // Too few parts came, and more can't.
	Expired        // The deadline passed.
)

// Want is something the executor is to try for a shard. It answers with Asked
// or Denied.
type Attempt struct {
	Shard int
	Kind  AttemptKind
}

// WantKind says for what an attempt is.
type AttemptKind uint8

// The kinds of wants.
const (
	First AttemptKind = iota // First is the first arrival for a shard, which costs no budget.
	Retry                    // Retry follows an attempt that ended without a part.
	Hedge                    // Hedge runs beside an attempt that is overdue.
)

// refusals is how many backend servers that refused a request unrun are
// followed by another one. Each counts as an arrival, so they are bounded
// apart from MaxAttempts, which counts those that may have run it.
const refusals = 3

// A request may end whoever runs it. Until a server has answered, there is no telling. A
// failure proves nothing: a server may also give it before it runs the request, or at the
// deadline, shortly before it would end.
const (
	// fewHedges is how many hedges there may be until then.
	fewHedges = 3
	// fewBroken is how many servers may break off until then before the others are asked one
	// at a time, and mostBroken how many before no further one is asked.
	fewBroken  = 2
	mostBroken = 3
)

// busyDoublings is how often the pause for want of a connection doubles.
const busyDoublings = 3

// shard is the state of one part.
type shard struct {
	flying  int // flying counts attempts under way.
	ran     int // ran counts attempts that may have run.
	refused int
	busy    int // busy counts how often no connection was free.
	have    bool
	lost    bool      // lost says that no further attempt is made.
	next    time.Time // next is when the next ask or hedge is considered.
	cause   Cause
}

// Query is the state of one query. It is used by one goroutine.
type Query struct {
	pl     Plan
	shards []shard
	have   int
	lost   int
	end    State

	flying   int  // flying counts the attempts under way for all shards.
	hedges   int  // hedges counts those that were begun before any server had answered.
	broken   int  // broken counts those that were sent and had no good answer.
	answered bool // answered says that a part has come: the request doesn't end whoever runs it.
	alone    bool // alone says that the attempt under way was begun alone, to see whether it does.
	givenUp  bool // givenUp says that it is taken to do so, so that no further one is asked.
}

// New returns a query that has asked nobody yet.
func New(pl Plan) *Query {
	if pl.NoConnectionDeadline.IsZero() {
		pl.NoConnectionDeadline = pl.NoServerDeadline
	}
	return &Query{pl: pl, shards: make([]shard, pl.Shards)}
}

// End returns how the query ended, or Running.
func (qu *Query) State() State { return qu.end }

// Have returns how many parts are in.
func (qu *Query) NumParts() int { return qu.have }

// Has reports whether the part of a shard is in.
func (qu *Query) HasPart(sh int) bool { return qu.shards[sh].have }

// Cause returns why a shard has no part yet.
func (qu *Query) Cause(sh int) Cause { return qu.shards[sh].cause }

// Waits reports whether a shard has neither a part nor an attempt under way, and is
// not given up.
func (qu *Query) NeedsAttempt(po int) bool {
	sh := &qu.shards[po]
	return qu.end == Running && !sh.have && !sh.lost && sh.flying == 0
}

// Next appends what is to be tried now to out and returns it. Until the next
// event, Wake tells when to call it again.
func (qu *Query) Next(now time.Time, out []Attempt) []Attempt {
	qu.settle(now)
	if qu.end != Running {
		return out
	}
	hedges := 0
	for ix := range qu.shards {
		po := (qu.pl.FirstShard + ix) % len(qu.shards)
		sh := &qu.shards[po]
		if sh.have || sh.lost || now.Before(sh.next) || !qu.mayAsk(sh) {
			continue
		}
		switch {
		case sh.flying > 0 && !qu.mayHedge(hedges):
			continue
		case sh.flying > 0:
			hedges++
			out = append(out, Attempt{po, Hedge})
		case sh.ran+sh.refused > 0:
			out = append(out, Attempt{po, Retry})
		default:
			out = append(out, Attempt{po, First})
		}
		if qu.careful() {
			break
		}
	}
	return out
}

// careful reports whether servers are asked one at a time. Otherwise a request that ends
// whoever runs it takes two servers of each shard, by its retries, within milliseconds.
func (qu *Query) careful() bool {
	return !qu.answered && (qu.pl.Probe || qu.broken >= fewBroken)
}

// mayHedge reports whether there may be one more hedge beside those that are wanted. Where
// no shard has answered, it is not a slow server that hedges help against, and the request
// may be ending all that have it.
func (qu *Query) mayHedge(wanted int) bool {
	return qu.answered || qu.hedges+wanted < fewHedges
}

// mayAsk reports whether one more backend server may get the request.
func (qu *Query) mayAsk(sh *shard) bool {
	switch {
	case sh.flying > 0 && !qu.pl.Repeatable:
		return false // A request that may run once has one attempt at a time.
	case qu.flying > 0 && qu.careful():
		return false
	case sh.flying > 0 && !qu.mayHedge(0):
		return false
	}
	return sh.ran+sh.flying < max(1, qu.pl.MaxAttempts)
}

// settle ends the query if nothing better can come of waiting.
func (qu *Query) settle(now time.Time) {
	if qu.end != Running {
		return
	}
	total := qu.pl.Shards
	switch {
	case qu.givenUp:
		qu.end = Failed
	case qu.have == total:
		qu.end = Answered
	case qu.have+qu.lost == total && qu.have >= qu.pl.MinParts:
		qu.end = Answered
	case total-qu.lost < qu.pl.MinParts:
		// Enough parts can't come any more: what was given up on is said at once.
		qu.end = Failed
	case qu.have >= qu.pl.MinParts && !now.Before(qu.pl.PartialDeadline):
		qu.end = Answered
	case !now.Before(qu.pl.Deadline):
		qu.end = Expired
	}
	if qu.end == Answered || qu.end == Running {
		return
	}
	for po := range qu.shards {
		if sh := &qu.shards[po]; !sh.have && sh.flying > 0 && sh.cause < CauseTimeout {
			sh.cause = CauseTimeout
		}
	}
}

// Wake returns when Next is to be called again if no event comes before.
func (qu *Query) WakeAt(now time.Time) time.Time {
	at := qu.pl.Deadline
	if qu.have >= qu.pl.MinParts && qu.pl.PartialDeadline.Before(at) {
		at = qu.pl.PartialDeadline
	}
	for po := range qu.shards {
		sh := &qu.shards[po]
		if !sh.have && !sh.lost && qu.mayAsk(sh) && sh.next.Before(at) {
			at = sh.next
		}
	}
	if at.Before(now) {
		return now
	}
	return at
}

// Ran reports whether any backend server may have run the request.
func (qu *Query) MayHaveRun() bool {
	for _, sh := range qu.shards {
		if sh.have || sh.ran > 0 || sh.flying > 0 {
			return true
		}
	}
	return false
}

// String returns the cause in a few words.
func (ca Cause) String() string {
	switch ca {
	case CauseNoServer:
		return "no backend server is known"
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
