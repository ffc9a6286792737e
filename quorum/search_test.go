package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamwinch.example/peer"
)

// budget bounds what may happen on one path of the search. A message that is
// never delivered is a lost one; delivery in any order is a reorder.
type budget struct {
	waits, doubles, crashes, proposals, resigns int
	inFlight                                    int // inFlight bounds the messages; the oldest are lost.
}

// place is a world that the search has reached.
type place struct {
	wo   *world
	bu   budget
	from *place
	by   func() string
}

func (pl *place) trace() string {
	if pl.from == nil {
		return ""
	}
	return pl.from.trace() + "\n  " + pl.by()
}

// search visits every world within the budgets and a depth, breadth first, and
// fails at the shortest path to a fault.
func search(t *testing.T, wo *world, bu budget, depth int) {
	t.Helper()
	wo.reprint()
	seen := map[uint64]struct{}{}
	level := []*place{{wo: wo, bu: bu}}
	for de := 0; de < depth && len(level) > 0; de++ {
		var next []*place
		for _, pl := range level {
			for _, su := range pl.successors() {
				if su.wo.fault != "" {
					t.Fatalf("%s, after:%s", su.wo.fault, su.trace())
				}
				if pr := su.print(); !has(seen, pr) {
					next = append(next, su)
				}
			}
		}
		level = next
	}
	t.Logf("%d worlds", len(seen))
}

func has(seen map[uint64]struct{}, pr uint64) bool {
	_, ok := seen[pr]
	seen[pr] = struct{}{}
	return ok
}

func (pl *place) successors() []*place {
	var ps []*place
	add := func(bu budget, by func() string, do func(wo *world)) {
		wo := pl.wo.clone()
		do(wo)
		wo.net = wo.net[max(0, len(wo.net)-bu.inFlight):]
		ps = append(ps, &place{wo, bu, pl, by})
	}
	for me, en := range pl.wo.net {
		by := func() string { return fmt.Sprintf("%s -> %s %T%+v", en.from, en.to, en.ms, en.ms) }
		add(pl.bu, by, func(wo *world) { wo.stepPrinted(en.to, func() { wo.deliver(me, false, -1) }) })
		if bu := pl.bu; bu.doubles > 0 {
			bu.doubles--
			add(bu, func() string { return by() + " (kept)" }, func(wo *world) { wo.stepPrinted(en.to, func() { wo.deliver(me, true, -1) }) })
		}
		pl.crashes(by, Received{pl.wo.now, en.from, en.ms}, pl.wo.find(en.to), add)
	}
	for po, no := range pl.wo.nodes {
		pl.ofNode(po, no, add)
	}
	if bu := pl.bu; bu.waits > 0 {
		bu.waits--
		add(bu, text("wait"), func(wo *world) {
			wo.now = wo.now.Add(testElection)
			wo.reprint()
		})
	}
	return ps
}

type adder func(bu budget, by func() string, do func(wo *world))

func text(words ...any) func() string {
	return func() string { return fmt.Sprint(words...) }
}

func (pl *place) ofNode(po int, no node, add adder) {
	bu := pl.bu
	if !no.up {
		add(bu, text(no.id, " starts"), func(wo *world) { wo.stepPrinted(no.id, func() { wo.start(po) }) })
		return
	}
	if no.due(pl.wo.now) {
		by := text(no.id, " ticks")
		add(bu, by, func(wo *world) { wo.stepPrinted(no.id, func() { wo.tick(no.id) }) })
		pl.crashes(by, Tick{pl.wo.now}, po, add)
	}
	if bu.proposals > 0 && no.st.Role() == Leader {
		bu.proposals--
		add(bu, text("propose at ", no.id), func(wo *world) { wo.stepPrinted(no.id, func() { wo.propose(no.id) }) })
	}
	if bu := pl.bu; bu.resigns > 0 && no.st.Role() == Leader {
		bu.resigns--
		add(bu, text(no.id, " resigns"), func(wo *world) { wo.stepPrinted(no.id, func() { wo.step(po, Resign{wo.now}, -1) }) })
	}
}

// crashes adds a crash after each of the actions that an event leads to.
func (pl *place) crashes(by func() string, ev Event, po int, add adder) {
	bu := pl.bu
	if bu.crashes == 0 || !pl.wo.nodes[po].up {
		return
	}
	bu.crashes--
	_, acts := Step(pl.wo.nodes[po].st, ev)
	for limit := range acts {
		add(bu, func() string { return fmt.Sprint(by(), ", crash after actions: ", limit) }, func(wo *world) {
			wo.stepPrinted(pl.wo.nodes[po].id, func() { wo.step(po, ev, limit) })
		})
	}
}

