package wal

import (
	"fmt"
	"path/filepath"

	"go.uber.org/zap"
)

// readSegments reads the segments that the snapshot does not make unnecessary.
func (op *opening) readSegments() error {
	ses := op.jo.segments
	if len(ses) == 0 {
		return &damage{File: segmentPrefix + "*", Reason: "the segments are missing"}
	}
	newest, err := op.readSegment(ses[len(ses)-1], true)
	if err != nil {
		return err
	}
	if len(newest.frames) == 0 && len(ses) > 1 {
		// A crash cut its making short, so nothing in it was acknowledged.
		op.unmade = ses[len(ses)-1].name
		ses = ses[:len(ses)-1]
		op.jo.segments = ses
		if newest, err = op.readSegment(ses[len(ses)-1], false); err != nil {
			return err
		}
	}
	// A crash while segments were removed leaves any of them.
	ses = ses[firstNeeded(ses, op.found.Snapshot.Index):]
	for i, se := range ses[:len(ses)-1] {
		ct, err := op.readSegment(se, false)
		if err != nil {
			return err
		}
		if err := op.replay(se, ct.frames, i == 0); err != nil {
			return err
		}
	}
	op.cut = newest.end
	return op.replay(ses[len(ses)-1], newest.frames, len(ses) == 1)
}

// content is what a segment holds.
type content struct {
	frames []frame
	end    int // end is where the last whole frame ends.
}

// readSegment returns the frames of a segment. A torn tail is allowed in the last
// segment alone.
func (op *opening) readSegment(se segment, last bool) (content, error) {
	data, err := op.jo.fsys.ReadFile(filepath.Join(op.jo.dir, se.name))
	if err != nil {
		return content{}, err
	}
	var ct content
	for ct.end < len(data) {
		fr, co := readFrame(data, ct.end)
		if co == damaged || co == torn && !last {
			return ct, &damage{File: se.name, Offset: ct.end, Reason: "the checksum is wrong"}
		}
		if co == torn {
			op.found.TornBytes = int64(len(data) - ct.end)
			op.jo.lg.Warn("journal.torn_tail", zap.String("file", se.name), zap.Int("offset", ct.end), zap.Int64("bytes", op.found.TornBytes))
			break
		}
		ct.frames = append(ct.frames, fr)
		ct.end = fr.end
	}
	return ct, nil
}

// replay takes the records of a segment over.
func (op *opening) replay(se segment, frs []frame, first bool) error {
	at := 0
	for i, fr := range frs {
		re, err := fr.record()
		if err != nil {
			return &damage{File: se.name, Offset: at, Reason: "not a record: " + err.Error()}
		}
		if !(first && i == 0) && fr.sequence != op.jo.sequence+1 {
			return &damage{File: se.name, Offset: at, Reason: fmt.Sprintf("want record %d, got %d", op.jo.sequence+1, fr.sequence)}
		}
		op.jo.sequence = fr.sequence
		if reason := op.take(se, re, i == 0, first); reason != "" {
			return &damage{File: se.name, Offset: at, Reason: reason}
		}
		at = fr.end
	}
	if len(frs) == 0 {
		return &damage{File: se.name, Reason: "the segment has no header"}
	}
	return nil
}

// take takes one record over and returns what is wrong with it, or "".
func (op *opening) take(se segment, re record, leading, first bool) string {
	switch {
	case leading && re.Header != nil:
		return op.takeHeader(se, re.Header, first)
	case !leading && re.Save != nil:
		return op.takeSave(re.Save)
	default:
		return "a record that does not belong here"
	}
}

func (op *opening) takeHeader(se segment, hr *headerRecord, first bool) string {
	op.found.Hard = hr.Hard.state()
	if first || hr.Reset {
		op.entries = nil
		op.base, op.baseTerm = hr.Start-1, hr.Term
	}
	switch {
	case hr.Disk != op.identity.Disk:
		return fmt.Sprintf("the segment is of disk %s, the folder of disk %s", hr.Disk, op.identity.Disk)
	case hr.Start == 0 || hr.Start != se.start || hr.Start != op.last()+1:
		return fmt.Sprintf("the segment starts at entry %d, want %d", hr.Start, op.last()+1)
	default:
		return ""
	}
}

func (op *opening) takeSave(sr *saveRecord) string {
	if sr.Hard != nil {
		op.found.Hard = sr.Hard.state()
	}
	switch tf := sr.TruncateFrom; {
	case tf > op.last() || tf == 0:
	case tf > op.base:
		op.entries = op.entries[:tf-op.base-1]
	default:
		// The snapshot covers the segment that held them.
		op.entries = nil
		op.base, op.baseTerm = tf-1, 0
	}
	for _, en := range sr.entries() {
		if en.Index != op.last()+1 {
			return fmt.Sprintf("want entry %d, got %d", op.last()+1, en.Index)
		}
		op.entries = append(op.entries, en)
	}
	return ""
}

func (op *opening) last() uint64 {
	return op.base + uint64(len(op.entries))
}

// resume joins the snapshot and the log and opens the last segment.
func (op *opening) resume() error {
	sn := op.found.Snapshot
	if sn.Index < op.base {
		return &damage{File: snapshotName, Reason: fmt.Sprintf("entries %d to %d are missing", sn.Index+1, op.base)}
	}
	jo := op.jo
	jo.disk = op.identity.Disk
	jo.hard = op.found.Hard
	jo.log = terms{base: op.base, baseTerm: op.baseTerm}
	for _, en := range op.entries {
		jo.log.after = append(jo.log.after, en.Term)
	}
	if op.unmade != "" {
		if err := jo.fsys.Remove(filepath.Join(jo.dir, op.unmade)); err != nil {
			return err
		}
	}
	last := jo.segments[len(jo.segments)-1].name
	fi, err := jo.fsys.Append(filepath.Join(jo.dir, last), int64(op.cut))
	if err != nil {
		return err
	}
	jo.active, jo.name, jo.size = fi, last, int64(op.cut)
	return op.join(sn)
}

// join drops what the snapshot makes unnecessary. A crash may have come after a
// snapshot of another log was renamed and before its new segment was begun.
func (op *opening) join(sn Snapshot) error {
	jo := op.jo
	var same bool
	jo.log, same = jo.log.since(sn.Index, sn.Term)
	if !same {
		if err := jo.roll(true); err != nil {
			return err
		}
	} else {
		op.found.Entries = op.entries[sn.Index-op.base:]
	}
	return jo.removeSegments(sn.Index)
}
