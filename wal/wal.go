// Package wal keeps the durable state of a voter in its data folder: the
// hard state and the entries of the replicated log as checksummed records in
// segments, and the newest snapshot. What Save and SaveSnapshot return without
// an error for survives a crash. It knows nothing of what the entries mean.
//
// The folder holds a file LOCK, a file identity with the disk's random id and
// the count of openings, a file snapshot, and segments named after the index of
// the first entry that was appended to them.
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

// segmentBytes is the usual limit of a segment.
const segmentBytes = 4 << 20

// Recovered is what Open found.
type Recovered struct {
	DiskID    string   // DiskID is random and made with the folder.
	Boot      uint64   // Boot counts the openings of the folder, this one included.
	Snapshot  Snapshot // Snapshot is the zero value if none was saved.
	Hard      quorum.HardState
	Entries   []quorum.Entry // Entries are those after the snapshot, without gaps.
	TornBytes int64          // TornBytes is how many bytes of an unfinished write were cut.
}

// Snapshot is the state of the state machine at an index of the log.
type Snapshot struct {
	Index, Term uint64
	Voters      quorum.VoterSet
	Data        []byte
}

// Journal is an open data folder. Its methods may be called from several
// goroutines.
type Journal struct {
	fsys FileSystem
	dir  string
	lg   *zap.Logger
	lock io.Closer
	disk string
	// limit is the size from which on a new segment is begun.
	limit int64

	snapshotting sync.Mutex // snapshotting is held by one SaveSnapshot at a time, before mu.

	mu       sync.Mutex
	broken   error // broken is what every later call returns.
	segments []segment
	active   File
	name     string // name is that of the active segment.
	size     int64  // size is that of the active segment, as far as it was synced.
	unsure   bool   // unsure says that a write beyond size failed.
	sequence uint64 // sequence numbers the last record.
	hard     quorum.HardState
	log      terms
}

// segment is one file of records.
type segment struct {
	name  string
	start uint64 // start is the index of the first entry appended to it.
}

// terms are the terms of the entries after an index, in order.
type terms struct {
	base, baseTerm uint64 // base is the index of the entry before the first.
	after          []uint64
}

func (te terms) last() uint64 {
	return te.base + uint64(len(te.after))
}

// at returns the term of an entry, and false if it is not known.
func (te terms) at(index uint64) (uint64, bool) {
	switch {
	case index == te.base:
		return te.baseTerm, true
	case index < te.base || index > te.last():
		return 0, false
	default:
		return te.after[index-te.base-1], true
	}
}

// since returns the terms after a snapshot, and whether the log goes on from it.
func (te terms) since(index, term uint64) (terms, bool) {
	if at, ok := te.at(index); ok && at == term {
		return terms{base: index, baseTerm: term, after: slices.Clone(te.after[index-te.base:])}, true
	}
	return terms{base: index, baseTerm: term}, false
}

// Save appends to the log and to the hard state: first entries from
// TruncateFrom on are removed unless it is zero, then the entries are added. All
// of it is on the disk when Save returns, or after an error maybe none. The
// error is a *result.Error with the code StorageFailed; every later call of any
// method returns it again.
func (jo *Journal) Save(sv quorum.Save) error {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if jo.broken != nil {
		return jo.broken
	}
	next, err := jo.log.with(sv.TruncateFrom, sv.Entries)
	if err != nil {
		return jo.fail("save", err)
	}
	if jo.size >= jo.limit {
		if err := jo.roll(false); err != nil {
			return jo.fail("begin a segment", err)
		}
	}
	if err := jo.append(newSaveRecord(sv)); err != nil {
		return jo.fail("save", err)
	}
	jo.log = next
	if sv.Hard != nil {
		jo.hard = *sv.Hard
	}
	return nil
}

// with returns the terms after entries were removed and added.
func (te terms) with(truncateFrom uint64, entries []quorum.Entry) (terms, error) {
	if truncateFrom != 0 {
		if truncateFrom <= te.base {
			return te, errors.New("entries up to the snapshot can't be removed")
		}
		keep := min(truncateFrom-te.base-1, uint64(len(te.after)))
		te.after = te.after[:keep:keep]
	}
	for _, en := range entries {
		if en.Index != te.last()+1 {
			return te, errors.New("entries must follow the last one without a gap")
		}
		te.after = append(te.after, en.Term)
	}
	return te, nil
}

// fail makes every later call return the error. After a failed sync the kernel
// may have dropped the written pages and report success the next time; a voter
// that went on would acknowledge entries that are not on the disk.
func (jo *Journal) fail(op string, err error) error {
	jo.broken = &result.Error{Code: result.StorageFailed, Op: "journal: " + op, Detail: jo.dir, Err: err}
	jo.lg.Error("journal.failed", zap.String("operation", op), zap.String("folder", jo.dir), zap.Error(err))
	return jo.broken
}

