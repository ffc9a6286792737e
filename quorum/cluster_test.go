package quorum

import (
	"fmt"
	"slices"
	"time"

	"balsamwinch.example/peer"
)

const testElectionTimeout, testHeartbeatInterval = 1000 * time.Millisecond, 100 * time.Millisecond

// disk is the state of a node that survives a crash.
type disk struct {
	boot         uint64
	stored       StoredState
	copiedAtStep int // copiedAtStep is the step at which a copy was made.
}

// node is one member with an executor that performs the actions.
type node struct {
	id                ID
	st                State
	up                bool
	disk              disk
	applied           uint64
	startedAtStep     int    // startedAtStep is the step of the last start.
	cachedFingerprint uint64 // cachedFingerprint is 0 if it must be computed.
}

type inFlightMessage struct {
	from, to    ID
	ms          peer.Message
	fingerprint uint64
}

// cluster is a simulated set of nodes with the messages between them. It checks the
// invariants and keeps the first violation.
type cluster struct {
	now            time.Time
	nodes          []node
	network        []inFlightMessage
	partitioned    map[[2]ID]bool
	leaders        []Header // leaders holds the header of every leader so far.
	committed      []Entry
	applierTerms   []uint64 // applierTerms holds, for each committed entry, the term of the node that applied it first.
	rejectReason   Reason   // rejectReason is that of the last rejected proposal.
	numSteps       int
	diskCopies     map[ID]disk   // diskCopies holds older states of disks.
	diskRolledBack bool          // diskRolledBack is set once an older disk was restored.
	hadSingleVoter bool          // hadSingleVoter is set once a voter set had only one voter.
	lostDisks      int           // lostDisks counts the disks that were lost.
	pendingReads   []pendingRead // pendingReads are those that no leader has answered yet.
	answeredReads  int           // answeredReads counts the reads that were answered.
	failure        string
}

// pendingRead is a read at a node, with the number of entries committed when it arrived.
type pendingRead struct {
	id        ID
	since     time.Time
	committed int
}

// newCluster starts a voter for each ID; they clear each other at once.
func newCluster(ids ...ID) *cluster {
	cl := &cluster{now: time.Unix(1_000_000, 0), partitioned: make(map[[2]ID]bool), diskCopies: make(map[ID]disk)}
	for _, id := range ids {
		cl.add(id, ids)
	}
	cl.run(testHeartbeatInterval)
	return cl
}

func (cl *cluster) add(id ID, voters []ID) {
	no := node{id: id, disk: disk{stored: StoredState{SnapshotVoters: VoterSet{Voters: voters}}}}
	cl.nodes = append(cl.nodes, no)
	cl.start(len(cl.nodes) - 1)
}

func (cl *cluster) find(id ID) int {
	return slices.IndexFunc(cl.nodes, func(no node) bool { return no.id == id })
}

func (cl *cluster) state(id ID) State { return cl.nodes[cl.find(id)].st }

func (cl *cluster) fail(format string, args ...any) {
	if cl.failure == "" {
		cl.failure = fmt.Sprintf(format, args...)
	}
}

// start starts a node from its disk, or restarts it.
func (cl *cluster) start(po int) {
	no := &cl.nodes[po]
	cl.numSteps++
	no.disk.boot++
	no.up, no.startedAtStep, no.cachedFingerprint = true, cl.numSteps, 0
	no.applied = no.disk.stored.SnapshotIndex
	no.st = New(Config{
		Self: no.id, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval,
		Seed: uint64(cl.numSteps)<<8 + uint64(no.id[0]), MaxBatch: 3, Boot: no.disk.boot,
	}, no.disk.stored, cl.now)
}

// restartAndClear starts a node and delivers its ClearanceRequest and the replies before
// all other messages.
func (cl *cluster) restartAndClear(po int) {
	rest := cl.network
	cl.network = nil
	cl.start(po)
	cl.step(po, Tick{cl.now}, -1)
	cl.deliverAll()
	cl.network = append(cl.network, rest...)
}

func (cl *cluster) copyDisk(po int) {
	cl.nodes[po].disk.copiedAtStep = cl.numSteps
	cl.diskCopies[cl.nodes[po].id] = cl.nodes[po].disk
}

func (cl *cluster) crash(po int) {
	cl.nodes[po].up, cl.nodes[po].st, cl.nodes[po].cachedFingerprint = false, State{}, 0
}

