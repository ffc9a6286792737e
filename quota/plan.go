package quota

import (
	"slices"
	"time"
)

// flush decides what to ask for the queued accounts, one message for each owner. An account
// that is not due yet has its say if there is a message to its owner anyway.
func (le *Ledger) flush(now time.Time) []Ask {
	queue := le.queue
	le.queue, le.flushAt = nil, time.Time{}
	var open []*pendingAsk
	var notDue []*account
	for _, ac := range queue {
		if now.Before(ac.due) {
			notDue = append(notDue, ac)
			continue
		}
		ac.queued = false
		le.settle(now, ac)
		open = le.plan(now, ac, open)
	}
	for _, ac := range notDue {
		if ow, ok := le.chooseAhead(now, ac, ac.spare(now)); ok && indexOfOwner(open, ow) >= 0 {
			ac.queued = false
			open = le.plan(now, ac, open)
			continue
		}
		le.queue = append(le.queue, ac)
		le.flushBy(ac.due)
	}
	asks := make([]Ask, 0, len(open))
	for _, pe := range open {
		as := Ask{Owner: pe.owner, ID: pe.id, Version: le.version}
		for _, it := range pe.items {
			as.Wants = append(as.Wants, Want{Customer: it.ac.name, Count: it.count, Ahead: it.ahead, Spare: it.spare})
		}
		asks = append(asks, as)
		le.pending = append(le.pending, pe)
	}
	return asks
}

// plan adds what an account needs to the open requests. If no owner can be asked, it refuses
// the requests that wait.
func (le *Ledger) plan(now time.Time, ac *account, open []*pendingAsk) []*pendingAsk {
	need := len(ac.waiting) - ac.asked
	spare := ac.spare(now)
	ahead := ac.ahead(now, le.ttl, spare)
	if need <= 0 && (ahead+spare == 0 || ac.asked > 0) {
		return open
	}
	ow, ok := le.choose(now, ac)
	if need <= 0 {
		ow, ok = le.chooseAhead(now, ac, spare)
	}
	if need > 0 && !ok {
		le.noOwnerLeft(now, ac)
		return open
	}
	if need > 0 && now.Sub(ac.waiting[0].since) >= maxWait {
		if ac.asked > 0 {
			return open // Its answer or its timeout decides.
		}
		le.refuseOverdue(now, ac)
		if need = len(ac.waiting); need == 0 {
			return open
		}
	}
	if !ok {
		return open
	}
	ix := indexOfOwner(open, ow)
	if ix < 0 {
		le.nextID++
		ix = len(open)
		open = append(open, &pendingAsk{id: le.nextID, owner: ow, sentAt: now})
	}
	it := askItem{ac: ac, count: uint32(max(0, need)), ahead: uint32(ahead), spare: uint32(spare)}
	open[ix].items = append(open[ix].items, it)
	ac.asked += int(it.count)
	ac.aheadAsked = ac.aheadAsked || ahead+spare > 0
	return open
}

// indexOfOwner returns the index of the request to an owner, or -1.
func indexOfOwner(open []*pendingAsk, ow OwnerRef) int {
	return slices.IndexFunc(open, func(pe *pendingAsk) bool { return pe.owner.Address == ow.Address })
}

// noOwnerLeft handles requests for which no owner can be asked now. They go on waiting for
// an unanswered request, or for an owner that is about to have the configuration.
func (le *Ledger) noOwnerLeft(now time.Time, ac *account) {
	if ac.asked > 0 {
		return // Its answer or its timeout decides.
	}
	if le.anyBehind() && now.Sub(ac.waiting[0].since) < maxWait {
		le.enqueue(now, ac, behindRetry)
		return
	}
	le.refuseFirst(now, ac, len(ac.waiting))
}

// refuseOverdue refuses the requests that have waited for maxWait. Others, which may have
// just arrived, go on.
func (le *Ledger) refuseOverdue(now time.Time, ac *account) {
	count := slices.IndexFunc(ac.waiting, func(wt waiter) bool { return now.Sub(wt.since) < maxWait })
	if count < 0 {
		count = len(ac.waiting)
	}
	le.refuseFirst(now, ac, count)
}

