package control

import (
	"fmt"
	"time"

	"balsamwinch.example/result"
)

// The bounds of the audit trail. All voters must have the same ones, since what
// is no longer kept can't answer a resend.
const (
	// MaxAuditEntries is how many changes are kept with their outcome: at 670
	// changes a day, 12 days. A resend gets the first outcome for as long.
	MaxAuditEntries = 8192
	// MaxAuditBytes bounds the kept entries without contents; large entries
	// make fewer of them fit.
	MaxAuditBytes = 8 << 20
	// MaxAuditContent bounds the contents that are kept before and after.
	// Entries beyond it keep the hashes.
	MaxAuditContentBytes = 4 << 20
)

// AuditEntry is one accepted or refused change.
type AuditEntry struct {
	Number   uint64 // Number counts changes from 1.
	When     time.Time
	Author   string
	ChangeID string
	Code     result.Code
	Revision uint64 // Revision is the one that the change made; 0 if refused.
	Detail   string // Detail says why the change was refused.
	Files    []AuditFile
	Previous string // Previous is the Hash of the entry before, in hexadecimal.
	Hash     string // Hash is the SHA-256 over all fields above, in hexadecimal.
}

// AuditFile is what an audited change did, or would have done, to one file. The
// entry's Hash covers the hashes, so that it still holds without the contents.
type AuditFile struct {
	Name       string
	BeforeHash string // BeforeHash is the SHA-256 in hexadecimal; empty if the file did not exist.
	AfterHash  string // AfterHash is the SHA-256 in hexadecimal; empty if the file is deleted.
	Before     []byte // Before is nil also when the content is no longer kept.
	After      []byte // After is nil also when the content is no longer kept.
}

// AuditHead names the end of a chain of audit entries.
type AuditHead struct {
	Number uint64
	Hash   string
}

// AuditError says which audit entry does not fit the chain.
type AuditError struct {
	Number uint64 // Number is that of the entry.
	Field  string
	Want   string
	Got    string
}

// Error returns the entry, the field and what was expected.
func (ae *AuditError) Error() string {
	return fmt.Sprintf("audit entry %d: %s: want %s, got %s", ae.Number, ae.Field, ae.Want, ae.Got)
}

// Verify returns an *AuditError if an entry was changed, or if entries were
// removed, added or moved between the first and the last. It can't tell that
// entries are missing at either end, or that the whole chain was made anew:
// compare the last Hash with the AuditHead of other control instances, and the
// first Previous with a Hash noted earlier.
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
		if af.Before != nil && hashOf(af.Before) != af.BeforeHash {
			return &AuditError{Number: en.Number, Field: af.Name + ": Before", Want: af.BeforeHash, Got: hashOf(af.Before)}
		}
		if af.After != nil && hashOf(af.After) != af.AfterHash {
			return &AuditError{Number: en.Number, Field: af.Name + ": After", Want: af.AfterHash, Got: hashOf(af.After)}
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
	return hashOf(data)
}

// bytes returns about how much memory the entry takes without contents.
func (en AuditEntry) bytes() int {
	by := 400 + len(en.Author) + len(en.ChangeID) + len(en.Detail)
	for _, af := range en.Files {
		by += 200 + len(af.Name)
	}
	return by
}

// content returns how many bytes of contents the entry holds, and one for each
// content so that an entry with empty contents has some.
func (en AuditEntry) content() int {
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

// withoutContent returns the entry with its hashes alone.
func (en AuditEntry) withoutContent() AuditEntry {
	fs := make([]AuditFile, len(en.Files))
	for i, af := range en.Files {
		af.Before, af.After = nil, nil
		fs[i] = af
	}
	en.Files = fs
	return en
}

// record is an audit entry with what answers a resend of its change.
type record struct {
	Entry AuditEntry
	// Digest is that of the change; empty if the entry answers no resend.
	Digest  string
	Outcome ChangeOutcome
}

func (re record) bytes() int {
	by := re.Entry.bytes() + len(re.Digest)
	for _, fa := range re.Outcome.Faults {
		by += 100 + len(fa.File) + len(fa.Field) + len(fa.Want) + len(fa.Got)
	}
	return by
}

// trail is the kept part of the audit trail. It is immutable. What is no longer
// kept is summed up by base, the head of the chain at that point.
type trail struct {
	base, head AuditHead
	records    tree[uint64, record]
	ids        tree[string, uint64] // ids gives the number of the first change with an id.
	bytes      int
	contents   tree[uint64, int] // contents gives the size of those entries that have contents.
	content    int               // content is the sum of contents.
}

// with returns the trail with one more change, numbered and chained, and without
// the oldest that are beyond the bounds.
func (tr trail) with(en AuditEntry, dg string, oc ChangeOutcome) trail {
	en.Number = tr.head.Number + 1
	en.Previous = tr.head.Hash
	en.Hash = en.hash()
	return tr.withRecord(record{Entry: en, Digest: dg, Outcome: oc}).bounded()
}

func (tr trail) withRecord(re record) trail {
	en := re.Entry
	tr.head = AuditHead{Number: en.Number, Hash: en.Hash}
	tr.records = tr.records.with(en.Number, re)
	tr.bytes += re.bytes()
	if re.Digest != "" {
		tr.ids = tr.ids.with(en.ChangeID, en.Number)
	}
	if by := en.content(); by > 0 {
		tr.contents = tr.contents.with(en.Number, by)
		tr.content += by
	}
	return tr
}

func (tr trail) bounded() trail {
	for tr.content > MaxAuditContentBytes {
		tr = tr.withoutOldestContent()
	}
	for tr.records.len() > MaxAuditEntries || tr.bytes > MaxAuditBytes {
		tr = tr.withoutOldest()
	}
	return tr
}

func (tr trail) withoutOldestContent() trail {
	nu, by, _ := tr.contents.first()
	re, _ := tr.records.get(nu)
	re.Entry = re.Entry.withoutContent()
	tr.records = tr.records.with(nu, re)
	tr.contents = tr.contents.without(nu)
	tr.content -= by
	return tr
}

func (tr trail) withoutOldest() trail {
	nu, re, _ := tr.records.first()
	if by, ok := tr.contents.get(nu); ok {
		tr.contents = tr.contents.without(nu)
		tr.content -= by
	}
	if re.Digest != "" {
		tr.ids = tr.ids.without(re.Entry.ChangeID)
	}
	tr.records = tr.records.without(nu)
	tr.bytes -= re.bytes()
	tr.base = AuditHead{Number: nu, Hash: re.Entry.Hash}
	return tr
}

func (tr trail) find(changeID string) (record, bool) {
	nu, ok := tr.ids.get(changeID)
	if !ok {
		return record{}, false
	}
	return tr.records.get(nu)
}

// Audit returns the kept entries whose number is from or above.
func (st State) Audit(from uint64) []AuditEntry {
	var ens []AuditEntry
	for _, re := range st.trail.records.from(from) {
		ens = append(ens, re.Entry)
	}
	return ens
}

// AuditBase names the newest entry that is no longer kept; zero if all are.
func (st State) AuditBase() AuditHead {
	return st.trail.base
}

// AuditHead names the newest entry; zero if there is none.
func (st State) AuditHead() AuditHead {
	return st.trail.head
}
