package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/caller"
	"balsamwinch.example/fanout"
	"balsamwinch.example/leaf"
	"balsamwinch.example/operator"
	"balsamwinch.example/result"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/timer"
)

// fakeTier has real emulated backend servers and fake instances.
type fakeTier struct {
	ls      *Leafs
	fi      *fakeInstances
	applied []operator.File
	kills   []string
}

func newFakeTier(c *qt.C, ex Experiment) *fakeTier {
	ls, err := StartLeafs(ex, nil, timer.New(), zap.NewNop())
	c.Assert(err, qt.IsNil)
	c.Cleanup(ls.Close)
	return &fakeTier{ls: ls, fi: &fakeInstances{ttl: time.Hour}}
}

func (ft *fakeTier) Addresses() []string { return ft.fi.addresses }
func (ft *fakeTier) Leafs() []LeafServer { return ft.ls.Servers() }
func (ft *fakeTier) Close() error        { return nil }
func (ft *fakeTier) Apply(_ context.Context, files []operator.File) error {
	ft.applied = files
	return nil
}

func (ft *fakeTier) KillLeaf(_ context.Context, server string) (leaf.Counts, error) {
	ft.kills = append(ft.kills, server)
	return ft.ls.Kill(server)
}
func (ft *fakeTier) StartLeaf(_ context.Context, server string) error { return ft.ls.Start(server) }
func (ft *fakeTier) KillInstance(context.Context, int) error          { return errors.New("kill failed") }
func (ft *fakeTier) StartInstance(context.Context, int) error         { return nil }

// fakeAnswers answers from the snapshot 1.1, but every fifth answer has a row of another
// snapshot and every seventh is a refusal.
func fakeAnswers(c *qt.C, ex Experiment) func(caller.Query) *fanout.Answer {
	var count atomic.Int64
	return func(qu caller.Query) *fanout.Answer {
		nu := count.Add(1)
		ready := strings.HasPrefix(qu.RequestID, "ready-")
		if nu%7 == 0 && !ready {
			return &fanout.Answer{RequestID: qu.RequestID, Code: result.NotRunOverloaded, RetryAfterMillis: 5}
		}
		se := ex.Services[0]
		if qu.Key != "" || qu.RequestID == "ready-1" || qu.RequestID == "ready-2" {
			se = ex.Services[1]
		}
		an := &fanout.Answer{RequestID: qu.RequestID, Snapshot: snapshot.ID{Partition: 1, Version: 1}, Covered: se.Shards(wholeMap)}
		an.Cost = fanout.Cost{LeafRequests: se.Leaves + 1, Hedges: 1, Extra: 1}
		for _, sh := range an.Covered {
			ro := leaf.Row{Shard: sh, Snapshot: "1.1", Query: qu.Query}
			if nu%5 == 0 && sh == "s02" {
				ro.Snapshot = "1.2"
			}
			raw, err := json.Marshal(ro)
			c.Check(err, qt.IsNil)
			an.Rows = append(an.Rows, fanout.ShardRows{Shard: sh, Rows: []json.RawMessage{raw}})
		}
		return an
	}
}