// refuseFirst refuses the requests that have waited longest.
func (le *Ledger) refuseFirst(now time.Time, ac *account, count int) {
	for _, wt := range ac.waiting[:count] {
		delete(le.tickets, wt.ticket)
		le.settled = append(le.settled, Settled{Ticket: wt.ticket, Verdict: le.refuse(now, ac)})
	}
	ac.waiting = ac.waiting[count:]
}

// settle gives the tokens of an account to the requests that wait.
func (le *Ledger) settle(now time.Time, ac *account) {
	for len(ac.waiting) > 0 {
		expires, ok := ac.spend(now)
		if !ok {
			break
		}
		delete(le.tickets, ac.waiting[0].ticket)
		le.settled = append(le.settled, Settled{Ticket: ac.waiting[0].ticket, Verdict: Verdict{Outcome: Admitted, Expires: expires}})
		ac.waiting = ac.waiting[1:]
	}
}

// choose returns the owner to ask for a customer: one that is not known to be empty or
// silent, in the same data centre if there is one. Several are asked in turn.
func (le *Ledger) choose(now time.Time, ac *account) (OwnerRef, bool) {
	return le.chooseFrom(now, ac, ac.turn, true)
}

// chooseAhead returns the owner to ask for tokens ahead. For spare ones, those in the same data
// centre are not preferred: nobody waits for them, and each owner has few. All customers ask the
// same owner in a second, to share its messages, and another one in the next.
func (le *Ledger) chooseAhead(now time.Time, ac *account, spare int) (OwnerRef, bool) {
	if spare > 0 {
		return le.chooseFrom(now, ac, ac.spareTurn+uint64(now.Unix()), false)
	}
	return le.choose(now, ac)
}

func (le *Ledger) chooseFrom(now time.Time, ac *account, turn uint64, nearFirst bool) (OwnerRef, bool) {
	best, bestRank := -1, uint64(0)
	count := uint64(max(1, len(le.owners)))
	for ix, ow := range le.owners {
		if now.Before(le.states[ow.Address].skipUntil) || now.Before(ac.emptyUntil[ow.Address]) {
			continue
		}
		rank := (uint64(ix) + turn) % count
		if nearFirst && !ow.Near {
			rank += count
		}
		if best < 0 || rank < bestRank {
			best, bestRank = ix, rank
		}
	}
	if best < 0 {
		return OwnerRef{}, false
	}
	return le.owners[best], true
}

// anyBehind reports whether an owner grants nothing only because its configuration is older.
func (le *Ledger) anyBehind() bool {
	return slices.ContainsFunc(le.owners, func(ow OwnerRef) bool { return le.states[ow.Address].refusal == Behind })
}

// Bounds of Verdict.RetryAfter.
const (
	minRetryAfter = 5 * time.Millisecond
	// maxRetryQueue is how far behind the next token the callers that were refused are spread.
	maxRetryQueue = time.Second
	// noOwnerRetryAfter is for callers that no owner grants anything. Another entry instance
	// may be in contact with the owners.
	noOwnerRetryAfter = 100 * time.Millisecond
)

// refuse returns the verdict for a request for which no owner has a token. Callers that are
// refused together are told times that are retryGap apart.
func (le *Ledger) refuse(now time.Time, ac *account) Verdict {
	ac.turn++
	vd := Verdict{Outcome: NoOwner, RetryAfter: noOwnerRetryAfter, Owners: make([]Statement, 0, len(le.owners))}
	var earliest time.Time
	for _, ow := range le.owners {
		st, until := le.states[ow.Address], ac.emptyUntil[ow.Address]
		sm := Statement{Owner: ow.Name, Silent: st.silent, Refusal: st.refusal}
		if now.Before(until) && !st.silent && st.refusal == None {
			sm.Empty = true
			vd.Outcome = OverQuota
			if earliest.IsZero() || until.Before(earliest) {
				earliest = until
			}
		}
		vd.Owners = append(vd.Owners, sm)
	}
	if vd.Outcome == OverQuota {
		at := ac.nextRetry.Add(retryGap)
		if at.Before(earliest) {
			at = earliest
		}
		if latest := earliest.Add(maxRetryQueue); at.After(latest) {
			at = earliest
		}
		ac.nextRetry = at
		vd.RetryAfter = max(minRetryAfter, at.Sub(now).Round(time.Millisecond))
	}
	return vd
}

// retryGap is the time between two callers that were refused together. A caller that comes
// back finds a token only if no other caller has taken it.
const retryGap = 20 * time.Millisecond
