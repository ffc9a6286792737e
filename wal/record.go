package wal

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"balsamwinch.example/codec"
	"balsamwinch.example/quorum"
)

// A frame is a header and a body. The header holds the length of the body (4 bytes), the
// sequence number of the record (8), the xxHash64 of the body (8) and the low half of the
// xxHash64 of the preceding header bytes (4), all little-endian.
const (
	frameHeaderBytes       = 24
	checksummedHeaderBytes = frameHeaderBytes - 4
)

// record is the body of a frame; exactly one field is set.
type record struct {
	Header   *headerRecord   `cbor:"1,keyasint,omitempty"`
	Save     *saveRecord     `cbor:"2,keyasint,omitempty"`
	Snapshot *snapshotRecord `cbor:"3,keyasint,omitempty"`
	Identity *identityRecord `cbor:"4,keyasint,omitempty"`
}

// headerRecord is the first record of a segment.
type headerRecord struct {
	_     struct{} `cbor:",toarray"`
	Disk  string
	Start uint64 // Start is the index of the next entry.
	Term  uint64 // Term is that of the entry before Start; 0 if there is none.
	Reset bool   // Reset invalidates the entries of earlier segments.
	Hard  hardRecord
}

// saveRecord is the record of one Save.
type saveRecord struct {
	_            struct{} `cbor:",toarray"`
	Hard         *hardRecord
	TruncateFrom uint64
	Entries      []entryRecord
}

type hardRecord struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Vote string
}

type entryRecord struct {
	_           struct{} `cbor:",toarray"`
	Index, Term uint64
	Type        uint8
	Data        []byte
}

// snapshotRecord is the only record of the snapshot file.
type snapshotRecord struct {
	_           struct{} `cbor:",toarray"`
	Index, Term uint64
	Voters      []quorum.ID
	Learners    []quorum.ID
	Data        []byte
}

// identityRecord is the only record of the identity file.
type identityRecord struct {
	_    struct{} `cbor:",toarray"`
	Disk string
	Boot uint64
}

func newHardRecord(hs quorum.HardState) hardRecord {
	return hardRecord{Term: hs.Term, Vote: string(hs.Vote)}
}

func (hr hardRecord) state() quorum.HardState {
	return quorum.HardState{Term: hr.Term, Vote: quorum.ID(hr.Vote)}
}

func newSaveRecord(sv quorum.Save) record {
	sr := &saveRecord{TruncateFrom: sv.TruncateFrom}
	if sv.Hard != nil {
		hr := newHardRecord(*sv.Hard)
		sr.Hard = &hr
	}
	for _, en := range sv.Entries {
		sr.Entries = append(sr.Entries, entryRecord{Index: en.Index, Term: en.Term, Type: uint8(en.Type), Data: en.Data})
	}
	return record{Save: sr}
}

func (sr *saveRecord) entries() []quorum.Entry {
	ens := make([]quorum.Entry, len(sr.Entries))
	for i, er := range sr.Entries {
		ens[i] = quorum.Entry{Index: er.Index, Term: er.Term, Type: quorum.EntryType(er.Type), Data: er.Data}
	}
	return ens
}

func newSnapshotRecord(sn Snapshot) record {
	return record{Snapshot: &snapshotRecord{
		Index:    sn.Index,
		Term:     sn.Term,
		Voters:   sn.Voters.Voters,
		Learners: sn.Voters.Learners,
		Data:     sn.Data,
	}}
}

func (sr *snapshotRecord) snapshot() Snapshot {
	return Snapshot{
		Index:  sr.Index,
		Term:   sr.Term,
		Voters: quorum.VoterSet{Voters: sr.Voters, Learners: sr.Learners},
		Data:   sr.Data,
	}
}

// decodeMode allows as many entries as a Save can hold.
var decodeMode = func() cbor.DecMode {
	do := codec.Options()
	do.MaxArrayElements = math.MaxInt32
	dm, err := do.DecMode()
	if err != nil {
		panic(err)
	}
	return dm
}()

