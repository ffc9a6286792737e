package control

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/result"
)

func (ma *stateMachine) begin(key, digest, attempt string, when time.Time) IntentOutcome {
	return ma.apply(BeginIntent{Key: key, Digest: digest, Service: "a", Instance: "i1", Attempt: attempt, When: when}).(IntentOutcome)
}

func (ma *stateMachine) finish(key, digest, attempt string, code result.Code, answer string) IntentOutcome {
	return ma.apply(FinishIntent{Key: key, Digest: digest, Attempt: attempt, Code: code, Answer: []byte(answer)}).(IntentOutcome)
}

// A caller loses the answer to a non-repeatable request. Its retries arrive at
// other instances while the first attempt is running and after it finished. The
// request must not run twice, and later retries get the first answer.
func TestIntentRunsOnce(t *testing.T) {
	c := qt.New(t)
	var ma stateMachine
	c.Check(ma.begin("k", "d", "1", start).Status, qt.Equals, Fresh)
	c.Check(ma.begin("k", "d", "1", start).Status, qt.Equals, Fresh) // the same attempt, proposed again
	c.Check(ma.begin("k", "d", "2", start), qt.DeepEquals, IntentOutcome{Status: Running, Code: result.OutcomeUnknown})
	done := IntentOutcome{Status: Finished, Code: result.Complete, Answer: []byte("booked")}
	c.Check(ma.finish("k", "d", "1", result.Complete, "booked"), qt.DeepEquals, done)
	c.Check(ma.finish("k", "d", "1", result.Failed, "other"), qt.DeepEquals, done)
	c.Check(ma.begin("k", "d", "3", start), qt.DeepEquals, done)
}

// Two different requests have the same key because a caller's counter was reset.
// With the recorded outcome, the second would get the answer to another request;
// with Fresh, the key would no longer protect the first.
func TestReusedKeyIsRejected(t *testing.T) {
	c := qt.New(t)
	var ma stateMachine
	ma.begin("k", "d", "1", start)
	reused := IntentOutcome{Status: KeyReused, Code: result.NotRunKeyReused}
	c.Check(ma.begin("k", "other", "2", start), qt.DeepEquals, reused)
	c.Check(ma.finish("k", "other", "1", result.Complete, ""), qt.DeepEquals, reused)
	ma.finish("k", "d", "1", result.Complete, "")
	c.Check(ma.begin("k", "other", "2", start), qt.DeepEquals, reused)
}

// An instance could not send a request and reports "not run" twice because the
// first reply was lost. In between, the caller's retry began at another instance.
// If the late "not run" freed the key, a further retry would run the request a
// second time.
func TestLateNotRunDoesNotFreeKey(t *testing.T) {
	c := qt.New(t)
	var ma stateMachine
	ma.begin("k", "d", "1", start)
	ma.finish("k", "d", "1", result.NotRunOverloaded, "")
	c.Check(ma.begin("k", "d", "2", start).Status, qt.Equals, Fresh)
	c.Check(ma.finish("k", "d", "1", result.NotRunOverloaded, "").Status, qt.Equals, AttemptNotFound)
	c.Check(ma.begin("k", "d", "3", start).Status, qt.Equals, Running)
}

// The table of intents is full. If an intent were evicted too early, a retry would
// run its request again. So new requests are rejected, each service keeps its
// reserved intents, and the oldest are evicted only after the retention.
func TestFullIntentTableRejectsNewKeys(t *testing.T) {
	c := qt.New(t)
	var ma stateMachine
	ma.change("c", "ana", FileChange{Name: "a.yaml", Content: yaml("a", 100)})
	ma.change("d", "ana", FileChange{Name: "b.yaml", Content: yaml("b", 100)})
	began := start.Add(time.Minute)
	for i := range MaxIntents {
		ma.apply(BeginIntent{Key: fmt.Sprint(i), Digest: "d", Service: "a", When: began})
	}
	rejected := IntentOutcome{Status: Full, Code: result.NotRunNoControl}
	c.Check(ma.begin("new", "d", "", began), qt.DeepEquals, rejected)
	for i := range ReservedIntentsPerService + 1 {
		oc := ma.apply(BeginIntent{Key: fmt.Sprint("b", i), Service: "b", When: began}).(IntentOutcome)
		c.Assert(oc.Status == Fresh, qt.Equals, i < ReservedIntentsPerService)
	}
	c.Check(ma.apply(BeginIntent{Key: "x", Service: "unknown", When: began}), qt.DeepEquals, rejected)
	c.Check(ma.begin("0", "d", "", began).Status, qt.Equals, Running)
	c.Check(ma.begin("new", "d", "", began.Add(IntentRetention-1)), qt.DeepEquals, rejected)
	c.Check(ma.begin("new", "d", "", began.Add(IntentRetention)).Status, qt.Equals, Fresh)
	c.Check(ma.Intents(), qt.Equals, MaxIntents)
	c.Check(ma.begin("1", "d", "", began.Add(IntentRetention)).Status, qt.Equals, Fresh) // evicted; a key without a time can't be told from a new one
	checkRoundTrip(t, ma.State)
}

// A new leader's clock is two hours behind. An intent that begins under it must not
// look two hours old and be evicted at once when the time of a later command is
// right again.
func TestClockNeverGoesBack(t *testing.T) {
	var ma stateMachine
	ma.change("c", "ana", FileChange{Name: "a.yaml", Content: yaml("a", 100)})
	ma.begin("slow", "d", "", start.Add(-2*IntentRetention))
	for i := range MaxIntents {
		ma.apply(BeginIntent{Key: fmt.Sprint(i), Digest: "d", When: start.Add(IntentRetention / 2)})
	}
	qt.Check(t, ma.begin("slow", "d", "", start.Add(IntentRetention/2)).Status, qt.Equals, Running)
}

// A caller retries long after its intent was evicted. The UUIDv7 key includes its
// creation time, so the request is not run a second time.
func TestEvictedUUIDKeyIsTooOld(t *testing.T) {
	c := qt.New(t)
	key := func(when time.Time) string {
		ms := fmt.Sprintf("%012x", when.UnixMilli())
		return ms[:8] + "-" + ms[8:] + "-7abc-8def-0123456789ab"
	}
	var ma stateMachine
	c.Check(ma.begin(key(start), "d", "", start).Status, qt.Equals, Fresh)
	c.Check(ma.begin(key(start.Add(-time.Hour)), "d", "", start).Status, qt.Equals, Fresh) // nothing was evicted yet
	c.Check(ma.begin(key(start.Add(2*MaxKeyClockSkew)), "d", "", start).Status, qt.Equals, Malformed)
	for i := range MaxIntents {
		ma.apply(BeginIntent{Key: fmt.Sprint(i), When: start.Add(2 * IntentRetention)})
	}
	later := start.Add(4 * IntentRetention)
	c.Check(ma.begin(key(start), "d", "", later), qt.DeepEquals, IntentOutcome{Status: TooOld, Code: result.OutcomeUnknown})
	c.Check(ma.begin(key(later), "d", "", later).Status, qt.Equals, Fresh)
}

func TestRecordedAnswersAreBounded(t *testing.T) {
	c := qt.New(t)
	var ma stateMachine
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
