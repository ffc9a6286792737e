package control

import (
	"fmt"
	"slices"
	"time"

	"balsamwinch.example/view"
)

// Holder is an instance that holds a lease.
type Holder struct {
	Instance view.Instance
	InForce  uint64    // InForce is the revision that it last said it uses.
	Since    time.Time // Since is when the lease was first granted by this leader.
	Until    time.Time // Until is when the lease ends on the leader's clock.
	Entries  int       // Entries is what Grant.Entries told it last.
	// LeastEntries is the lowest divisor that it may still be using.
	LeastEntries int
}

// share is the largest part of a connection limit that the holder may take up.
func (ho Holder) share() float64 {
	return 1 / float64(ho.LeastEntries)
}

// committed is a revision and when the leader committed it.
type committed struct {
	revision uint64
	when     time.Time
}

// Book is the leader's book of leases. It is volatile and immutable. A leader
// makes one when it is elected, tells it each revision that it commits, and uses
// it only as long as its own lease from the quorum lasts. All times are readings
// of the leader's clock.
//
// The connections of all holders together never exceed the connection limit of
// a backend server: each entry divides the limit by the number that it was
// granted, and the sum of the parts that the holders may take up stays within
// one. A lease counts until it has run out or was released, and an instance that
// comes back with another incarnation is another holder meanwhile.
type LeaseTable struct {
	lease      time.Duration
	quietUntil time.Time
	holders    tree[string, Holder]
	// revisions are in ascending order; of those older than a lease only the
	// newest is kept.
	revisions []committed
}

// shareSlack covers the rounding of sums of shares. Connections are whole
// numbers, so it lets none through for limits below a million.
const shareSlack = 1e-7

// The reasons of refused renewals.
const (
	reasonReleased   = "released"
	reasonSuperseded = "an instance with this name and a higher incarnation has come"
	reasonBehind     = "the revision in use is behind; apply the files of this grant and ask again"
	reasonQuiet      = "a new leader waits until the leases of the earlier one have run out"
	reasonNoLimit    = "no accepted configuration says how many entry instances there may be"
	reasonEarlier    = "instances that an earlier leader may have granted a lease"
)

// NewBook returns the book of a new leader: every instance that it has not
// heard of may hold a lease until now+lease.
func NewLeaseTable(now time.Time, lease time.Duration) LeaseTable {
	return LeaseTable{lease: lease, quietUntil: now.Add(lease)}
}

// WithRevision returns the book after a revision was committed. A new leader
// tells it the present revision first.
func (bo LeaseTable) WithRevision(now time.Time, revision uint64) LeaseTable {
	if le := len(bo.revisions); le > 0 && revision <= bo.revisions[le-1].revision {
		return bo
	}
	revs := append(slices.Clone(bo.revisions), committed{revision: revision, when: now})
	for len(revs) > 1 && !now.Before(revs[1].when.Add(bo.lease)) {
		revs = revs[1:]
	}
	bo.revisions = revs
	return bo
}

// WithRenewal returns the book after a renewal, whether the lease is granted,
// and if not the reason. Files that the instance lacks must be sent to it also
// when it is not granted.
func (bo LeaseTable) WithRenewal(now time.Time, rn Renewal, maxEntries int) (LeaseTable, bool, string) {
	key := holderKey(rn.Instance)
	ho, known := bo.holders.get(key)
	known = known && now.Before(ho.Until) && ho.Instance.Entry == rn.Instance.Entry
	rn.Leased = rn.Leased && now.Before(bo.quietUntil)
	if rn.Releasing {
		bo.holders = bo.holders.without(key)
		return bo, false, reasonReleased
	}
	if re := bo.refusal(now, rn, known); re != "" {
		return bo, false, re
	}
	if rn.Instance.Entry && !ho.settled(rn, known, maxEntries) {
		bo = bo.withoutExpired(now)
		var re string
		if ho, re = bo.divide(now, ho, rn, known, maxEntries); re != "" {
			return bo, false, re
		}
	}
	if !known {
		ho.Since = now
	}
	ho.Instance = rn.Instance
	ho.InForce = rn.InForce
	ho.Until = now.Add(bo.lease)
	bo.holders = bo.holders.with(key, ho)
	return bo, true, ""
}

// refusal gives the reason to refuse whatever room there is, or "".
func (bo LeaseTable) refusal(now time.Time, rn Renewal, known bool) string {
	switch {
	case bo.superseded(rn.Instance):
		return reasonSuperseded
	case !known && !rn.Leased && rn.Instance.Entry && now.Before(bo.quietUntil):
		// Instances that hold a lease of the earlier leader can't all be heard
		// yet. One more beside them would take connections over the limit.
		return reasonQuiet
	case bo.behind(now, rn, known):
		return reasonBehind
	default:
		return ""
	}
}

// superseded reports whether the name has come with a higher incarnation: the
// older process must not live on beside its successor.
func (bo LeaseTable) superseded(in view.Instance) bool {
	for _, ho := range bo.holders.from(holderKey(in)) {
		if ho.Instance.Name != in.Name || ho.Instance.Incarnation > in.Incarnation {
			return ho.Instance.Name == in.Name
		}
	}
	return false
}

