package fanout

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
	"balsamwinch.example/result"
	"balsamwinch.example/snapshot"
)

// TestMain fixes the seed of the property tests, so that each run gives the
// same result. For a longer search set another one: -rapid.seed=7
// -rapid.checks=10000.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "3000"} {
		if fl := flag.Lookup(name); fl.Value.String() == fl.DefValue {
			_ = fl.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// rowOf returns the row that a server returns for a shard of a snapshot.
func rowOf(id snapshot.ID, sh string) []json.RawMessage {
	return []json.RawMessage{json.RawMessage(fmt.Sprintf("%q", id.String()+"/"+sh))}
}

// simulation simulates the executor, the servers and the network for one query.
// It draws the outcome of each attempt and records what ran.
type simulation struct {
	rt          *rapid.T
	st          State
	now         time.Time
	events      []Event // pending events, unsorted
	timerAt     time.Time
	plan        snapshot.Coverage
	outcomes    []string
	ran         map[string]int
	possiblyRun map[string]bool // shards that may have begun as far as Step was told
	notRun      map[int]string  // attempt number to shard, for attempts that certainly did not begin
	answer      *Answer
	answeredAt  time.Time
}

func (si *simulation) chance(label string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(si.rt, label) >= 100-percent
}

func (si *simulation) drawTime(label string) time.Time {
	return si.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 3, 12, 25, 60, 150}).Draw(si.rt, label)) * time.Millisecond)
}

func (si *simulation) step(ev Event) {
	var acts []Action
	before := si.st
	si.st, acts = Step(before, ev)
	for _, ac := range acts {
		if si.answer != nil {
			si.rt.Fatalf("%T after Finish", ac)
		}
		switch ac := ac.(type) {
		case SendAttempt:
			si.sendAttempt(ac)
		case CancelAttempt:
			si.cancel(ac.Attempt)
		case Replan:
			si.replan(ac.Newer)
		case SetTimer:
			si.timerAt = ac.At
		case Finish:
			si.answer = &ac.Answer
			si.answeredAt = si.now
		}
	}
}

// sendAttempt draws the outcome of an attempt.
func (si *simulation) sendAttempt(ac SendAttempt) {
	if si.st.params.Tactics == operator.Baseline && ac.Kind == Hedge || !si.st.params.Repeatable && ac.Kind == Hedge {
		si.rt.Fatalf("hedge of %s", ac.Shard)
	}
	if ac.Snapshot != si.plan.Snapshot {
		si.rt.Fatalf("attempt on %s while %s is pinned", ac.Snapshot, si.plan.Snapshot)
	}
	switch {
	case si.chance("not sent", 8):
		si.events = append(si.events, NoServerAvailable{Now: si.now, Attempt: ac.Attempt, AvailableLater: si.chance("available later", 70), Unresponsive: si.chance("unresponsive", 50), RetryDelay: 2 * time.Millisecond})
		return
	case ac.BudgetUse == BudgetRequired && si.chance("no budget", 40):
		si.events = append(si.events, BudgetExhausted{Now: si.now, Attempt: ac.Attempt})
		return
	}
	if !si.st.params.Repeatable && si.possiblyRun[ac.Shard] {
		si.rt.Fatalf("shard %s was sent again although it may have begun", ac.Shard)
	}
	si.endAttempt(ac)
}

