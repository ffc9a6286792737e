package control

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/result"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func checkGolden(tb testing.TB, name, got string) {
	tb.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		qt.Assert(tb, os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(tb, err, qt.IsNil)
	qt.Assert(tb, got, qt.Equals, string(want))
}

// start is the time of the first command in tests.
var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// yaml is a file for a service whose deadline tells contents apart.
func yaml(service string, deadline int) []byte {
	return fmt.Appendf(nil, "Services: {%s: {DeadlineMillis: %d, Partitions: [{Number: 1, Shards: 2}]}}\n", service, deadline)
}

// machine applies commands one after the other.
type machine struct {
	State
}

func (ma *machine) apply(cm Command) Outcome {
	var oc Outcome
	ma.State, oc = ma.Apply(ma.Index()+1, cm)
	return oc
}

func (ma *machine) change(id, author string, files ...FileChange) ChangeOutcome {
	when := start.Add(time.Duration(ma.Index()) * time.Second)
	return ma.apply(Change{ChangeID: id, Author: author, When: when, Files: files}).(ChangeOutcome)
}

// The verdicts and the audit trail of a working day. The golden file also pins
// the hashes: with others, a stored trail would no longer verify.
func TestChanges(t *testing.T) {
	var ma machine
	var sb strings.Builder
	for _, tc := range []struct {
		id, author string
		files      []FileChange
	}{
		{"c1", "ana", []FileChange{{Name: "10-a.yaml", Content: yaml("a", 100)}, {Name: "20-b.yaml", Content: yaml("b", 100)}}},
		{"c2", "ben", []FileChange{{Name: "10-a.yaml", Base: 1, Content: yaml("a", 200)}}},
		{"c3", "ana", []FileChange{{Name: "10-a.yaml", Base: 1, Content: yaml("a", 300)}}}, // raced by c2
		{"c2", "ben", []FileChange{{Name: "10-a.yaml", Base: 1, Content: yaml("a", 200)}}}, // resent
		{"c3", "ana", []FileChange{{Name: "10-a.yaml", Base: 1, Content: yaml("a", 300)}}}, // resent
		{"c2", "ana", []FileChange{{Name: "10-a.yaml", Base: 2, Content: yaml("a", 400)}}}, // the id of another
		{"c4", "ana", []FileChange{{Name: "10-a.yaml", Base: 2, Content: []byte("Services: {a: {Policy: Soon}}\n")}}},
		{"c5", "ana", []FileChange{{Name: "20-b.yaml", Base: 1, Delete: true}}},
		{"c6", "ben", []FileChange{{Name: "20-b.yaml", Base: 1, Content: yaml("b", 500)}}}, // raced by a deletion
		{"c7", "ben", []FileChange{{Name: "30-c.yaml", Base: 2, Content: yaml("c", 100)}}}, // never existed
		{"c8", "ben", []FileChange{{Name: "20-b.yaml", Content: yaml("b", 600)}}},
		{"", "", []FileChange{{Name: "../x.yaml"}, {Name: "../x.yaml"}, {Name: "y.yaml", Delete: true}}},
		{"c9", "ben", nil},
		{"c10", "ben", []FileChange{{Name: "40-d.yaml", Content: make([]byte, MaxChangeBytes+1)}}},
	} {
		oc := ma.change(tc.id, tc.author, tc.files...)
		data, err := json.Marshal(oc)
		qt.Assert(t, err, qt.IsNil)
		fmt.Fprintf(&sb, "%s by %s: %s, revision now %d: %s\n", tc.id, tc.author, oc.Code, ma.Revision(), data)
	}
	for _, en := range ma.Audit(0) {
		fmt.Fprintf(&sb, "%d %s %q %q %s %d: %s\n", en.Number, en.When.Format(time.RFC3339), en.Author, en.ChangeID, en.Code, en.Revision, en.Detail)
		for _, af := range en.Files {
			fmt.Fprintf(&sb, "\t%q: %.12s to %.12s: %.60q to %.60q\n", af.Name, af.BeforeHash, af.AfterHash, af.Before, af.After)
		}
		fmt.Fprintf(&sb, "\t%s\n", en.Hash)
	}
	checkGolden(t, "changes.golden", sb.String())
	qt.Check(t, Verify(ma.Audit(0)), qt.IsNil)
	qt.Check(t, ma.Configuration().Services["a"].DeadlineMillis, qt.Equals, int64(200))
}

// An operator sends a change, the leader dies after it was committed, and the
// operator, who got no answer, sends it again; meanwhile another operator has
// changed the file once more. Judged anew, the resend would be told of a
// conflict, though it was accepted, or would undo the other's change.
func TestResendGetsFirstOutcome(t *testing.T) {
	c := qt.New(t)
	var ma machine
	fc := FileChange{Name: "a.yaml", Content: yaml("a", 100)}
	first := ma.change("one", "ana", fc)
	ma.change("two", "ben", FileChange{Name: "a.yaml", Base: 1, Content: yaml("a", 200)})
	c.Check(ma.change("one", "ana", fc), qt.DeepEquals, first)
	c.Check(first.Revision, qt.Equals, uint64(1))
	c.Check(ma.Configuration().Services["a"].DeadlineMillis, qt.Equals, int64(200))
}

