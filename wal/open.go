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

// The names in a data folder.
const (
	lockName          = "LOCK"
	identityName      = "identity"
	snapshotName      = "snapshot"
	snapshotTemporary = "snapshot.new"
	segmentPrefix     = "segment-"
	segmentFormat     = segmentPrefix + "%020d-%020d"
	diskIDBytes       = 12
)

// segmentName gives names whose order is the order of writing.
func segmentName(start, sequence uint64) string {
	return fmt.Sprintf(segmentFormat, sequence, start)
}

// Open recovers a data folder, or makes it. Its error is a *result.Error: with
// DamagedState if the folder holds damage that no crash leaves, naming file and
// offset, and nothing was changed; with StorageFailed if the disk failed or
// another process has the folder open.
func Open(dir string, lg *zap.Logger) (*Journal, Recovered, error) {
	return OpenFS(system{}, dir, lg)
}

// OpenOn is Open on a given file system.
func OpenFS(fsys FileSystem, dir string, lg *zap.Logger) (*Journal, Recovered, error) {
	return open(fsys, dir, lg, segmentBytes)
}

func open(fsys FileSystem, dir string, lg *zap.Logger, limit int64) (*Journal, Recovered, error) {
	if err := fsys.MakeDir(dir); err != nil {
		return nil, Recovered{}, openError(dir, err)
	}
	lock, err := fsys.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, Recovered{}, openError(dir, err)
	}
	op := opening{jo: &Journal{fsys: fsys, dir: dir, lg: lg, lock: lock, limit: limit}}
	if err := op.run(); err != nil {
		return nil, Recovered{}, openError(dir, errors.Join(err, op.abandon()))
	}
	return op.jo, op.found, nil
}

func openError(dir string, err error) error {
	var da *damage
	if errors.As(err, &da) {
		return &result.Error{Code: result.DamagedState, Op: "journal: open", Detail: da.Error()}
	}
	return &result.Error{Code: result.StorageFailed, Op: "journal: open", Detail: dir, Err: err}
}

// damage is something in the folder that no crash leaves.
type damage struct {
	File   string
	Offset int
	Reason string
}

// Error names the file, the offset and what was found.
func (da *damage) Error() string {
	return fmt.Sprintf("file %s, offset %d: %s", da.File, da.Offset, da.Reason)
}

// opening is the state of one Open.
type opening struct {
	jo       *Journal
	found    Recovered
	identity *identityRecord
	snapshot *snapshotRecord
	entries  []quorum.Entry
	base     uint64 // base is the index before the first entry.
	baseTerm uint64 // baseTerm is the term of the entry at base; 0 if it is not known.
	cut      int    // cut is the size of the last segment without its torn tail.
	unmade   string // unmade is the name of a last segment without a header; "" if there is none.
}

func (op *opening) run() error {
	if err := op.readFiles(); err != nil {
		return err
	}
	if op.identity == nil {
		return op.make()
	}
	if err := op.readSegments(); err != nil {
		return err
	}
	if err := op.resume(); err != nil {
		return err
	}
	return op.writeIdentity(op.identity.Disk, op.identity.Boot+1)
}

// abandon closes what a failed Open has opened.
func (op *opening) abandon() error {
	if op.jo.active == nil {
		return op.jo.lock.Close()
	}
	return errors.Join(op.jo.active.Close(), op.jo.lock.Close())
}

// readFiles reads the identity and the snapshot and lists the segments.
func (op *opening) readFiles() error {
	id, err := op.readFile(identityName)
	if err != nil {
		return err
	}
	op.identity = id.Identity
	sn, err := op.readFile(snapshotName)
	if err != nil {
		return err
	}
	if op.snapshot = sn.Snapshot; op.snapshot != nil {
		op.found.Snapshot = op.snapshot.snapshot()
	}
	names, err := op.jo.fsys.ReadDir(op.jo.dir)
	if err != nil {
		return err
	}
	for _, na := range names {
		if !strings.HasPrefix(na, segmentPrefix) {
			continue
		}
		var sequence, start uint64
		if _, err := fmt.Sscanf(na, segmentFormat, &sequence, &start); err != nil || na != segmentName(start, sequence) {
			return &damage{File: na, Reason: "not the name of a segment"}
		}
		op.jo.segments = append(op.jo.segments, segment{name: na, start: start})
	}
	return nil
}

// readFile reads a file of one record; the record is empty if there is none.
func (op *opening) readFile(name string) (record, error) {
	data, err := op.jo.fsys.ReadFile(filepath.Join(op.jo.dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return record{}, nil
	}
	if err != nil {
		return record{}, err
	}
	// The file was synced before it got its name, so no crash leaves it unfinished.
	fr, co := readFrame(data, 0)
	if co != whole || fr.end != len(data) {
		return record{}, &damage{File: name, Reason: "the checksum is wrong"}
	}
	re, err := fr.record()
	if err != nil || (name == identityName) != (re.Identity != nil) || (name == snapshotName) != (re.Snapshot != nil) {
		return record{}, &damage{File: name, Offset: headBytes, Reason: "not the expected record"}
	}
	return re, nil
}

func (fr frame) record() (record, error) {
	var re record
	err := decoding.Unmarshal(fr.body, &re)
	return re, err
}

// make begins a new folder. The first segment is written before the identity, so
// that a folder with an identity always has a segment: one whose segments were
// lost must not come back as the same voter with an empty log.
func (op *opening) make() error {
	if err := op.clear(); err != nil {
		return err
	}
	data := make([]byte, diskIDBytes)
	if _, err := rand.Read(data); err != nil {
		return err
	}
	op.jo.disk = hex.EncodeToString(data)
	if err := op.jo.roll(false); err != nil {
		return err
	}
	return op.writeIdentity(op.jo.disk, 1)
}

// clear removes the segment of a folder whose making a crash cut short.
func (op *opening) clear() error {
	if len(op.jo.segments) > 1 || op.snapshot != nil {
		return &damage{File: identityName, Reason: "the file is missing"}
	}
	for _, se := range op.jo.segments {
		ct, err := op.readSegment(se, true)
		if err != nil {
			return err
		}
		if len(ct.frames) > 1 {
			return &damage{File: identityName, Reason: "the file is missing"}
		}
		if err := op.jo.fsys.Remove(filepath.Join(op.jo.dir, se.name)); err != nil {
			return err
		}
	}
	op.jo.segments = nil
	return nil
}

// writeIdentity makes the count of openings durable before the voter says it to
// anyone.
func (op *opening) writeIdentity(disk string, boot uint64) error {
	re := record{Identity: &identityRecord{Disk: disk, Boot: boot}}
	data, err := re.encode(0)
	if err != nil {
		return err
	}
	if err := WriteFileAtomic(op.jo.fsys, op.jo.dir, identityName, data); err != nil {
		return err
	}
	op.found.DiskID, op.found.Boot = disk, boot
	return nil
}

// writeFile writes and syncs a file of one record.
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
	// Unsynced, the file could be empty after a crash though its new name is there.
	if err := fi.Sync(); err != nil {
		return errors.Join(err, fi.Close())
	}
	return fi.Close()
}