// behind reports whether an instance must catch up first. A newcomer must use
// the newest revision, else it would serve an older one after the newer was said
// to be in force. A holder has a lease's time to follow, else one that renews
// without following would keep a change from ever being in force.
func (bo LeaseTable) behind(now time.Time, rn Renewal, known bool) bool {
	for _, co := range bo.revisions {
		late := !now.Before(co.when.Add(bo.lease))
		if rn.InForce < co.revision && (late || !known && !rn.Leased) {
			return true
		}
	}
	return false
}

// settled reports whether a renewal only makes a lease longer.
func (ho Holder) settled(rn Renewal, known bool, maxEntries int) bool {
	return known && ho.Entries == maxEntries && ho.LeastEntries == maxEntries &&
		(rn.Entries == 0 || rn.Entries == maxEntries)
}

// divide returns the holder with the divisor that it may use, or the reason why
// there is no room for it.
func (bo LeaseTable) divide(now time.Time, ho Holder, rn Renewal, known bool, maxEntries int) (Holder, string) {
	if maxEntries <= 0 {
		return ho, reasonNoLimit
	}
	if !known {
		ho = newHolder(rn, maxEntries)
	}
	if rn.Entries == 0 || rn.Entries == ho.Entries {
		ho.LeastEntries = ho.Entries
	}
	if now.Before(bo.quietUntil) {
		// Others that are not heard yet may hold the rest of the limit, so a
		// share can only fall.
		return ho.withEntries(max(ho.Entries, maxEntries)), ""
	}
	others, before := bo.others(ho, rn.Instance)
	fits := others+1/float64(maxEntries) <= 1+shareSlack
	switch {
	case !known && (before >= maxEntries || !fits):
		return ho, fmt.Sprintf("no room: %d entry instances hold a lease, of at most %d", before, maxEntries)
	case known && before >= maxEntries:
		return ho, fmt.Sprintf("one too many: %d entry instances came before, of at most %d", before, maxEntries)
	case fits:
		return ho.withEntries(maxEntries), ""
	default:
		return ho, ""
	}
}

// newHolder returns a holder that the book does not hold. What an earlier leader
// granted it is known from itself alone.
func newHolder(rn Renewal, maxEntries int) Holder {
	if !rn.Leased || rn.Entries == 0 {
		return Holder{Entries: maxEntries, LeastEntries: maxEntries}
	}
	return Holder{Entries: max(rn.Entries, maxEntries), LeastEntries: rn.Entries}
}

// withEntries returns the holder after it is told a divisor. Until it says that
// it follows, it may go on with a lower one.
func (ho Holder) withEntries(entries int) Holder {
	ho.Entries = entries
	ho.LeastEntries = min(ho.LeastEntries, entries)
	return ho
}

// others returns the sum of the shares of the other entry holders, and how many
// of them came before the holder.
func (bo LeaseTable) others(ho Holder, in view.Instance) (shares float64, before int) {
	own := holderKey(in)
	for key, ot := range bo.holders.all() {
		if key == own || !ot.Instance.Entry {
			continue
		}
		shares += ot.share()
		if ho.Since.IsZero() || ot.Since.Before(ho.Since) || ot.Since.Equal(ho.Since) && key < own {
			before++
		}
	}
	return shares, before
}

func (bo LeaseTable) withoutExpired(now time.Time) LeaseTable {
	for key, ho := range bo.holders.all() {
		if !now.Before(ho.Until) {
			bo.holders = bo.holders.without(key)
		}
	}
	return bo
}

// InForce reports whether every entry instance that may serve has the revision
// in force, and names those that may not. An instance whose lease ran out does
// not serve.
func (bo LeaseTable) InForce(now time.Time, revision uint64) (all bool, waitingFor []string) {
	for _, ho := range bo.Holders(now) {
		if ho.Instance.Entry && ho.InForce < revision {
			waitingFor = append(waitingFor, ho.Instance.Name)
		}
	}
	if now.Before(bo.quietUntil) {
		// Instances that were granted a lease by the earlier leader and can't
		// reach this one serve an older revision until their leases end.
		waitingFor = append(waitingFor, reasonEarlier)
	}
	return len(waitingFor) == 0, waitingFor
}

// Holders returns those that hold a lease, sorted by name and incarnation.
func (bo LeaseTable) Holders(now time.Time) []Holder {
	var hos []Holder
	for _, ho := range bo.holders.all() {
		if now.Before(ho.Until) {
			hos = append(hos, ho)
		}
	}
	return hos
}

// Instances returns the instances that hold a lease, sorted by name; of each
// name the one with the highest incarnation.
func (bo LeaseTable) Instances(now time.Time) []view.Instance {
	var ins []view.Instance
	for _, ho := range bo.Holders(now) {
		if le := len(ins); le > 0 && ins[le-1].Name == ho.Instance.Name {
			ins[le-1] = ho.Instance
			continue
		}
		ins = append(ins, ho.Instance)
	}
	return ins
}

// Entries returns the divisor that the instance was granted, for Grant.Entries;
// 0 if it holds no lease.
func (bo LeaseTable) Divisor(in view.Instance) int {
	ho, _ := bo.holders.get(holderKey(in))
	return ho.Entries
}

// LeaseMillis returns what a holder may count from when it sent its renewal, for
// Grant.LeaseMillis: nine tenths of what the leader waits for, in case its clock
// runs slower than the leader's.
func (bo LeaseTable) LeaseMillis() int64 {
	return (bo.lease * 9 / 10).Milliseconds()
}

// holderKey sorts by name and incarnation.
func holderKey(in view.Instance) string {
	return fmt.Sprintf("%s\x00%020d", in.Name, in.Incarnation)
}
