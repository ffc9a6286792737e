package load

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/backend"
	"balsamwinch.example/fanout"
	"balsamwinch.example/leaf"
	"balsamwinch.example/result"
	"balsamwinch.example/snapshot"
)

var testCall = Call{
	RequestID:  "q1",
	Query:      json.RawMessage(`{"Ask":"q1"}`),
	Partitions: Partitions{1: {"s01", "s02"}, 2: {"s01a", "s01b", "s02"}},
}

// answerCovering returns a correct answer from the snapshot 1.4 that covers the given shards.
func answerCovering(code result.Code, shards ...string) fanout.Answer {
	an := fanout.Answer{RequestID: "q1", Code: code, Snapshot: snapshot.ID{Partition: 1, Version: 4}, Covered: shards}
	for _, sh := range shards {
		an.Rows = append(an.Rows, fanout.ShardRows{Shard: sh, Rows: []json.RawMessage{row(sh, "1.4", `{"Ask": "q1"}`)}})
	}
	return an
}

func row(shard, sn, query string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"Shard":%q,"Snapshot":%q,"Number":0,"Query":%s}`, shard, sn, query))
}

func TestCheckFindsBrokenPromises(t *testing.T) {
	for _, tt := range []struct {
		name   string
		code   result.Code
		modify func(an *fanout.Answer)
		want   []BreachKind
	}{
		{"correct", result.Complete, func(*fanout.Answer) {}, nil},
		{"another request", result.Complete, func(an *fanout.Answer) { an.RequestID = "q2" }, []BreachKind{WrongAnswer}},
		{"row of another query", result.Complete, func(an *fanout.Answer) { an.Rows[1].Rows[0] = row("s02", "1.4", `{"Ask":"q2"}`) }, []BreachKind{WrongAnswer}},
		{"row of another shard", result.Complete, func(an *fanout.Answer) { an.Rows[1].Rows[0] = row("s01", "1.4", `{"Ask":"q1"}`) }, []BreachKind{WrongAnswer}},
		{"row of another version", result.Complete, func(an *fanout.Answer) { an.Rows[0].Rows[0] = row("s01", "1.5", `{"Ask":"q1"}`) }, []BreachKind{Mixed}},
		{"answer states another version", result.Complete, func(an *fanout.Answer) { an.Snapshot.Version = 5 }, []BreachKind{Mixed, Mixed}},
		{"unknown partition map", result.Complete, func(an *fanout.Answer) { an.Snapshot.Partition = 3 }, []BreachKind{Mixed, Mixed, Mixed}},
		{"shards of another map", result.Complete, func(an *fanout.Answer) { an.Snapshot.Partition = 2 }, []BreachKind{FalseCoverage, Mixed, Mixed}},
		{"covered without rows", result.Complete, func(an *fanout.Answer) { an.Rows = an.Rows[:1] }, []BreachKind{FalseCoverage}},
		{"rows not claimed", result.Partial, func(an *fanout.Answer) {
			an.Covered = an.Covered[:1]
			an.Missing = []fanout.MissingShard{{Shard: "s02", Reason: "Deadline"}}
		}, []BreachKind{FalseCoverage}},
		{"shard not mentioned", result.Partial, func(an *fanout.Answer) { an.Covered, an.Rows = an.Covered[:1], an.Rows[:1] }, []BreachKind{FalseCoverage}},
		{"complete and missing", result.Complete, func(an *fanout.Answer) {
			an.Covered, an.Rows = an.Covered[:1], an.Rows[:1]
			an.Missing = []fanout.MissingShard{{Shard: "s02", Reason: "Deadline"}}
		}, []BreachKind{FalseCoverage}},
		{"unknown outcome", result.OutcomeUnknown, func(an *fanout.Answer) { an.Covered, an.Rows = nil, nil }, nil},
		{"refused", result.NotRunOverloaded, func(an *fanout.Answer) { *an = fanout.Answer{RequestID: "q1", Code: an.Code} }, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			an := answerCovering(tt.code, "s01", "s02")
			tt.modify(&an)
			var got []BreachKind
			for _, br := range Check(testCall, Attempt{RequestID: "q1", Answer: an}) {
				got = append(got, br.Kind)
			}
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}

// A non-repeatable query must run at most once on each shard, and not at all if the caller
// received "not run". It can run twice when both replicas of a shard run it after an answer
// was lost.
func TestCheckExecutionsFindsRepeatedAndRefusedRuns(t *testing.T) {
	c := qt.New(t)
	specs := []ServerSpec{{Name: "a", Shard: 1, Replica: 1}, {Name: "b", Shard: 1, Replica: 2}, {Name: "c", Shard: 2, Replica: 1}}
	counts := map[string]leaf.Counts{
		"a": {Executed: map[string]int{"once": 1, "replicas": 1, "again": 2, "refused": 1}},
		"b": {Executed: map[string]int{"replicas": 1}},
		"c": {Executed: map[string]int{"once": 1}},
	}
	keys := map[string]bool{"once": false, "replicas": false, "again": false, "refused": true, "unsent": true}
	c.Assert(checkExecutions(Promises{}, specs, counts, keys), qt.Equals, Promises{Keys: 5, Ran: 4, RanTwice: 2, NotRunRan: 1})
}

// Executions counted by a backend server before it was killed must be added to those after its
// restart.
func TestSumCountsKeepsCountsFromBeforeKill(t *testing.T) {
	c := qt.New(t)
	sum := sumCounts(
		leaf.Counts{Requests: 3, OverLimit: 1, Replies: map[backend.ReplyCode]int{backend.ReplyShed: 2}, Executed: map[string]int{"k": 1}},
		leaf.Counts{Requests: 4, Replies: map[backend.ReplyCode]int{backend.ReplyShed: 1}, Executed: map[string]int{"k": 1}},
	)
	c.Assert(sum.Executed["k"], qt.Equals, 2)
	c.Assert(countsBetween(leaf.Counts{Requests: 5}, sum), qt.Equals, serverCounts{requests: 2, sheds: 3, overLimit: 1})
}

func TestOverlappingFaultsAreCombined(t *testing.T) {
	fi := &FaultInjector{active: map[int]Misbehaviour{
		0: {Target: Target{Service: "archivo"}, Faults: leaf.Faults{SlowShare: 0.1, SlowFactor: 10}},
		1: {Target: Target{Service: "archivo", Shard: 2}, Faults: leaf.Faults{Stuck: true}},
		2: {Target: Target{Service: "desk"}, Faults: leaf.Faults{Silent: true}},
	}}
	archivo := Service{Name: "archivo"}
	qt.Assert(t, fi.faultsOf(ServerSpec{Service: archivo, Shard: 1, Replica: 1}), qt.Equals, leaf.Faults{SlowShare: 0.1, SlowFactor: 10})
	qt.Assert(t, fi.faultsOf(ServerSpec{Service: archivo, Shard: 2, Replica: 1}), qt.Equals, leaf.Faults{SlowShare: 0.1, SlowFactor: 10, Stuck: true})
}
