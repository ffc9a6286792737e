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

// drawCommand draws from a few names, so that commands interact.
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

// encodeState returns the encoded state, by which two states are compared.
func encodeState(rt *rapid.T, st State) []byte {
	data, err := st.Encode()
	if err != nil {
		rt.Fatal(err)
	}
	return data
}

func encodeOutcome(rt *rapid.T, oc Outcome) string {
	data, err := EncodeOutcome(oc)
	if err != nil {
		rt.Fatal(err)
	}
	return string(data)
}

func decodeState(rt *rapid.T, data []byte) State {
	st, err := DecodeState(data)
	if err != nil {
		rt.Fatal(err)
	}
	return st
}

// Voters restart, recover from a snapshot and replay log entries that overlap it.
// All must reach the same state. Revisions only rise, each revision keeps its
// configuration, and each change keeps its first outcome.
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
			kept := encodeState(rt, before)
			var oc, other Outcome
			st, oc = st.Apply(uint64(len(log)), cm)
			restored, other = restored.Apply(uint64(len(log)), cm)
			if encodeOutcome(rt, oc) != encodeOutcome(rt, other) || !bytes.Equal(kept, encodeState(rt, before)) {
				rt.Fatalf("outcomes of replicas differ, or an older state changed: %v and %v", oc, other)
			}
			checkRevision(rt, before, st, revisions)
			if ch, ok := cm.(Change); ok {
				id := ch.ChangeID + digest(ch)
				if first, seen := outcomes[id]; seen && st.answersRetry(ch) && first != encodeOutcome(rt, oc) {
					rt.Fatalf("retry of change %s got %v, want the first outcome %s", ch.ChangeID, oc, first)
				}
				outcomes[id] = encodeOutcome(rt, oc)
			}
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				snapshot = encodeState(rt, st)
			case 1:
				restored = decodeState(rt, encodeState(rt, st))
			case 2:
				restored = replay(rt, snapshot, log)
			}
		}
		if !bytes.Equal(encodeState(rt, st), encodeState(rt, restored)) {
			rt.Fatalf("the recovered state differs")
		}
		if err := Verify(st.Audit(0)); err != nil {
			rt.Fatal(err)
		}
	})
}

// answersRetry reports whether the audit trail answers retries of this change.
func (st State) answersRetry(ch Change) bool {
	re, ok := st.trail.find(ch.ChangeID)
	return ok && re.Digest == digest(ch)
}

// replay recovers from a snapshot, if there is one, and applies the whole log.
func replay(rt *rapid.T, snapshot []byte, log [][]byte) State {
	var st State
	if snapshot != nil {
		st = decodeState(rt, snapshot)
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

// checkRevision asserts that the revision rises by at most one, and that the
// configuration of each revision never changes.
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

// checkRoundTrip asserts that a state survives encoding and decoding.
func checkRoundTrip(tb testing.TB, st State) {
	tb.Helper()
	data, err := st.Encode()
	qt.Assert(tb, err, qt.IsNil)
	got, err := DecodeState(data)
	qt.Assert(tb, err, qt.IsNil)
	again, err := got.Encode()
	qt.Assert(tb, err, qt.IsNil)
	qt.Assert(tb, bytes.Equal(again, data), qt.IsTrue)
	qt.Assert(tb, got.intents.answerBytes, qt.Equals, st.intents.answerBytes)
	qt.Assert(tb, got.trail.memoryBytes, qt.Equals, st.trail.memoryBytes)
	qt.Assert(tb, got.trail.contentBytes, qt.Equals, st.trail.contentBytes)
}

// A voter of an older version applies a command with a field that it doesn't know.
// If it ignored the field, its state would silently diverge from that of the other
// voters. It must stop.
func TestUnknownFieldIsRejected(t *testing.T) {
	c := qt.New(t)
	data, err := encodeEnvelope(numberBeginIntent, map[string]any{"Key": "k", "Priority": 1})
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

// An operator sends a file whose name isn't UTF-8, and the recorded rejection
// quotes it. If the snapshot failed to decode, no voter could start again.
func TestInvalidUTF8SurvivesSnapshot(t *testing.T) {
	var ma stateMachine
	oc := ma.change("one", "ana", FileChange{Name: "\xff.yaml", Content: []byte("\xff")})
	qt.Assert(t, oc.Code, qt.Equals, result.Invalid)
	checkRoundTrip(t, ma.State)
}

// A snapshot was damaged in transit or on disk in a way that its checksum doesn't
// detect. It must be rejected, not loaded.
func TestDamagedSnapshotIsRejected(t *testing.T) {
	var ma stateMachine
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
