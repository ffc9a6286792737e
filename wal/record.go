package wal

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"balsamwinch.example/quorum"
)

// A frame is a head and a body: the length of the body (4 bytes), the sequence
// number of the record (8), the xxHash64 of the body (8) and the low half of
// that of the head before it (4), all little-endian.
const (
	headBytes   = 24
	checkedHead = headBytes - 4
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
	Start uint64 // Start is the index that the next entry would have.
	Term  uint64 // Term is that of the entry before; 0 if there is none.
	Reset bool   // Reset says that the entries of earlier segments count no more.
	Hard  hardRecord
}

// saveRecord is one Save.
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

// snapshotRecord is the only record of the file snapshot.
type snapshotRecord struct {
	_           struct{} `cbor:",toarray"`
	Index, Term uint64
	Voters      []quorum.ID
	Learners    []quorum.ID
	Data        []byte
}

// identityRecord is the only record of the file identity.
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

// decoding allows as many entries as a Save can hold.
var decoding = func() cbor.DecMode {
	dm, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode()
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

// newFrame returns a body behind its head.
func newFrame(body []byte, sequence uint64) ([]byte, error) {
	if uint64(len(body)) > math.MaxUint32 {
		return nil, fmt.Errorf("a record of %d bytes is too large", len(body))
	}
	data := make([]byte, headBytes, headBytes+len(body))
	binary.LittleEndian.PutUint32(data, uint32(len(body)))
	binary.LittleEndian.PutUint64(data[4:], sequence)
	binary.LittleEndian.PutUint64(data[12:], xxhash.Sum64(body))
	binary.LittleEndian.PutUint32(data[checkedHead:], headCheck(data))
	return append(data, body...), nil
}

func headCheck(head []byte) uint32 {
	return uint32(xxhash.Sum64(head[:checkedHead]))
}

// frame is a frame that was read.
type frame struct {
	sequence uint64
	body     []byte
	end      int // end is the offset after it.
}

// condition is what a reader finds at an offset.
type condition int

const (
	whole   condition = iota
	torn              // torn is what an unfinished write of a last record leaves.
	damaged           // damaged is what no crash leaves.
)

// readFrame reads the frame at an offset below the length of the data.
func readFrame(data []byte, at int) (frame, condition) {
	if len(data)-at < headBytes {
		return frame{}, torn
	}
	if !headHolds(data[at:]) {
		return frame{}, tornOrDamaged(data, at)
	}
	fr, co := readBody(data, at)
	if co == damaged {
		return frame{}, tornOrDamaged(data, at)
	}
	return fr, co
}

// headHolds reports whether the data begins with a head that is right.
func headHolds(data []byte) bool {
	return binary.LittleEndian.Uint32(data[checkedHead:]) == headCheck(data)
}

// readBody reads the frame whose head at the offset is right.
func readBody(data []byte, at int) (frame, condition) {
	head := data[at : at+headBytes]
	from := at + headBytes
	length := int(binary.LittleEndian.Uint32(head))
	if length > len(data)-from {
		return frame{}, torn
	}
	fr := frame{sequence: binary.LittleEndian.Uint64(head[4:]), body: data[from : from+length], end: from + length}
	if xxhash.Sum64(fr.body) != binary.LittleEndian.Uint64(head[12:]) {
		return frame{}, damaged
	}
	return fr, whole
}

// sectorBytes is what disks write at once.
const sectorBytes = 512

// tornOrDamaged decides about a frame whose checksum is wrong. Each record is
// synced before the next is written, so a write that a crash cut short is the
// last, and the sectors that didn't reach the disk read as zeros. Anything else
// was whole once: to cut it off would take back a vote or an entry that was
// acknowledged.
func tornOrDamaged(data []byte, at int) condition {
	if !zeroSector(data, at) {
		return damaged
	}
	for from := at + 1; from+headBytes <= len(data); from++ {
		if !headHolds(data[from:]) {
			continue
		}
		if _, co := readBody(data, from); co == whole {
			return damaged
		}
	}
	return torn
}

// zeroSector reports whether a sector from the offset on holds nothing but zeros.
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