// due reports whether a tick now would do something.
func (no node) due(now time.Time) bool {
	switch no.st.Role() {
	case Uncleared, Leader:
		return !now.Before(no.st.heartbeatAt)
	case Follower, PreCandidate, Candidate:
		return !now.Before(no.st.electionAt)
	}
	return false
}

// stepPrinted renews the prints of what a step of one node changes.
func (wo *world) stepPrinted(id ID, do func()) {
	do()
	po := wo.find(id)
	wo.nodes[po].print = wo.nodes[po].fingerprint(wo.now)
	for me := range wo.net {
		if wo.net[me].print == 0 {
			wo.net[me].print = wo.printOf(wo.net[me])
		}
	}
}

func (wo *world) reprint() {
	for po := range wo.nodes {
		wo.nodes[po].print = wo.nodes[po].fingerprint(wo.now)
	}
	for me := range wo.net {
		wo.net[me].print = wo.printOf(wo.net[me])
	}
}

// print is a hash of all that decides what may follow.
func (pl *place) print() uint64 {
	wo := pl.wo
	sum := uint64(0)
	for _, en := range wo.net {
		sum += en.print
	}
	bs := fmt.Append(nil, pl.bu, sum, len(wo.committed), wo.digest(uint64(len(wo.committed))))
	for _, no := range wo.nodes {
		bs = fmt.Append(bs, " ", no.print)
	}
	for _, le := range wo.leaders {
		bs = fmt.Append(bs, " ", le.id, le.term)
	}
	return xxhash.Sum64(bs)
}

// age is how many waits ago something was; older than three makes no difference.
func age(at, now time.Time) int {
	return min(3, int((now.Sub(at)+testElection-1)/testElection))
}

func (no node) fingerprint(now time.Time) uint64 {
	st := no.st
	sd := no.disk.stored
	bs := fmt.Append(nil, no.up, no.disk.boot, sd.Hard, len(sd.Entries), no.applied)
	for _, en := range sd.Entries {
		bs = fmt.Append(bs, en.Term, en.Type, len(en.Data))
	}
	if no.up {
		slices.Sort(st.votes)
		bs = fmt.Append(bs, st.role, st.leader, st.commit, st.votes, st.seen, st.cleared, st.answers, st.resigning,
			no.due(now), age(st.electionAt, now), age(st.heardAt, now), age(st.ledSince, now), age(st.contact, now), age(st.startedAt, now))
	}
	for _, pr := range st.members {
		bs = fmt.Append(bs, pr.id, pr.matched, pr.next, age(st.startedAt.Add(time.Duration(pr.acked)), now), pr.acked == never)
	}
	return xxhash.Sum64(bs)
}

func (wo *world) printOf(en envelope) uint64 {
	base := wo.now.Add(-3 * testElection)
	var ms peer.Message = en.ms
	switch me := en.ms.(type) {
	case Append:
		me.Sent = int64(age(wo.state(en.from).startedAt.Add(time.Duration(me.Sent)), wo.now))
		ms = me
	case AppendReply:
		if st := wo.state(en.to); !st.startedAt.IsZero() {
			base = st.startedAt
		}
		me.Sent = int64(age(base.Add(time.Duration(me.Sent)), wo.now))
		ms = me
	}
	return xxhash.Sum64(fmt.Appendf(nil, "%s %s %T %v", en.from, en.to, ms, ms))
}

func TestSearchElection(t *testing.T) {
	search(t, newWorld("a", "b", "c"), budget{waits: 3, doubles: 1, crashes: 1, inFlight: 4}, 9)
}

func TestSearchTwoVoters(t *testing.T) {
	search(t, newWorld("a", "b"), budget{waits: 3, doubles: 1, crashes: 1, proposals: 1, inFlight: 4}, 11)
}

func TestSearchReplication(t *testing.T) {
	wo := newWorld("a", "b", "c")
	wo.elect("a")
	wo.propose("a")
	wo.deliverAll()
	search(t, wo, budget{waits: 3, crashes: 1, proposals: 1, resigns: 1, inFlight: 4}, 9)
}
