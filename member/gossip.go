package member

import (
	"slices"

	"balsamwinch.example/peer"
)

const (
	// pushFanout is the number of instances to which a change is pushed at a
	// time.
	pushFanout = 3
	// pushRounds is how many times each instance pushes a change, and
	// urgentPushRounds how many times it pushes a change that, if messages are
	// lost, must not wait for the comparison of tables.
	pushRounds       = 1
	urgentPushRounds = 2
	// maxQueuedPushes bounds the number of changes in the push queue. If there
	// are more, the others spread by the comparison of tables, which then costs
	// less.
	maxQueuedPushes = 64
	// pushRate and pushBurst limit the pushes per second between ticks, so that
	// many changes are sent in one message.
	pushRate  = 10.0
	pushBurst = 10.0
	// maxTransferEntries is the maximum number of entries in one message.
	maxTransferEntries = 128
)

// queuedPush is a change in the push queue.
type queuedPush struct {
	hash       uint64
	roundsLeft int
	urgent     bool // whether a server or instance must get no more requests after the change
}

// queuePush queues a change for pushing. If the queue is full, it drops the oldest
// change that is not urgent, or else the oldest.
func (sp *step) queuePush(hash uint64, urgent bool) {
	queue := make([]queuedPush, 0, len(sp.pushQueue)+1)
	for _, qp := range sp.pushQueue {
		if qp.hash != hash {
			queue = append(queue, qp)
		}
	}
	rounds := pushRounds
	if urgent {
		rounds = urgentPushRounds
	}
	queue = append(queue, queuedPush{hash: hash, roundsLeft: rounds, urgent: urgent})
	if len(queue) > maxQueuedPushes {
		ix := max(slices.IndexFunc(queue, func(qp queuedPush) bool { return !qp.urgent }), 0)
		queue = slices.Delete(queue, ix, ix+1)
	}
	sp.pushQueue = queue
}

// flushRateLimited pushes the queued changes now, or leaves them to the next tick
// if the rate limit is exceeded.
func (sp *step) flushRateLimited() {
	if len(sp.pushQueue) == 0 {
		return
	}
	passed := (sp.now - sp.tokensAt).Seconds()
	sp.tokens = min(sp.tokens+passed*pushRate, pushBurst)
	sp.tokensAt = sp.now
	if sp.tokens < 1 {
		return
	}
	sp.tokens--
	sp.flush()
}

// flush pushes the queued changes to pushFanout random partners.
func (sp *step) flush() {
	if len(sp.pushQueue) == 0 || len(sp.partners) == 0 {
		return
	}
	ms := Transfer{Forward: true}
	rest := make([]queuedPush, 0, len(sp.pushQueue))
	for _, qp := range sp.pushQueue {
		if it, ok := sp.table.get(qp.hash); ok {
			ms.Entries = append(ms.Entries, sp.pack(it))
		}
		if qp.roundsLeft--; qp.roundsLeft > 0 {
			rest = append(rest, qp)
		}
	}
	sp.pushQueue = rest
	names := make([]string, 0, len(sp.partners))
	for _, pa := range sp.partners {
		names = append(names, pa.name)
	}
	for range min(pushFanout, len(names)) {
		ix := sp.intn(len(names))
		sp.send(names[ix], ms)
		names = slices.Delete(names, ix, ix+1)
	}
}

func (sp *step) handleMessage(from string, ms peer.Message) {
	sp.noteHeard(from)
	switch ms := ms.(type) {
	case Digest:
		sp.handleDigest(from, ms)
	case Compare:
		sp.handleCompare(from, ms)
	case Transfer:
		sp.handleTransfer(from, ms)
	}
	sp.flushRateLimited()
}

// handleDigest answers the checksum of another instance's table.
func (sp *step) handleDigest(from string, ms Digest) {
	if ms.Self != nil {
		sp.receiveEntry(*ms.Self, true)
		sp.noteHeard(from)
	}
	if ms.Sum == sp.table.sum {
		sp.send(from, Compare{})
		return
	}
	var rp Compare
	sp.appendSummary(&rp, path{}, sp.table.count)
	sp.send(from, rp)
}

// appendSummary adds a summary of the subtable at a path to a message: the versions
// if both sides have few entries there or this one has none, otherwise the
// checksums of the next level.
func (sp *step) appendSummary(rp *Compare, pa path, remoteCount int) {
	ta := sp.table.subtable(pa)
	if ta.count == 0 || max(ta.count, remoteCount) <= maxLeafItems || pa.Depth == maxDepth-1 {
		le := Leaf{Path: pa}
		ta.each(func(it *item) { le.Versions = append(le.Versions, it.versionSummary()) })
		rp.Leaves = append(rp.Leaves, le)
		return
	}
	br := Branch{Path: pa, Sums: make([]uint64, tableFanout), Counts: make([]int, tableFanout)}
	for ix := range tableFanout {
		ch := ta.childSubtable(pa, ix)
		br.Sums[ix], br.Counts[ix] = ch.sum, ch.count
	}
	rp.Branches = append(rp.Branches, br)
}

