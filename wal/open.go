package wal

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"strings"

	"go.uber.org/zap"

	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
)

// File names in a data folder.
const (
	lockName              = "LOCK"
	identityName          = "identity"
	snapshotName          = "snapshot"
	temporarySnapshotName = "snapshot.new"
	segmentPrefix         = "segment-"
	segmentFormat         = segmentPrefix + "%020d-%020d"
	diskIDBytes           = 12
)

// segmentName returns names whose lexical order is the order of writing.
func segmentName(start, sequence uint64) string {
	return fmt.Sprintf(segmentFormat, sequence, start)
}

// Open recovers a data folder, or creates it. Its error is a *result.Error. The code is
// DamagedState if the folder holds damage that no crash can cause; the error names file and
// offset, and nothing was changed. The code is StorageFailed if the disk failed or another
// process has the folder open.
func Open(dir string, lg *zap.Logger) (*Journal, Recovered, error) {
	return OpenFS(system{}, dir, lg)
}

// OpenFS is Open on a given file system.
func OpenFS(fsys FileSystem, dir string, lg *zap.Logger) (*Journal, Recovered, error) {
	return open(fsys, dir, lg, defaultSegmentLimit)
}

func open(fsys FileSystem, dir string, lg *zap.Logger, segmentLimit int64) (*Journal, Recovered, error) {
	if err := fsys.MakeDir(dir); err != nil {
		return nil, Recovered{}, openError(dir, err)
	}
	lock, err := fsys.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, Recovered{}, openError(dir, err)
	}
	rc := recovery{jo: &Journal{fsys: fsys, dir: dir, lg: lg, lock: lock, segmentLimit: segmentLimit}}
	if err := rc.run(); err != nil {
		return nil, Recovered{}, openError(dir, errors.Join(err, rc.abandon()))
	}
	return rc.jo, rc.recovered, nil
}

func openError(dir string, err error) error {
	var da *damage
	if errors.As(err, &da) {
		return &result.Error{Code: result.DamagedState, Op: "journal: open", Detail: da.Error()}
	}
	return &result.Error{Code: result.StorageFailed, Op: "journal: open", Detail: dir, Err: err}
}

// damage is an inconsistency in the folder that no crash can cause.
type damage struct {
	File   string
	Offset int
	Reason string
}

// Error returns the file, the offset and the inconsistency.
func (da *damage) Error() string {
	return fmt.Sprintf("file %s, offset %d: %s", da.File, da.Offset, da.Reason)
}

// recovery is the state of one Open.
type recovery struct {
	jo                *Journal
	recovered         Recovered
	identity          *identityRecord
	snapshot          *snapshotRecord
	entries           []quorum.Entry
	baseIndex         uint64 // baseIndex is the index before the first entry.
	baseTerm          uint64 // baseTerm is the term of the entry at baseIndex; 0 if it is not known.
	validBytes        int    // validBytes is the size of the last segment without its torn tail.
	unfinishedSegment string // unfinishedSegment is the name of a last segment without a header; "" if there is none.
}

func (rc *recovery) run() error {
	if err := rc.readFiles(); err != nil {
		return err
	}
	if rc.identity == nil {
		return rc.createFolder()
	}
	if err := rc.readSegments(); err != nil {
		return err
	}
	if err := rc.openLastSegment(); err != nil {
		return err
	}
	return rc.writeIdentity(rc.identity.Disk, rc.identity.Boot+1)
}

// abandon closes the files that a failed Open has opened.
func (rc *recovery) abandon() error {
	if rc.jo.active == nil {
		return rc.jo.lock.Close()
	}
	return errors.Join(rc.jo.active.Close(), rc.jo.lock.Close())
}

