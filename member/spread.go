package member

import (
	"slices"

	"balsamwinch.example/peer"
)

const (
	// rumourFan is how many instances a change is pushed to at a time.
	rumourFan = 3
	// rumourRounds is how many times a change is pushed by each instance, and
	// urgentRounds how many times one that must not wait for tables to be
	// compared if messages are lost.
	rumourRounds = 1
	urgentRounds = 2
	// maxRumours is how many changes are pushed at a time. Of more at once, the
	// comparison of tables carries the rest, which then costs less.
	maxRumours = 64
	// pushRate and pushBurst bound the pushes a second that do not wait for a
	// tick, so that many changes travel together.
	pushRate  = 10.0
	pushBurst = 10.0
	// transferEntries is how many entries travel in one message.
	transferEntries = 128
)

// rumour is a change that is being pushed.
type rumour struct {
	hash   uint64
	rounds int
	urgent bool // urgent says that somebody must get no more work.
}

// spread queues a change for pushing. When too much is queued, what is not
// urgent goes first, the oldest before the newer.
func (sp *step) spread(hash uint64, urgent bool) {
	rus := make([]rumour, 0, len(sp.rumours)+1)
	for _, ru := range sp.rumours {
		if ru.hash != hash {
			rus = append(rus, ru)
		}
	}
	rounds := rumourRounds
	if urgent {
		rounds = urgentRounds
	}
	rus = append(rus, rumour{hash: hash, rounds: rounds, urgent: urgent})
	if len(rus) > maxRumours {
		ix := max(slices.IndexFunc(rus, func(ru rumour) bool { return !ru.urgent }), 0)
		rus = slices.Delete(rus, ix, ix+1)
	}
	sp.rumours = rus
}

