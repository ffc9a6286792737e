package quorum

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lead returns a world in which the first node leads and all are up to date.
func lead(ids ...ID) *world {
	wo := newWorld(ids...)
	wo.elect(ids[0])
	wo.run(testElection)
	return wo
}

// rivals returns a world in which the first and last node stand in term 1, with
// their requests for votes under way.
func rivals(ids ...ID) *world {
	wo := newWorld(ids...)
	one, other := &wo.nodes[0], &wo.nodes[len(ids)-1]
	wo.now = wo.now.Add(2 * testElection)
	wo.step(0, Tick{wo.now}, -1)
	wo.step(len(ids)-1, Tick{wo.now}, -1)
	wo.until(func() bool { return one.st.Role() == Candidate && other.st.Role() == Candidate })
	return wo
}

func TestSearch(t *testing.T) {
	search(t, newWorld("a", "b"), budget{waits: 4, doubles: 1, crashes: 1, proposals: 1, inFlight: 2}, 12)
	search(t, rivals("a", "b", "c"), budget{waits: 1, doubles: 1, crashes: 1, inFlight: 4}, 6)
	search(t, lead("a", "b", "c"), budget{waits: 2, crashes: 1, proposals: 1, resigns: 1, inFlight: 3}, 8)
}

// A disk holds the first snapshot only, so that no term was saved yet. A start
// must not fall behind the term that an earlier start has sent.
func TestTermOfFirstSnapshot(t *testing.T) {
	sd := StoredState{SnapshotIndex: 1, SnapshotTerm: 3}
	qt.Assert(t, New(Config{Self: "a", ElectionTimeout: testElection}, sd, time.Unix(0, 0)).Term(), qt.Equals, uint64(3))
}

// Two steps from one state must not see each other's entries, also where a chunk
// of the log fills up.
func TestStepIsPure(t *testing.T) {
	c := qt.New(t)
	st := lead("a", "b", "c").state("a")
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

// A leader is cut off and another one commits. When the cut one is asked for the
// newest entry, it must not answer from what it held before; and the one that
// does lead answers after one exchange, without waiting for its next heartbeat.
func TestProbe(t *testing.T) {
	c := qt.New(t)
	wo := lead("a", "b", "c")
	wo.isolate("a")
	wo.elect("b")
	wo.deliverAll()
	wo.propose("b", 1)
	wo.deliverAll()
	wo.probe(wo.find("a"))
	wo.deliverAll()
	c.Assert(wo.answered, qt.Equals, 0)
	wo.probe(wo.find("b"))
	c.Assert(wo.answered, qt.Equals, 0)
	wo.deliverAll()
	c.Assert(wo.answered, qt.Equals, 1)
	c.Assert(wo.state("c").LastQuorumContact().IsZero(), qt.IsTrue)
	c.Assert(wo.fault, qt.Equals, "")
}

// The only voter is its own majority.
func TestProbeOfSingleVoter(t *testing.T) {
	wo := lead("a")
	wo.probe(0)
	qt.Assert(t, wo.answered, qt.Equals, 1)
}

// Documents may be large. An entry that a snapshot replaces must not be held in
// memory until its chunk is full.
func TestCompactedEntriesAreFreed(t *testing.T) {
	c := qt.New(t)
	for _, count := range []uint64{1, chunkSize - 1, chunkSize, 3*chunkSize + 5} {
		wo := lead("a", "b", "c")
		wo.propose("a", count)
		wo.deliverAll()
		st, _ := Step(wo.state("a"), Compacted{wo.state("a").Commit()})
		c.Assert(st.log.chunks, qt.HasLen, 0)
		c.Assert(st.log.tail, qt.HasLen, 0)
		c.Assert(st.Last(), qt.Equals, wo.state("a").Last())
	}
}

// BenchmarkPropose measures the five steps of one proposal of 100 bytes at 3
// voters: of the leader, of each follower, and of the leader for each reply.
func BenchmarkPropose(b *testing.B) {
	wo := lead("a", "b", "c")
	sts := map[ID]State{"a": wo.state("a"), "b": wo.state("b"), "c": wo.state("c")}
	var run func(at ID, ev Event)
	run = func(at ID, ev Event) {
		var acts []Action
		sts[at], acts = Step(sts[at], ev)
		for _, ac := range acts {
			if se, ok := ac.(Send); ok {
				run(se.To, Received{wo.now, at, se.Message})
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		run("a", Propose{Now: wo.now, Data: make([]byte, 100)})
		if sts["a"].Commit()%1000 == 0 {
			run("a", Compacted{sts["a"].Commit()})
		}
	}
}