func (si *simulation) endAttempt(ac SendAttempt) {
	sh := ac.Shard
	rp := backend.Reply{RequestID: ac.RequestID, Server: "s", Shard: sh, Snapshot: ac.Snapshot, Code: backend.ReplyOK, Rows: rowOf(ac.Snapshot, sh)}
	failed := AttemptFailed{Now: si.drawTime("when"), Attempt: ac.Attempt, Sent: true}
	si.possiblyRun[sh] = true
	switch rapid.SampledFrom(si.outcomes).Draw(si.rt, "outcome") {
	case "duplicated":
		si.reply(ac, rp)
		si.reply(ac, rp)
		si.ran[sh]++
	case "not run":
		rp.Code = rapid.SampledFrom([]backend.ReplyCode{backend.ReplyShed, backend.ReplyDraining, backend.ReplyVersionGone, backend.ReplyWrongShard, backend.ReplyBad}).Draw(si.rt, "code")
		si.notRun[ac.Attempt.Number] = sh
		si.reply(ac, rp)
	case "ran":
		rp.Code = rapid.SampledFrom([]backend.ReplyCode{backend.ReplyFailed, backend.ReplyDeadlinePassed, backend.ReplyCancelled}).Draw(si.rt, "code")
		si.ran[sh]++
		si.reply(ac, rp)
	case "wrong identity":
		si.ran[sh]++
		rp.Code = rapid.SampledFrom([]backend.ReplyCode{backend.ReplyOK, backend.ReplyShed}).Draw(si.rt, "code")
		switch rapid.IntRange(0, 2).Draw(si.rt, "field") {
		case 0:
			rp.RequestID += "0"
		case 1:
			rp.Server = "t"
		case 2:
			rp.Shard += "0"
		}
		rp.Rows = rowOf(snapshot.ID{}, "of another query")
		si.reply(ac, rp)
	case "other snapshot":
		si.ran[sh]++
		rp.Snapshot.Version--
		rp.Rows = rowOf(rp.Snapshot, sh)
		si.reply(ac, rp)
	case "cut":
		failed.Kind = rapid.SampledFrom([]backend.ErrorKind{backend.Cut, backend.Silent, backend.Crossed, backend.Malformed}).Draw(si.rt, "kind")
		si.ran[sh]++
		si.events = append(si.events, failed)
	case "unsent":
		failed.Kind = rapid.SampledFrom([]backend.ErrorKind{backend.DialFailed, backend.NoConnection}).Draw(si.rt, "kind")
		failed.Sent = false
		si.notRun[ac.Attempt.Number] = sh
		si.events = append(si.events, failed)
	case "silent":
		si.ran[sh]++
	default:
		si.ran[sh]++
		si.reply(ac, rp)
	}
}

func (si *simulation) reply(ac SendAttempt, rp backend.Reply) {
	si.events = append(si.events, Replied{Now: si.drawTime("when"), Attempt: ac.Attempt, Server: "s", Reply: rp})
}

// cancel cancels an attempt; some attempts reply nevertheless.
func (si *simulation) cancel(at Attempt) {
	if si.chance("cancel is late", 50) {
		return
	}
	si.events = append(si.events, AttemptFailed{Now: si.now, Attempt: at, Kind: backend.Cancelled, Sent: true})
}

func (si *simulation) replan(newer snapshot.ID) {
	if si.chance("no plan", 40) {
		return
	}
	plan := si.drawPlan(newer.Version + 1)
	if before := si.st.plan.Snapshot; before != newer {
		si.rt.Fatalf("replan from %s, pinned %s", newer, before)
	}
	si.events = append(si.events, PlanReady{Now: si.now, Plan: plan})
}

// drawPlan draws a plan of one of two partition maps, with some shards that no
// server holds.
func (si *simulation) drawPlan(version uint64) snapshot.Coverage {
	maps := [][]string{{"a", "b", "c", "d"}, {"a", "b", "c1", "c2", "d1", "d2", "d3", "e", "f", "g"}}
	pa := rapid.IntRange(0, 1).Draw(si.rt, "partition")
	co := snapshot.Coverage{Snapshot: snapshot.ID{Partition: uint64(pa), Version: version}, Shards: maps[pa]}
	for _, sh := range co.Shards {
		if si.chance("unheld", 4) {
			co.Missing = append(co.Missing, sh)
		}
	}
	return co
}

// run simulates the query until its answer.
func (si *simulation) run() {
	si.events = append(si.events, PlanReady{Now: epoch, Plan: si.plan})
	if si.chance("caller disconnects", 10) {
		si.events = append(si.events, CallerGone{Now: si.drawTime("disconnect time")})
	}
	for steps := 0; si.answer == nil; steps++ {
		if steps > 5000 {
			si.rt.Fatalf("no answer after 5000 steps")
		}
		ev := si.next()
		if ev == nil {
			si.rt.Fatalf("no event or timer is pending and no answer was given")
		}
		si.now = ev.when()
		switch ev := ev.(type) {
		case Replied:
			delete(si.possiblyRun, si.notRun[ev.Attempt.Number])
		case AttemptFailed:
			delete(si.possiblyRun, si.notRun[ev.Attempt.Number])
		}
		if pr, ok := ev.(PlanReady); ok {
			si.planReady(pr)
			continue
		}
		si.step(ev)
	}
}

// planReady steps a plan event and records whether the plan was used.
func (si *simulation) planReady(ev PlanReady) {
	before := si.plan
	si.plan = ev.Plan
	restarts := si.st.cost.Restarts
	if si.st.plan.Shards != nil {
		if next, _ := Step(si.st, ev); next.cost.Restarts == restarts {
			si.plan = before
		}
	}
	si.step(ev)
}