func TestRunReportsBreachesAndEqualLoad(t *testing.T) {
	c := qt.New(t)
	ex := smallExperiment(c)
	ti := newFakeTier(c, ex)
	ti.fi.add(t, fakeAnswers(c, ex))
	re, err := NewRunner(ex, ti, timer.New(), zap.NewNop()).Run(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(re.Skipped, qt.HasLen, 0)
	c.Assert(re.Dropped, qt.Equals, 0)
	c.Assert(ti.applied, qt.HasLen, 3)
	c.Assert(re.Lines, qt.HasLen, 2*2*3)
	c.Assert(ti.kills, qt.DeepEquals, []string{"archivo-s01-r2", "archivo-s01-r2"})

	mixed, all := 0, re.Lines[2]
	for _, li := range re.Lines {
		if li.Group == AllGroups {
			mixed += li.Breaches[Mixed]
			continue
		}
		c.Assert(li.Codes["Complete"]+li.Refused, qt.Equals, li.Queries)
		c.Assert(li.Queries > 0, qt.IsTrue, qt.Commentf("%+v", li))
		c.Assert(li.Hedges, qt.Equals, li.Codes["Complete"])
	}
	c.Assert(mixed > 0, qt.IsTrue)
	c.Assert(re.Promises.MixedAnswers, qt.Equals, mixed)
	c.Assert(re.Promises.Kept(), qt.IsFalse)
	c.Assert(re.Promises.Keys > 0, qt.IsTrue)
	c.Assert(all.Group, qt.Equals, AllGroups)
	c.Assert(all.Queries, qt.Equals, re.Lines[0].Queries+re.Lines[1].Queries)
	c.Assert(all.Coverage, qt.Equals, 1.0)
	c.Assert(re.Lines[0].Queries, qt.Equals, re.Lines[3].Queries, qt.Commentf("both arms are offered the same load"))
}

// A restarted backend server has zero counters and an old index. The executions before the
// kill must still be counted, or a second execution elsewhere would not be detected; and the
// server must get the newest snapshot, or the experiment itself would make its shard missing.
func TestFaultInjectorKeepsCountsAndSnapshotsAcrossKill(t *testing.T) {
	c := qt.New(t)
	ex := smallExperiment(c)
	ti := newFakeTier(c, ex)
	fi := NewFaultInjector(timer.New(), ti, ex)
	apply := func(ix int, fs FaultSpec) {
		c.Helper()
		c.Assert(fi.Apply(t.Context(), Step{Index: ix, Fault: fs.Fault()}), qt.IsNil)
	}
	holdings := func(server string) []backend.Holding { return ti.ls.running[server].Record().Holdings }
	first := snapshot.ID{Partition: 1, Version: 1}

	apply(0, FaultSpec{Kind: Slow, Service: "archivo", Share: 0.5, Factor: 3})
	apply(1, FaultSpec{Kind: Stuck, Service: "archivo", Shard: 2, Replica: 1})
	c.Assert(ti.ls.running["archivo-s02-r1"].Faults(), qt.Equals, leaf.Faults{SlowShare: 0.5, SlowFactor: 3, Stuck: true})
	c.Assert(ti.ls.running["archivo-s02-r2"].Faults(), qt.Equals, leaf.Faults{SlowShare: 0.5, SlowFactor: 3})
	c.Assert(ti.ls.running["desk-01-s02-r1"].Faults(), qt.Equals, leaf.Faults{})

	var re backend.Reply
	rq := backend.Request{RequestID: "k/s01", Shard: "s01", Snapshot: first, Key: "k", Query: json.RawMessage(`1`)}
	c.Assert(fi.post(t.Context(), ti.ls.running["archivo-s01-r2"].Address(), backend.QueryPath, rq, &re), qt.IsNil)
	c.Assert(re.Code, qt.Equals, backend.ReplyOK)
	apply(2, FaultSpec{Kind: Lost, Service: "archivo", Shard: 1, Replica: 2})
	apply(3, FaultSpec{Kind: Repartition, Service: "archivo"})
	apply(4, FaultSpec{Kind: NewVersion, Service: "archivo", Stagger: time.Millisecond})
	split, newer := snapshot.ID{Partition: 2, Version: 2}, snapshot.ID{Partition: 2, Version: 3}
	c.Assert(holdings("archivo-s01-r1"), qt.DeepEquals, []backend.Holding{
		{Shard: "s01", Snapshot: first},
		{Shard: "s01a", Snapshot: split},
		{Shard: "s01b", Snapshot: split},
		{Shard: "s01a", Snapshot: newer},
		{Shard: "s01b", Snapshot: newer},
	})
	c.Assert(holdings("desk-01-s01-r1"), qt.DeepEquals, []backend.Holding{{Shard: "s01", Snapshot: first}})
	c.Assert(ti.ls.Servers(), qt.HasLen, len(ex.Servers())-1)

	c.Assert(fi.ClearFaults(t.Context()), qt.IsNil)
	c.Assert(ti.ls.running["archivo-s02-r1"].Faults(), qt.Equals, leaf.Faults{})
	c.Assert(slices.Contains(holdings("archivo-s01-r2"), backend.Holding{Shard: "s01b", Snapshot: newer}), qt.IsTrue)
	counts, err := fi.Counts(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(counts, qt.HasLen, len(ex.Servers()))
	c.Assert(counts["archivo-s01-r2"].Executed, qt.DeepEquals, map[string]int{"k": 1}, qt.Commentf("executions before the kill must be counted"))

	err = fi.Apply(t.Context(), Step{Fault: InstanceLoss{Number: 1}})
	c.Assert(err, qt.ErrorMatches, "kill failed")
}

func TestWriteTable(t *testing.T) {
	c := qt.New(t)
	ex := smallExperiment(c)
	line := func(phase, arm string, p99 int64) Line {
		ce := newCell()
		ce.loadTime = 10 * time.Second
		for ix := range 100 {
			sa := sample{call: Call{Deadline: 300 * time.Millisecond}, service: ex.Services[0], intended: time.Unix(0, 0), sent: time.Unix(0, 50_000)}
			sa.done = time.Unix(0, int64(ix+1)*p99*10)
			sa.outcome.Word.Answer = fanout.Answer{Covered: []string{"s01", "s02", "s03"}, Cost: fanout.Cost{LeafRequests: 3}}
			switch ix {
			case 0:
				sa.outcome.Word.Answer = fanout.Answer{Code: result.NotRunOverloaded}
			case 1:
				sa.outcome.Word = Attempt{Sent: true, Err: errors.New("cut")}
			case 2:
				an := &sa.outcome.Word.Answer
				an.Code, an.Covered = result.Incomplete, an.Covered[:2]
				an.Missing = []fanout.MissingShard{{Shard: "s03", Reason: "Deadline"}}
				an.Cost = fanout.Cost{LeafRequests: 4, Retries: 1, Extra: 1}
			}
			sa.outcome.Attempts = []Attempt{sa.outcome.Word}
			ce.add(sa, ix%2, 0)
		}
		return ce.line(phase, arm, "archivo", serverCounts{requests: 300, sheds: 3})
	}
	re := Report{Experiment: "small", Seed: 1, Machine: Machine{Processors: 12, GoVersion: "go1.26", LoadBefore: 0.5}}
	re.Lines = []Line{
		line("quiet", "adaptive", 30_000), line("quiet", "baseline", 30_000),
		line("trouble", "adaptive", 36_000), line("trouble", "baseline", 360_000),
	}
	re.Lines[2].Capacity = 20
	re.Ratios = ex.ratios(re.Lines)
	re.Promises = Promises{Keys: 7, Ran: 6, RanTwice: 1}
	re.Breaches = []Breach{{Kind: Mixed, RequestID: "q1", Detail: "a row of shard s01 is from snapshot 1.2, the answer from 1.1"}}
	re.Losses = []string{"adaptive-1-0-ab after 1.3s: unexpected EOF"}
	re.Skipped = []string{"load.Loss at 500ms: refused"}
	re.Dropped = 2
	var out bytes.Buffer
	c.Assert(re.WriteTable(&out), qt.IsNil)
	checkGolden(c, "report.txt", out.Bytes())
}
