package quorum

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newLedCluster returns a cluster in which the first node leads and all nodes are up to
// date.
func newLedCluster(ids ...ID) *cluster {
	cl := newCluster(ids...)
	cl.elect(ids[0])
	cl.run(testElectionTimeout)
	return cl
}

// newRivalCluster returns a cluster in which the first and last node are candidates in term
// 1, with their vote requests in flight.
func newRivalCluster(ids ...ID) *cluster {
	cl := newCluster(ids...)
	one, other := &cl.nodes[0], &cl.nodes[len(ids)-1]
	cl.now = cl.now.Add(2 * testElectionTimeout)
	cl.step(0, Tick{cl.now}, -1)
	cl.step(len(ids)-1, Tick{cl.now}, -1)
	cl.deliverUntil(func() bool { return one.st.Role() == Candidate && other.st.Role() == Candidate })
	return cl
}

func TestExhaustiveSearchFindsNoViolation(t *testing.T) {
	search(t, newCluster("a", "b"), budget{waits: 4, duplicates: 1, crashes: 1, proposals: 1, inFlight: 2}, 12)
	search(t, newRivalCluster("a", "b", "c"), budget{waits: 1, duplicates: 1, crashes: 1, inFlight: 4}, 6)
	search(t, newLedCluster("a", "b", "c"), budget{waits: 2, crashes: 1, proposals: 1, resigns: 1, inFlight: 3}, 8)
}

// A disk holds only the first snapshot, so that no term was saved yet. A start must not use
// a lower term than an earlier start has sent.
func TestStartTakesTermOfSnapshot(t *testing.T) {
	sd := StoredState{SnapshotIndex: 1, SnapshotTerm: 3}
	qt.Assert(t, New(Config{Self: "a", ElectionTimeout: testElectionTimeout}, sd, time.Unix(0, 0)).Term(), qt.Equals, uint64(3))
}

// Two steps from one state must not see each other's entries, even where a chunk of the log
// fills up.
func TestStepLeavesOldStateUnchanged(t *testing.T) {
	c := qt.New(t)
	st := newLedCluster("a", "b", "c").state("a")
	for range 3 * chunkSize {
		before := fmt.Sprint(st)
		one, _ := Step(st, Propose{Data: []byte("one")})
		other, _ := Step(st, Propose{Data: []byte("other")})
		c.Assert(string(one.log.at(one.Last()).Data), qt.Equals, "one")
		c.Assert(string(other.log.at(other.Last()).Data), qt.Equals, "other")
		c.Assert(fmt.Sprint(st), qt.Equals, before)
		st = one
	}
}

// A leader is isolated and another one commits an entry. The isolated leader must not
// answer a read from its old state; the current leader must answer after one message
// exchange, without waiting for its next heartbeat.
func TestReadIsConfirmedByQuorum(t *testing.T) {
	c := qt.New(t)
	cl := newLedCluster("a", "b", "c")
	cl.isolate("a")
	cl.elect("b")
	cl.deliverAll()
	cl.propose("b", 1)
	cl.deliverAll()
	cl.probe(cl.find("a"))
	cl.deliverAll()
	c.Assert(cl.answeredReads, qt.Equals, 0)
	cl.probe(cl.find("b"))
	c.Assert(cl.answeredReads, qt.Equals, 0)
	cl.deliverAll()
	c.Assert(cl.answeredReads, qt.Equals, 1)
	c.Assert(cl.state("c").LastQuorumContact().IsZero(), qt.IsTrue)
	c.Assert(cl.failure, qt.Equals, "")
}

// The only voter is its own majority.
func TestReadOfSingleVoterIsConfirmedAtOnce(t *testing.T) {
	cl := newLedCluster("a")
	cl.probe(0)
	qt.Assert(t, cl.answeredReads, qt.Equals, 1)
}

// Entries may hold large documents. An entry that a snapshot replaces must not be kept in
// memory until its chunk is full.
func TestCompactedEntriesAreFreed(t *testing.T) {
	c := qt.New(t)
	for _, count := range []uint64{1, chunkSize - 1, chunkSize, 3*chunkSize + 5} {
		cl := newLedCluster("a", "b", "c")
		cl.propose("a", count)
		cl.deliverAll()
		st, _ := Step(cl.state("a"), Compacted{cl.state("a").Commit()})
		c.Assert(st.log.chunks, qt.HasLen, 0)
		c.Assert(st.log.tail, qt.HasLen, 0)
		c.Assert(st.Last(), qt.Equals, cl.state("a").Last())
	}
}

// BenchmarkPropose measures the five steps of one proposal of 100 bytes with 3 voters: of
// the leader, of each follower, and of the leader for each reply.
func BenchmarkPropose(b *testing.B) {
	cl := newLedCluster("a", "b", "c")
	sts := map[ID]State{"a": cl.state("a"), "b": cl.state("b"), "c": cl.state("c")}
	var run func(at ID, ev Event)
	run = func(at ID, ev Event) {
		var acts []Action
		sts[at], acts = Step(sts[at], ev)
		for _, ac := range acts {
			if se, ok := ac.(Send); ok {
				run(se.To, Received{cl.now, at, se.Message})
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		run("a", Propose{Now: cl.now, Data: make([]byte, 100)})
		if sts["a"].Commit()%1000 == 0 {
			run("a", Compacted{sts["a"].Commit()})
		}
	}
}
