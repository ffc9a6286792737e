package control

import (
	"fmt"
	"time"

	"balsamwinch.example/result"
)

// The bounds of the audit trail. All voters must use the same values, because a
// change that is no longer kept can't answer a retry.
const (
	// MaxAuditEntries is the number of changes that are kept with their
	// outcome: 12 days at 670 changes a day. For that long, a retry gets the
	// first outcome.
	MaxAuditEntries = 8192
	// MaxAuditBytes bounds the memory of the kept entries without contents. If
	// entries are large, fewer than MaxAuditEntries are kept.
	MaxAuditBytes = 8 << 20
	// MaxAuditContentBytes bounds the kept contents of files before and after
	// the changes. Beyond it the oldest entries keep only the hashes.
	MaxAuditContentBytes = 4 << 20
)

// AuditEntry is one accepted or rejected change.
type AuditEntry struct {
	Number   uint64 // from 1, in the order of the entries
	When     time.Time
	Author   string
	ChangeID string
	Code     result.Code
	Revision uint64 // revision that the change created; 0 if rejected
	Detail   string // why the change was rejected
	Files    []AuditFile
	Previous string // Hash of the preceding entry
	Hash     string // SHA-256 over all fields above, in hexadecimal
}

// AuditFile is what an audited change did, or would have done, to one file. The
// entry's Hash covers the hashes of the contents, so that it can be verified
// without the contents.
type AuditFile struct {
	Name       string
	BeforeHash string // SHA-256 in hexadecimal; empty if the file did not exist
	AfterHash  string // SHA-256 in hexadecimal; empty if the file is deleted
	Before     []byte // nil also if the content is no longer kept
	After      []byte // nil also if the content is no longer kept
}

// AuditHead identifies the last entry of a chain of audit entries.
type AuditHead struct {
	Number uint64
	Hash   string
}

// AuditError reports an audit entry that doesn't match its hashes or its
// predecessor.
type AuditError struct {
	Number uint64 // number of the audit entry
	Field  string
	Want   string
	Got    string
}

// Error returns the entry, the field and the expected and actual values in one line.
func (ae *AuditError) Error() string {
	return fmt.Sprintf("audit entry %d: %s: want %s, got %s", ae.Number, ae.Field, ae.Want, ae.Got)
}

// Verify returns an *AuditError if an entry was modified, or if entries were
// removed, added or reordered between the first and the last. It can't detect that
// entries are missing at either end or that the whole chain was recomputed. To
// detect these, compare the last Hash with the AuditHead of other control
// instances, and the first Previous with a Hash saved earlier.
func Verify(entries []AuditEntry) error {
	for i, en := range entries {
		if i > 0 {
			pr := entries[i-1]
			if en.Number != pr.Number+1 {
				return &AuditError{Number: en.Number, Field: "Number", Want: fmt.Sprint(pr.Number + 1), Got: fmt.Sprint(en.Number)}
			}
			if en.Previous != pr.Hash {
				return &AuditError{Number: en.Number, Field: "Previous", Want: pr.Hash, Got: en.Previous}
			}
		}
		if err := en.verify(); err != nil {
			return err
		}
	}
	return nil
}

func (en AuditEntry) verify() error {
	for _, af := range en.Files {
		if af.Before != nil && sha256Hex(af.Before) != af.BeforeHash {
			return &AuditError{Number: en.Number, Field: af.Name + ": Before", Want: af.BeforeHash, Got: sha256Hex(af.Before)}
		}
		if af.After != nil && sha256Hex(af.After) != af.AfterHash {
			return &AuditError{Number: en.Number, Field: af.Name + ": After", Want: af.AfterHash, Got: sha256Hex(af.After)}
		}
	}
	if ha := en.hash(); ha != en.Hash {
		return &AuditError{Number: en.Number, Field: "Hash", Want: ha, Got: en.Hash}
	}
	return nil
}

// hash returns the SHA-256 over the CBOR array of the fields, in hexadecimal.
func (en AuditEntry) hash() string {
	fs := make([][3]string, len(en.Files))
	for i, af := range en.Files {
		fs[i] = [3]string{af.Name, af.BeforeHash, af.AfterHash}
	}
	data, err := encoding.Marshal([]any{
		en.Number, en.When.UnixNano(), en.Author, en.ChangeID,
		int(en.Code), en.Revision, en.Detail, fs, en.Previous,
	})
	if err != nil {
		panic(err) // these types always encode
	}
	return sha256Hex(data)
}

// memoryBytes estimates the memory that the entry uses without contents.
func (en AuditEntry) memoryBytes() int {
	by := 400 + len(en.Author) + len(en.ChangeID) + len(en.Detail)
	for _, af := range en.Files {
		by += 200 + len(af.Name)
	}
	return by
}

