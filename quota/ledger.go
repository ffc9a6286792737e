package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// aheadDelay is how long a request for tokens ahead waits for a message to the same owner.
	aheadDelay = 50 * time.Millisecond
	// behindRetry is the time between two looks for an owner while all have an older
	// configuration.
	behindRetry = 4 * time.Millisecond
	// answerTimeout is after how long without an answer the next owner is asked. An answer
	// takes about a millisecond.
	answerTimeout = 20 * time.Millisecond
	// silentSkip is for how long an owner that did not answer, or does not grant, is skipped.
	silentSkip = 500 * time.Millisecond
	// behindSkip is for how long an owner with an older configuration is skipped. It parses
	// the one that this instance has already parsed.
	behindSkip = 20 * time.Millisecond
	// maxWait bounds the time for which a request waits for a token.
	maxWait = 150 * time.Millisecond
	// aheadPause is for how long no tokens are asked for ahead after an owner had none to
	// spare.
	aheadPause = time.Second
	// sweepInterval is the time between two removals of idle accounts.
	sweepInterval = 10 * time.Second
)

// Ledger holds the tokens of one entry instance and decides which owner is asked for more.
// Its user calls Step at the time of WakeAt at the latest. It is not safe for concurrent
// use.
type Ledger struct {
	ttl       time.Duration
	seed      uint64
	version   uint64
	owners    []OwnerRef
	states    map[string]*ownerState // by address
	accounts  map[string]*account
	tickets   map[uint64]*account // accounts of the requests that wait
	pending   []*pendingAsk       // unanswered requests, the oldest first
	queue     []*account          // accounts to look at in the next Step
	settled   []Settled
	nextID    uint64
	flushAt   time.Time // when Step looks at the queue; zero if it is empty
	lastSweep time.Time
}

// ownerState is what an owner said about all customers.
type ownerState struct {
	skipUntil time.Time
	silent    bool
	refusal   Refusal
}

// pendingAsk is an unanswered request.
type pendingAsk struct {
	id      uint64
	owner   OwnerRef
	sentAt  time.Time
	overdue bool
	items   []askItem
}

// askItem is the part of a request about one customer.
type askItem struct {
	ac    *account
	count uint32
	ahead uint32
	spare uint32
}

// NewLedger returns the ledger of an entry instance that holds no tokens. The seed varies
// which owners are asked first.
func NewLedger(li Limits, seed uint64) *Ledger {
	return &Ledger{
		ttl: li.TokenTTL(), seed: seed, states: make(map[string]*ownerState),
		accounts: make(map[string]*account), tickets: make(map[uint64]*account),
	}
}

// SetOwners sets the control instances that may be asked. The slice must not be changed
// later.
func (le *Ledger) SetOwners(ows []OwnerRef) {
	if len(ows) == len(le.owners) && (len(ows) == 0 || &ows[0] == &le.owners[0]) {
		return
	}
	le.owners = ows
	for _, ow := range ows {
		if le.states[ow.Address] == nil {
			le.states[ow.Address] = &ownerState{}
		}
	}
	maps.DeleteFunc(le.states, func(address string, _ *ownerState) bool {
		return !slices.ContainsFunc(ows, func(ow OwnerRef) bool { return ow.Address == address })
	})
	for _, ac := range le.accounts {
		maps.DeleteFunc(ac.emptyUntil, func(address string, _ time.Time) bool { return le.states[address] == nil })
	}
}

// SetVersion sets the version of the configuration in force. What owners said about empty
// buckets is forgotten, since the quotas may have been raised.
func (le *Ledger) SetVersion(version uint64) {
	if version <= le.version {
		return
	}
	le.version = version
	for _, ac := range le.accounts {
		clear(ac.emptyUntil)
		ac.nextRetry = time.Time{}
	}
}

// Take decides about a new request of a customer with a quota. If the outcome is Waiting, a
// Step will settle the ticket. A Step at the same time sends the request for its token.
func (le *Ledger) Take(now time.Time, name string) (Verdict, uint64) {
	ac := le.account(name)
	ac.demand.add(now, 1)
	ac.steady.add(now, 1)
	if len(ac.waiting) == 0 {
		if expires, ok := ac.spend(now); ok {
			if sp := ac.spare(now); ac.asked == 0 && sp+ac.ahead(now, le.ttl, sp) > 0 {
				le.enqueue(now, ac, aheadDelay)
			}
			return Verdict{Outcome: Admitted, Expires: expires}, 0
		}
		if _, ok := le.choose(now, ac); !ok && ac.asked == 0 && !le.anyBehind() {
			return le.refuse(now, ac), 0
		}
	}
	le.nextID++
	ac.waiting = append(ac.waiting, waiter{ticket: le.nextID, since: now})
	le.tickets[le.nextID] = ac
	if ac.asked == 0 { // Otherwise the answer that is under way makes a Step look at it.
		le.enqueue(now, ac, 0)
	}
	return Verdict{}, le.nextID
}

// Return gives back the token of a request that was not sent to any backend server.
func (le *Ledger) Return(now time.Time, name string, expires time.Time) {
	if !now.Before(expires) {
		return
	}
	ac := le.account(name)
	ac.add(lot{count: 1, expires: expires})
	if len(ac.waiting) > 0 {
		le.enqueue(now, ac, 0)
	}
}

// Cancel removes a request that waits, because its caller has left.
func (le *Ledger) Cancel(ticket uint64) {
	ac := le.tickets[ticket]
	if ac == nil {
		return
	}
	delete(le.tickets, ticket)
	ac.waiting = slices.DeleteFunc(ac.waiting, func(wt waiter) bool { return wt.ticket == ticket })
}

