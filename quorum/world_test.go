package quorum

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamwinch.example/peer"
)

const (
	testElection  = 1000 * time.Millisecond
	testHeartbeat = 100 * time.Millisecond
)

// disk is what survives a crash of a node.
type disk struct {
	boot   uint64
	stored Stored
	taken  int // taken is the world's step at which the disk was in this state.
}

// node is one member with an executor that does what the actions say.
type node struct {
	id      ID
	st      State
	up      bool
	disk    disk
	applied uint64
	since   int // since is the world's step of the last start.
	print   uint64
}

type envelope struct {
	from, to ID
	ms       peer.Message
	print    uint64
}

// commitment is an entry that some node applied first, and the digest of all
// entries up to it.
type commitment struct {
	en     Entry
	inTerm uint64
	digest uint64
}

type leadership struct {
	term, start uint64
	id          ID
}

// world is a set of nodes with the messages between them. It finds what must
// never happen and keeps the first such fault.
type world struct {
	now       time.Time
	nodes     []node
	net       []envelope
	cut       map[[2]ID]bool
	leaders   []leadership
	committed []commitment
	refusals  []Reason
	steps     int
	proposed  int
	fault     string
}

// newWorld starts a voter for each ID; they clear each other at once.
func newWorld(ids ...ID) *world {
	wo := &world{now: time.Unix(1_000_000, 0), cut: make(map[[2]ID]bool)}
	for _, id := range ids {
		wo.add(id, ids)
	}
	wo.tickAll()
	wo.deliverAll()
	return wo
}

func (wo *world) add(id ID, voters []ID) {
	no := node{id: id}
	no.disk.stored.SnapshotVoters = VoterSet{Voters: voters}
	wo.nodes = append(wo.nodes, no)
	wo.start(len(wo.nodes) - 1)
}

