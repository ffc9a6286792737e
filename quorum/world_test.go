package quorum

import (
	"fmt"
	"slices"
	"time"

	"balsamwinch.example/peer"
)

const testElection, testHeartbeat = 1000 * time.Millisecond, 100 * time.Millisecond

// disk is what survives a crash of a node.
type disk struct {
	boot   uint64
	stored StoredState
	taken  int // taken is the step at which a copy was made.
}

// node is one member with an executor that does what the actions say.
type node struct {
	id      ID
	st      State
	up      bool
	disk    disk
	applied uint64
	since   int    // since is the step of the last start.
	print   uint64 // print is the cached fingerprint, or 0.
}

type envelope struct {
	from, to ID
	ms       peer.Message
	print    uint64
}

// world is a set of nodes with the messages between them. It finds what must
// never happen and keeps the first such fault.
type world struct {
	now       time.Time
	nodes     []node
	net       []envelope
	cut       map[[2]ID]bool
	leaders   []Header // leaders holds one header for each leader that there was.
	committed []Entry
	inTerms   []uint64 // inTerms holds the terms of the nodes that applied each first.
	reason    Reason   // reason is that of the last refused proposal.
	steps     int
	copies    map[ID]disk // copies holds older states of disks.
	aged      bool        // aged says that an older disk was put back.
	single    bool        // single says that some voter set had one voter only.
	lost      int         // lost counts the disks that were lost.
	reads     []readNote  // reads are those that no leader has answered yet.
	answered  int         // answered counts the reads that were answered.
	fault     string
}

// readNote is a read that came to a node when so many entries were committed.
type readNote struct {
	id        ID
	since     time.Time
	committed int
}

// newWorld starts a voter for each ID; they clear each other at once.
func newWorld(ids ...ID) *world {
	wo := &world{now: time.Unix(1_000_000, 0), cut: make(map[[2]ID]bool), copies: make(map[ID]disk)}
	for _, id := range ids {
		wo.add(id, ids)
	}
	wo.run(testHeartbeat)
	return wo
}

func (wo *world) add(id ID, voters []ID) {
	no := node{id: id, disk: disk{stored: StoredState{SnapshotVoters: VoterSet{Voters: voters}}}}
	wo.nodes = append(wo.nodes, no)
	wo.start(len(wo.nodes) - 1)
}

func (wo *world) find(id ID) int {
	return slices.IndexFunc(wo.nodes, func(no node) bool { return no.id == id })
}

func (wo *world) state(id ID) State { return wo.nodes[wo.find(id)].st }

func (wo *world) fail(format string, args ...any) {
	if wo.fault == "" {
		wo.fault = fmt.Sprintf(format, args...)
	}
}

// start starts a node from its disk, also one that runs.
func (wo *world) start(po int) {
	no := &wo.nodes[po]
	wo.steps++
	no.disk.boot++
	no.up, no.since, no.print = true, wo.steps, 0
	no.applied = no.disk.stored.SnapshotIndex
	no.st = New(Config{
		Self: no.id, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat,
		Seed: uint64(wo.steps)<<8 + uint64(no.id[0]), MaxBatch: 3, Boot: no.disk.boot,
	}, no.disk.stored, wo.now)
}

// rejoin starts a node and delivers its Hello and the answers before all else.
func (wo *world) rejoin(po int) {
	rest := wo.net
	wo.net = nil
	wo.start(po)
	wo.step(po, Tick{wo.now}, -1)
	wo.deliverAll()
	wo.net = append(wo.net, rest...)
}

func (wo *world) copyDisk(po int) {
	wo.nodes[po].disk.taken = wo.steps
	wo.copies[wo.nodes[po].id] = wo.nodes[po].disk
}

func (wo *world) crash(po int) {
	wo.nodes[po].up, wo.nodes[po].st, wo.nodes[po].print = false, State{}, 0
}

// step gives a node an event. A limit from 0 on makes it crash after so many
// actions, so that later writes and messages are lost.
func (wo *world) step(po int, ev Event, limit int) {
	if po < 0 || !wo.nodes[po].up {
		return
	}
	wo.steps++
	st, acts := Step(wo.nodes[po].st, ev)
	wo.nodes[po].st, wo.nodes[po].print = st, 0
	crash := limit >= 0 && limit < len(acts)
	if crash {
		acts = acts[:limit]
	}
	for _, ac := range acts {
		wo.perform(&wo.nodes[po], ac)
	}
	if crash {
		wo.crash(po)
		return
	}
	wo.check(st)
	for _, ac := range acts {
		if ns, ok := ac.(NeedSnapshot); ok {
			sd := wo.nodes[po].disk.stored
			data := fmt.Append(nil, sd.SnapshotIndex)
			wo.step(po, SnapshotReady{wo.now, ns.To, sd.SnapshotIndex, sd.SnapshotTerm, sd.SnapshotVoters, data}, -1)
		}
	}
}