// Step sends requests for tokens and settles requests that waited, as far as is due.
func (le *Ledger) Step(now time.Time) ([]Ask, []Settled) {
	le.expirePending(now)
	var asks []Ask
	if !le.flushAt.IsZero() && !now.Before(le.flushAt) {
		asks = le.flush(now)
	}
	if now.Sub(le.lastSweep) >= sweepInterval {
		le.lastSweep = now
		maps.DeleteFunc(le.accounts, func(_ string, ac *account) bool {
			ac.expire(now)
			return ac.idle(now)
		})
	}
	settled := le.settled
	le.settled = nil
	return asks, settled
}

// WakeAt returns when Step is due, or the zero time if nothing is.
func (le *Ledger) WakeAt(now time.Time) time.Time {
	at := le.flushAt
	if len(le.settled) > 0 {
		at = now
	}
	for _, pe := range le.pending {
		if due := pe.sentAt.Add(answerTimeout); !pe.overdue && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at
}

// Granted processes the answer of an owner. An answer to an unknown request, such as a
// duplicate, is ignored, and tokens that come late have expired.
func (le *Ledger) Granted(now time.Time, id uint64, re Refusal, grants []Grant) {
	ix := slices.IndexFunc(le.pending, func(pe *pendingAsk) bool { return pe.id == id })
	if ix < 0 {
		return
	}
	pe := le.pending[ix]
	le.pending = slices.Delete(le.pending, ix, ix+1)
	if re == None && len(grants) != len(pe.items) {
		re = NotVoting // The owner does not follow the protocol, so its tokens are not used.
	}
	le.noteAnswer(now, pe.owner.Address, re)
	expires := pe.sentAt.Add(le.ttl)
	for at, it := range pe.items {
		ac := it.ac
		if !pe.overdue {
			ac.asked -= int(it.count)
		}
		if it.ahead+it.spare > 0 {
			ac.aheadAsked = false
		}
		if re == None {
			gr := grants[at]
			if now.Before(expires) {
				ac.add(lot{count: gr.Count, expires: expires})
			}
			if spareExpires := pe.sentAt.Add(spareTTL); now.Before(spareExpires) {
				ac.add(lot{count: gr.Spare, expires: spareExpires})
			}
			ac.noteSpares(now, it.spare, gr.Spare, len(le.owners))
			if it.count > 0 && gr.Count >= it.count {
				ac.nextRetry = time.Time{} // Those that were refused before wait for nothing.
			}
			if gr.Count < it.count {
				ac.setEmpty(pe.owner.Address, now.Add(time.Duration(gr.RetryMillis)*time.Millisecond))
			}
			if gr.Count < it.count+it.ahead {
				ac.noAhead = now.Add(aheadPause)
			}
		}
		le.settle(now, ac)
		if len(ac.waiting) > ac.asked {
			le.enqueue(now, ac, 0)
		} else if re == None && grants[at].Spare < it.spare && ac.spare(now) > 0 {
			le.enqueue(now, ac, aheadDelay)
		}
	}
}

// SendFailed tells that a request could not be sent.
func (le *Ledger) SendFailed(now time.Time, id uint64) {
	for _, pe := range le.pending {
		if pe.id == id && !pe.overdue {
			le.overdue(now, pe)
		}
	}
}

func (le *Ledger) account(name string) *account {
	ac := le.accounts[name]
	if ac == nil {
		// All customers begin with the same owner, so that they share its messages.
		ac = &account{
			name: name, turn: le.seed, spareTurn: le.seed, emptyUntil: make(map[string]time.Time),
			demand: meter{over: time.Second}, steady: meter{over: spareDemandTime},
		}
		le.accounts[name] = ac
	}
	return ac
}

func (ac *account) setEmpty(address string, until time.Time) { ac.emptyUntil[address] = until }

// enqueue makes a Step look at an account, after a delay at the latest.
func (le *Ledger) enqueue(now time.Time, ac *account, delay time.Duration) {
	due := now.Add(delay)
	if !ac.queued {
		ac.queued, ac.due = true, due
		le.queue = append(le.queue, ac)
	} else if due.Before(ac.due) {
		ac.due = due
	}
	le.flushBy(due)
}

func (le *Ledger) flushBy(at time.Time) {
	if le.flushAt.IsZero() || at.Before(le.flushAt) {
		le.flushAt = at
	}
}

// noteAnswer records what an owner said about all customers.
func (le *Ledger) noteAnswer(now time.Time, address string, re Refusal) {
	st := le.states[address]
	if st == nil {
		return
	}
	st.silent, st.refusal, st.skipUntil = false, re, time.Time{}
	switch re {
	case None:
	case Behind:
		st.skipUntil = now.Add(behindSkip)
	default:
		st.skipUntil = now.Add(silentSkip)
	}
}

// expirePending gives up waiting for overdue answers. An answer that comes later still
// counts, as long as its tokens are valid.
func (le *Ledger) expirePending(now time.Time) {
	for _, pe := range le.pending {
		if !pe.overdue && now.Sub(pe.sentAt) >= answerTimeout {
			le.overdue(now, pe)
		}
	}
	le.pending = slices.DeleteFunc(le.pending, func(pe *pendingAsk) bool { return now.Sub(pe.sentAt) >= le.ttl && pe.overdue })
}

func (le *Ledger) overdue(now time.Time, pe *pendingAsk) {
	pe.overdue = true
	if st := le.states[pe.owner.Address]; st != nil {
		st.silent, st.refusal, st.skipUntil = true, None, now.Add(silentSkip)
	}
	for _, it := range pe.items {
		it.ac.asked -= int(it.count)
		if it.ahead+it.spare > 0 {
			it.ac.aheadAsked = false
		}
		if len(it.ac.waiting) > 0 {
			le.enqueue(now, it.ac, 0)
		}
	}
}
