package control

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamwinch.example/operator"
	"balsamwinch.example/result"
)

// drawCommand draws among few names, so that commands meet each other.
func drawCommand(rt *rapid.T, st State) Command {
	when := start.Add(time.Duration(rapid.IntRange(0, 7200).Draw(rt, "when")) * time.Second)
	key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(rt, "key"))
	digest := fmt.Sprint("d", rapid.IntRange(0, 1).Draw(rt, "digest"))
	attempt := fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "attempt"))
	switch rapid.IntRange(0, 3).Draw(rt, "kind") {
	case 0:
		return BeginIntent{Key: key, Digest: digest, Service: "s0", Attempt: attempt, When: when}
	case 1:
		code := rapid.SampledFrom([]result.Code{result.Complete, result.Failed, result.NotRunOverloaded}).Draw(rt, "code")
		return FinishIntent{Key: key, Digest: digest, Attempt: attempt, Code: code, Answer: []byte(key), When: when}
	}
	ch := Change{ChangeID: fmt.Sprint("c", rapid.IntRange(0, 20).Draw(rt, "id")), Author: "ana", When: when}
	for range rapid.IntRange(0, 2).Draw(rt, "files") {
		nu := rapid.IntRange(0, 2).Draw(rt, "file")
		fc := FileChange{Name: fmt.Sprintf("%d.yaml", nu), Delete: rapid.IntRange(0, 3).Draw(rt, "delete") == 0}
		if fi, ok := st.files.get(fc.Name); ok && rapid.IntRange(0, 4).Draw(rt, "stale") > 0 {
			fc.Base = fi.Revision
		}
		if !fc.Delete {
			fc.Content = yaml(fmt.Sprint("s", nu), rapid.IntRange(0, 200).Draw(rt, "deadline"))
		}
		ch.Files = append(ch.Files, fc)
	}
	return ch
}

// encoded gives the bytes of a state, by which two states are compared.
func encoded(rt *rapid.T, st State) []byte {
	data, err := st.Encode()
	if err != nil {
		rt.Fatal(err)
	}
	return data
}

func said(rt *rapid.T, oc Outcome) string {
	data, err := EncodeOutcome(oc)
	if err != nil {
		rt.Fatal(err)
	}
	return string(data)
}

func decoded(rt *rapid.T, data []byte) State {
	st, err := DecodeState(data)
	if err != nil {
		rt.Fatal(err)
	}
	return st
}

// Instances restart, come back from a snapshot and replay entries that overlap
// it. All must reach the same state; revisions only rise; what was accepted as a
// revision stays what it is; each change keeps its first outcome.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var st, restored State
		var log [][]byte
		revisions := map[uint64]operator.Configuration{}
		outcomes := map[string]string{}
		var snapshot []byte
		for range rapid.IntRange(1, 40).Draw(rt, "commands") {
			data, err := Encode(drawCommand(rt, st))
			if err != nil {
				rt.Fatal(err)
			}
			log = append(log, data)
			cm, err := Decode(data)
			if err != nil {
				rt.Fatal(err)
			}
			before := st
			kept := encoded(rt, before)
			var oc, other Outcome
			st, oc = st.Apply(uint64(len(log)), cm)
			restored, other = restored.Apply(uint64(len(log)), cm)
			if said(rt, oc) != said(rt, other) || !bytes.Equal(kept, encoded(rt, before)) {
				rt.Fatalf("replicas differ, or an older state changed: %v and %v", oc, other)
			}
			checkRevision(rt, before, st, revisions)
			if ch, ok := cm.(Change); ok {
				id := ch.ChangeID + digest(ch)
				if first, seen := outcomes[id]; seen && st.isFirst(ch) && first != said(rt, oc) {
					rt.Fatalf("the resent change %s got %v after %s", ch.ChangeID, oc, first)
				}
				outcomes[id] = said(rt, oc)
			}
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				snapshot = encoded(rt, st)
			case 1:
				restored = decoded(rt, encoded(rt, st))
			case 2:
				restored = replay(rt, snapshot, log)
			}
		}
		if !bytes.Equal(encoded(rt, st), encoded(rt, restored)) {
			rt.Fatalf("the restored state differs")
		}
		if err := Verify(st.Audit(0)); err != nil {
			rt.Fatal(err)
		}
	})
}

// isFirst reports whether the trail answers resends of this very change.
func (st State) isFirst(ch Change) bool {
	re, ok := st.trail.find(ch.ChangeID)
	return ok && re.Digest == digest(ch)
}

