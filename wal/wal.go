// Package wal stores the durable state of a voter in its data folder: the hard state and
// the entries of the replicated log as checksummed records in segments, and the newest
// snapshot. Data for which Save or SaveSnapshot returned without an error survives a crash.
// The content of the entries is opaque to this package.
//
// The folder holds a file LOCK, a file identity with the disk's random ID and the boot
// count, a file snapshot, and segments named after the index of the first entry that was
// appended to them.
package wal

import (
	"errors"
	"io"
	"path/filepath"
	"slices"
	"sync"

	"go.uber.org/zap"

	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
)

// defaultSegmentLimit is the segment limit of Open in bytes.
const defaultSegmentLimit = 4 << 20

// Recovered is the state that Open recovered.
type Recovered struct {
	DiskID    string   // DiskID is random and created with the folder.
	Boot      uint64   // Boot counts the openings of the folder, including this one.
	Snapshot  Snapshot // Snapshot is the zero value if none was saved.
	Hard      quorum.HardState
	Entries   []quorum.Entry // Entries are those after the snapshot, without gaps.
	TornBytes int64          // TornBytes is the number of bytes of an incomplete write that were truncated.
}

// Snapshot is the state of the state machine at an index of the log.
type Snapshot struct {
	Index, Term uint64
	Voters      quorum.VoterSet
	Data        []byte
}

// Journal is an open data folder. Its methods may be called from several goroutines.
type Journal struct {
	fsys   FileSystem
	dir    string
	lg     *zap.Logger
	lock   io.Closer
	diskID string
	// segmentLimit is the size in bytes from which on a new segment is started.
	segmentLimit int64

	snapshotMu sync.Mutex // snapshotMu serializes SaveSnapshot; it is locked before mu.

	mu          sync.Mutex
	failure     error // failure is the error that every later call returns.
	segments    []segment
	active      File
	activeName  string // activeName is the name of the active segment.
	syncedBytes int64  // syncedBytes is the synced size of the active segment.
	hasUnsynced bool   // hasUnsynced is set if a write beyond syncedBytes may have failed.
	sequence    uint64 // sequence is the number of the last record.
	hard        quorum.HardState
	terms       logTerms
}

// segment is one file of records.
type segment struct {
	name  string
	start uint64 // start is the index of the first entry appended to it.
}

// logTerms holds the terms of the entries after an index, in order.
type logTerms struct {
	baseIndex, baseTerm uint64 // baseIndex is the index of the entry before the first.
	terms               []uint64
}

func (lt logTerms) last() uint64 {
	return lt.baseIndex + uint64(len(lt.terms))
}

// at returns the term of an entry, and false if it is not known.
func (lt logTerms) at(index uint64) (uint64, bool) {
	switch {
	case index == lt.baseIndex:
		return lt.baseTerm, true
	case index < lt.baseIndex || index > lt.last():
		return 0, false
	default:
		return lt.terms[index-lt.baseIndex-1], true
	}
}

// after returns the terms after a snapshot, and whether the log continues from it.
func (lt logTerms) after(index, term uint64) (logTerms, bool) {
	if at, ok := lt.at(index); ok && at == term {
		return logTerms{baseIndex: index, baseTerm: term, terms: slices.Clone(lt.terms[index-lt.baseIndex:])}, true
	}
	return logTerms{baseIndex: index, baseTerm: term}, false
}

// Save appends to the log and replaces the hard state: first entries from TruncateFrom on
// are removed unless it is zero, then the entries are appended. When Save returns without
// an error, all of it is on the disk; after an error, possibly none. The error is a
// *result.Error with the code StorageFailed; every later call of any method returns it
// again.
func (jo *Journal) Save(sv quorum.Save) error {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if jo.failure != nil {
		return jo.failure
	}
	next, err := jo.terms.withEntries(sv.TruncateFrom, sv.Entries)
	if err != nil {
		return jo.fail("save", err)
	}
	if jo.syncedBytes >= jo.segmentLimit {
		if err := jo.startSegment(false); err != nil {
			return jo.fail("start a segment", err)
		}
	}
	if err := jo.append(newSaveRecord(sv)); err != nil {
		return jo.fail("save", err)
	}
	jo.terms = next
	if sv.Hard != nil {
		jo.hard = *sv.Hard
	}
	return nil
}

// withEntries returns the terms after entries were removed and appended.
func (lt logTerms) withEntries(truncateFrom uint64, entries []quorum.Entry) (logTerms, error) {
	if truncateFrom != 0 {
		if truncateFrom <= lt.baseIndex {
			return lt, errors.New("entries up to the snapshot can't be removed")
		}
		keep := min(truncateFrom-lt.baseIndex-1, uint64(len(lt.terms)))
		lt.terms = lt.terms[:keep:keep]
	}
	for _, en := range entries {
		if en.Index != lt.last()+1 {
			return lt, errors.New("entries must follow the last one without a gap")
		}
		lt.terms = append(lt.terms, en.Term)
	}
	return lt, nil
}

// fail makes every later call return the error. After a failed sync the kernel may have
// dropped the written pages and report success the next time; a voter that continued would
// acknowledge entries that are not on the disk.
func (jo *Journal) fail(op string, err error) error {
	jo.failure = &result.Error{Code: result.StorageFailed, Op: "journal: " + op, Detail: jo.dir, Err: err}
	jo.lg.Error("journal.failed", zap.String("operation", op), zap.String("folder", jo.dir), zap.Error(err))
	return jo.failure
}

