package control

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/result"
)

func (ma *machine) begin(key, digest, attempt string, when time.Time) IntentOutcome {
	return ma.apply(BeginIntent{Key: key, Digest: digest, Service: "a", Instance: "i1", Attempt: attempt, When: when}).(IntentOutcome)
}

func (ma *machine) finish(key, digest, attempt string, code result.Code, answer string) IntentOutcome {
	return ma.apply(FinishIntent{Key: key, Digest: digest, Attempt: attempt, Code: code, Answer: []byte(answer)}).(IntentOutcome)
}

// A desk books a studio and loses the answer. The resend arrives at another
// instance while the first is still running, and again after it finished. It
// must not book twice, and gets the first answer once there is one.
func TestIntentRunsOnce(t *testing.T) {
	c := qt.New(t)
	var ma machine
	c.Check(ma.begin("k", "d", "1", start).Status, qt.Equals, Fresh)
	c.Check(ma.begin("k", "d", "1", start).Status, qt.Equals, Fresh) // the same arrival, proposed again
	c.Check(ma.begin("k", "d", "2", start), qt.DeepEquals, IntentOutcome{Status: Running, Code: result.OutcomeUnknown})
	done := IntentOutcome{Status: Finished, Code: result.Complete, Answer: []byte("booked")}
	c.Check(ma.finish("k", "d", "1", result.Complete, "booked"), qt.DeepEquals, done)
	c.Check(ma.finish("k", "d", "1", result.Failed, "other"), qt.DeepEquals, done)
	c.Check(ma.begin("k", "d", "3", start), qt.DeepEquals, done)
}

// Two requests come under one key because a caller's counter was reset. Given
// the recorded outcome, the second caller would hold the answer to another
// request; given Fresh, the key would no longer protect the first.
func TestKeyOfAnotherRequest(t *testing.T) {
	c := qt.New(t)
	var ma machine
	ma.begin("k", "d", "1", start)
	reused := IntentOutcome{Status: KeyReused, Code: result.NotRunKeyReused}
	c.Check(ma.begin("k", "other", "2", start), qt.DeepEquals, reused)
	c.Check(ma.finish("k", "other", "1", result.Complete, ""), qt.DeepEquals, reused)
	ma.finish("k", "d", "1", result.Complete, "")
	c.Check(ma.begin("k", "other", "2", start), qt.DeepEquals, reused)
}

// An instance could not send the request and says "not run", twice because the
// first reply was lost. In between, the caller's resend began at another
// instance. If the late "not run" freed the key, a further resend would run the
// request a second time.
func TestLateNotRunFreesNothing(t *testing.T) {
	c := qt.New(t)
	var ma machine
	ma.begin("k", "d", "1", start)
	ma.finish("k", "d", "1", result.NotRunOverloaded, "")
	c.Check(ma.begin("k", "d", "2", start).Status, qt.Equals, Fresh)
	c.Check(ma.finish("k", "d", "1", result.NotRunOverloaded, "").Status, qt.Equals, AttemptNotFound)
	c.Check(ma.begin("k", "d", "3", start).Status, qt.Equals, Running)
}