// encode returns the frame of the record.
func (re record) encode(sequence uint64) ([]byte, error) {
	body, err := cbor.Marshal(re)
	if err != nil {
		return nil, err
	}
	return newFrame(body, sequence)
}

// newFrame returns the frame of a body.
func newFrame(body []byte, sequence uint64) ([]byte, error) {
	if uint64(len(body)) > math.MaxUint32 {
		return nil, fmt.Errorf("a record of %d bytes is too large", len(body))
	}
	data := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.LittleEndian.PutUint32(data, uint32(len(body)))
	binary.LittleEndian.PutUint64(data[4:], sequence)
	binary.LittleEndian.PutUint64(data[12:], xxhash.Sum64(body))
	binary.LittleEndian.PutUint32(data[checksummedHeaderBytes:], headerChecksum(data))
	return append(data, body...), nil
}

func headerChecksum(header []byte) uint32 {
	return uint32(xxhash.Sum64(header[:checksummedHeaderBytes]))
}

// frame is a decoded frame.
type frame struct {
	sequence uint64
	body     []byte
	end      int // end is the offset after the frame.
}

// frameCondition is the condition of the data at an offset.
type frameCondition int

const (
	intact  frameCondition = iota
	torn                   // torn can be left by an interrupted write of the last record.
	damaged                // damaged can't be caused by a crash.
)

// readFrame reads the frame at an offset, which must be below the length of the data.
func readFrame(data []byte, at int) (frame, frameCondition) {
	if len(data)-at < frameHeaderBytes {
		return frame{}, torn
	}
	if !validHeader(data[at:]) {
		return frame{}, tornOrDamaged(data, at)
	}
	fr, co := readBody(data, at)
	if co == damaged {
		return frame{}, tornOrDamaged(data, at)
	}
	return fr, co
}

// validHeader reports whether the data begins with a header whose checksum is right.
func validHeader(data []byte) bool {
	return binary.LittleEndian.Uint32(data[checksummedHeaderBytes:]) == headerChecksum(data)
}

// readBody reads the frame at an offset with a valid header.
func readBody(data []byte, at int) (frame, frameCondition) {
	header := data[at : at+frameHeaderBytes]
	from := at + frameHeaderBytes
	length := int(binary.LittleEndian.Uint32(header))
	if length > len(data)-from {
		return frame{}, torn
	}
	fr := frame{sequence: binary.LittleEndian.Uint64(header[4:]), body: data[from : from+length], end: from + length}
	if xxhash.Sum64(fr.body) != binary.LittleEndian.Uint64(header[12:]) {
		return frame{}, damaged
	}
	return fr, intact
}

// sectorBytes is the unit in which disks write.
const sectorBytes = 512

// tornOrDamaged classifies a frame whose checksum is wrong. Each record is synced before
// the next is written. So a write that a crash interrupted is the last, and the sectors of
// it that didn't reach the disk read as zeros. Any other record was complete once:
// truncating it would undo a vote or an entry that was acknowledged.
func tornOrDamaged(data []byte, at int) frameCondition {
	if !zeroSector(data, at) {
		return damaged
	}
	for from := at + 1; from+frameHeaderBytes <= len(data); from++ {
		if !validHeader(data[from:]) {
			continue
		}
		if _, co := readBody(data, from); co == intact {
			return damaged
		}
	}
	return torn
}

// zeroSector reports whether a sector from the offset on contains only zeros.
func zeroSector(data []byte, at int) bool {
	for at < len(data) {
		end := min(len(data), (at/sectorBytes+1)*sectorBytes)
		if allZero(data[at:end]) {
			return true
		}
		at = end
	}
	return false
}

func allZero(data []byte) bool {
	for _, by := range data {
		if by != 0 {
			return false
		}
	}
	return true
}