// flushSoon pushes what is queued now, or leaves it to the next tick if much
// was pushed lately.
func (sp *step) flushSoon() {
	if len(sp.rumours) == 0 {
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

// flush pushes what is queued to a few partners.
func (sp *step) flush() {
	if len(sp.rumours) == 0 || len(sp.partners) == 0 {
		return
	}
	ms := Transfer{Forward: true}
	rest := make([]rumour, 0, len(sp.rumours))
	for _, ru := range sp.rumours {
		if it, ok := sp.table.get(ru.hash); ok {
			ms.Entries = append(ms.Entries, sp.pack(it))
		}
		if ru.rounds--; ru.rounds > 0 {
			rest = append(rest, ru)
		}
	}
	sp.rumours = rest
	names := make([]string, 0, len(sp.partners))
	for _, pa := range sp.partners {
		names = append(names, pa.name)
	}
	for range min(rumourFan, len(names)) {
		ix := sp.intn(len(names))
		sp.send(names[ix], ms)
		names = slices.Delete(names, ix, ix+1)
	}
}

func (sp *step) received(from string, ms peer.Message) {
	sp.hear(from)
	switch ms := ms.(type) {
	case Digest:
		sp.digest(from, ms)
	case Compare:
		sp.compare(from, ms)
	case Transfer:
		sp.transfer(from, ms)
	}
	sp.flushSoon()
}

// digest answers the sum over another instance's table.
func (sp *step) digest(from string, ms Digest) {
	if ms.Self != nil {
		sp.take(*ms.Self, true)
		sp.hear(from)
	}
	if ms.Sum == sp.table.sum {
		sp.send(from, Compare{})
		return
	}
	var rp Compare
	sp.describe(&rp, path{}, sp.table.count)
	sp.send(from, rp)
}

// describe adds to a message what the table holds under a path: the versions if
// they are few on both sides or none here, else the sums of the next level.
func (sp *step) describe(rp *Compare, pa path, theirs int) {
	ta := sp.table.part(pa)
	if ta.count == 0 || max(ta.count, theirs) <= leafItems || pa.Depth == maxDepth-1 {
		le := Leaf{Path: pa}
		ta.each(func(it *item) { le.Versions = append(le.Versions, it.stamp()) })
		rp.Leaves = append(rp.Leaves, le)
		return
	}
	br := Branch{Path: pa, Sums: make([]uint64, tableFan), Counts: make([]int, tableFan)}
	for ix := range tableFan {
		ki := ta.child(pa, ix)
		br.Sums[ix], br.Counts[ix] = ki.sum, ki.count
	}
	rp.Branches = append(rp.Branches, br)
}

// compare looks closer where another instance's table differs.
func (sp *step) compare(from string, ms Compare) {
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

// compareBranch adds to the messages what differs under the children of a path.
// What the other instance lacks altogether is given at once.
func (sp *step) compareBranch(rp *Compare, tr *Transfer, br Branch) {
	if br.Path.Depth < 0 || br.Path.Depth >= maxDepth-1 || len(br.Sums) != tableFan || len(br.Counts) != tableFan {
		return
	}
	ta := sp.table.part(br.Path)
	for ix := range tableFan {
		ki := ta.child(br.Path, ix)
		switch {
		case ki.sum == br.Sums[ix] && ki.count == br.Counts[ix]:
		case br.Counts[ix] == 0:
			ki.each(func(it *item) { tr.Entries = append(tr.Entries, sp.pack(*it)) })
		default:
			sp.describe(rp, br.Path.kid(ix), br.Counts[ix])
		}
	}
}

// compareLeaf adds to a message the entries that the other instance lacks or
// holds in an older version, and asks for those that it holds newer.
func (sp *step) compareLeaf(tr *Transfer, le Leaf) {
	theirs := make(map[uint64]VersionSummary, len(le.Versions))
	for _, sm := range le.Versions {
		theirs[sm.Hash] = sm
	}
	sp.table.part(le.Path).each(func(it *item) {
		sm, ok := theirs[it.hash]
		delete(theirs, it.hash)
		own := it.stamp()
		order := own.compare(sm)
		if !ok || order > 0 || (order == 0 && own.Check != sm.Check) {
			tr.Entries = append(tr.Entries, sp.pack(*it))
		}
		if ok && (order < 0 || (order == 0 && own.Check != sm.Check)) {
			tr.Requested = append(tr.Requested, it.hash)
		}
	})
	for _, sm := range le.Versions {
		if _, ok := theirs[sm.Hash]; ok {
			tr.Requested = append(tr.Requested, sm.Hash)
		}
	}
}

// transfer takes over entries and gives those that are asked for.
func (sp *step) transfer(from string, ms Transfer) {
	for _, we := range ms.Entries {
		sp.take(we, ms.Forward)
	}
	var tr Transfer
	for _, hash := range ms.Requested {
		if it, ok := sp.table.get(hash); ok {
			tr.Entries = append(tr.Entries, sp.pack(it))
		}
	}
	sp.sendTransfer(from, tr)
}

// take merges an entry that arrived and passes it on if it is news.
func (sp *step) take(we Entry, rumoured bool) {
	en, err := we.unpack()
	if err != nil || !sp.merge(en, we.age()) || !rumoured {
		return
	}
	sp.spread(en.hash, en.version.status != statusVouched || draining(en))
}

// sendTransfer sends a transfer in messages of bounded size.
func (sp *step) sendTransfer(to string, tr Transfer) {
	for chunk := range slices.Chunk(tr.Entries, transferEntries) {
		sp.send(to, Transfer{Entries: chunk})
	}
	for chunk := range slices.Chunk(tr.Requested, transferEntries) {
		sp.send(to, Transfer{Requested: chunk})
	}
}

// hear notes that a message came from an instance.
func (sp *step) hear(from string) {
	if it, ok := sp.instanceItem(from); ok {
		it.heard = sp.now
		sp.settle(it)
	}
	sp.answered(from)
}

// tick does what time asks for.
func (sp *step) tick() {
	sp.ticks++
	sp.expire()
	sp.probe()
	sp.flush()
}

// expire goes through the table for what time alone changes. All of it is gone
// through only when the instances have changed, which may leave servers without
// an owner.
func (sp *step) expire() {
	sp.refreshGrant()
	each := sp.table.eachTimed
	if sp.expired != sp.instances {
		sp.expired = sp.instances
		each = sp.table.each
	}
	var forgotten []uint64
	each(func(it *item) {
		if it.mark != 0 && sp.now-it.mark > retention {
			forgotten = append(forgotten, it.hash)
			return
		}
		ne := *it
		sp.resolve(&ne)
		sp.store(it, &ne)
	})
	for _, hash := range forgotten {
		sp.table = sp.table.without(hash)
	}
}