// append writes a record and syncs it. Without the sync, a power loss could erase an
// acknowledged entry or vote, and a voter could vote twice.
func (jo *Journal) append(re record) error {
	data, err := re.encode(jo.sequence + 1)
	if err != nil {
		return err
	}
	jo.hasUnsynced = true
	if _, err := jo.active.Write(data); err != nil {
		return err
	}
	if err := jo.active.Sync(); err != nil {
		return err
	}
	jo.hasUnsynced = false
	jo.sequence++
	jo.syncedBytes += int64(len(data))
	return nil
}

// startSegment creates a new segment. With reset, the entries of earlier segments become
// invalid.
func (jo *Journal) startSegment(reset bool) error {
	se := segment{name: segmentName(jo.terms.last()+1, jo.sequence+1), start: jo.terms.last() + 1}
	fi, err := jo.fsys.Create(filepath.Join(jo.dir, se.name))
	if err != nil {
		return err
	}
	old := jo.active
	jo.active, jo.activeName, jo.syncedBytes = fi, se.name, 0
	if old != nil {
		if err := old.Close(); err != nil {
			return err
		}
	}
	if err := jo.append(jo.header(reset)); err != nil {
		return err
	}
	// The file's name is durable only once its folder is synced.
	if err := jo.fsys.SyncDir(jo.dir); err != nil {
		return err
	}
	jo.segments = append(jo.segments, se)
	return nil
}

// header returns the first record of a segment, which makes the earlier segments
// unnecessary once a snapshot covers their entries.
func (jo *Journal) header(reset bool) record {
	last := jo.terms.last()
	term, _ := jo.terms.at(last)
	return record{Header: &headerRecord{
		Disk:  jo.diskID,
		Start: last + 1,
		Term:  term,
		Reset: reset,
		Hard:  newHardRecord(jo.hard),
	}}
}

// SaveSnapshot replaces the snapshot and removes the segments that it makes unnecessary. If
// the log holds the entry at the snapshot's index with the snapshot's term, the entries
// after it stay; otherwise the log diverges from the snapshot and restarts after it. A
// snapshot older than the current one changes nothing. Errors are those of Save.
func (jo *Journal) SaveSnapshot(sn Snapshot) error {
	jo.snapshotMu.Lock()
	defer jo.snapshotMu.Unlock()
	jo.mu.Lock()
	stale, err := sn.Index < jo.terms.baseIndex, jo.failure
	jo.mu.Unlock()
	if err != nil || stale {
		return err
	}
	// Save may run meanwhile: the new file takes effect only with its rename.
	err = writeFile(jo.fsys, filepath.Join(jo.dir, temporarySnapshotName), newSnapshotRecord(sn))
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if jo.failure != nil {
		return jo.failure
	}
	if err == nil {
		err = jo.replaceSnapshot(sn)
	}
	if err != nil {
		return jo.fail("save a snapshot", err)
	}
	return nil
}

func (jo *Journal) replaceSnapshot(sn Snapshot) error {
	if err := jo.fsys.Rename(filepath.Join(jo.dir, temporarySnapshotName), filepath.Join(jo.dir, snapshotName)); err != nil {
		return err
	}
	if err := jo.fsys.SyncDir(jo.dir); err != nil {
		return err
	}
	var continues bool
	jo.terms, continues = jo.terms.after(sn.Index, sn.Term)
	if !continues {
		if err := jo.startSegment(true); err != nil {
			return err
		}
	}
	return jo.removeSegments(sn.Index)
}

// Close releases the folder. Nothing needs to be synced, because every Save was. Data of a
// failed Save is truncated if the disk allows it.
func (jo *Journal) Close() error {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if errors.Is(jo.failure, errClosed) {
		return nil
	}
	jo.failure = &result.Error{Code: result.StorageFailed, Op: "journal", Detail: jo.dir, Err: errClosed}
	err := jo.active.Close()
	if jo.hasUnsynced {
		err = errors.Join(err, jo.truncateTail())
	}
	return errors.Join(err, jo.lock.Close())
}

// truncateTail removes data that a failed write left after the last synced record. The
// kernel may return that data at the next opening without having it on the disk, and the
// voter would acknowledge an entry recovered from it.
func (jo *Journal) truncateTail() error {
	fi, err := jo.fsys.Append(filepath.Join(jo.dir, jo.activeName), jo.syncedBytes)
	if err != nil {
		return err
	}
	return fi.Close()
}

var errClosed = errors.New("the journal is closed")

// removeSegments removes the segments whose entries the snapshot covers.
func (jo *Journal) removeSegments(index uint64) error {
	needed := firstNeededSegment(jo.segments, index)
	for _, se := range jo.segments[:needed] {
		if err := jo.fsys.Remove(filepath.Join(jo.dir, se.name)); err != nil {
			return err
		}
	}
	jo.segments = slices.Clone(jo.segments[needed:])
	return nil
}

// firstNeededSegment returns the position of the first segment that a recovery needs beside
// a snapshot. When a segment was started, the log ended right before its start. So if the
// start is covered by the snapshot, all remaining entries of earlier segments are covered
// too.
func firstNeededSegment(ses []segment, index uint64) int {
	for i := len(ses) - 1; i > 0; i-- {
		if ses[i].start <= index+1 {
			return i
		}
	}
	return 0
}
