package scatter

import "time"

// MayHedge reports whether a shard has exactly one attempt in flight, which may be hedged,
// and the answer still lacks parts.
func (qu *Query) MayHedge(index int) bool {
	sh := &qu.shards[index]
	return qu.state == Running && qu.numParts < qu.pl.MinParts && !sh.hasPart && sh.inFlight == 1 && qu.mayAttempt(sh)
}

// HedgeNow makes the hedge of a shard due at once, because the backend server of its attempt
// is known to be stalled.
func (qu *Query) HedgeNow(now time.Time, index int) {
	if sh := &qu.shards[index]; qu.MayHedge(index) && now.Before(sh.nextAt) {
		sh.nextAt = now
	}
}
