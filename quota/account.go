package quota

import (
	"math"
	"slices"
	"time"
)

// account is what an entry instance keeps for one customer.
type account struct {
	name    string
	lots    []lot // unspent tokens, those that expire first at the front
	waiting []waiter
	asked   int // tokens in unanswered requests that are not overdue, without those ahead
	// emptyUntil is when each owner, by address, is expected to have a token.
	emptyUntil map[string]time.Time
	turn       uint64    // varies which owner is asked first
	queued     bool      // the account is in Ledger.queue
	due        time.Time // when a Step looks at the queued account at the latest
	noAhead    time.Time // until when no tokens are asked for ahead
	aheadAsked bool      // a request ahead is unanswered
	nextRetry  time.Time // when the caller that was refused last should come back
	demand     meter     // over one second
	steady     meter     // over spareDemandTime

	noSpare       time.Time // until when no spare tokens are asked for
	spareTurn     uint64    // varies which owner is asked for spare tokens
	spareRefusals int       // owners that had no spare tokens since the last that had
}

// lot is a number of tokens with the same expiry.
type lot struct {
	count   uint32
	expires time.Time
}

// waiter is a request without a token.
type waiter struct {
	ticket uint64
	since  time.Time
}

// meter measures how many events there are per second, with exponential decay over a time.
type meter struct {
	over  time.Duration
	value float64 // per second
	at    time.Time
}

func (me *meter) add(now time.Time, count float64) {
	me.value = me.rate(now) + count/me.over.Seconds()
	me.at = now
}

func (me *meter) rate(now time.Time) float64 {
	if me.at.IsZero() {
		return 0
	}
	return me.value * math.Exp(-now.Sub(me.at).Seconds()/me.over.Seconds())
}

// expire removes expired tokens.
func (ac *account) expire(now time.Time) {
	for len(ac.lots) > 0 && !now.Before(ac.lots[0].expires) {
		ac.lots = ac.lots[1:]
	}
}

// spend takes a token, if there is one.
func (ac *account) spend(now time.Time) (expires time.Time, ok bool) {
	ac.expire(now)
	if len(ac.lots) == 0 {
		return time.Time{}, false
	}
	lo := &ac.lots[0]
	expires = lo.expires
	if lo.count--; lo.count == 0 {
		ac.lots = ac.lots[1:]
	}
	return expires, true
}

// add adds tokens.
func (ac *account) add(lo lot) {
	if lo.count == 0 {
		return
	}
	ix, same := slices.BinarySearchFunc(ac.lots, lo.expires, func(other lot, at time.Time) int { return other.expires.Compare(at) })
	if same {
		ac.lots[ix].count += lo.count
		return
	}
	ac.lots = slices.Insert(ac.lots, ix, lo)
}

// tokens returns the number of unspent tokens.
func (ac *account) tokens() int {
	sum := 0
	for _, lo := range ac.lots {
		sum += int(lo.count)
	}
	return sum
}

// ahead returns how many tokens to ask for ahead, besides spare ones: those that will be spent
// before they expire. Half of a token is rounded up, because the owner grants only what it can
// spare.
func (ac *account) ahead(now time.Time, ttl time.Duration, spare int) int {
	if now.Before(ac.noAhead) || ac.aheadAsked {
		return 0
	}
	target := int(ac.demand.rate(now)*ttl.Seconds() + 0.5)
	if have := ac.tokens() + spare; 2*have <= target {
		return target - have
	}
	return 0
}

// idle reports whether the account holds nothing that is worth keeping.
func (ac *account) idle(now time.Time) bool {
	return len(ac.waiting) == 0 && len(ac.lots) == 0 && ac.asked == 0 && !ac.queued && !ac.aheadAsked && ac.demand.rate(now) < idleDemand
}

// idleDemand is the demand per second below which an account is removed.
const idleDemand = 1e-4