// append writes a record and syncs it. Without the sync, an acknowledged entry
// or vote could be gone after a loss of power, and a voter could vote twice.
func (jo *Journal) append(re record) error {
	data, err := re.encode(jo.sequence + 1)
	if err != nil {
		return err
	}
	jo.unsure = true
	if _, err := jo.active.Write(data); err != nil {
		return err
	}
	if err := jo.active.Sync(); err != nil {
		return err
	}
	jo.unsure = false
	jo.sequence++
	jo.size += int64(len(data))
	return nil
}

// roll begins a new segment. With reset, the entries of earlier segments count
// no more.
func (jo *Journal) roll(reset bool) error {
	se := segment{name: segmentName(jo.log.last()+1, jo.sequence+1), start: jo.log.last() + 1}
	fi, err := jo.fsys.Create(filepath.Join(jo.dir, se.name))
	if err != nil {
		return err
	}
	old := jo.active
	jo.active, jo.name, jo.size = fi, se.name, 0
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

// header returns the first record of a segment, which makes the segments before
// it unnecessary once a snapshot covers their entries.
func (jo *Journal) header(reset bool) record {
	last := jo.log.last()
	term, _ := jo.log.at(last)
	return record{Header: &headerRecord{
		Disk:  jo.disk,
		Start: last + 1,
		Term:  term,
		Reset: reset,
		Hard:  newHardRecord(jo.hard),
	}}
}

// SaveSnapshot replaces the snapshot and removes segments that it makes
// unnecessary. If the log holds the entry at the snapshot's index with the
// snapshot's term, the entries after it stay; otherwise the log is another one
// and begins anew after the snapshot. A snapshot older than the present one
// changes nothing. Errors are those of Save.
func (jo *Journal) SaveSnapshot(sn Snapshot) error {
	jo.snapshotting.Lock()
	defer jo.snapshotting.Unlock()
	jo.mu.Lock()
	stale, err := sn.Index < jo.log.base, jo.broken
	jo.mu.Unlock()
	if err != nil || stale {
		return err
	}
	// Save goes on meanwhile: the new file does not count before its rename.
	err = writeFile(jo.fsys, filepath.Join(jo.dir, snapshotTemporary), newSnapshotRecord(sn))
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if jo.broken != nil {
		return jo.broken
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
	if err := jo.fsys.Rename(filepath.Join(jo.dir, snapshotTemporary), filepath.Join(jo.dir, snapshotName)); err != nil {
		return err
	}
	if err := jo.fsys.SyncDir(jo.dir); err != nil {
		return err
	}
	var same bool
	jo.log, same = jo.log.since(sn.Index, sn.Term)
	if !same {
		if err := jo.roll(true); err != nil {
			return err
		}
	}
	return jo.removeSegments(sn.Index)
}

// Close frees the folder. There is nothing to sync, since every Save was. What a
// failed Save wrote is cut off if the disk allows it.
func (jo *Journal) Close() error {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if errors.Is(jo.broken, errClosed) {
		return nil
	}
	jo.broken = &result.Error{Code: result.StorageFailed, Op: "journal", Detail: jo.dir, Err: errClosed}
	err := jo.active.Close()
	if jo.unsure {
		err = errors.Join(err, jo.cut())
	}
	return errors.Join(err, jo.lock.Close())
}

// cut removes what a failed write left behind the last synced record. The kernel
// may show it at the next opening without having it on the disk, and an entry
// that was recovered would be acknowledged.
func (jo *Journal) cut() error {
	fi, err := jo.fsys.Append(filepath.Join(jo.dir, jo.name), jo.size)
	if err != nil {
		return err
	}
	return fi.Close()
}

var errClosed = errors.New("the journal is closed")

// removeSegments removes segments whose entries the snapshot covers.
func (jo *Journal) removeSegments(index uint64) error {
	needed := firstNeeded(jo.segments, index)
	for _, se := range jo.segments[:needed] {
		if err := jo.fsys.Remove(filepath.Join(jo.dir, se.name)); err != nil {
			return err
		}
	}
	jo.segments = slices.Clone(jo.segments[needed:])
	return nil
}

// firstNeeded returns the position of the first segment that a recovery needs
// beside a snapshot. When a segment was begun, the log ended right before its
// start, so all that is left of earlier segments is covered if the start is.
func firstNeeded(ses []segment, index uint64) int {
	for i := len(ses) - 1; i > 0; i-- {
		if ses[i].start <= index+1 {
			return i
		}
	}
	return 0
}
