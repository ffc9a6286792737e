package member

import (
	"slices"
	"time"

	"balsamwinch.example/view"
)

const (
	// maxPartners is the number of instances that this one pushes to and
	// probes. It bounds the connections of an instance regardless of the number
	// of instances. The graph of random partners still reaches all instances
	// within a few steps.
	maxPartners = 12
	// partnerRotationTicks is the number of ticks after which one partner is
	// replaced by another.
	partnerRotationTicks = 60
	// reconnectTicks is the number of ticks between probes of instances that
	// have gone, by which regions reconnect after a partition.
	reconnectTicks = 10
	// probeTimeout is how long the answer to a Digest may take.
	probeTimeout = 300 * time.Millisecond
	// maxMissedProbes is the number of consecutive unanswered Digests after
	// which an instance is suspected.
	maxMissedProbes = 3
	// unreachableTTL is for how long an instance that did not answer is not
	// chosen as a partner again, even if others can reach it. It is also the
	// time without a message from an instance after which a Digest to it
	// includes this instance's own entry.
	unreachableTTL = time.Minute
	// isolationTimeout is the time without messages after which an instance no
	// longer trusts its own network.
	isolationTimeout = 3 * time.Second
	// grantTTL is for how long the instances named in a grant count as present.
	grantTTL = 10 * time.Second
)

// partner is an instance that this one pushes to and probes.
type partner struct {
	name         string
	sinceTick    uint64        // tick at which the partner was chosen
	probedAt     time.Duration // when the unanswered probe was sent; zero if there is none
	missedProbes int
}

// unreachable is an instance that did not answer probes of this one.
type unreachable struct {
	name  string
	until time.Duration
}

// handleGrant stores the instances that control names. They are added to those
// known from gossip; no instance is dropped because a grant omits it.
//
// Otherwise one wrong view would empty the address list: after a restart or a
// fault, control may name no instances or only a few, and every caller would get a
// list without the others. An instance is dropped only if it can't be reached or
// has left.
func (sp *step) handleGrant(ins []view.Instance) {
	sp.grantAt = sp.now
	sp.grantValid = true
	if slices.Equal(sp.granted, ins) {
		return
	}
	sp.granted = slices.Clone(ins)
	sp.instances = &instanceList{}
}

func (sp *step) updateGrantValidity() {
	valid := sp.grantAt != 0 && sp.now-sp.grantAt < grantTTL
	if valid != sp.grantValid {
		sp.grantValid = valid
		sp.instances = &instanceList{}
	}
}

// isolated reports whether no message arrived within isolationTimeout, neither from
// instances nor from control.
//
// An instance that loses its own network finds all others silent and must not
// answer callers that it is the only instance left. If all are silent at once, this
// instance is the one that is partitioned, and the list stays as it is.
func (st *State) isolated(now time.Duration) bool {
	return now-st.lastHeard >= isolationTimeout && (st.grantAt == 0 || now-st.grantAt >= isolationTimeout)
}

// probe sends a Digest to the next partner and repeats unanswered ones.
func (sp *step) probe() {
	sp.retryProbes()
	sp.refreshPartners()
	if n := len(sp.partners); n > 0 {
		sp.cursor = (sp.cursor + 1) % n
		if pa := sp.partners[sp.cursor]; pa.probedAt == 0 {
			sp.probePartner(sp.cursor)
		}
	}
	if sp.ticks%reconnectTicks == 0 {
		sp.reconnect()
	}
}

// retryProbes repeats probes that timed out, and suspects partners that missed
// maxMissedProbes in a row.
func (sp *step) retryProbes() {
	for ix := 0; ix < len(sp.partners); ix++ {
		pa := sp.partners[ix]
		if pa.probedAt == 0 || sp.now-pa.probedAt < probeTimeout {
			continue
		}
		if pa.missedProbes+1 < maxMissedProbes {
			sp.setPartner(ix, partner{name: pa.name, sinceTick: pa.sinceTick, missedProbes: pa.missedProbes + 1})
			sp.probePartner(ix)
			continue
		}
		sp.suspect(pa.name)
		sp.dropPartner(ix)
		sp.unreachable = append(slices.Clone(sp.unreachable), unreachable{name: pa.name, until: sp.now + unreachableTTL})
		ix--
	}
}