// contentBytes returns the size of the contents in the entry. Each content counts
// one byte more, so that an entry with empty contents is counted too.
func (en AuditEntry) contentBytes() int {
	by := 0
	for _, af := range en.Files {
		if af.Before != nil {
			by += 1 + len(af.Before)
		}
		if af.After != nil {
			by += 1 + len(af.After)
		}
	}
	return by
}

// withoutContent returns the entry with the hashes but without the contents.
func (en AuditEntry) withoutContent() AuditEntry {
	fs := make([]AuditFile, len(en.Files))
	for i, af := range en.Files {
		af.Before, af.After = nil, nil
		fs[i] = af
	}
	en.Files = fs
	return en
}

// auditRecord is an audit entry with the data needed to answer a retry of its
// change.
type auditRecord struct {
	Entry AuditEntry
	// Digest is the digest of the change; empty if the entry answers no retry.
	Digest  string
	Outcome ChangeOutcome
}

func (re auditRecord) memoryBytes() int {
	by := re.Entry.memoryBytes() + len(re.Digest)
	for _, fa := range re.Outcome.Faults {
		by += 100 + len(fa.File) + len(fa.Field) + len(fa.Want) + len(fa.Got)
	}
	return by
}

// auditTrail is the kept part of the audit trail. It is immutable. base identifies
// the newest entry that is no longer kept, and head the newest entry.
type auditTrail struct {
	base, head       AuditHead
	records          tree[uint64, auditRecord]
	numberByChangeID tree[string, uint64] // change id to the number of the entry of the first change with it
	memoryBytes      int
	contentSizes     tree[uint64, int] // entry number to the size of its contents, for entries that have any
	contentBytes     int               // sum of contentSizes
}

// with returns the trail with a new entry, numbered and chained, and without the
// oldest entries and contents beyond the bounds.
func (tr auditTrail) with(en AuditEntry, dg string, oc ChangeOutcome) auditTrail {
	en.Number = tr.head.Number + 1
	en.Previous = tr.head.Hash
	en.Hash = en.hash()
	return tr.withRecord(auditRecord{Entry: en, Digest: dg, Outcome: oc}).trimmed()
}

func (tr auditTrail) withRecord(re auditRecord) auditTrail {
	en := re.Entry
	tr.head = AuditHead{Number: en.Number, Hash: en.Hash}
	tr.records = tr.records.with(en.Number, re)
	tr.memoryBytes += re.memoryBytes()
	if re.Digest != "" {
		tr.numberByChangeID = tr.numberByChangeID.with(en.ChangeID, en.Number)
	}
	if by := en.contentBytes(); by > 0 {
		tr.contentSizes = tr.contentSizes.with(en.Number, by)
		tr.contentBytes += by
	}
	return tr
}

func (tr auditTrail) trimmed() auditTrail {
	for tr.contentBytes > MaxAuditContentBytes {
		tr = tr.withoutOldestContent()
	}
	for tr.records.len() > MaxAuditEntries || tr.memoryBytes > MaxAuditBytes {
		tr = tr.withoutOldest()
	}
	return tr
}

func (tr auditTrail) withoutOldestContent() auditTrail {
	nu, by, _ := tr.contentSizes.first()
	re, _ := tr.records.get(nu)
	re.Entry = re.Entry.withoutContent()
	tr.records = tr.records.with(nu, re)
	tr.contentSizes = tr.contentSizes.without(nu)
	tr.contentBytes -= by
	return tr
}

func (tr auditTrail) withoutOldest() auditTrail {
	nu, re, _ := tr.records.first()
	if by, ok := tr.contentSizes.get(nu); ok {
		tr.contentSizes = tr.contentSizes.without(nu)
		tr.contentBytes -= by
	}
	if re.Digest != "" {
		tr.numberByChangeID = tr.numberByChangeID.without(re.Entry.ChangeID)
	}
	tr.records = tr.records.without(nu)
	tr.memoryBytes -= re.memoryBytes()
	tr.base = AuditHead{Number: nu, Hash: re.Entry.Hash}
	return tr
}

func (tr auditTrail) find(changeID string) (auditRecord, bool) {
	nu, ok := tr.numberByChangeID.get(changeID)
	if !ok {
		return auditRecord{}, false
	}
	return tr.records.get(nu)
}

// Audit returns the kept entries numbered from and above.
func (st State) Audit(from uint64) []AuditEntry {
	var ens []AuditEntry
	for _, re := range st.trail.records.from(from) {
		ens = append(ens, re.Entry)
	}
	return ens
}

// AuditBase identifies the newest entry that is no longer kept. It is zero if all
// are kept.
func (st State) AuditBase() AuditHead {
	return st.trail.base
}

// AuditHead identifies the newest entry. It is zero if there is none.
func (st State) AuditHead() AuditHead {
	return st.trail.head
}