func (wo *world) perform(no *node, ac Action) {
	switch ac := ac.(type) {
	case Save:
		wo.save(no, ac)
	case Send:
		hs := no.disk.stored.Hard
		if vr, ok := ac.Message.(VoteReply); ok && vr.Granted && !vr.Pre && hs != (HardState{vr.For, ac.To}) {
			wo.fail("%s sends its vote for %s in term %d, but its disk holds %v", no.id, ac.To, vr.For, hs)
		}
		wo.net = append(wo.net, envelope{from: no.id, to: ac.To, ms: ac.Message})
	case Apply:
		for _, en := range ac.Entries {
			wo.apply(no, en)
		}
	case Restore:
		hs := no.disk.stored.Hard
		no.disk.stored = StoredState{hs, ac.Index, ac.Term, ac.Voters, nil}
		no.applied = ac.Index
		if want := wo.committed[ac.Index-1].Term; ac.Term != want || string(ac.Data) != fmt.Sprint(ac.Index) {
			wo.fail("%s restores snapshot %q up to %d of term %d, want term %d", no.id, ac.Data, ac.Index, ac.Term, want)
		}
	case ProposalRejected:
		wo.reason = ac.Reason
	}
}

func (wo *world) save(no *node, sv Save) {
	sd := &no.disk.stored
	if hs := sv.Hard; hs != nil {
		revote := sd.Hard.Vote != "" && hs.Vote != sd.Hard.Vote && hs.Vote != RefusedVote
		if hs.Term < sd.Hard.Term || hs.Term == sd.Hard.Term && revote {
			wo.fail("hard state of %s falls from %v to %v", no.id, sd.Hard, *hs)
		}
		sd.Hard = *hs
	}
	if sv.TruncateFrom != 0 {
		if sv.TruncateFrom <= no.applied {
			wo.fail("%s truncates from %d but has applied up to %d", no.id, sv.TruncateFrom, no.applied)
		}
		sd.Entries = sd.Entries[:sv.TruncateFrom-sd.SnapshotIndex-1]
	}
	for _, en := range sv.Entries {
		if want := sd.SnapshotIndex + uint64(len(sd.Entries)) + 1; en.Index != want {
			wo.fail("%s saves index %d, want %d", no.id, en.Index, want)
		}
		sd.Entries = append(slices.Clip(sd.Entries), en)
	}
}

func (wo *world) apply(no *node, en Entry) {
	no.applied++
	if en.Index != no.applied {
		wo.fail("%s applies index %d, want %d", no.id, en.Index, no.applied)
		return
	}
	if en.Index > uint64(len(wo.committed)) {
		wo.committed, wo.inTerms = append(wo.committed, en), append(wo.inTerms, no.st.Term())
		return
	}
	if was := wo.committed[en.Index-1]; was.Term != en.Term || string(was.Data) != string(en.Data) {
		wo.fail("committed entry %d changes: %v, then at %s %v", en.Index, was, no.id, en)
	}
}

// compact makes a durable snapshot of all that a node has applied.
func (wo *world) compact(po int) {
	no := &wo.nodes[po]
	sd := &no.disk.stored
	if !no.up || no.applied <= sd.SnapshotIndex {
		return
	}
	*sd = StoredState{
		sd.Hard, no.applied, wo.committed[no.applied-1].Term, no.st.VotersAt(no.applied),
		sd.Entries[no.applied-sd.SnapshotIndex:],
	}
	wo.step(po, Compacted{no.applied}, -1)
}

