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

// yaml returns a file that configures one service. The deadline distinguishes
// contents.
func yaml(service string, deadline int) []byte {
	return fmt.Appendf(nil, "Services: {%s: {DeadlineMillis: %d, Partitions: [{Number: 1, Shards: 2}]}}\n", service, deadline)
}

// stateMachine applies commands at consecutive indices.
type stateMachine struct {
	State
}

func (ma *stateMachine) apply(cm Command) Outcome {
	var oc Outcome
	ma.State, oc = ma.Apply(ma.Index()+1, cm)
	return oc
}

func (ma *stateMachine) change(id, author string, files ...FileChange) ChangeOutcome {
	when := start.Add(time.Duration(ma.Index()) * time.Second)
	return ma.apply(Change{ChangeID: id, Author: author, When: when, Files: files}).(ChangeOutcome)
}

// Checks the outcomes and the audit trail of a series of changes. The golden file
// also pins the hashes: if they changed, stored trails would no longer verify.
func TestChangeOutcomesAndAuditTrail(t *testing.T) {
	var ma stateMachine
	var sb strings.Builder
	for _, tc := range []struct {
		id, author string
		files      []FileChange
	}{
		{"c1", "ana", []FileChange{{Name: "10-a.yaml", Content: yaml("a", 100)}, {Name: "20-b.yaml", Content: yaml("b", 100)}}},
		{"c2", "ben", []FileChange{{Name: "10-a.yaml", Base: 1, Content: yaml("a", 200)}}},
		{"c3", "ana", []FileChange{{Name: "10-a.yaml", Base: 1, Content: yaml("a", 300)}}}, // conflicts with c2
		{"c2", "ben", []FileChange{{Name: "10-a.yaml", Base: 1, Content: yaml("a", 200)}}}, // retried
		{"c3", "ana", []FileChange{{Name: "10-a.yaml", Base: 1, Content: yaml("a", 300)}}}, // retried
		{"c2", "ana", []FileChange{{Name: "10-a.yaml", Base: 2, Content: yaml("a", 400)}}}, // reused id of another change
		{"c4", "ana", []FileChange{{Name: "10-a.yaml", Base: 2, Content: []byte("Services: {a: {Policy: Soon}}\n")}}},
		{"c5", "ana", []FileChange{{Name: "20-b.yaml", Base: 1, Delete: true}}},
		{"c6", "ben", []FileChange{{Name: "20-b.yaml", Base: 1, Content: yaml("b", 500)}}}, // conflicts with the deletion
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

// The leader fails after it committed a change. The operator, who got no response,
// retries it after another operator has changed the file again. Evaluated again,
// the retry would be rejected as a conflict although the change was accepted, or
// would undo the other operator's change.
func TestRetryGetsFirstOutcome(t *testing.T) {
	c := qt.New(t)
	var ma stateMachine
	fc := FileChange{Name: "a.yaml", Content: yaml("a", 100)}
	first := ma.change("one", "ana", fc)
	ma.change("two", "ben", FileChange{Name: "a.yaml", Base: 1, Content: yaml("a", 200)})
	c.Check(ma.change("one", "ana", fc), qt.DeepEquals, first)
	c.Check(first.Revision, qt.Equals, uint64(1))
	c.Check(ma.Configuration().Services["a"].DeadlineMillis, qt.Equals, int64(200))
}

// Two operators edit the same file concurrently. If the second change won, it would
// silently undo the first. The rejected operator must learn the author and id of
// the conflicting change.
func TestConcurrentChangeIsConflict(t *testing.T) {
	c := qt.New(t)
	var ma stateMachine
	ma.change("one", "ana", FileChange{Name: "a.yaml", Content: yaml("a", 100)})
	ma.change("two", "ana", FileChange{Name: "a.yaml", Base: 1, Content: yaml("a", 200)})
	oc := ma.change("three", "ben", FileChange{Name: "a.yaml", Base: 1, Content: yaml("a", 300)})
	c.Check(oc, qt.DeepEquals, ChangeOutcome{
		Code:     result.Conflict,
		Conflict: &ConflictingChange{File: "a.yaml", Author: "ana", ChangeID: "two", Revision: 2},
	})
	c.Check(ma.Revision(), qt.Equals, uint64(2))
}

// An attacker edits the audit trail to hide or forge a change.
func TestVerifyDetectsTampering(t *testing.T) {
	var ma stateMachine
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
			ens[1].Files[0].Before, ens[1].Files[0].BeforeHash = nil, sha256Hex(nil)
			return ens
		}, `audit entry 2: Hash: .*`},
		{"removed", func(ens []AuditEntry) []AuditEntry { return append(ens[:1], ens[2:]...) }, `audit entry 3: Number: .*`},
		{"recomputed hash", func(ens []AuditEntry) []AuditEntry {
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

// The audit trail must not grow without bound. Contents are dropped first, then
// whole entries; base then identifies the last dropped entry.
func TestAuditTrailIsBounded(t *testing.T) {
	c := qt.New(t)
	var tr auditTrail
	large := AuditFile{Name: "a.yaml", After: make([]byte, MaxAuditContentBytes/4), AfterHash: sha256Hex(make([]byte, MaxAuditContentBytes/4))}
	for i := range MaxAuditEntries + 10 {
		en := AuditEntry{ChangeID: fmt.Sprint(i)}
		if i%100 == 0 {
			en.Files = []AuditFile{large}
		}
		tr = tr.with(en, "digest", ChangeOutcome{})
	}
	c.Check(tr.records.len(), qt.Equals, MaxAuditEntries)
	c.Check(tr.contentBytes <= MaxAuditContentBytes, qt.IsTrue)
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
	c.Check(tr.memoryBytes <= MaxAuditBytes, qt.IsTrue)
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
