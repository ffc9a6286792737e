package quota

import (
	"math"
	"time"

	"balsamwinch.example/customer"
)

// spareTTL is for how long a spare token is valid after the request for it was sent. Callers
// send a request each second, more than the validity of other tokens apart.
const spareTTL = 2500 * time.Millisecond

// SpareVoterWindow is for how long a removed voter counts for the spare tokens that the
// others may grant: it stops granting within JoinDelay, and its last ones are valid for
// spareTTL after that.
const SpareVoterWindow = JoinDelay + spareTTL

// sparesPerOwner returns how many spare tokens of a customer an owner may have outstanding.
// Those of all owners may be spent in a window besides all others that the bound counts, so
// together they are at most what it leaves over. Overage x (rate x Window) is used by tokens
// granted before the window, by the reserve of the buckets and by owners without contact; two
// tokens for each voter by rounding and by restarts. What is left is Overage x burst, Slack,
// and the part of the overage for which there is no use.
func (li Limits) sparesPerOwner(qu customer.Quota, voters int) int {
	window := li.Window.Seconds()
	used := li.TokenTTL().Seconds() + li.reserve() + graceUse*li.Overage*window // seconds of refill
	left := li.Overage*(qu.Rate*window+qu.Burst) + li.Slack - 2*float64(voters) - used*qu.Rate
	// The rounding keeps an error of the last digit from costing a token.
	return int(max(0, math.Floor(left/float64(voters)+1e-9)))
}

// spareLot is a number of spare tokens that an owner granted, and when it counts them as
// expired.
type spareLot struct {
	count   int
	expires time.Time
}

// takeSpares removes up to count whole tokens from a bucket that is at least half full, and
// returns their number. Up to limit of them are outstanding.
func (bu *bucket) takeSpares(now time.Time, count uint32, limit int) uint32 {
	for len(bu.spares) > 0 && !now.Before(bu.spares[0].expires) {
		bu.spares = bu.spares[1:]
	}
	for _, sl := range bu.spares {
		limit -= sl.count
	}
	got := 0
	for got < int(min(count, math.MaxInt32)) && got < limit && bu.level >= max(1, bu.capacity/2) {
		bu.level--
		got++
	}
	if got > 0 {
		// The entry instance counts from when it sent its request, which was earlier.
		bu.spares = append(bu.spares, spareLot{count: got, expires: now.Add(spareTTL)})
	}
	return uint32(got)
}

// spareLimit returns how many spare tokens of a customer the owner may have outstanding now.
// After a start it does not know which it granted before, and after it became a voter, those
// of its predecessor may still be valid.
func (ow *Owner) spareLimit(now time.Time, st Standing, qu customer.Quota) int {
	if now.Sub(ow.startedAt) < spareTTL || !st.Since.IsZero() && now.Sub(st.Since) < SpareVoterWindow {
		return 0
	}
	return ow.li.sparesPerOwner(qu, max(st.Voters, st.SpareVoters))
}

// sparePause is for how long no spare tokens are asked for after no owner had one. Those that
// are outstanding expire within this time.
const sparePause = spareTTL

// spareDemandTime is the time over which the demand that spare tokens are for is measured.
const spareDemandTime = 3 * time.Second

// spare returns how many spare tokens to ask for: as many as there are requests in a second,
// which is one for a caller that sends a request each second, less the tokens that the
// account has. The demand of a single request explains none.
func (ac *account) spare(now time.Time) int {
	if now.Before(ac.noSpare) || ac.aheadAsked {
		return 0
	}
	return max(0, int(ac.steady.rate(now)+0.5)-ac.tokens())
}

// noteSpares processes the answer to a request for spare tokens. After a refusal another owner
// is asked, and after a refusal of each of them none for sparePause.
func (ac *account) noteSpares(now time.Time, wanted, got uint32, owners int) {
	switch {
	case wanted == 0:
		return
	case got == wanted:
		ac.spareRefusals = 0
		return
	}
	ac.spareTurn++
	if ac.spareRefusals++; ac.spareRefusals >= owners {
		ac.spareRefusals, ac.noSpare = 0, now.Add(sparePause)
	}
}