// step passes an event to a node. With a limit from 0 on the node crashes after that many
// actions, so that later writes and messages are lost.
func (cl *cluster) step(po int, ev Event, limit int) {
	if po < 0 || !cl.nodes[po].up {
		return
	}
	cl.numSteps++
	st, acts := Step(cl.nodes[po].st, ev)
	cl.nodes[po].st, cl.nodes[po].cachedFingerprint = st, 0
	crash := limit >= 0 && limit < len(acts)
	if crash {
		acts = acts[:limit]
	}
	for _, ac := range acts {
		cl.perform(&cl.nodes[po], ac)
	}
	if crash {
		cl.crash(po)
		return
	}
	cl.check(st)
	for _, ac := range acts {
		if ns, ok := ac.(NeedSnapshot); ok {
			sd := cl.nodes[po].disk.stored
			data := fmt.Append(nil, sd.SnapshotIndex)
			cl.step(po, SnapshotReady{cl.now, ns.To, sd.SnapshotIndex, sd.SnapshotTerm, sd.SnapshotVoters, data}, -1)
		}
	}
}

func (cl *cluster) perform(no *node, ac Action) {
	switch ac := ac.(type) {
	case Save:
		cl.save(no, ac)
	case Send:
		hs := no.disk.stored.Hard
		if vr, ok := ac.Message.(VoteReply); ok && vr.Granted && !vr.Pre && hs != (HardState{vr.For, ac.To}) {
			cl.fail("%s sends its vote for %s in term %d, but its disk holds %v", no.id, ac.To, vr.For, hs)
		}
		cl.network = append(cl.network, inFlightMessage{from: no.id, to: ac.To, ms: ac.Message})
	case Apply:
		for _, en := range ac.Entries {
			cl.apply(no, en)
		}
	case Restore:
		hs := no.disk.stored.Hard
		no.disk.stored = StoredState{hs, ac.Index, ac.Term, ac.Voters, nil}
		no.applied = ac.Index
		if want := cl.committed[ac.Index-1].Term; ac.Term != want || string(ac.Data) != fmt.Sprint(ac.Index) {
			cl.fail("%s restores snapshot %q up to %d of term %d, want term %d", no.id, ac.Data, ac.Index, ac.Term, want)
		}
	case ProposalRejected:
		cl.rejectReason = ac.Reason
	}
}

func (cl *cluster) save(no *node, sv Save) {
	sd := &no.disk.stored
	if hs := sv.Hard; hs != nil {
		revote := sd.Hard.Vote != "" && hs.Vote != sd.Hard.Vote && hs.Vote != RefusedVote
		if hs.Term < sd.Hard.Term || hs.Term == sd.Hard.Term && revote {
			cl.fail("hard state of %s goes back from %v to %v", no.id, sd.Hard, *hs)
		}
		sd.Hard = *hs
	}
	if sv.TruncateFrom != 0 {
		if sv.TruncateFrom <= no.applied {
			cl.fail("%s truncates from %d but has applied up to %d", no.id, sv.TruncateFrom, no.applied)
		}
		sd.Entries = sd.Entries[:sv.TruncateFrom-sd.SnapshotIndex-1]
	}
	for _, en := range sv.Entries {
		if want := sd.SnapshotIndex + uint64(len(sd.Entries)) + 1; en.Index != want {
			cl.fail("%s saves index %d, want %d", no.id, en.Index, want)
		}
		sd.Entries = append(slices.Clip(sd.Entries), en)
	}
}

func (cl *cluster) apply(no *node, en Entry) {
	no.applied++
	if en.Index != no.applied {
		cl.fail("%s applies index %d, want %d", no.id, en.Index, no.applied)
		return
	}
	if en.Index > uint64(len(cl.committed)) {
		cl.committed, cl.applierTerms = append(cl.committed, en), append(cl.applierTerms, no.st.Term())
		return
	}
	if was := cl.committed[en.Index-1]; was.Term != en.Term || string(was.Data) != string(en.Data) {
		cl.fail("committed entry %d changed: it was %v, at %s it is %v", en.Index, was, no.id, en)
	}
}

// compact makes a durable snapshot of all entries that a node has applied.
func (cl *cluster) compact(po int) {
	no := &cl.nodes[po]
	sd := &no.disk.stored
	if !no.up || no.applied <= sd.SnapshotIndex {
		return
	}
	*sd = StoredState{
		sd.Hard, no.applied, cl.committed[no.applied-1].Term, no.st.VotersAt(no.applied),
		sd.Entries[no.applied-sd.SnapshotIndex:],
	}
	cl.step(po, Compacted{no.applied}, -1)
}

