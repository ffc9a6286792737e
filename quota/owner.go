package quota

import (
	"maps"
	"math"
	"time"

	"balsamwinch.example/customer"
)

const (
	// JoinDelay is how long an instance must have been a voter before it grants. A voter that
	// it replaces has stopped by then, because JoinDelay is longer than ContactTimeout, and
	// the other voters that are in contact have reduced their shares.
	JoinDelay = 4 * time.Second
	// ContactTimeout is how long an owner grants after it last heard from the leader.
	ContactTimeout = 3 * time.Second
	// maxRetryDelay bounds Grant.RetryMillis, since a share may rise in the meantime.
	maxRetryDelay = 2 * time.Second
	// minRetrySpread is the time over which the next requests of entry instances for an empty
	// bucket are spread at least, and retrySpreadPerEntry the time for each entry instance.
	// Without a spread, all of them would ask again for each new token.
	minRetrySpread      = 500 * time.Millisecond
	retrySpreadPerEntry = 2 * time.Millisecond
)

// Standing is the place of an owner in the group.
type Standing struct {
	Voting bool // the instance is in the newest voter set that it knows
	// Since is when it became a voter; zero if it was one when its process started.
	Since time.Time
	// Voters is the largest number of voters within the last JoinDelay.
	Voters int
	// SpareVoters is the largest number of voters within the last SpareVoterWindow.
	SpareVoters int
	// LastContact is when it last heard from the leader, or, while it leads, the send time
	// of the newest message that a majority has acknowledged. Zero if never.
	LastContact time.Time
}

// Owner grants tokens from the shares that one voter owns. It is not safe for concurrent
// use.
type Owner struct {
	li        Limits
	startedAt time.Time
	since     time.Time // Standing.Since at the last call of Grant
	version   uint64
	quotas    map[string]customer.Quota
	buckets   map[string]*bucket
	entries   int
}

// NewOwner returns an owner that has just started and knows no customer.
func NewOwner(now time.Time, li Limits) *Owner {
	return &Owner{li: li, startedAt: now, quotas: map[string]customer.Quota{}, buckets: make(map[string]*bucket)}
}

// Version returns the version of the configuration that the owner uses; 0 for none.
func (ow *Owner) Version() uint64 { return ow.version }

// SetEntries sets the number of entry instances, which determines how far apart their
// requests for an empty bucket are.
func (ow *Owner) SetEntries(count int) { ow.entries = count }

// SetQuotas puts the quotas of all customers of a configuration in force, by name. Customers
// without a bound are included. A version that is not higher than the last one is ignored.
// The map must not be changed later.
//
// The bucket of a customer that is removed is kept for Limits.Window. Otherwise a customer
// that is removed and restored would get its burst twice.
func (ow *Owner) SetQuotas(now time.Time, version uint64, quotas map[string]customer.Quota) {
	if version <= ow.version {
		return
	}
	ow.version, ow.quotas = version, quotas
	maps.DeleteFunc(ow.buckets, func(name string, bu *bucket) bool {
		if quotas[name].Bounded() {
			bu.unusedSince = time.Time{}
			return false
		}
		if bu.unusedSince.IsZero() {
			bu.unusedSince = now
		}
		return now.Sub(bu.unusedSince) >= ow.li.Window
	})
	for name, qu := range quotas {
		bu := ow.buckets[name]
		switch {
		case !qu.Bounded():
		case bu != nil:
			bu.quota = qu
		default:
			ow.buckets[name] = &bucket{quota: qu, level: ow.firstLevel(now), at: now}
		}
	}
}

// firstLevel returns the level of a new bucket. An owner that has just started may have
// granted the whole burst before, and does not know which customers are new.
func (ow *Owner) firstLevel(now time.Time) float64 {
	if now.Sub(ow.startedAt) < max(JoinDelay, ow.li.Window) {
		return 1
	}
	return math.Inf(1) // The first refill lowers it to the capacity.
}

// Refusal returns why the owner grants nothing for a request that names a version, or None.
func (ow *Owner) Refusal(now time.Time, st Standing, version uint64) Refusal {
	switch {
	case !st.Voting || !st.Since.IsZero() && now.Sub(st.Since) < JoinDelay || st.Voters <= 0:
		return NotVoting
	case !st.inContact(now) && !ow.inGrace(now, st):
		return NoContact
	case ow.version < version:
		return Behind
	}
	return None
}

// inContact reports whether the owner has heard from the leader within ContactTimeout.
func (st Standing) inContact(now time.Time) bool {
	return !st.LastContact.IsZero() && now.Sub(st.LastContact) < ContactTimeout
}

// inGrace reports whether an owner that has had no contact since its process started may
// grant: it found itself in the voter set on its own disk, and startGrace is not over. A
// process that was suspended has a time in Standing.Since.
func (ow *Owner) inGrace(now time.Time, st Standing) bool {
	return st.Since.IsZero() && st.LastContact.IsZero() && now.Sub(ow.startedAt) < startGrace
}

// Grant answers the request of an entry instance whose configuration has the given version.
// There is one Grant for each Want, unless there is a Refusal.
func (ow *Owner) Grant(now time.Time, st Standing, version uint64, wants []Want) ([]Grant, Refusal) {
	if st.Voting && !st.Since.Equal(ow.since) {
		// The shares belonged to another voter before.
		ow.since = st.Since
		for _, bu := range ow.buckets {
			bu.level, bu.at = min(bu.level, 1), now
		}
	}
	if re := ow.Refusal(now, st, version); re != None {
		return nil, re
	}
	grants := make([]Grant, len(wants))
	for ix, wa := range wants {
		grants[ix] = ow.grant(now, st, wa)
	}
	return grants, None
}

func (ow *Owner) grant(now time.Time, st Standing, wa Want) Grant {
	if qu, ok := ow.quotas[wa.Customer]; ok && !qu.Bounded() {
		return Grant{Count: wa.Count + wa.Ahead + wa.Spare}
	}
	bu := ow.buckets[wa.Customer]
	if bu == nil {
		return Grant{RetryMillis: millis(minRetrySpread)}
	}
	voters, reserve := st.Voters, ow.li.reserve()
	if st.inContact(now) {
		bu.refill(now, voters, 1, reserve)
	} else if until := ow.startedAt.Add(ow.li.graceRefill(voters)); until.Before(now) {
		bu.refill(until, voters, graceShare, reserve)
	} else {
		bu.refill(now, voters, graceShare, reserve)
	}
	count := bu.take(wa.Count)
	if count < wa.Count {
		spread := max(minRetrySpread, time.Duration(ow.entries)*retrySpreadPerEntry)
		return Grant{Count: count, RetryMillis: millis(bu.retryDelay(now, voters, spread))}
	}
	spare := bu.takeSpares(now, wa.Spare, ow.spareLimit(now, st, bu.quota))
	return Grant{Count: count + bu.takeSurplus(wa.Ahead), Spare: spare}
}

// millis returns a duration in whole milliseconds, rounded up, at least 1.
func millis(du time.Duration) uint32 {
	return uint32(max(1, (du+time.Millisecond-1)/time.Millisecond))
}
