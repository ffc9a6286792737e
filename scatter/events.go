package scatter

import "time"

// AttemptStarted records that an attempt for a shard is in flight. From hedgeAt on it
// should be hedged; the zero time means never.
func (qu *Query) AttemptStarted(index int, hedgeAt time.Time) {
	sh := &qu.shards[index]
	if sh.inFlight > 0 && !qu.answered {
		qu.earlyHedges++
	}
	sh.inFlight++
	qu.inFlight++
	qu.alone = qu.oneAtATime()
	sh.nextAt = hedgeAt
	if hedgeAt.IsZero() {
		sh.nextAt = qu.pl.Deadline
	}
}

// AttemptDeferred records that an attempt could not be started and may be tried again
// later. At NoServerDeadline, or NoConnectionDeadline, a shard without an attempt in flight
// is given up, so that the caller learns at once that waiting is in vain.
func (qu *Query) AttemptDeferred(now time.Time, index int, ca Cause, retryAt time.Time) {
	sh := &qu.shards[index]
	if sh.inFlight > 0 {
		sh.nextAt = retryAt
		return
	}
	sh.setCause(ca)
	until := qu.pl.NoServerDeadline
	if ca != CauseNoServer {
		until = qu.pl.NoConnectionDeadline
	}
	if !now.Before(until) {
		qu.giveUp(sh)
		qu.updateState(now)
		return
	}
	sh.nextAt = earlier(retryAt, until)
}

// earlier returns the earlier time. It makes a shard be given up exactly at its deadline
// and not at the next retry after it.
func earlier(one, other time.Time) time.Time {
	if one.After(other) {
		return other
	}
	return one
}

// NoServerLeft records that no server is left to try for a shard and none is expected.
// Unless an attempt is in flight, the shard is given up at once: waiting until
// NoServerDeadline would delay the answer for a part that can't come. If an attempt is in
// flight, it only means that there is no hedge before retryAt.
func (qu *Query) NoServerLeft(now time.Time, index int, ca Cause, retryAt time.Time) {
	sh := &qu.shards[index]
	if sh.inFlight > 0 {
		sh.nextAt = retryAt
		return
	}
	sh.setCause(ca)
	qu.giveUp(sh)
	qu.updateState(now)
}

// GiveUp gives up a shard although attempts may be in flight. A part that they bring before
// the query has ended counts all the same.
func (qu *Query) GiveUp(now time.Time, index int, ca Cause) {
	sh := &qu.shards[index]
	if sh.hasPart {
		return
	}
	sh.setCause(ca)
	qu.giveUp(sh)
	qu.updateState(now)
}

// RetryNow makes a shard that waits for a server or a connection due at once.
func (qu *Query) RetryNow(now time.Time, index int) {
	sh := &qu.shards[index]
	if sh.inFlight == 0 && now.Before(sh.nextAt) {
		sh.nextAt = now
	}
}

// EndBy makes the query end by the given time at the latest. If enough parts are in by then,
// it is answered.
func (qu *Query) EndBy(at time.Time) {
	pl := &qu.pl
	for _, until := range []*time.Time{&pl.NoServerDeadline, &pl.NoConnectionDeadline, &pl.PartialDeadline, &pl.Deadline} {
		*until = earlier(*until, at)
	}
}

// AttemptEnded records how an attempt ended and updates the state of the query.
func (qu *Query) AttemptEnded(now time.Time, index int, ou Outcome) {
	sh := &qu.shards[index]
	sh.inFlight--
	qu.inFlight--
	switch ou {
	case OutcomePart:
		qu.answered = true
	case OutcomeLost:
		qu.recordLost()
	}
	if sh.hasPart {
		return
	}
	switch ou {
	case OutcomePart:
		sh.hasPart, sh.cause = true, CauseNone
		if sh.givenUp {
			sh.givenUp = false
			qu.numGivenUp--
		}
		qu.numParts++
	case OutcomeNoConnection:
		qu.backOff(now, sh)
	case OutcomeNotRun:
		sh.numRefused++
		qu.retryOrGiveUp(now, sh, CauseNotRun)
	case OutcomeFailed:
		sh.numRun++
		qu.retryOrGiveUp(now, sh, CauseFailed)
	case OutcomeLost:
		sh.numRun++
		qu.retryOrGiveUp(now, sh, CauseLost)
	}
	qu.updateState(now)
}

// recordLost counts a server that broke off, and assumes a query of death if that attempt
// was made alone as a probe.
func (qu *Query) recordLost() {
	qu.numLost++
	if qu.alone && !qu.answered && (qu.pl.Probe || qu.numLost >= maxLost) {
		qu.assumedFatal = true
	}
}

// retryOrGiveUp decides what follows an attempt without a part.
func (qu *Query) retryOrGiveUp(now time.Time, sh *shard, ca Cause) {
	sh.setCause(ca)
	if sh.inFlight > 0 {
		return // The other attempt may still bring the part.
	}
	if sh.numRun >= max(1, qu.pl.MaxAttempts) || sh.numRefused > qu.pl.MaxRefusals || (sh.numRun > 0 && !qu.pl.Repeatable) {
		qu.giveUp(sh)
		return
	}
	sh.nextAt = now
	if sh.numRefused > 1 {
		sh.nextAt = now.Add(qu.pl.RetryDelay * time.Duration(min(sh.numRefused-1, maxRefusalDelays)))
	}
}

// backOff makes a shard due again soon, with growing delays. A lack of free connections is
// local and not a refusal by a backend server. If it counted as one, a burst of requests
// right after a start, while there are few connections, would fail within milliseconds
// although the servers have capacity. For the same reason a part of a merged answer may
// wait longer than for the other parts, until NoConnectionDeadline: if the query failed
// instead, the caller would retry it with all shards.
func (qu *Query) backOff(now time.Time, sh *shard) {
	sh.setCause(CauseNoConnection)
	if sh.inFlight > 0 {
		return
	}
	if !now.Before(qu.pl.NoConnectionDeadline) && sh.numRun == 0 && sh.numRefused == 0 {
		qu.giveUp(sh)
		return
	}
	sh.nextAt = now.Add(qu.pl.RetryDelay << min(sh.numNoConnection, maxBackoffDoublings))
	sh.numNoConnection++
	if sh.numRun == 0 && sh.numRefused == 0 {
		sh.nextAt = earlier(sh.nextAt, qu.pl.NoConnectionDeadline)
	}
}

func (qu *Query) giveUp(sh *shard) {
	if !sh.givenUp {
		sh.givenUp = true
		qu.numGivenUp++
	}
}

// setCause sets why a shard has no part, unless the cause so far tells more.
func (sh *shard) setCause(ca Cause) { sh.cause = max(sh.cause, ca) }