// check checks the invariants after a step to a state.
func (cl *cluster) check(st State) {
	if st.refusal != "" && !cl.diskRolledBack {
		cl.fail("%s is refused although its disk lost nothing: %s", st.cf.Self, st.refusal)
	}
	cl.hadSingleVoter = cl.hadSingleVoter || len(st.Voters().Voters) == 1
	cl.checkReads(st)
	if st.Role() != Leader {
		return
	}
	if he := (&step{State: st}).header(); !slices.Contains(cl.leaders, he) {
		if slices.ContainsFunc(cl.leaders, func(other Header) bool { return other.Term == he.Term }) {
			cl.fail("two leaders in term %d", he.Term)
		}
		cl.leaders = append(cl.leaders, he)
	}
	for _, no := range cl.nodes {
		older, newer := no.st, st
		if no.st.Term() > st.Term() {
			older, newer = st, no.st
		}
		if older.Term() < newer.Term() && newer.Role() == Leader && cl.now.Before(older.LeaseExpiry()) {
			cl.fail("%s leads term %d within the lease of %s", newer.cf.Self, newer.Term(), older.cf.Self)
		}
	}
	for po, en := range slices.Backward(cl.committed) {
		if cl.applierTerms[po] >= st.Term() || en.Index < st.log.snapshotIndex {
			continue
		}
		if te, ok := st.log.term(en.Index); !ok || te != en.Term {
			cl.fail("%s leads term %d without committed entry %d of term %d", st.cf.Self, st.Term(), en.Index, en.Term)
		}
		return // A log that holds the last committed entry holds the earlier ones.
	}
}

// probe records a read at a node and asks the others whether it still leads.
func (cl *cluster) probe(po int) {
	cl.now = cl.now.Add(1)
	cl.pendingReads = append(cl.pendingReads, pendingRead{id: cl.nodes[po].id, since: cl.now, committed: len(cl.committed)})
	cl.now = cl.now.Add(1)
	cl.step(po, Probe{cl.now}, -1)
}

// checkReads answers the reads that a leader has confirmed.
func (cl *cluster) checkReads(st State) {
	cl.pendingReads = slices.DeleteFunc(slices.Clone(cl.pendingReads), func(pr pendingRead) bool {
		if pr.id != st.cf.Self || !st.CommittedInTerm() || !st.LastQuorumContact().After(pr.since) {
			return false
		}
		if st.Commit() < uint64(pr.committed) {
			cl.fail("%s answers a read with entry %d when %d was committed before", pr.id, st.Commit(), pr.committed)
		}
		cl.answeredReads++
		return true
	})
}

// take removes a message from the network.
func (cl *cluster) take(me int) inFlightMessage {
	en := cl.network[me]
	cl.network = slices.Delete(slices.Clone(cl.network), me, me+1)
	return en
}

// deliver delivers a message to its receiver, which may crash as in step.
func (cl *cluster) deliver(en inFlightMessage, limit int) {
	if !cl.partitioned[[2]ID{en.from, en.to}] {
		cl.step(cl.find(en.to), Received{cl.now, en.from, en.ms}, limit)
	}
}

// run advances the time and delivers every message at once.
func (cl *cluster) run(du time.Duration) {
	for end := cl.now.Add(du); cl.now.Before(end) && cl.failure == ""; {
		cl.now = cl.now.Add(testHeartbeatInterval)
		for po := range cl.nodes {
			cl.step(po, Tick{cl.now}, -1)
		}
		cl.deliverAll()
	}
}

// leader returns the leader of the highest term, or "".
func (cl *cluster) leader() ID {
	var best State
	for _, no := range cl.nodes {
		if no.st.Role() == Leader && no.st.Term() > best.Term() {
			best = no.st
		}
	}
	return best.Leader()
}

// deliverUntil delivers messages in order until a condition is true or none is left.
func (cl *cluster) deliverUntil(condition func() bool) {
	for len(cl.network) > 0 && cl.failure == "" && !condition() {
		cl.deliver(cl.take(0), -1)
	}
}

func (cl *cluster) deliverAll() { cl.deliverUntil(func() bool { return false }) }

// elect makes a node the leader by an election timeout. Its first messages as the leader
// are still in flight.
func (cl *cluster) elect(id ID) {
	isLeader := func() bool { return cl.state(id).Role() == Leader }
	for !isLeader() && cl.failure == "" {
		cl.now = cl.now.Add(2 * testElectionTimeout)
		cl.step(cl.find(id), Tick{cl.now}, -1)
		cl.deliverUntil(isLeader)
	}
}

func (cl *cluster) propose(id ID, count uint64) {
	for range count {
		cl.step(cl.find(id), Propose{cl.now, 0, []byte(fmt.Sprint("command ", cl.numSteps))}, -1)
	}
}

func (cl *cluster) change(add, remove ID) {
	cl.step(cl.find(cl.leader()), ChangeVoters{Now: cl.now, Add: add, Remove: remove}, -1)
}

// isolate cuts the given nodes off from all others, in both directions.
func (cl *cluster) isolate(ids ...ID) {
	for _, no := range cl.nodes {
		for _, id := range ids {
			if !slices.Contains(ids, no.id) {
				cl.partitioned[[2]ID{id, no.id}] = true
				cl.partitioned[[2]ID{no.id, id}] = true
			}
		}
	}
}