// Two operators edit the same file at the same time. If the second simply won,
// the first's change would be gone and neither would know. The loser must learn
// who was faster and with which change.
func TestRaceIsConflict(t *testing.T) {
	c := qt.New(t)
	var ma machine
	ma.change("one", "ana", FileChange{Name: "a.yaml", Content: yaml("a", 100)})
	ma.change("two", "ana", FileChange{Name: "a.yaml", Base: 1, Content: yaml("a", 200)})
	oc := ma.change("three", "ben", FileChange{Name: "a.yaml", Base: 1, Content: yaml("a", 300)})
	c.Check(oc, qt.DeepEquals, ChangeOutcome{
		Code:     result.Conflict,
		Conflict: &ConflictingChange{File: "a.yaml", Author: "ana", ChangeID: "two", Revision: 2},
	})
	c.Check(ma.Revision(), qt.Equals, uint64(2))
}

// Someone edits the audit trail to hide or invent a change.
func TestVerifyFindsTampering(t *testing.T) {
	var ma machine
	for i := range 4 {
		ma.change(fmt.Sprint("c", i), "ana", FileChange{Name: "a.yaml", Base: uint64(i), Content: yaml("a", 100+i)})
	}
	qt.Assert(t, Verify(ma.Audit(2)), qt.IsNil)
	for _, tc := range []struct {
		name   string
		tamper func(ens []AuditEntry) []AuditEntry
		want   string
	}{
		{"author", func(ens []AuditEntry) []AuditEntry { ens[1].Author = "eve"; return ens }, `audit entry 2: Hash: .*`},
		{"code", func(ens []AuditEntry) []AuditEntry { ens[0].Code = result.Invalid; return ens }, `audit entry 1: Hash: .*`},
		{"time", func(ens []AuditEntry) []AuditEntry { ens[3].When = start; return ens }, `audit entry 4: Hash: .*`},
		{"content", func(ens []AuditEntry) []AuditEntry { ens[1].Files[0].After = yaml("a", 9); return ens }, `audit entry 2: a.yaml: After: .*`},
		{"hash of a content", func(ens []AuditEntry) []AuditEntry {
			ens[1].Files[0].Before, ens[1].Files[0].BeforeHash = nil, hashOf(nil)
			return ens
		}, `audit entry 2: Hash: .*`},
		{"removed", func(ens []AuditEntry) []AuditEntry { return append(ens[:1], ens[2:]...) }, `audit entry 3: Number: .*`},
		{"made anew", func(ens []AuditEntry) []AuditEntry {
			ens[1].Author = "eve"
			ens[1].Hash = ens[1].hash()
			return ens
		}, `audit entry 3: Previous: .*`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ens := ma.Audit(0)
			for i := range ens {
				ens[i].Files = append([]AuditFile{}, ens[i].Files...)
			}
			qt.Check(t, Verify(tc.tamper(ens)), qt.ErrorMatches, tc.want)
		})
	}
}

// The trail must not grow without end: contents go first, then whole entries,
// which the base of the chain then stands for.
func TestTrailIsBounded(t *testing.T) {
	c := qt.New(t)
	var tr trail
	large := AuditFile{Name: "a.yaml", After: make([]byte, MaxAuditContentBytes/4), AfterHash: hashOf(make([]byte, MaxAuditContentBytes/4))}
	for i := range MaxAuditEntries + 10 {
		en := AuditEntry{ChangeID: fmt.Sprint(i)}
		if i%100 == 0 {
			en.Files = []AuditFile{large}
		}
		tr = tr.with(en, "digest", ChangeOutcome{})
	}
	c.Check(tr.records.len(), qt.Equals, MaxAuditEntries)
	c.Check(tr.content <= MaxAuditContentBytes, qt.IsTrue)
	c.Check(tr.base.Number, qt.Equals, uint64(10))
	_, kept := tr.find("9")
	c.Check(kept, qt.IsFalse)
	_, kept = tr.find("10")
	c.Check(kept, qt.IsTrue)
	checkRoundTrip(t, State{trail: tr})
	ens := State{trail: tr}.Audit(0)
	c.Check(Verify(ens), qt.IsNil)
	c.Check(ens[0].Previous, qt.Equals, tr.base.Hash)
	for range 10 {
		tr = tr.with(AuditEntry{Detail: strings.Repeat("x", MaxAuditBytes/8)}, "", ChangeOutcome{})
	}
	c.Check(tr.bytes <= MaxAuditBytes, qt.IsTrue)
}

func TestProgress(t *testing.T) {
	c := qt.New(t)
	pr := NewProgress()
	_, ok := pr.With(EventInForce)
	c.Check(ok, qt.IsFalse)
	oc := ChangeOutcome{Code: result.Accepted, Revision: 1}
	pr = pr.WithOutcome(oc)
	c.Check(oc.WithProgress(pr).Code, qt.Equals, result.Pending)
	c.Check(pr.Done(), qt.IsFalse)
	pr, _ = pr.With(EventInForce)
	c.Check(oc.WithProgress(pr.WithOutcome(oc)).Code, qt.Equals, result.Accepted)
	c.Check(NewProgress().WithOutcome(ChangeOutcome{Code: result.Invalid}).State(), qt.Equals, StateRefused)
}
