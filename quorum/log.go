package quorum

import "slices"

// chunkSize is the number of entries in a full chunk of an entryLog.
const chunkSize = 64

// entryLog is an immutable log that starts after a snapshot. Its successors share full
// chunks; only the tail is copied when entries are appended, so two successors of one log
// can't overwrite each other's entries.
type entryLog struct {
	snapshotIndex, snapshotTerm uint64

	base   uint64    // base is the index before the first entry in chunks; at most snapshotIndex.
	chunks [][]Entry // chunks are all full.
	tail   []Entry   // tail has fewer than chunkSize entries.
}

func newLog(snapshotIndex, snapshotTerm uint64, es []Entry) entryLog {
	lo := entryLog{snapshotIndex: snapshotIndex, snapshotTerm: snapshotTerm, base: snapshotIndex}
	return lo.with(es)
}

// last returns the index of the last entry or of the snapshot.
func (lo entryLog) last() uint64 {
	return lo.base + uint64(len(lo.chunks)*chunkSize+len(lo.tail))
}

// term returns the term at an index, and false if the log does not hold it.
func (lo entryLog) term(index uint64) (uint64, bool) {
	if index == lo.snapshotIndex {
		return lo.snapshotTerm, true
	}
	if index < lo.snapshotIndex || index > lo.last() {
		return 0, false
	}
	return lo.at(index).Term, true
}

func (lo entryLog) lastTerm() uint64 {
	te, _ := lo.term(lo.last())
	return te
}

// at returns an entry that the log holds.
func (lo entryLog) at(index uint64) Entry {
	po := int(index - lo.base - 1)
	if po/chunkSize < len(lo.chunks) {
		return lo.chunks[po/chunkSize][po%chunkSize]
	}
	return lo.tail[po%chunkSize]
}

// slice returns a copy of the entries in (after, upTo].
func (lo entryLog) slice(after, upTo uint64) []Entry {
	if upTo <= after {
		return nil
	}
	es := make([]Entry, 0, upTo-after)
	for in := after + 1; in <= upTo; in++ {
		es = append(es, lo.at(in))
	}
	return es
}

// with returns the log with entries appended.
func (lo entryLog) with(es []Entry) entryLog {
	tail := make([]Entry, len(lo.tail), min(chunkSize, len(lo.tail)+len(es)))
	copy(tail, lo.tail)
	for _, en := range es {
		tail = append(tail, en)
		if len(tail) == chunkSize {
			lo.chunks = append(slices.Clip(lo.chunks), tail)
			tail = nil
		}
	}
	lo.tail = tail
	return lo
}

// truncatedFrom returns the log without the entries from an index on.
func (lo entryLog) truncatedFrom(index uint64) entryLog {
	keep := int(index - lo.base - 1)
	if keep >= len(lo.chunks)*chunkSize {
		lo.tail = lo.tail[:keep%chunkSize]
		return lo
	}
	full := keep / chunkSize
	lo.tail = lo.chunks[full][:keep%chunkSize]
	lo.chunks = lo.chunks[:full]
	return lo
}

// compacted returns the log after a snapshot up to an index that it holds. The remaining
// entries are copied, because a shared chunk would keep the data of the compacted entries
// in memory.
func (lo entryLog) compacted(index uint64) entryLog {
	te, _ := lo.term(index)
	return newLog(index, te, lo.slice(index, lo.last()))
}
