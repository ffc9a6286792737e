package control

import (
	"fmt"
	"slices"
	"time"

	"balsamwinch.example/view"
)

// Holder is an instance that holds a lease, as the leader sees it.
type Holder struct {
	Instance view.Instance
	InForce  uint64    // revision that the instance last reported in use
	Since    time.Time // when this leader first granted the lease
	Until    time.Time // when the lease expires on the leader's clock
	Entries  int       // divisor last sent in Grant.Entries
	// LeastEntries is the lowest divisor that the instance may still be using.
	LeastEntries int
}

// share returns the largest fraction of a connection limit that the holder may be
// using.
func (ho Holder) share() float64 {
	return 1 / float64(ho.LeastEntries)
}

// committedRevision is a revision and the time at which the leader committed it.
type committedRevision struct {
	revision uint64
	when     time.Time
}

// LeaseTable is the leader's table of leases. It is volatile and immutable. A
// leader creates one when it is elected, adds each revision that it commits, and
// uses the table only while its own lease from the quorum is valid. All times are
// readings of the leader's clock.
//
// The connections of all holders together never exceed the connection limit of a
// backend server: each entry instance divides the limit by the divisor that it was
// granted, and the shares that the holders may be using add up to at most one. A
// lease counts until it expires or is released. Until then, an instance that
// restarts with another incarnation is a separate holder.
type LeaseTable struct {
	lease             time.Duration
	priorLeasesExpiry time.Time
	holders           tree[string, Holder]
	// revisions are in ascending order. Of those committed at least one lease
	// duration ago, only the newest is kept.
	revisions []committedRevision
}

// shareTolerance covers rounding errors in sums of shares. Connections are whole
// numbers, so it allows no additional connection for limits below a million.
const shareTolerance = 1e-7

// The reasons why a renewal is rejected, and why a revision is not yet in force.
const (
	reasonReleased        = "released"
	reasonSuperseded      = "an instance with this name and a higher incarnation has come"
	reasonStaleRevision   = "the revision in use is behind; apply the files of this grant and ask again"
	reasonPriorLeases     = "a new leader waits until the leases of the earlier one have run out"
	reasonNoMaxEntries    = "no accepted configuration says how many entry instances there may be"
	waitingForPriorLeases = "instances that an earlier leader may have granted a lease"
)

// NewLeaseTable returns the table of a new leader. Until now+lease, any instance
// may still hold a lease from the previous leader.
func NewLeaseTable(now time.Time, lease time.Duration) LeaseTable {
	return LeaseTable{lease: lease, priorLeasesExpiry: now.Add(lease)}
}

// WithRevision returns the table after a revision was committed. A new leader adds
// the current revision first.
func (lt LeaseTable) WithRevision(now time.Time, revision uint64) LeaseTable {
	if le := len(lt.revisions); le > 0 && revision <= lt.revisions[le-1].revision {
		return lt
	}
	revs := append(slices.Clone(lt.revisions), committedRevision{revision: revision, when: now})
	for len(revs) > 1 && !now.Before(revs[1].when.Add(lt.lease)) {
		revs = revs[1:]
	}
	lt.revisions = revs
	return lt
}

// WithRenewal returns the table after a renewal, whether the lease is granted, and
// the reason if it isn't. Files that the instance lacks must be sent to it even if
// the lease isn't granted.
func (lt LeaseTable) WithRenewal(now time.Time, rn Renewal, maxEntries int) (LeaseTable, bool, string) {
	key := holderKey(rn.Instance)
	ho, known := lt.holders.get(key)
	known = known && now.Before(ho.Until) && ho.Instance.Entry == rn.Instance.Entry
	rn.Leased = rn.Leased && now.Before(lt.priorLeasesExpiry)
	if rn.Releasing {
		lt.holders = lt.holders.without(key)
		return lt, false, reasonReleased
	}
	if re := lt.rejectionReason(now, rn, known); re != "" {
		return lt, false, re
	}
	if rn.Instance.Entry && !ho.onlyExtends(rn, known, maxEntries) {
		lt = lt.withoutExpired(now)
		var re string
		if ho, re = lt.assignDivisor(now, ho, rn, known, maxEntries); re != "" {
			return lt, false, re
		}
	}
	if !known {
		ho.Since = now
	}
	ho.Instance = rn.Instance
	ho.InForce = rn.InForce
	ho.Until = now.Add(lt.lease)
	lt.holders = lt.holders.with(key, ho)
	return lt, true, ""
}