// The table of intents is full. An intent that is forgotten too early would let
// a resend run the request again; so new requests are refused, each service
// keeps a few places, and only after the retention the oldest make room.
func TestFullTable(t *testing.T) {
	c := qt.New(t)
	var ma machine
	ma.change("c", "ana", FileChange{Name: "a.yaml", Content: yaml("a", 100)})
	ma.change("d", "ana", FileChange{Name: "b.yaml", Content: yaml("b", 100)})
	began := start.Add(time.Minute)
	for i := range MaxIntents {
		ma.apply(BeginIntent{Key: fmt.Sprint(i), Digest: "d", Service: "a", When: began})
	}
	refused := IntentOutcome{Status: Full, Code: result.NotRunNoControl}
	c.Check(ma.begin("new", "d", "", began), qt.DeepEquals, refused)
	for i := range ReservedIntentsPerService + 1 {
		oc := ma.apply(BeginIntent{Key: fmt.Sprint("b", i), Service: "b", When: began}).(IntentOutcome)
		c.Assert(oc.Status == Fresh, qt.Equals, i < ReservedIntentsPerService)
	}
	c.Check(ma.apply(BeginIntent{Key: "x", Service: "unknown", When: began}), qt.DeepEquals, refused)
	c.Check(ma.begin("0", "d", "", began).Status, qt.Equals, Running)
	c.Check(ma.begin("new", "d", "", began.Add(IntentRetention-1)), qt.DeepEquals, refused)
	c.Check(ma.begin("new", "d", "", began.Add(IntentRetention)).Status, qt.Equals, Fresh)
	c.Check(ma.Intents(), qt.Equals, MaxIntents)
	c.Check(ma.begin("1", "d", "", began.Add(IntentRetention)).Status, qt.Equals, Fresh) // forgotten, as stated for keys without a time
	checkRoundTrip(t, ma.State)
}

// A leader's clock is two hours behind the one before. What begins under it must
// not look two hours old, and be forgotten at once, when the clock is right again.
func TestClockNeverGoesBack(t *testing.T) {
	var ma machine
	ma.change("c", "ana", FileChange{Name: "a.yaml", Content: yaml("a", 100)})
	ma.begin("slow", "d", "", start.Add(-2*IntentRetention))
	for i := range MaxIntents {
		ma.apply(BeginIntent{Key: fmt.Sprint(i), Digest: "d", When: start.Add(IntentRetention / 2)})
	}
	qt.Check(t, ma.begin("slow", "d", "", start.Add(IntentRetention/2)).Status, qt.Equals, Running)
}

// A caller comes back a day later with a key whose intent was forgotten. A UUID
// of version 7 tells its age, so the request is not run a second time.
func TestOldKeyIsRefused(t *testing.T) {
	c := qt.New(t)
	key := func(when time.Time) string {
		ms := fmt.Sprintf("%012x", when.UnixMilli())
		return ms[:8] + "-" + ms[8:] + "-7abc-8def-0123456789ab"
	}
	var ma machine
	c.Check(ma.begin(key(start), "d", "", start).Status, qt.Equals, Fresh)
	c.Check(ma.begin(key(start.Add(-time.Hour)), "d", "", start).Status, qt.Equals, Fresh) // nothing was forgotten yet
	c.Check(ma.begin(key(start.Add(2*MaxKeyClockSkew)), "d", "", start).Status, qt.Equals, Malformed)
	for i := range MaxIntents {
		ma.apply(BeginIntent{Key: fmt.Sprint(i), When: start.Add(2 * IntentRetention)})
	}
	later := start.Add(4 * IntentRetention)
	c.Check(ma.begin(key(start), "d", "", later), qt.DeepEquals, IntentOutcome{Status: TooOld, Code: result.OutcomeUnknown})
	c.Check(ma.begin(key(later), "d", "", later).Status, qt.Equals, Fresh)
}

func TestAnswersAreBounded(t *testing.T) {
	c := qt.New(t)
	var ma machine
	large := string(make([]byte, MaxAnswerBytes))
	count := MaxTotalAnswerBytes/MaxAnswerBytes + 1
	for i := range count {
		ma.begin(fmt.Sprint(i), "d", "", start)
		ma.finish(fmt.Sprint(i), "d", "", result.Complete, large)
	}
	dropped := IntentOutcome{Status: Finished, Code: result.Complete, AnswerDropped: true}
	c.Check(ma.begin("0", "d", "", start), qt.DeepEquals, dropped)
	c.Check(ma.begin("1", "d", "", start).Answer, qt.HasLen, MaxAnswerBytes)
	ma.begin("k", "d", "", start)
	c.Check(ma.finish("k", "d", "", result.Complete, large+"x"), qt.DeepEquals, dropped)
	checkRoundTrip(t, ma.State)
}
