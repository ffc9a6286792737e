package scatter

import "time"

// Asked says that an attempt for a shard is under way. From hedgeAt on a second
// one is wanted beside it; the zero time means never.
func (qu *Query) AttemptStarted(po int, hedgeAt time.Time) {
	sh := &qu.shards[po]
	if sh.flying > 0 && !qu.answered {
		qu.hedges++
	}
	sh.flying++
	qu.flying++
	qu.alone = qu.careful()
	sh.next = hedgeAt
	if hedgeAt.IsZero() {
		sh.next = qu.pl.Deadline
	}
}

// Denied says that an attempt could not be begun and may be tried again later.
// At Offer, or Room, a shard that nobody is asked for is given up: a caller that waits
// for nothing is better told so at once.
func (qu *Query) AttemptDeferred(now time.Time, po int, ca Cause, again time.Time) {
	sh := &qu.shards[po]
	if sh.flying > 0 {
		sh.next = again
		return
	}
	sh.blame(ca)
	until := qu.pl.NoServerDeadline
	if ca != CauseNoServer {
		until = qu.pl.NoConnectionDeadline
	}
	if !now.Before(until) {
		qu.lose(sh)
		qu.settle(now)
		return
	}
	sh.next = earlier(again, until)
}

// earlier returns the earlier time. A shard is given up just when its time is over, and
// not at the next look after that.
func earlier(one, other time.Time) time.Time {
	if one.After(other) {
		return other
	}
	return one
}

// Nobody says that nobody is left who could be asked for a shard and that nobody is
// expected. Unless an attempt is under way, the shard is given up at once: held
// until Offer, an answer would come late for a part that can't come. Beside an
// attempt it only means that there is no hedge before the given time.
func (qu *Query) NoServerLeft(now time.Time, po int, ca Cause, again time.Time) {
	sh := &qu.shards[po]
	if sh.flying > 0 {
		sh.next = again
		return
	}
	sh.blame(ca)
	qu.lose(sh)
	qu.settle(now)
}

// Room says that a shard which waits for a server or a connection need not wait
// any more.
func (qu *Query) RetryNow(now time.Time, po int) {
	sh := &qu.shards[po]
	if sh.flying == 0 && now.Before(sh.next) {
		sh.next = now
	}
}

// Replied says how an attempt ended, and settles the query if that decides it.
func (qu *Query) AttemptEnded(now time.Time, po int, re Outcome) {
	sh := &qu.shards[po]
	sh.flying--
	qu.flying--
	switch re {
	case OutcomePart:
		qu.answered = true
	case OutcomeLost:
		qu.broke()
	}
	if sh.have {
		return
	}
	switch re {
	case OutcomePart:
		sh.have, sh.cause = true, CauseNone
		if sh.lost {
			sh.lost = false
			qu.lost--
		}
		qu.have++
	case OutcomeNoConnection:
		qu.busy(now, sh)
	case OutcomeNotRun:
		sh.refused++
		qu.ended(now, sh, CauseNotRun)
	case OutcomeFailed:
		sh.ran++
		qu.ended(now, sh, CauseFailed)
	case OutcomeLost:
		sh.ran++
		qu.ended(now, sh, CauseLost)
	}
	qu.settle(now)
}

// broke counts a server that broke off, and gives the request up if it was asked alone to
// see whether it would.
func (qu *Query) broke() {
	qu.broken++
	if qu.alone && !qu.answered && (qu.pl.Probe || qu.broken >= mostBroken) {
		qu.givenUp = true
	}
}

// ended decides what follows an attempt without a part.
func (qu *Query) ended(now time.Time, sh *shard, ca Cause) {
	sh.blame(ca)
	if sh.flying > 0 {
		return // The other attempt may still bring the part.
	}
	if sh.ran >= max(1, qu.pl.MaxAttempts) || sh.refused > refusals || (sh.ran > 0 && !qu.pl.Repeatable) {
		qu.lose(sh)
		return
	}
	sh.next = now
	if sh.refused > 1 {
		sh.next = now.Add(qu.pl.RetryDelay * time.Duration(sh.refused-1))
	}
}

// busy has a shard asked again soon, and later each time. Having no connection free
// is this instance's own lack and no refusal of a backend server: counted as one, a
// burst of requests right after a start, while connections are few, would fail
// within milliseconds although the servers have room. For the same reason a part of
// a merged answer is waited for beyond the time of the other parts, as far as Room:
// failed for want of it, the caller comes again and has all shards asked once more.
func (qu *Query) busy(now time.Time, sh *shard) {
	sh.blame(CauseNoConnection)
	if sh.flying > 0 {
		return
	}
	if !now.Before(qu.pl.NoConnectionDeadline) && sh.ran == 0 && sh.refused == 0 {
		qu.lose(sh)
		return
	}
	sh.next = now.Add(qu.pl.RetryDelay << min(sh.busy, busyDoublings))
	sh.busy++
	if sh.ran == 0 && sh.refused == 0 {
		sh.next = earlier(sh.next, qu.pl.NoConnectionDeadline)
	}
}

func (qu *Query) lose(sh *shard) {
	if !sh.lost {
		sh.lost = true
		qu.lost++
	}
}

// blame notes why a shard has no part, unless more is known already.
func (sh *shard) blame(ca Cause) { sh.cause = max(sh.cause, ca) }
