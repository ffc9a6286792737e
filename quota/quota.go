// Package quota bounds the requests of each customer over all entry instances. The voters of
// the replicated log own equal, fixed shares of each customer's quota (Owner) and grant
// tokens from them; an entry instance spends a token for each request (Ledger). No two
// owners hold the same share, so that the bound holds without messages between them, also
// while the network is partitioned.
//
// The package is pure: the time is an argument, and messages are returned to the caller.
// docs/design/two-customers.md derives the bound.
package quota

import "time"

// Limits is the bound that the requests of a customer must stay within. In any Window it is
// (rate x Window + burst) x (1 + Overage) + Slack.
type Limits struct {
	Window  time.Duration
	Overage float64 // fraction of the quota
	Slack   float64 // requests
}

// Shares of Overage x Window that the design uses. The sum must be at most 1.
const (
	// ttlShare is used by tokens that were granted before a window and are spent in it.
	ttlShare = 0.8
	// reserveShare is used by refill that a bucket collects beyond the burst. Entry instances
	// ask in batches, and a bucket of a high rate without a burst would be full between two
	// of them.
	reserveShare = 0.1
	// graceUse is used by voters that have just started and have no contact with the leader.
	// They may have been replaced while they were away, so that another voter grants their
	// shares, too.
	graceUse = 0.1
)

// startGrace is for how long a voter grants without contact after its process started. After
// a loss of power of all instances, a leader is elected within it.
const startGrace = 1500 * time.Millisecond

// graceShare is the part of its share from which a voter grants without contact.
const graceShare = 0.5

// maxTokenTTL bounds the validity of tokens. Longer ones save messages and are lost when the
// callers of a customer move to other instances.
const maxTokenTTL = 400 * time.Millisecond

// minTokenTTL is enough for a token to reach the entry instance that asked for it.
const minTokenTTL = 50 * time.Millisecond

// TokenTTL returns for how long a token is valid after the request for it was sent.
func (li Limits) TokenTTL() time.Duration {
	return min(maxTokenTTL, max(minTokenTTL, time.Duration(ttlShare*li.Overage*float64(li.Window))))
}

// reserve returns the seconds of refill that a bucket holds beyond the burst.
func (li Limits) reserve() float64 { return reserveShare * li.Overage * li.Window.Seconds() }

// graceRefill returns for how much of startGrace the buckets of an owner without contact are
// refilled. Owners without contact may exceed the bound by graceShare of a share in this time
// if they were replaced while they were away; what all of them have is graceUse. As many as a
// minority of the voters are counted, since a group without a majority can replace none.
func (li Limits) graceRefill(voters int) time.Duration {
	away := max(1, voters/2)
	rates := graceShare * float64(away) / float64(voters) // refill of all of them, as a part of the customer's rate
	return min(startGrace, time.Duration(graceUse*li.Overage*float64(li.Window)/rates))
}

// Want is what an entry instance asks of an owner for one customer.
type Want struct {
	Customer string `cbor:"1,keyasint"`
	Count    uint32 `cbor:"2,keyasint,omitempty"` // tokens for requests that wait
	// Ahead are further tokens for requests that are expected soon. They are granted only
	// while the bucket is at least half full: a customer near its quota must not lose tokens
	// that expire unused.
	Ahead uint32 `cbor:"3,keyasint,omitempty"`
	// Spare are further tokens that stay valid for spareTTL. They are granted only while the
	// bucket is at least half full and the owner has few of them outstanding.
	Spare uint32 `cbor:"4,keyasint,omitempty"`
}

// Grant answers a Want.
type Grant struct {
	Count uint32 `cbor:"1,keyasint,omitempty"` // tokens
	// RetryMillis is after how many milliseconds to ask again; 0 if Want.Count was granted.
	RetryMillis uint32 `cbor:"2,keyasint,omitempty"`
	// Spare are tokens besides Count that are valid for spareTTL after the Want was sent.
	Spare uint32 `cbor:"3,keyasint,omitempty"`
}

// Refusal is why an owner grants nothing to anyone.
type Refusal uint8

// The reasons. None means that the owner grants.
const (
	None      Refusal = iota
	NotVoting         // it does not vote, or not for JoinDelay yet
	NoContact         // it has not heard from the leader, or from a majority, within ContactTimeout
	Behind            // its configuration is older than the one that the request names
)

// String returns the reason in a few words.
func (re Refusal) String() string {
	switch re {
	case None:
		return "grants"
	case NotVoting:
		return "does not vote"
	case NoContact:
		return "has no contact with the leader"
	case Behind:
		return "has an older configuration"
	default:
		return "unknown reason"
	}
}