// handleCompare continues the comparison where another instance's table differs.
func (sp *step) handleCompare(from string, ms Compare) {
	var rp Compare
	var tr Transfer
	for _, br := range ms.Branches {
		sp.compareBranch(&rp, &tr, br)
	}
	for _, le := range ms.Leaves {
		sp.compareLeaf(&tr, le)
	}
	if len(rp.Branches)+len(rp.Leaves) > 0 {
		sp.send(from, rp)
	}
	sp.sendTransfer(from, tr)
}

// compareBranch adds to the messages what differs under the children of a path. If
// the other instance has no entries under a child, all of them are sent at once.
func (sp *step) compareBranch(rp *Compare, tr *Transfer, br Branch) {
	if br.Path.Depth < 0 || br.Path.Depth >= maxDepth-1 || len(br.Sums) != tableFanout || len(br.Counts) != tableFanout {
		return
	}
	ta := sp.table.subtable(br.Path)
	for ix := range tableFanout {
		ch := ta.childSubtable(br.Path, ix)
		switch {
		case ch.sum == br.Sums[ix] && ch.count == br.Counts[ix]:
		case br.Counts[ix] == 0:
			ch.each(func(it *item) { tr.Entries = append(tr.Entries, sp.pack(*it)) })
		default:
			sp.appendSummary(rp, br.Path.child(ix), br.Counts[ix])
		}
	}
}

// compareLeaf adds to a message the entries that the other instance lacks or has in
// an older version, and requests those that it has in a newer version.
func (sp *step) compareLeaf(tr *Transfer, le Leaf) {
	remote := make(map[uint64]VersionSummary, len(le.Versions))
	for _, vs := range le.Versions {
		remote[vs.Hash] = vs
	}
	sp.table.subtable(le.Path).each(func(it *item) {
		vs, ok := remote[it.hash]
		delete(remote, it.hash)
		own := it.versionSummary()
		order := own.compare(vs)
		if !ok || order > 0 || (order == 0 && own.Check != vs.Check) {
			tr.Entries = append(tr.Entries, sp.pack(*it))
		}
		if ok && (order < 0 || (order == 0 && own.Check != vs.Check)) {
			tr.Requested = append(tr.Requested, it.hash)
		}
	})
	for _, vs := range le.Versions {
		if _, ok := remote[vs.Hash]; ok {
			tr.Requested = append(tr.Requested, vs.Hash)
		}
	}
}

// handleTransfer stores the received entries and sends those that are requested.
func (sp *step) handleTransfer(from string, ms Transfer) {
	for _, we := range ms.Entries {
		sp.receiveEntry(we, ms.Forward)
	}
	var tr Transfer
	for _, hash := range ms.Requested {
		if it, ok := sp.table.get(hash); ok {
			tr.Entries = append(tr.Entries, sp.pack(it))
		}
	}
	sp.sendTransfer(from, tr)
}

// receiveEntry merges a received entry. If forward is set and the entry is new
// here, it is queued for pushing.
func (sp *step) receiveEntry(we Entry, forward bool) {
	en, err := we.unpack()
	if err != nil || !sp.merge(en, we.age()) || !forward {
		return
	}
	sp.queuePush(en.hash, en.version.status != statusAlive || isDraining(en))
}

// sendTransfer sends a transfer in messages of at most maxTransferEntries each.
func (sp *step) sendTransfer(to string, tr Transfer) {
	for chunk := range slices.Chunk(tr.Entries, maxTransferEntries) {
		sp.send(to, Transfer{Entries: chunk})
	}
	for chunk := range slices.Chunk(tr.Requested, maxTransferEntries) {
		sp.send(to, Transfer{Requested: chunk})
	}
}

// noteHeard records that a message arrived from an instance.
func (sp *step) noteHeard(from string) {
	if it, ok := sp.instanceItem(from); ok {
		it.lastHeard = sp.now
		sp.resolveAndStore(it)
	}
	sp.noteReachable(from)
}

// tick performs the periodic work.
func (sp *step) tick() {
	sp.ticks++
	sp.expire()
	sp.probe()
	sp.flush()
}

// expire updates the items that change by the passing of time alone and drops those
// older than tombstoneTTL. It scans the whole table only if the list of instances
// has changed, because that may leave servers without an owner.
func (sp *step) expire() {
	sp.updateGrantValidity()
	each := sp.table.eachTimed
	if sp.lastScan != sp.instances {
		sp.lastScan = sp.instances
		each = sp.table.each
	}
	var expired []uint64
	each(func(it *item) {
		if it.unavailableSince != 0 && sp.now-it.unavailableSince > tombstoneTTL {
			expired = append(expired, it.hash)
			return
		}
		ne := *it
		sp.resolve(&ne)
		sp.store(it, &ne)
	})
	for _, hash := range expired {
		sp.table = sp.table.without(hash)
	}
}
