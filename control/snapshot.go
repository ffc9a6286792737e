package control

import (
	"fmt"
	"maps"
	"slices"

	"balsamwinch.example/operator"
)

// stateSnapshot is the encoded form of a State. A file content that occurs more
// than once is stored once in Contents and referenced by its hash.
type stateSnapshot struct {
	Index         uint64
	Clock         int64
	Configuration operator.Configuration
	Files         []fileEntry
	Deleted       []ConflictingChange
	Base          AuditHead
	Records       []recordEntry
	Intents       []intent
	Horizon       int64    // intents.newestEvicted
	Contents      [][]byte // each once, sorted by hash
}

type fileEntry struct {
	Name, Author, ChangeID, Hash string
	Revision                     uint64
}

type recordEntry struct {
	Record auditRecord
	Kept   bool // whether the contents of the audit entry are in Contents
}

const numberState = 201

// contentsByHash maps the SHA-256 in hexadecimal to the content of a file.
type contentsByHash map[string][]byte

func (co contentsByHash) add(data []byte) string {
	ha := sha256Hex(data)
	co[ha] = data
	return ha
}

// Encode encodes the state for a snapshot. Equal states give equal bytes. The
// merged configuration is included instead of being rebuilt from the files: a newer
// version of the program with stricter checks must not reject at startup what was
// accepted before.
func (st State) Encode() ([]byte, error) {
	ss := stateSnapshot{
		Index:         st.index,
		Clock:         st.clock,
		Configuration: st.cfg,
		Base:          st.trail.base,
		Horizon:       st.intents.newestEvicted,
	}
	co := make(contentsByHash)
	for _, fi := range st.files.all() {
		ss.Files = append(ss.Files, fileEntry{Name: fi.Name, Author: fi.Author, ChangeID: fi.ChangeID, Hash: co.add(fi.Content), Revision: fi.Revision})
	}
	for _, cc := range st.deleted.all() {
		ss.Deleted = append(ss.Deleted, cc)
	}
	for nu, re := range st.trail.records.all() {
		_, kept := st.trail.contentSizes.get(nu)
		for _, af := range re.Entry.Files {
			co.addIfPresent(af.BeforeHash, af.Before)
			co.addIfPresent(af.AfterHash, af.After)
		}
		re.Entry = re.Entry.withoutContent()
		ss.Records = append(ss.Records, recordEntry{Record: re, Kept: kept})
	}
	for _, key := range st.intents.keysByIndex.all() {
		in, _ := st.intents.byKey.get(key)
		ss.Intents = append(ss.Intents, in)
	}
	for _, ha := range slices.Sorted(maps.Keys(co)) {
		ss.Contents = append(ss.Contents, co[ha])
	}
	return encodeEnvelope(numberState, ss)
}

func (co contentsByHash) addIfPresent(ha string, data []byte) {
	if data != nil {
		co[ha] = data
	}
}

// DecodeState decodes what State.Encode returned. Its error is a *result.Error with
// the code DamagedState.
func DecodeState(data []byte) (State, error) {
	en, err := decodeEnvelope(data)
	if err != nil {
		return State{}, err
	}
	if en.Number != numberState {
		return State{}, codecError("decode a state", fmt.Errorf("unknown number %d", en.Number))
	}
	ss, err := decodeBody[stateSnapshot](en)
	if err != nil {
		return State{}, err
	}
	st, err := ss.decode()
	if err != nil {
		return State{}, codecError("decode a state", err)
	}
	return st, nil
}

func (ss stateSnapshot) decode() (State, error) {
	st := State{index: ss.Index, clock: ss.Clock, cfg: ss.Configuration}
	co := make(contentsByHash)
	for _, data := range ss.Contents {
		co.add(data)
	}
	for _, fe := range ss.Files {
		data, ok := co[fe.Hash]
		if !ok {
			return st, fmt.Errorf("the content of file %s is missing", fe.Name)
		}
		st.files = st.files.with(fe.Name, File{Name: fe.Name, Revision: fe.Revision, Author: fe.Author, ChangeID: fe.ChangeID, Content: data})
		st.fileBytes += len(data)
	}
	for _, cc := range ss.Deleted {
		st.deleted = st.deleted.with(cc.File, cc)
	}
	for _, in := range ss.Intents {
		st.intents = st.intents.with(in)
	}
	st.intents.newestEvicted = ss.Horizon
	tr, err := ss.decodeTrail(co)
	st.trail = tr
	return st, err
}

func (ss stateSnapshot) decodeTrail(co contentsByHash) (auditTrail, error) {
	tr := auditTrail{base: ss.Base, head: ss.Base}
	for _, re := range ss.Records {
		if en := re.Record.Entry; en.Number != tr.head.Number+1 || en.Previous != tr.head.Hash {
			return tr, fmt.Errorf("audit entry %d does not follow entry %d", en.Number, tr.head.Number)
		}
		if re.Kept {
			re.Record.Entry.Files = co.restoreFiles(re.Record.Entry.Files)
		}
		if err := re.Record.Entry.verify(); err != nil {
			return tr, err
		}
		tr = tr.withRecord(re.Record)
	}
	return tr, nil
}

func (co contentsByHash) restoreFiles(fs []AuditFile) []AuditFile {
	for i, af := range fs {
		fs[i].Before = co[af.BeforeHash]
		fs[i].After = co[af.AfterHash]
	}
	return fs
}
