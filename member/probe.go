package member

import (
	"slices"
	"time"

	"balsamwinch.example/view"
)

const (
	// maxPartners is how many instances this one pushes to and probes. It bounds
	// the connections of an instance however many there are; the graph of
	// random partners still reaches all within a few steps.
	maxPartners = 12
	// rotation is after how many ticks one partner is exchanged for another.
	rotation = 60
	// reconnection is after how many ticks an instance that has gone is asked
	// again, so that regions that lost each other find together.
	reconnection = 10
	// answerTime is how long an answer to a Digest may take.
	answerTime = 300 * time.Millisecond
	// maxMissed is how many Digests in a row go unanswered before an instance
	// is doubted.
	maxMissed = 3
	// avoidance is for how long an instance that others can reach is not asked
	// again by one that cannot.
	avoidance = time.Minute
	// recent is how long after the last message an instance is sure of its own
	// network.
	recent = 3 * time.Second
	// grantFresh is how long the instances named by control are relied on.
	grantFresh = 10 * time.Second
)

// partner is an instance that this one pushes to and probes.
type partner struct {
	name   string
	since  uint64        // since is the tick at which it was chosen.
	probed time.Duration // probed is when it was asked; zero if it has answered.
	missed int
}

// avoided is an instance that this one could not reach.
type avoided struct {
	name  string
	until time.Duration
}

// grant takes over the instances that control names. They are added to those
// that are known otherwise; nobody is dropped because a grant does not name it.
//
// It guards against one wrong view that empties the address list: control names
// nobody, or a few, after a restart or a fault, and every caller is told that
// there are no other instances. An instance drops out because it cannot be
// reached or says so, never by not being mentioned.
func (sp *step) grant(ins []view.Instance) {
	sp.grantAt = sp.now
	sp.fresh = true
	if slices.Equal(sp.granted, ins) {
		return
	}
	sp.granted = slices.Clone(ins)
	sp.instances = &instanceList{}
}

func (sp *step) refreshGrant() {
	fresh := sp.grantAt != 0 && sp.now-sp.grantAt < grantFresh
	if fresh != sp.fresh {
		sp.fresh = fresh
		sp.instances = &instanceList{}
	}
}

// isolated reports whether nothing was heard lately, neither from instances nor
// from control.
//
// It guards against an instance that loses its own network, finds everybody
// silent and answers callers that it is the only instance left. When all are
// silent at once, it is this one that is cut off, and the list stays.
func (st *State) isolated(now time.Duration) bool {
	return now-st.lastHeard >= recent && (st.grantAt == 0 || now-st.grantAt >= recent)
}

// probe sends the sum over the table to the next partner, and again to those
// that owe an answer.
func (sp *step) probe() {
	sp.recheck()
	sp.refill()
	if n := len(sp.partners); n > 0 {
		sp.cursor = (sp.cursor + 1) % n
		if pa := sp.partners[sp.cursor]; pa.probed == 0 {
			sp.askPartner(sp.cursor)
		}
	}
	if sp.ticks%reconnection == 0 {
		sp.reconnect()
	}
}

// recheck asks those partners again that owe an answer, and doubts them when
// they have owed it too often.
func (sp *step) recheck() {
	for ix := 0; ix < len(sp.partners); ix++ {
		pa := sp.partners[ix]
		if pa.probed == 0 || sp.now-pa.probed < answerTime {
			continue
		}
		if pa.missed+1 < maxMissed {
			sp.setPartner(ix, partner{name: pa.name, since: pa.since, missed: pa.missed + 1})
			sp.askPartner(ix)
			continue
		}
		sp.doubt(pa.name)
		sp.dropPartner(ix)
		sp.avoided = append(slices.Clone(sp.avoided), avoided{name: pa.name, until: sp.now + avoidance})
		ix--
	}
}

// doubt says of an instance that it could not be reached. It has the time of
// suspicion to refute that through whoever can reach it.
func (sp *step) doubt(name string) {
	it, ok := sp.instanceItem(name)
	if !ok || it.version.status != statusVouched || !it.shown || sp.isolated(sp.now) {
		return
	}
	ve := it.version
	ve.status = statusDoubted
	sp.merge(it.with(ve), 0)
	sp.spread(it.hash, true)
}

func (sp *step) askPartner(ix int) {
	pa := sp.partners[ix]
	pa.probed = sp.now
	sp.setPartner(ix, pa)
	sp.ask(pa.name)
}

// ask sends the sum over the table to an instance, with the own entry if the
// other may not know where to send the answer.
func (sp *step) ask(name string) {
	ms := Digest{Sum: sp.table.sum}
	if it, ok := sp.instanceItem(name); !ok || it.heard == 0 || sp.now-it.heard > avoidance {
		if own, ok := sp.instanceItem(sp.self.Name); ok {
			we := sp.pack(own)
			ms.Self = &we
		}
	}
	sp.send(name, ms)
}

// answered notes that an instance is there.
func (sp *step) answered(name string) {
	sp.lastHeard = sp.now
	isName := func(av avoided) bool { return av.name == name }
	if slices.ContainsFunc(sp.avoided, isName) {
		sp.avoided = slices.DeleteFunc(slices.Clone(sp.avoided), isName)
	}
	for ix, pa := range sp.partners {
		if pa.name == name && pa.probed != 0 {
			sp.setPartner(ix, partner{name: pa.name, since: pa.since})
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

// refill drops partners that are no longer listed, exchanges one now and then,
// and chooses new ones at random.
func (sp *step) refill() {
	sp.avoided = slices.DeleteFunc(slices.Clone(sp.avoided), func(av avoided) bool { return av.until <= sp.now })
	names := sp.candidates()
	sp.partners = slices.DeleteFunc(slices.Clone(sp.partners), func(pa partner) bool { return !slices.Contains(names, pa.name) })
	names = slices.DeleteFunc(names, sp.isPartner)
	if len(names) > 0 && len(sp.partners) == maxPartners && sp.ticks-sp.partners[0].since >= rotation {
		sp.dropPartner(0)
		sp.partners[len(sp.partners)-1].since = sp.ticks
	}
	for len(sp.partners) < maxPartners && len(names) > 0 {
		ix := sp.intn(len(names))
		sp.partners = append(sp.partners, partner{name: names[ix], since: sp.ticks})
		names = slices.Delete(names, ix, ix+1)
	}
}

// candidates returns the names of the instances that may become partners.
func (sp *step) candidates() []string {
	var names []string
	for _, in := range sp.Instances() {
		isName := func(av avoided) bool { return av.name == in.Name }
		if in.Name != sp.self.Name && !slices.ContainsFunc(sp.avoided, isName) {
			names = append(names, in.Name)
		}
	}
	return names
}

func (sp *step) isPartner(name string) bool {
	return slices.ContainsFunc(sp.partners, func(pa partner) bool { return pa.name == name })
}

// reconnect asks an instance that has gone, chosen at random.
func (sp *step) reconnect() {
	var names []string
	sp.table.each(func(it *item) {
		if it.instance != nil && !it.shown && it.version.status != statusLeft {
			names = append(names, it.instance.Name)
		}
	})
	if len(names) > 0 {
		sp.ask(names[sp.intn(len(names))])
	}
}
