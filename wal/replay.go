package wal

import (
	"fmt"
	"path/filepath"

	"go.uber.org/zap"
)

// readSegments reads the segments that the snapshot doesn't make unnecessary.
func (rc *recovery) readSegments() error {
	ses := rc.jo.segments
	if len(ses) == 0 {
		return &damage{File: segmentPrefix + "*", Reason: "the segments are missing"}
	}
	newest, err := rc.readSegment(ses[len(ses)-1], true)
	if err != nil {
		return err
	}
	if len(newest.frames) == 0 && len(ses) > 1 {
		// A crash interrupted its creation, so nothing in it was acknowledged.
		rc.unfinishedSegment = ses[len(ses)-1].name
		ses = ses[:len(ses)-1]
		rc.jo.segments = ses
		if newest, err = rc.readSegment(ses[len(ses)-1], false); err != nil {
			return err
		}
	}
	// A crash during the removal of segments may leave any of them.
	ses = ses[firstNeededSegment(ses, rc.recovered.Snapshot.Index):]
	for i, se := range ses[:len(ses)-1] {
		ct, err := rc.readSegment(se, false)
		if err != nil {
			return err
		}
		if err := rc.replay(se, ct.frames, i == 0); err != nil {
			return err
		}
	}
	rc.validBytes = newest.validBytes
	return rc.replay(ses[len(ses)-1], newest.frames, len(ses) == 1)
}

// segmentContent holds the frames of a segment.
type segmentContent struct {
	frames     []frame
	validBytes int // validBytes is the offset after the last intact frame.
}

// readSegment returns the frames of a segment. Only the last segment may have a torn tail.
func (rc *recovery) readSegment(se segment, last bool) (segmentContent, error) {
	data, err := rc.jo.fsys.ReadFile(filepath.Join(rc.jo.dir, se.name))
	if err != nil {
		return segmentContent{}, err
	}
	var ct segmentContent
	for ct.validBytes < len(data) {
		fr, co := readFrame(data, ct.validBytes)
		if co == damaged || co == torn && !last {
			return ct, &damage{File: se.name, Offset: ct.validBytes, Reason: "the checksum is wrong"}
		}
		if co == torn {
			rc.recovered.TornBytes = int64(len(data) - ct.validBytes)
			rc.jo.lg.Warn("journal.torn_tail", zap.String("file", se.name), zap.Int("offset", ct.validBytes), zap.Int64("bytes", rc.recovered.TornBytes))
			break
		}
		ct.frames = append(ct.frames, fr)
		ct.validBytes = fr.end
	}
	return ct, nil
}

// replay applies the records of a segment.
func (rc *recovery) replay(se segment, frs []frame, firstSegment bool) error {
	at := 0
	for i, fr := range frs {
		re, err := fr.decodeRecord()
		if err != nil {
			return &damage{File: se.name, Offset: at, Reason: "the record can't be decoded: " + err.Error()}
		}
		if !(firstSegment && i == 0) && fr.sequence != rc.jo.sequence+1 {
			return &damage{File: se.name, Offset: at, Reason: fmt.Sprintf("want record %d, got %d", rc.jo.sequence+1, fr.sequence)}
		}
		rc.jo.sequence = fr.sequence
		if reason := rc.applyRecord(se, re, i == 0, firstSegment); reason != "" {
			return &damage{File: se.name, Offset: at, Reason: reason}
		}
		at = fr.end
	}
	if len(frs) == 0 {
		return &damage{File: se.name, Reason: "the segment has no header"}
	}
	return nil
}

// applyRecord applies one record. It returns what is wrong with the record, or "".
func (rc *recovery) applyRecord(se segment, re record, firstRecord, firstSegment bool) string {
	switch {
	case firstRecord && re.Header != nil:
		return rc.applyHeader(se, re.Header, firstSegment)
	case !firstRecord && re.Save != nil:
		return rc.applySave(re.Save)
	default:
		return "unexpected record type"
	}
}

func (rc *recovery) applyHeader(se segment, hr *headerRecord, firstSegment bool) string {
	rc.recovered.Hard = hr.Hard.state()
	if firstSegment || hr.Reset {
		rc.entries = nil
		rc.baseIndex, rc.baseTerm = hr.Start-1, hr.Term
	}
	switch {
	case hr.Disk != rc.identity.Disk:
		return fmt.Sprintf("the segment is of disk %s, the folder of disk %s", hr.Disk, rc.identity.Disk)
	case hr.Start == 0 || hr.Start != se.start || hr.Start != rc.last()+1:
		return fmt.Sprintf("the segment starts at entry %d, want %d", hr.Start, rc.last()+1)
	default:
		return ""
	}
}

func (rc *recovery) applySave(sr *saveRecord) string {
	if sr.Hard != nil {
		rc.recovered.Hard = sr.Hard.state()
	}
	switch tf := sr.TruncateFrom; {
	case tf > rc.last() || tf == 0:
	case tf > rc.baseIndex:
		rc.entries = rc.entries[:tf-rc.baseIndex-1]
	default:
		// The snapshot covers the segment that held these entries.
		rc.entries = nil
		rc.baseIndex, rc.baseTerm = tf-1, 0
	}
	for _, en := range sr.entries() {
		if en.Index != rc.last()+1 {
			return fmt.Sprintf("want entry %d, got %d", rc.last()+1, en.Index)
		}
		rc.entries = append(rc.entries, en)
	}
	return ""
}

func (rc *recovery) last() uint64 {
	return rc.baseIndex + uint64(len(rc.entries))
}

// openLastSegment combines the snapshot with the log and opens the last segment for
// writing.
func (rc *recovery) openLastSegment() error {
	sn := rc.recovered.Snapshot
	if sn.Index < rc.baseIndex {
		return &damage{File: snapshotName, Reason: fmt.Sprintf("entries %d to %d are missing", sn.Index+1, rc.baseIndex)}
	}
	jo := rc.jo
	jo.diskID = rc.identity.Disk
	jo.hard = rc.recovered.Hard
	jo.terms = logTerms{baseIndex: rc.baseIndex, baseTerm: rc.baseTerm}
	for _, en := range rc.entries {
		jo.terms.terms = append(jo.terms.terms, en.Term)
	}
	if rc.unfinishedSegment != "" {
		if err := jo.fsys.Remove(filepath.Join(jo.dir, rc.unfinishedSegment)); err != nil {
			return err
		}
	}
	last := jo.segments[len(jo.segments)-1].name
	fi, err := jo.fsys.Append(filepath.Join(jo.dir, last), int64(rc.validBytes))
	if err != nil {
		return err
	}
	jo.active, jo.activeName, jo.syncedBytes = fi, last, int64(rc.validBytes)
	return rc.joinSnapshot(sn)
}

// joinSnapshot drops the entries and segments that the snapshot covers. A crash may have
// occurred after a snapshot of a divergent log was renamed and before its new segment was
// created.
func (rc *recovery) joinSnapshot(sn Snapshot) error {
	jo := rc.jo
	var continues bool
	jo.terms, continues = jo.terms.after(sn.Index, sn.Term)
	if !continues {
		if err := jo.startSegment(true); err != nil {
			return err
		}
	} else {
		rc.recovered.Entries = rc.entries[sn.Index-rc.baseIndex:]
	}
	return jo.removeSegments(sn.Index)
}