func (wo *world) clone() *world {
	cl := *wo
	cl.nodes = slices.Clone(wo.nodes)
	cl.net = slices.Clone(wo.net)
	cl.leaders = slices.Clip(wo.leaders)
	cl.committed = slices.Clip(wo.committed)
	return &cl
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

func (wo *world) start(po int) {
	no := &wo.nodes[po]
	no.disk.boot++
	no.up = true
	no.since = wo.steps
	no.applied = no.disk.stored.SnapshotIndex
	no.st = New(Config{
		Self: no.id, Election: testElection, Heartbeat: testHeartbeat,
		Seed: uint64(wo.steps)<<8 + uint64(no.id[0]), MaxBatch: 3, Boot: no.disk.boot,
	}, no.disk.stored, wo.now)
}

func (wo *world) crash(po int) {
	wo.nodes[po].up = false
	wo.nodes[po].st = State{}
}

// step gives a node an event. A limit from 0 on makes it crash after so many
// actions, so that later writes and messages are lost.
func (wo *world) step(po int, ev Event, limit int) {
	if !wo.nodes[po].up {
		return
	}
	wo.steps++
	st, acts := Step(wo.nodes[po].st, ev)
	wo.nodes[po].st = st
	crash := limit >= 0 && limit < len(acts)
	if crash {
		acts = acts[:limit]
	}
	for _, ac := range acts {
		wo.perform(po, ac)
	}
	if crash {
		wo.crash(po)
		return
	}
	wo.check(po)
	for _, ac := range acts {
		if ns, ok := ac.(NeedSnapshot); ok {
			wo.offerSnapshot(po, ns.To)
		}
	}
}

func (wo *world) perform(po int, ac Action) {
	no := &wo.nodes[po]
	switch ac := ac.(type) {
	case Save:
		wo.save(no, ac)
	case Send:
		wo.net = append(wo.net, envelope{from: no.id, to: ac.To, ms: ac.Message})
	case Apply:
		for _, en := range ac.Entries {
			wo.apply(no, en)
		}
	case Restore:
		no.disk.stored = Stored{
			Hard: no.disk.stored.Hard, SnapshotIndex: ac.Index, SnapshotTerm: ac.Term, SnapshotVoters: ac.Voters,
		}
		no.applied = ac.Index
		if string(ac.Data) != wo.digest(ac.Index) {
			wo.fail("%s restores a snapshot up to %d that differs from what was committed", no.id, ac.Index)
		}
	case Refused:
		wo.refusals = append(wo.refusals, ac.Reason)
	}
}

func (wo *world) save(no *node, sv Save) {
	sd := &no.disk.stored
	no.disk.taken = wo.steps
	if sv.Hard != nil {
		revote := sd.Hard.Vote != "" && sv.Hard.Vote != sd.Hard.Vote && sv.Hard.Vote != RefusedVote
		if sv.Hard.Term < sd.Hard.Term || sv.Hard.Term == sd.Hard.Term && revote {
			wo.fail("hard state of %s falls from %v to %v", no.id, sd.Hard, *sv.Hard)
		}
		sd.Hard = *sv.Hard
	}
	if sv.TruncateFrom != 0 {
		if sv.TruncateFrom <= no.applied {
			wo.fail("%s truncates from %d but has applied up to %d", no.id, sv.TruncateFrom, no.applied)
		}
		sd.Entries = slices.Clip(sd.Entries[:sv.TruncateFrom-sd.SnapshotIndex-1])
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
		di := xxhash.Sum64String(wo.digest(en.Index-1) + fmt.Sprint(en.Term, en.Type, en.Data))
		wo.committed = append(wo.committed, commitment{en, no.st.Term(), di})
		return
	}
	if was := wo.committed[en.Index-1].en; was.Term != en.Term || string(was.Data) != string(en.Data) {
		wo.fail("committed entry %d changes: %v, then at %s %v", en.Index, was, no.id, en)
	}
}

func (wo *world) digest(index uint64) string {
	if index == 0 || index > uint64(len(wo.committed)) {
		return fmt.Sprint("none of ", index)
	}
	return strconv.FormatUint(wo.committed[index-1].digest, 16)
}

// compact makes a durable snapshot of all that a node has applied.
func (wo *world) compact(po int) {
	no := &wo.nodes[po]
	sd := &no.disk.stored
	if !no.up || no.applied <= sd.SnapshotIndex {
		return
	}
	sd.Entries = sd.Entries[no.applied-sd.SnapshotIndex:]
	sd.SnapshotVoters = no.st.VotersAt(no.applied)
	sd.SnapshotTerm = wo.committed[no.applied-1].en.Term
	sd.SnapshotIndex = no.applied
	wo.step(po, Compacted{no.applied}, -1)
}

func (wo *world) offerSnapshot(po int, to ID) {
	sd := wo.nodes[po].disk.stored
	wo.step(po, SnapshotReady{
		Now: wo.now, To: to, Index: sd.SnapshotIndex, Term: sd.SnapshotTerm,
		Voters: sd.SnapshotVoters, Data: []byte(wo.digest(sd.SnapshotIndex)),
	}, -1)
}

// check looks for what must never be after a step of a node.
func (wo *world) check(po int) {
	st := wo.nodes[po].st
	if st.Role() != Leader {
		return
	}
	le := leadership{st.Term(), st.start, st.cf.Self}
	if !slices.Contains(wo.leaders, le) {
		for _, other := range wo.leaders {
			if other.term == le.term {
				wo.fail("two leaders in term %d: %s and %s", le.term, other.id, le.id)
			}
		}
		wo.leaders = append(wo.leaders, le)
	}
	wo.checkComplete(st)
	for _, no := range wo.nodes {
		if no.up && no.st.Term() > st.Term() && no.st.Role() == Leader && wo.now.Before(st.LeaseUntil()) {
			wo.fail("%s leads term %d within the lease of %s in term %d", no.id, no.st.Term(), st.cf.Self, st.Term())
		}
		if no.up && no.st.Term() < st.Term() && wo.now.Before(no.st.LeaseUntil()) {
			wo.fail("%s leads term %d within the lease of %s in term %d", st.cf.Self, st.Term(), no.id, no.st.Term())
		}
	}
}

// checkComplete demands that a leader holds what was committed before its term.
func (wo *world) checkComplete(st State) {
	for po := len(wo.committed) - 1; po >= 0; po-- {
		cm := wo.committed[po]
		if cm.inTerm >= st.Term() || cm.en.Index < st.log.snapshotIndex {
			continue
		}
		if te, ok := st.log.term(cm.en.Index); !ok || te != cm.en.Term {
			wo.fail("%s leads term %d without committed entry %d of term %d", st.cf.Self, st.Term(), cm.en.Index, cm.en.Term)
		}
		return
	}
}

// deliver gives a message to its receiver, and keeps a copy of it if asked to.
func (wo *world) deliver(me int, keep bool, limit int) {
	en := wo.net[me]
	if !keep {
		wo.net = slices.Delete(slices.Clone(wo.net), me, me+1)
	}
	po := wo.find(en.to)
	if po < 0 || wo.cut[[2]ID{en.from, en.to}] {
		return
	}
	wo.step(po, Received{wo.now, en.from, en.ms}, limit)
}

// deliverAll delivers in order until no message is left.
func (wo *world) deliverAll() {
	for len(wo.net) > 0 && wo.fault == "" {
		wo.deliver(0, false, -1)
	}
}

func (wo *world) tick(id ID) { wo.step(wo.find(id), Tick{wo.now}, -1) }

func (wo *world) tickAll() {
	for po := range wo.nodes {
		wo.step(po, Tick{wo.now}, -1)
	}
}

// run lets time pass with every message delivered at once.
func (wo *world) run(du time.Duration) {
	for end := wo.now.Add(du); wo.now.Before(end) && wo.fault == ""; {
		wo.now = wo.now.Add(testHeartbeat)
		wo.tickAll()
		wo.deliverAll()
	}
}

// leader returns the leader of the highest term, or "".
func (wo *world) leader() ID {
	var best State
	for _, no := range wo.nodes {
		if no.up && no.st.Role() == Leader && no.st.Term() > best.Term() {
			best = no.st
		}
	}
	return best.Leader()
}

// voters returns the voters of the newest committed set.
func (wo *world) voters() []ID {
	di := disk{stored: Stored{SnapshotVoters: wo.nodes[0].disk.stored.SnapshotVoters}}
	for _, cm := range wo.committed {
		di.stored.Entries = append(di.stored.Entries, cm.en)
	}
	return di.voters()
}

// voters returns the voters that the disk knows of.
func (di disk) voters() []ID {
	for _, en := range slices.Backward(di.stored.Entries) {
		if en.Type == EntryVoters {
			vs, _ := DecodeVoters(en.Data)
			return vs.Voters
		}
	}
	return di.stored.SnapshotVoters.Voters
}

// elect makes a node the leader by silence of the others.
func (wo *world) elect(id ID) {
	for wo.state(id).Role() != Leader && wo.fault == "" {
		wo.now = wo.now.Add(2 * testElection)
		wo.tick(id)
		wo.deliverAll()
	}
}

func (wo *world) propose(id ID) {
	wo.proposed++
	wo.step(wo.find(id), Propose{wo.now, uint64(wo.proposed), []byte(fmt.Sprint("command ", wo.proposed))}, -1)
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

func (wo *world) heal() { clear(wo.cut) }