// replay restores a snapshot, if there is one, and applies the whole log.
func replay(rt *rapid.T, snapshot []byte, log [][]byte) State {
	var st State
	if snapshot != nil {
		st = decoded(rt, snapshot)
	}
	for i, data := range log {
		cm, err := Decode(data)
		if err != nil {
			rt.Fatal(err)
		}
		st, _ = st.Apply(uint64(i+1), cm)
	}
	return st
}

// checkRevision asserts that the revision rises by at most one, and that each
// revision means one configuration for ever.
func checkRevision(rt *rapid.T, before, after State, revisions map[uint64]operator.Configuration) {
	if re := after.Revision(); re < before.Revision() || re > before.Revision()+1 {
		rt.Fatalf("revision %d after %d", re, before.Revision())
	}
	cfg, ok := revisions[after.Revision()]
	if !ok {
		revisions[after.Revision()] = after.Configuration()
	} else if fmt.Sprint(cfg) != fmt.Sprint(after.Configuration()) {
		rt.Fatalf("revision %d was %v and is %v", after.Revision(), cfg, after.Configuration())
	}
}

// checkRoundTrip asserts that a snapshot gives the same state again.
func checkRoundTrip(tb testing.TB, st State) {
	tb.Helper()
	data, err := st.Encode()
	qt.Assert(tb, err, qt.IsNil)
	got, err := DecodeState(data)
	qt.Assert(tb, err, qt.IsNil)
	again, err := got.Encode()
	qt.Assert(tb, err, qt.IsNil)
	qt.Assert(tb, bytes.Equal(again, data), qt.IsTrue)
	qt.Assert(tb, got.intents.bytes, qt.Equals, st.intents.bytes)
	qt.Assert(tb, got.trail.bytes, qt.Equals, st.trail.bytes)
	qt.Assert(tb, got.trail.content, qt.Equals, st.trail.content)
}

// A voter of an older version meets a command with a field that it doesn't know.
// If it skipped the field, it would reach another state than the others, and
// nobody would notice. It must stop.
func TestUnknownFieldIsRefused(t *testing.T) {
	c := qt.New(t)
	data, err := seal(numberBeginIntent, map[string]any{"Key": "k", "Priority": 1})
	c.Assert(err, qt.IsNil)
	_, err = Decode(data)
	c.Check(err, qt.ErrorMatches, `control: decode BeginIntent: DamagedState .*unknown field.*`)
	_, err = Decode(nil)
	c.Check(err, qt.ErrorMatches, `control: decode: DamagedState .*`)
}

func TestOutcomeRoundTrip(t *testing.T) {
	for _, oc := range []Outcome{
		ChangeOutcome{Code: result.Conflict, Conflict: &ConflictingChange{File: "f", Author: "a", ChangeID: "c", Revision: 2}},
		IntentOutcome{Status: Finished, Code: result.Complete, Answer: []byte("x")},
		Skipped{},
	} {
		data, err := EncodeOutcome(oc)
		qt.Assert(t, err, qt.IsNil)
		got, err := DecodeOutcome(data)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.DeepEquals, oc)
	}
	kinds := map[any]bool{}
	for _, ms := range Messages() {
		kinds[ms.Kind()] = true
	}
	qt.Check(t, kinds, qt.HasLen, len(Messages()))
}

// An operator sends a file whose name isn't UTF-8, and the refusal quotes it. If
// the snapshot could not be read back, no voter would ever start again.
func TestRefusalOfOddBytesIsRestored(t *testing.T) {
	var ma machine
	oc := ma.change("one", "ana", FileChange{Name: "\xff.yaml", Content: []byte("\xff")})
	qt.Assert(t, oc.Code, qt.Equals, result.Invalid)
	checkRoundTrip(t, ma.State)
}

// A snapshot was changed on the way or on the disk in a way that its checksum
// doesn't show. It must be refused, not loaded.
func TestDamagedStateIsRefused(t *testing.T) {
	var ma machine
	ma.change("one", "ana", FileChange{Name: "a.yaml", Content: yaml("a", 100)})
	data, err := ma.Encode()
	qt.Assert(t, err, qt.IsNil)
	for _, tc := range []struct{ name, from, to string }{
		{"author", "ana", "eve"},
		{"content", "100", "999"},
		{"version", "\x83\x01", "\x83\x02"},
	} {
		_, err := DecodeState(bytes.Replace(data, []byte(tc.from), []byte(tc.to), -1))
		qt.Check(t, err, qt.ErrorMatches, "control: .*DamagedState .*", qt.Commentf(tc.name))
	}
}
