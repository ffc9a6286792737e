package quorum

import (
	"fmt"
	"hash/maphash"
	"slices"
	"testing"
	"time"
)

// budget bounds the faults and events on one path of the search. A message that is never
// delivered is lost; messages are delivered in any order.
type budget struct {
	waits, duplicates, crashes, proposals, resigns int
	inFlight                                       int // inFlight bounds the messages; the oldest are lost.
}

// transition is a step of the search: a wait of one election timeout if node is negative, a
// restart without event, else an event, which may consume a message from the network.
type transition struct {
	node, message, actionLimit int
	event                      Event
	budget                     budget // budget is what remains after the transition.
}

// searchNode is a cluster state that the search has reached.
type searchNode struct {
	cluster    *cluster
	parent     *searchNode
	transition transition
}

// search visits every cluster state within the budget and depth, breadth first, and fails
// with the shortest path to a violation.
func search(t *testing.T, cl *cluster, bu budget, depth int) {
	t.Helper()
	seen := map[uint64]bool{}
	level := []*searchNode{{cluster: cl, transition: transition{budget: bu}}}
	for range depth {
		var next []*searchNode
		for _, sn := range level {
			for _, tr := range sn.transitions() {
				su := sn.apply(tr)
				for at := su; su.cluster.failure != "" && at.parent != nil; at = at.parent {
					t.Errorf("%s: path in reverse order, node %d after %d actions: %T%v", su.cluster.failure, at.transition.node, at.transition.actionLimit, at.transition.event, at.transition.event)
				}
				if su.cluster.failure != "" {
					return
				}
				if pr := su.fingerprint(); !seen[pr] {
					seen[pr] = true
					next = append(next, su)
				}
			}
			sn.cluster = nil
		}
		level = next
	}
	t.Logf("%d cluster states, %d at the greatest depth", len(seen), len(level))
}

// transitions returns all possible next steps. Each event may also be interrupted by a
// crash after any of its actions.
func (sn *searchNode) transitions() []transition {
	var ms []transition
	cl, bu := sn.cluster, sn.transition.budget
	add := func(po, message int, ev Event, bu budget) {
		ms = append(ms, transition{po, message, -1, ev, bu})
		if bu.crashes == 0 || !cl.nodes[po].up {
			return
		}
		bu.crashes--
		_, acts := Step(cl.nodes[po].st, ev)
		for limit := range acts {
			ms = append(ms, transition{po, message, limit, ev, bu})
		}
	}
	addIfBudgeted := func(field func(bu *budget) *int, po int, ev Event) {
		left := bu
		if nu := field(&left); *nu > 0 {
			*nu--
			add(po, -1, ev, left)
		}
	}
	for me, en := range cl.network {
		ev := Received{cl.now, en.from, en.ms}
		add(cl.find(en.to), me, ev, bu)
		addIfBudgeted(func(bu *budget) *int { return &bu.duplicates }, cl.find(en.to), ev)
	}
	for po, no := range cl.nodes {
		if !no.up {
			ms = append(ms, transition{po, -1, -1, nil, bu})
		}
		if no.isDue(cl.now) {
			add(po, -1, Tick{cl.now}, bu)
		}
		if no.st.Role() == Leader {
			addIfBudgeted(func(bu *budget) *int { return &bu.proposals }, po, Propose{Now: cl.now})
			addIfBudgeted(func(bu *budget) *int { return &bu.resigns }, po, Resign{cl.now})
		}
	}
	if bu.waits > 0 {
		bu.waits--
		ms = append(ms, transition{node: -1, budget: bu})
	}
	return ms
}

// isDue reports whether a tick now would have an effect.
func (no node) isDue(now time.Time) bool {
	at, ok := no.st.NextTick()
	return ok && !now.Before(at)
}

func (sn *searchNode) apply(tr transition) *searchNode {
	cl := *sn.cluster
	cl.nodes, cl.network = slices.Clone(cl.nodes), slices.Clone(cl.network)
	cl.leaders, cl.committed, cl.applierTerms = slices.Clip(cl.leaders), slices.Clip(cl.committed), slices.Clip(cl.applierTerms)
	switch {
	case tr.node < 0:
		cl.now = cl.now.Add(testElectionTimeout)
		for po := range cl.nodes {
			cl.nodes[po].cachedFingerprint = 0
		}
	case tr.event == nil:
		cl.restartAndClear(tr.node)
	default:
		if tr.message >= 0 {
			cl.take(tr.message)
		}
		cl.step(tr.node, tr.event, tr.actionLimit)
	}
	cl.network = cl.network[max(0, len(cl.network)-tr.budget.inFlight):]
	return &searchNode{&cl, sn, tr}
}

var fingerprintSeed = maphash.MakeSeed()

func writeHash[T comparable](ha *maphash.Hash, vs ...T) {
	for _, va := range vs {
		maphash.WriteComparable(ha, va)
	}
}

// fingerprint is a hash of all state that determines further transitions.
func (sn *searchNode) fingerprint() uint64 {
	var ha maphash.Hash
	ha.SetSeed(fingerprintSeed)
	cl, sum := sn.cluster, uint64(0)
	for me := range cl.network {
		en := &cl.network[me]
		if en.fingerprint == 0 {
			en.fingerprint = maphash.String(fingerprintSeed, fmt.Sprintf("%s %s %T %v", en.from, en.to, en.ms, en.ms))
		}
		sum += en.fingerprint
	}
	for po := range cl.nodes {
		if no := &cl.nodes[po]; no.cachedFingerprint == 0 {
			no.cachedFingerprint = no.fingerprint(cl.now)
		}
		writeHash(&ha, cl.nodes[po].cachedFingerprint)
	}
	for po, en := range cl.committed {
		writeHash(&ha, en.Term, uint64(en.Type), cl.applierTerms[po])
	}
	writeHash(&ha, cl.leaders...)
	writeHash[any](&ha, sn.transition.budget, sum, len(cl.committed))
	return ha.Sum64()
}

func (no node) fingerprint(now time.Time) uint64 {
	// age counts the election timeouts since a time; more than three make no difference.
	age := func(at time.Time) int {
		return min(3, int((now.Sub(at)+testElectionTimeout-1)/testElectionTimeout))
	}
	var ha maphash.Hash
	ha.SetSeed(fingerprintSeed)
	st, sd := no.st, no.disk.stored
	writeHash[any](&ha, no.up, no.disk.boot, no.applied, sd.Hard, st.role, st.leader, st.commit, st.cleared, st.resigning,
		no.isDue(now), age(st.electionAt), age(st.leaderHeardAt), age(st.becameLeaderAt), age(st.quorumContact), len(st.votes), len(st.clearances))
	for _, en := range sd.Entries {
		writeHash(&ha, en.Term, uint64(en.Type))
	}
	writeHash(&ha, st.newerLog.index, st.newerLog.term)
	writeHash(&ha, st.votes...)
	writeHash(&ha, st.observations...)
	for _, an := range st.clearances {
		writeHash[any](&ha, an.id, an.leader, age(an.receivedAt))
	}
	for _, pr := range st.members {
		writeHash[any](&ha, pr.id, pr.matched, pr.next, age(st.startedAt.Add(time.Duration(pr.ackedSendTime))), pr.ackedSendTime == noTime)
	}
	return ha.Sum64()
}