// rejectionReason returns the reason to reject a renewal regardless of the shares
// in use, or "".
func (lt LeaseTable) rejectionReason(now time.Time, rn Renewal, known bool) string {
	switch {
	case lt.superseded(rn.Instance):
		return reasonSuperseded
	case !known && !rn.Leased && rn.Instance.Entry && now.Before(lt.priorLeasesExpiry):
		// Some instances with a lease from the previous leader may not have
		// renewed yet. One more instance beside them would exceed the
		// connection limit.
		return reasonPriorLeases
	case lt.mustCatchUp(now, rn, known):
		return reasonStaleRevision
	default:
		return ""
	}
}

// superseded reports whether the table has an instance with the same name and a
// higher incarnation: the older process must not keep serving beside its successor.
func (lt LeaseTable) superseded(in view.Instance) bool {
	for _, ho := range lt.holders.from(holderKey(in)) {
		if ho.Instance.Name != in.Name || ho.Instance.Incarnation > in.Incarnation {
			return ho.Instance.Name == in.Name
		}
	}
	return false
}

// mustCatchUp reports whether an instance must apply a newer revision before it
// gets a lease. A new holder must use the newest revision, otherwise it would serve
// an older one after the newer was reported to be in force. A present holder has
// one lease duration to apply a revision, otherwise one that renews without
// applying it would keep the change from ever being in force.
func (lt LeaseTable) mustCatchUp(now time.Time, rn Renewal, known bool) bool {
	for _, co := range lt.revisions {
		late := !now.Before(co.when.Add(lt.lease))
		if rn.InForce < co.revision && (late || !known && !rn.Leased) {
			return true
		}
	}
	return false
}

// onlyExtends reports whether a renewal extends the lease and leaves the divisor
// unchanged.
func (ho Holder) onlyExtends(rn Renewal, known bool, maxEntries int) bool {
	return known && ho.Entries == maxEntries && ho.LeastEntries == maxEntries &&
		(rn.Entries == 0 || rn.Entries == maxEntries)
}

// assignDivisor returns the holder with the divisor that it may use, or the reason
// why no share is free for it.
func (lt LeaseTable) assignDivisor(now time.Time, ho Holder, rn Renewal, known bool, maxEntries int) (Holder, string) {
	if maxEntries <= 0 {
		return ho, reasonNoMaxEntries
	}
	if !known {
		ho = newHolder(rn, maxEntries)
	}
	if rn.Entries == 0 || rn.Entries == ho.Entries {
		ho.LeastEntries = ho.Entries
	}
	if now.Before(lt.priorLeasesExpiry) {
		// Instances that haven't renewed yet may hold the rest of the limit, so
		// a share can only shrink.
		return ho.withDivisor(max(ho.Entries, maxEntries)), ""
	}
	others, before := lt.otherShares(ho, rn.Instance)
	fits := others+1/float64(maxEntries) <= 1+shareTolerance
	switch {
	case !known && (before >= maxEntries || !fits):
		return ho, fmt.Sprintf("no room: %d entry instances hold a lease, of at most %d", before, maxEntries)
	case known && before >= maxEntries:
		return ho, fmt.Sprintf("one too many: %d entry instances came before, of at most %d", before, maxEntries)
	case fits:
		return ho.withDivisor(maxEntries), ""
	default:
		return ho, ""
	}
}