// next removes and returns the earliest event, or TimerFired if that is
// earlier.
func (si *simulation) next() Event {
	best := -1
	for ix, ev := range si.events {
		if best < 0 || ev.when().Before(si.events[best].when()) {
			best = ix
		}
	}
	if best < 0 || !si.timerAt.IsZero() && si.timerAt.Before(si.events[best].when()) {
		if si.timerAt.IsZero() {
			return nil
		}
		return TimerFired{Now: si.timerAt}
	}
	ev := si.events[best]
	si.events = slices.Delete(si.events, best, best+1)
	if ev.when().Before(si.now) {
		si.rt.Fatalf("%T in the past", ev)
	}
	return ev
}

// check compares the answer with what ran.
func (si *simulation) check() {
	an := si.answer
	fail := func(format string, args ...any) {
		si.rt.Fatalf("%s: %+v ran %v", fmt.Sprintf(format, args...), *an, si.ran)
	}
	if si.answeredAt.After(si.st.params.AnswerDeadline) {
		fail("answered %s after the deadline", si.answeredAt.Sub(si.st.params.AnswerDeadline))
	}
	if an.Snapshot != si.plan.Snapshot {
		fail("want snapshot %s", si.plan.Snapshot)
	}
	var reported []string
	for ix, sr := range an.Rows {
		if ix >= len(an.Covered) || an.Covered[ix] != sr.Shard {
			fail("rows and covered shards differ")
		}
		if got, want := string(sr.Rows[0]), string(rowOf(an.Snapshot, sr.Shard)[0]); got != want {
			fail("row %s where %s belongs", got, want)
		}
	}
	reported = append(reported, an.Covered...)
	for _, mi := range an.Missing {
		if mi.Reason == "" {
			fail("no reason for %s", mi.Shard)
		}
		reported = append(reported, mi.Shard)
	}
	all := slices.Clone(si.plan.Shards)
	slices.Sort(all)
	if slices.Sort(reported); !slices.Equal(all, reported) || len(an.Rows) != len(an.Covered) {
		fail("want each of %v once", all)
	}
	if (an.Code == result.Complete) != (len(an.Missing) == 0) {
		fail("code and missing shards disagree")
	}
	if an.Code.NotRun() && len(si.ran) > 0 {
		fail("not run, although a server ran it")
	}
	if si.st.params.Repeatable {
		return
	}
	unknown := false
	for sh, count := range si.ran {
		if count > 1 {
			fail("shard %s ran %d times", sh, count)
		}
		index := slices.IndexFunc(an.Missing, func(mi MissingShard) bool { return mi.Shard == sh })
		unknown = unknown || index >= 0 && an.Missing[index].Reason != Failed
	}
	if unknown && an.Code != result.OutcomeUnknown {
		fail("want OutcomeUnknown")
	}
}

// outcomeMixes are sets of attempt outcomes, weighted by repetition.
var outcomeMixes = [][]string{
	{"ok", "ok", "ok", "ok", "duplicated", "not run", "ran", "wrong identity", "other snapshot", "cut", "unsent", "silent"},
	{"not run", "not run", "not run", "unsent", "unsent"},
	{"ok", "ok", "ok", "ok", "ok", "ok", "ok", "not run", "unsent"},
	{"not run", "not run", "unsent", "wrong identity", "silent"},
}

// TestStepInvariants simulates queries against servers that change versions and
// partition maps, over a network that delays, duplicates, swaps and cuts
// replies. In all cases the answer is of one snapshot, claims no more than was
// merged, comes in time and says "not run" only if nothing ran, and a request
// that must not be repeated runs at most once on each shard.
func TestStepInvariants(t *testing.T) {
	codes := make(map[result.Code]int)
	rapid.Check(t, func(rt *rapid.T) {
		si := &simulation{rt: rt, now: epoch, ran: make(map[string]int), possiblyRun: make(map[string]bool), notRun: make(map[int]string)}
		si.outcomes = rapid.SampledFrom(outcomeMixes).Draw(rt, "outcome mix")
		si.st = NewState(Params{
			RequestIDPrefix: "q",
			Start:           epoch,
			AnswerDeadline:  at(rapid.SampledFrom([]int{5, 100, 400}).Draw(rt, "answer deadline")),
			HedgeDelay:      10 * time.Millisecond,
			Policy:          rapid.SampledFrom([]operator.Policy{operator.Complete, operator.Best}).Draw(rt, "policy"),
			Tactics:         rapid.SampledFrom([]operator.Tactics{operator.Adaptive, operator.Adaptive, operator.Baseline}).Draw(rt, "tactics"),
			Repeatable:      rapid.Bool().Draw(rt, "repeatable"),
		})
		si.plan = si.drawPlan(1)
		si.run()
		si.check()
		codes[si.answer.Code]++
	})
	t.Log(codes)
}