// suspect marks an instance as unreachable. It can refute that within
// suspicionTimeout through any instance that can reach it.
func (sp *step) suspect(name string) {
	it, ok := sp.instanceItem(name)
	if !ok || it.version.status != statusAlive || !it.listed || sp.isolated(sp.now) {
		return
	}
	ve := it.version
	ve.status = statusSuspected
	sp.merge(it.withVersion(ve), 0)
	sp.queuePush(it.hash, true)
}

func (sp *step) probePartner(ix int) {
	pa := sp.partners[ix]
	pa.probedAt = sp.now
	sp.setPartner(ix, pa)
	sp.sendDigest(pa.name)
}

// sendDigest sends a Digest to an instance. It includes this instance's own entry
// if the receiver may not know where to send the answer.
func (sp *step) sendDigest(name string) {
	ms := Digest{Sum: sp.table.sum}
	if it, ok := sp.instanceItem(name); !ok || it.lastHeard == 0 || sp.now-it.lastHeard > unreachableTTL {
		if own, ok := sp.instanceItem(sp.self.Name); ok {
			we := sp.pack(own)
			ms.Self = &we
		}
	}
	sp.send(name, ms)
}

// noteReachable records that an instance is reachable.
func (sp *step) noteReachable(name string) {
	sp.lastHeard = sp.now
	isName := func(un unreachable) bool { return un.name == name }
	if slices.ContainsFunc(sp.unreachable, isName) {
		sp.unreachable = slices.DeleteFunc(slices.Clone(sp.unreachable), isName)
	}
	for ix, pa := range sp.partners {
		if pa.name == name && pa.probedAt != 0 {
			sp.setPartner(ix, partner{name: pa.name, sinceTick: pa.sinceTick})
		}
	}
}

func (sp *step) setPartner(ix int, pa partner) {
	sp.partners = slices.Clone(sp.partners)
	sp.partners[ix] = pa
}

func (sp *step) dropPartner(ix int) {
	sp.partners = slices.Delete(slices.Clone(sp.partners), ix, ix+1)
}

// refreshPartners drops partners that are no longer candidates, replaces the oldest
// one every partnerRotationTicks, and chooses new ones at random.
func (sp *step) refreshPartners() {
	sp.unreachable = slices.DeleteFunc(slices.Clone(sp.unreachable), func(un unreachable) bool { return un.until <= sp.now })
	names := sp.candidates()
	sp.partners = slices.DeleteFunc(slices.Clone(sp.partners), func(pa partner) bool { return !slices.Contains(names, pa.name) })
	names = slices.DeleteFunc(names, sp.isPartner)
	if len(names) > 0 && len(sp.partners) == maxPartners && sp.ticks-sp.partners[0].sinceTick >= partnerRotationTicks {
		sp.dropPartner(0)
		sp.partners[len(sp.partners)-1].sinceTick = sp.ticks
	}
	for len(sp.partners) < maxPartners && len(names) > 0 {
		ix := sp.intn(len(names))
		sp.partners = append(sp.partners, partner{name: names[ix], sinceTick: sp.ticks})
		names = slices.Delete(names, ix, ix+1)
	}
}

// candidates returns the names of the instances that may become partners.
func (sp *step) candidates() []string {
	var names []string
	for _, in := range sp.Instances() {
		isName := func(un unreachable) bool { return un.name == in.Name }
		if in.Name != sp.self.Name && !slices.ContainsFunc(sp.unreachable, isName) {
			names = append(names, in.Name)
		}
	}
	return names
}

func (sp *step) isPartner(name string) bool {
	return slices.ContainsFunc(sp.partners, func(pa partner) bool { return pa.name == name })
}

// reconnect probes a random instance that has gone.
func (sp *step) reconnect() {
	var names []string
	sp.table.each(func(it *item) {
		if it.instance != nil && !it.listed && it.version.status != statusLeft {
			names = append(names, it.instance.Name)
		}
	})
	if len(names) > 0 {
		sp.sendDigest(names[sp.intn(len(names))])
	}
}