// newHolder returns the holder for an instance that is not in the table. Only the
// instance itself knows what a previous leader granted it.
func newHolder(rn Renewal, maxEntries int) Holder {
	if !rn.Leased || rn.Entries == 0 {
		return Holder{Entries: maxEntries, LeastEntries: maxEntries}
	}
	return Holder{Entries: max(rn.Entries, maxEntries), LeastEntries: rn.Entries}
}

// withDivisor returns the holder after a divisor was sent to it. Until it reports
// that it uses this divisor, it may still use a lower one.
func (ho Holder) withDivisor(divisor int) Holder {
	ho.Entries = divisor
	ho.LeastEntries = min(ho.LeastEntries, divisor)
	return ho
}

// otherShares returns the sum of the shares of the other entry instances, and how
// many of them got their lease earlier than the holder.
func (lt LeaseTable) otherShares(ho Holder, in view.Instance) (shares float64, earlier int) {
	own := holderKey(in)
	for key, ot := range lt.holders.all() {
		if key == own || !ot.Instance.Entry {
			continue
		}
		shares += ot.share()
		if ho.Since.IsZero() || ot.Since.Before(ho.Since) || ot.Since.Equal(ho.Since) && key < own {
			earlier++
		}
	}
	return shares, earlier
}

func (lt LeaseTable) withoutExpired(now time.Time) LeaseTable {
	for key, ho := range lt.holders.all() {
		if !now.Before(ho.Until) {
			lt.holders = lt.holders.without(key)
		}
	}
	return lt
}

// InForce reports whether every entry instance that may serve uses the revision,
// and names those that may not use it yet. An instance whose lease has expired
// doesn't serve.
func (lt LeaseTable) InForce(now time.Time, revision uint64) (all bool, waitingFor []string) {
	for _, ho := range lt.Holders(now) {
		if ho.Instance.Entry && ho.InForce < revision {
			waitingFor = append(waitingFor, ho.Instance.Name)
		}
	}
	if now.Before(lt.priorLeasesExpiry) {
		// Instances with a lease from the previous leader that can't reach this
		// one serve an older revision until their leases expire.
		waitingFor = append(waitingFor, waitingForPriorLeases)
	}
	return len(waitingFor) == 0, waitingFor
}

// Holders returns the instances whose lease has not expired, sorted by name and
// incarnation.
func (lt LeaseTable) Holders(now time.Time) []Holder {
	var hos []Holder
	for _, ho := range lt.holders.all() {
		if now.Before(ho.Until) {
			hos = append(hos, ho)
		}
	}
	return hos
}

// Instances returns the instances that hold a lease, sorted by name; if several
// share a name, only the one with the highest incarnation.
func (lt LeaseTable) Instances(now time.Time) []view.Instance {
	var ins []view.Instance
	for _, ho := range lt.Holders(now) {
		if le := len(ins); le > 0 && ins[le-1].Name == ho.Instance.Name {
			ins[le-1] = ho.Instance
			continue
		}
		ins = append(ins, ho.Instance)
	}
	return ins
}

// Divisor returns the divisor that the instance was granted, for Grant.Entries, or
// 0 if it holds no lease.
func (lt LeaseTable) Divisor(in view.Instance) int {
	ho, _ := lt.holders.get(holderKey(in))
	return ho.Entries
}

// LeaseMillis returns the lease duration for Grant.LeaseMillis, which a holder
// counts from when it sent its renewal. It is nine tenths of what the leader waits
// for, in case the holder's clock runs slower than the leader's.
func (lt LeaseTable) LeaseMillis() int64 {
	return (lt.lease * 9 / 10).Milliseconds()
}

// holderKey returns a table key that sorts by name and incarnation.
func holderKey(in view.Instance) string {
	return fmt.Sprintf("%s\x00%020d", in.Name, in.Incarnation)
}