// readFiles reads the identity and the snapshot and lists the segments.
func (rc *recovery) readFiles() error {
	id, err := rc.readFile(identityName)
	if err != nil {
		return err
	}
	rc.identity = id.Identity
	sn, err := rc.readFile(snapshotName)
	if err != nil {
		return err
	}
	if rc.snapshot = sn.Snapshot; rc.snapshot != nil {
		rc.recovered.Snapshot = rc.snapshot.snapshot()
	}
	names, err := rc.jo.fsys.ReadDir(rc.jo.dir)
	if err != nil {
		return err
	}
	for _, na := range names {
		if !strings.HasPrefix(na, segmentPrefix) {
			continue
		}
		var sequence, start uint64
		if _, err := fmt.Sscanf(na, segmentFormat, &sequence, &start); err != nil || na != segmentName(start, sequence) {
			return &damage{File: na, Reason: "not a segment name"}
		}
		rc.jo.segments = append(rc.jo.segments, segment{name: na, start: start})
	}
	return nil
}

// readFile reads a file that consists of one record; the record is empty if there is no
// file.
func (rc *recovery) readFile(name string) (record, error) {
	data, err := rc.jo.fsys.ReadFile(filepath.Join(rc.jo.dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return record{}, nil
	}
	if err != nil {
		return record{}, err
	}
	// The file was synced before it was renamed, so a crash can't leave it incomplete.
	fr, co := readFrame(data, 0)
	if co != intact || fr.end != len(data) {
		return record{}, &damage{File: name, Reason: "the checksum is wrong"}
	}
	re, err := fr.decodeRecord()
	if err != nil || (name == identityName) != (re.Identity != nil) || (name == snapshotName) != (re.Snapshot != nil) {
		return record{}, &damage{File: name, Offset: frameHeaderBytes, Reason: "not the expected record"}
	}
	return re, nil
}

func (fr frame) decodeRecord() (record, error) {
	var re record
	err := decodeMode.Unmarshal(fr.body, &re)
	return re, err
}

// createFolder initializes a new folder. The first segment is written before the identity,
// so that a folder with an identity always has a segment: a folder that lost its segments
// must not be opened as the same voter with an empty log.
func (rc *recovery) createFolder() error {
	if err := rc.removeUnfinishedSegment(); err != nil {
		return err
	}
	data := make([]byte, diskIDBytes)
	if _, err := rand.Read(data); err != nil {
		return err
	}
	rc.jo.diskID = hex.EncodeToString(data)
	if err := rc.jo.startSegment(false); err != nil {
		return err
	}
	return rc.writeIdentity(rc.jo.diskID, 1)
}

// removeUnfinishedSegment removes the segment of a folder whose creation was interrupted by
// a crash.
func (rc *recovery) removeUnfinishedSegment() error {
	if len(rc.jo.segments) > 1 || rc.snapshot != nil {
		return &damage{File: identityName, Reason: "the file is missing"}
	}
	for _, se := range rc.jo.segments {
		ct, err := rc.readSegment(se, true)
		if err != nil {
			return err
		}
		if len(ct.frames) > 1 {
			return &damage{File: identityName, Reason: "the file is missing"}
		}
		if err := rc.jo.fsys.Remove(filepath.Join(rc.jo.dir, se.name)); err != nil {
			return err
		}
	}
	rc.jo.segments = nil
	return nil
}

// writeIdentity persists the boot count before the voter sends it to anyone.
func (rc *recovery) writeIdentity(disk string, boot uint64) error {
	re := record{Identity: &identityRecord{Disk: disk, Boot: boot}}
	data, err := re.encode(0)
	if err != nil {
		return err
	}
	if err := WriteFileAtomic(rc.jo.fsys, rc.jo.dir, identityName, data); err != nil {
		return err
	}
	rc.recovered.DiskID, rc.recovered.Boot = disk, boot
	return nil
}

// writeFile writes and syncs a file that consists of one record.
func writeFile(fsys FileSystem, name string, re record) error {
	data, err := re.encode(0)
	if err != nil {
		return err
	}
	fi, err := fsys.Create(name)
	if err != nil {
		return err
	}
	if _, err := fi.Write(data); err != nil {
		return errors.Join(err, fi.Close())
	}
	// Without the sync, the file could be empty after a crash although it has been renamed.
	if err := fi.Sync(); err != nil {
		return errors.Join(err, fi.Close())
	}
	return fi.Close()
}
