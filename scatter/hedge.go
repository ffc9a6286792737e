package scatter

import "time"

// HasMinParts reports whether enough parts for an answer are in. The others are optional.
func (qu *Query) HasMinParts() bool { return qu.numParts >= qu.pl.MinParts }

// MayHedge reports whether a shard has exactly one attempt in flight and it may be hedged.
func (qu *Query) MayHedge(index int) bool {
	sh := &qu.shards[index]
	return qu.state == Running && !sh.hasPart && sh.inFlight == 1 && qu.mayAttempt(sh)
}

// HedgeNow makes the hedge of a shard due at once, because the backend server of its attempt
// is known to be stalled.
func (qu *Query) HedgeNow(now time.Time, index int) {
	if sh := &qu.shards[index]; qu.MayHedge(index) && now.Before(sh.nextAt) {
		sh.nextAt = now
	}
}