// check looks for what must never be after a step to a state.
func (wo *world) check(st State) {
	if st.refusal != "" && !wo.aged {
		wo.fail("%s is refused though its disk lost nothing: %s", st.cf.Self, st.refusal)
	}
	wo.single = wo.single || len(st.Voters().Voters) == 1
	wo.checkReads(st)
	if st.Role() != Leader {
		return
	}
	if he := (&step{State: st}).header(); !slices.Contains(wo.leaders, he) {
		if slices.ContainsFunc(wo.leaders, func(other Header) bool { return other.Term == he.Term }) {
			wo.fail("two leaders in term %d", he.Term)
		}
		wo.leaders = append(wo.leaders, he)
	}
	for _, no := range wo.nodes {
		older, newer := no.st, st
		if no.st.Term() > st.Term() {
			older, newer = st, no.st
		}
		if older.Term() < newer.Term() && newer.Role() == Leader && wo.now.Before(older.LeaseExpiry()) {
			wo.fail("%s leads term %d within the lease of %s", newer.cf.Self, newer.Term(), older.cf.Self)
		}
	}
	for po, en := range slices.Backward(wo.committed) {
		if wo.inTerms[po] >= st.Term() || en.Index < st.log.snapshotIndex {
			continue
		}
		if te, ok := st.log.term(en.Index); !ok || te != en.Term {
			wo.fail("%s leads term %d without committed entry %d of term %d", st.cf.Self, st.Term(), en.Index, en.Term)
		}
		return // A log that holds the last one holds those before.
	}
}

// probe notes a read at a node and asks the others whether it still leads.
func (wo *world) probe(po int) {
	wo.now = wo.now.Add(1)
	wo.reads = append(wo.reads, readNote{id: wo.nodes[po].id, since: wo.now, committed: len(wo.committed)})
	wo.now = wo.now.Add(1)
	wo.step(po, Probe{wo.now}, -1)
}

// checkReads answers the reads that a leader is sure of.
func (wo *world) checkReads(st State) {
	wo.reads = slices.DeleteFunc(slices.Clone(wo.reads), func(rn readNote) bool {
		if rn.id != st.cf.Self || !st.CommittedInTerm() || !st.LastQuorumContact().After(rn.since) {
			return false
		}
		if st.Commit() < uint64(rn.committed) {
			wo.fail("%s answers a read with entry %d when %d was committed before", rn.id, st.Commit(), rn.committed)
		}
		wo.answered++
		return true
	})
}

// take removes a message.
func (wo *world) take(me int) envelope {
	en := wo.net[me]
	wo.net = slices.Delete(slices.Clone(wo.net), me, me+1)
	return en
}

// deliver gives a message to its receiver, who may crash as in step.
func (wo *world) deliver(en envelope, limit int) {
	if !wo.cut[[2]ID{en.from, en.to}] {
		wo.step(wo.find(en.to), Received{wo.now, en.from, en.ms}, limit)
	}
}

// run lets time pass with every message delivered at once.
func (wo *world) run(du time.Duration) {
	for end := wo.now.Add(du); wo.now.Before(end) && wo.fault == ""; {
		wo.now = wo.now.Add(testHeartbeat)
		for po := range wo.nodes {
			wo.step(po, Tick{wo.now}, -1)
		}
		wo.deliverAll()
	}
}

// leader returns the leader of the highest term, or "".
func (wo *world) leader() ID {
	var best State
	for _, no := range wo.nodes {
		if no.st.Role() == Leader && no.st.Term() > best.Term() {
			best = no.st
		}
	}
	return best.Leader()
}

// until delivers in order until a condition holds or no message is left.
func (wo *world) until(cond func() bool) {
	for len(wo.net) > 0 && wo.fault == "" && !cond() {
		wo.deliver(wo.take(0), -1)
	}
}

func (wo *world) deliverAll() { wo.until(func() bool { return false }) }

// elect makes a node the leader by silence of the others. Its first messages as
// the leader are still under way.
func (wo *world) elect(id ID) {
	leads := func() bool { return wo.state(id).Role() == Leader }
	for !leads() && wo.fault == "" {
		wo.now = wo.now.Add(2 * testElection)
		wo.step(wo.find(id), Tick{wo.now}, -1)
		wo.until(leads)
	}
}

func (wo *world) propose(id ID, count uint64) {
	for range count {
		wo.step(wo.find(id), Propose{wo.now, 0, []byte(fmt.Sprint("command ", wo.steps))}, -1)
	}
}

func (wo *world) change(add, remove ID) {
	wo.step(wo.find(wo.leader()), ChangeVoters{Now: wo.now, Add: add, Remove: remove}, -1)
}

// isolate cuts the nodes given off from all others, in both directions.
func (wo *world) isolate(ids ...ID) {
	for _, no := range wo.nodes {
		for _, id := range ids {
			if !slices.Contains(ids, no.id) {
				wo.cut[[2]ID{id, no.id}] = true
				wo.cut[[2]ID{no.id, id}] = true
			}
		}
	}
}
