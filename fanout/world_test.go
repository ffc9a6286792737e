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

// TestMain fixes the seed of the random tests, so that each run gives the same
// verdict. A longer search takes another one: -rapid.seed=7 -rapid.checks=10000.
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

// rowOf is the row that a server gives for a shard of a snapshot.
func rowOf(id snapshot.ID, sh string) []json.RawMessage {
	return []json.RawMessage{json.RawMessage(fmt.Sprintf("%q", id.String()+"/"+sh))}
}

// world plays the executor, the servers and the network for one query. It draws
// what becomes of each attempt, and keeps the book on what ran.
type world struct {
	rt     *rapid.T
	st     State
	now    time.Time
	queue  []Event // queue is what will happen, unsorted.
	armed  time.Time
	plan   snapshot.Coverage
	fates  []string
	ran    map[string]int
	maybe  map[string]bool // maybe are the shards that may have begun by what Step was told.
	unran  map[int]string  // unran are the shards of attempts that surely did not begin.
	answer *Answer
	end    time.Time
}

func (wo *world) chance(label string, percent int) bool {
	return rapid.IntRange(0, 99).Draw(wo.rt, label) >= 100-percent
}

func (wo *world) later(label string) time.Time {
	return wo.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 3, 12, 25, 60, 150}).Draw(wo.rt, label)) * time.Millisecond)
}

func (wo *world) step(ev Event) {
	var acts []Action
	was := wo.st
	wo.st, acts = Step(was, ev)
	for _, ac := range acts {
		if wo.answer != nil {
			wo.rt.Fatalf("%T after Finish", ac)
		}
		switch ac := ac.(type) {
		case SendAttempt:
			wo.ask(ac)
		case CancelAttempt:
			wo.cancel(ac.Attempt)
		case Replan:
			wo.replan(ac.Newer)
		case SetTimer:
			wo.armed = ac.At
		case Finish:
			wo.answer = &ac.Answer
			wo.end = wo.now
		}
	}
}

// ask draws what becomes of an attempt.
func (wo *world) ask(ac SendAttempt) {
	if wo.st.ru.Tactics == operator.Baseline && ac.Kind == Hedge || !wo.st.ru.Repeatable && ac.Kind == Hedge {
		wo.rt.Fatalf("hedge of %s", ac.Shard)
	}
	if ac.Snapshot != wo.plan.Snapshot {
		wo.rt.Fatalf("asked for %s while %s is pinned", ac.Snapshot, wo.plan.Snapshot)
	}
	switch {
	case wo.chance("not sent", 8):
		wo.queue = append(wo.queue, NoServerAvailable{Now: wo.now, Attempt: ac.Attempt, AvailableLater: wo.chance("able", 70), Unresponsive: wo.chance("doubted", 50), RetryDelay: 2 * time.Millisecond})
		return
	case ac.BudgetUse == BudgetRequired && wo.chance("no budget", 40):
		wo.queue = append(wo.queue, BudgetExhausted{Now: wo.now, Attempt: ac.Attempt})
		return
	}
	if !wo.st.ru.Repeatable && wo.maybe[ac.Shard] {
		wo.rt.Fatalf("shard %s was sent again although it may have begun", ac.Shard)
	}
	wo.fate(ac)
}

func (wo *world) fate(ac SendAttempt) {
	sh := ac.Shard
	rp := backend.Reply{RequestID: ac.RequestID, Server: "s", Shard: sh, Snapshot: ac.Snapshot, Code: backend.ReplyOK, Rows: rowOf(ac.Snapshot, sh)}
	failed := AttemptFailed{Now: wo.later("when"), Attempt: ac.Attempt, Sent: true}
	wo.maybe[sh] = true
	switch rapid.SampledFrom(wo.fates).Draw(wo.rt, "fate") {
	case "doubled":
		wo.reply(ac, rp)
		wo.reply(ac, rp)
		wo.ran[sh]++
	case "not run":
		rp.Code = rapid.SampledFrom([]backend.ReplyCode{backend.ReplyShed, backend.ReplyDraining, backend.ReplyVersionGone, backend.ReplyWrongShard, backend.ReplyBad}).Draw(wo.rt, "code")
		wo.unran[ac.Attempt.Number] = sh
		wo.reply(ac, rp)
	case "ran":
		rp.Code = rapid.SampledFrom([]backend.ReplyCode{backend.ReplyFailed, backend.ReplyDeadlinePassed, backend.ReplyCancelled}).Draw(wo.rt, "code")
		wo.ran[sh]++
		wo.reply(ac, rp)
	case "crossed":
		wo.ran[sh]++
		rp.Code = rapid.SampledFrom([]backend.ReplyCode{backend.ReplyOK, backend.ReplyShed}).Draw(wo.rt, "code")
		switch rapid.IntRange(0, 2).Draw(wo.rt, "field") {
		case 0:
			rp.RequestID += "0"
		case 1:
			rp.Server = "t"
		case 2:
			rp.Shard += "0"
		}
		rp.Rows = rowOf(snapshot.ID{}, "of another query")
		wo.reply(ac, rp)
	case "other snapshot":
		wo.ran[sh]++
		rp.Snapshot.Version--
		rp.Rows = rowOf(rp.Snapshot, sh)
		wo.reply(ac, rp)
	case "cut":
		failed.Kind = rapid.SampledFrom([]backend.ErrorKind{backend.Cut, backend.Silent, backend.Crossed, backend.Malformed}).Draw(wo.rt, "kind")
		wo.ran[sh]++
		wo.queue = append(wo.queue, failed)
	case "unsent":
		failed.Kind = rapid.SampledFrom([]backend.ErrorKind{backend.DialFailed, backend.NoConnection}).Draw(wo.rt, "kind")
		failed.Sent = false
		wo.unran[ac.Attempt.Number] = sh
		wo.queue = append(wo.queue, failed)
	case "silent":
		wo.ran[sh]++
	default:
		wo.ran[sh]++
		wo.reply(ac, rp)
	}
}

func (wo *world) reply(ac SendAttempt, rp backend.Reply) {
	wo.queue = append(wo.queue, Replied{Now: wo.later("when"), Attempt: ac.Attempt, Server: "s", Reply: rp})
}

// cancel lets some attempts reply all the same.
func (wo *world) cancel(at Attempt) {
	if wo.chance("cancel is late", 50) {
		return
	}
	wo.queue = append(wo.queue, AttemptFailed{Now: wo.now, Attempt: at, Kind: backend.Cancelled, Sent: true})
}

func (wo *world) replan(newer snapshot.ID) {
	if wo.chance("no plan", 40) {
		return
	}
	plan := wo.draw(newer.Version + 1)
	if before := wo.st.plan.Snapshot; before != newer {
		wo.rt.Fatalf("replan from %s, pinned %s", newer, before)
	}
	wo.queue = append(wo.queue, PlanReady{Now: wo.now, Plan: plan})
}

// draw draws a plan of one of two partition maps, with shards that nobody holds.
func (wo *world) draw(version uint64) snapshot.Coverage {
	maps := [][]string{{"a", "b", "c", "d"}, {"a", "b", "c1", "c2", "d1", "d2", "d3", "e", "f", "g"}}
	pa := rapid.IntRange(0, 1).Draw(wo.rt, "partition")
	co := snapshot.Coverage{Snapshot: snapshot.ID{Partition: uint64(pa), Version: version}, Shards: maps[pa]}
	for _, sh := range co.Shards {
		if wo.chance("unheld", 4) {
			co.Missing = append(co.Missing, sh)
		}
	}
	return co
}

// run plays the query to its answer.
func (wo *world) run() {
	wo.queue = append(wo.queue, PlanReady{Now: epoch, Plan: wo.plan})
	if wo.chance("caller goes", 10) {
		wo.queue = append(wo.queue, CallerGone{Now: wo.later("goes")})
	}
	for steps := 0; wo.answer == nil; steps++ {
		if steps > 5000 {
			wo.rt.Fatalf("no end")
		}
		ev := wo.next()
		if ev == nil {
			wo.rt.Fatalf("nothing happens any more and no answer is given")
		}
		wo.now = ev.when()
		switch ev := ev.(type) {
		case Replied:
			delete(wo.maybe, wo.unran[ev.Attempt.Number])
		case AttemptFailed:
			delete(wo.maybe, wo.unran[ev.Attempt.Number])
		}
		if st, ok := ev.(PlanReady); ok {
			wo.started(st)
			continue
		}
		wo.step(ev)
	}
}

// started steps a plan and notes whether it was taken.
func (wo *world) started(ev PlanReady) {
	was := wo.plan
	wo.plan = ev.Plan
	restarts := wo.st.cost.Restarts
	if wo.st.plan.Shards != nil {
		if probe, _ := Step(wo.st, ev); probe.cost.Restarts == restarts {
			wo.plan = was
		}
	}
	wo.step(ev)
}

// next takes the earliest event, or Due if that is earlier.
func (wo *world) next() Event {
	best := -1
	for ix, ev := range wo.queue {
		if best < 0 || ev.when().Before(wo.queue[best].when()) {
			best = ix
		}
	}
	if best < 0 || !wo.armed.IsZero() && wo.armed.Before(wo.queue[best].when()) {
		if wo.armed.IsZero() {
			return nil
		}
		return TimerFired{Now: wo.armed}
	}
	ev := wo.queue[best]
	wo.queue = slices.Delete(wo.queue, best, best+1)
	if ev.when().Before(wo.now) {
		wo.rt.Fatalf("%T in the past", ev)
	}
	return ev
}

// check holds the answer against the book.
func (wo *world) check() {
	an := wo.answer
	fail := func(format string, args ...any) {
		wo.rt.Fatalf("%s: %+v ran %v", fmt.Sprintf(format, args...), *an, wo.ran)
	}
	if wo.end.After(wo.st.ru.AnswerDeadline) {
		fail("answered %s after the end", wo.end.Sub(wo.st.ru.AnswerDeadline))
	}
	if an.Snapshot != wo.plan.Snapshot {
		fail("want snapshot %s", wo.plan.Snapshot)
	}
	var said []string
	for ix, sr := range an.Rows {
		if ix >= len(an.Covered) || an.Covered[ix] != sr.Shard {
			fail("rows and covered shards differ")
		}
		if got, want := string(sr.Rows[0]), string(rowOf(an.Snapshot, sr.Shard)[0]); got != want {
			fail("row %s where %s belongs", got, want)
		}
	}
	said = append(said, an.Covered...)
	for _, mi := range an.Missing {
		if mi.Reason == "" {
			fail("no reason for %s", mi.Shard)
		}
		said = append(said, mi.Shard)
	}
	all := slices.Clone(wo.plan.Shards)
	slices.Sort(all)
	if slices.Sort(said); !slices.Equal(all, said) || len(an.Rows) != len(an.Covered) {
		fail("want each of %v once", all)
	}
	if (an.Code == result.Complete) != (len(an.Missing) == 0) {
		fail("complete or not")
	}
	if an.Code.NotRun() && len(wo.ran) > 0 {
		fail("not run, although a server ran it")
	}
	if wo.st.ru.Repeatable {
		return
	}
	unknown := false
	for sh, count := range wo.ran {
		if count > 1 {
			fail("shard %s ran %d times", sh, count)
		}
		why := slices.IndexFunc(an.Missing, func(mi MissingShard) bool { return mi.Shard == sh })
		unknown = unknown || why >= 0 && an.Missing[why].Reason != Failed
	}
	if unknown && an.Code != result.OutcomeUnknown {
		fail("want OutcomeUnknown")
	}
}

// weathers are what may become of attempts, with weights by repetition.
var weathers = [][]string{
	{"ok", "ok", "ok", "ok", "doubled", "not run", "ran", "crossed", "other snapshot", "cut", "unsent", "silent"},
	{"not run", "not run", "not run", "unsent", "unsent"},
	{"ok", "ok", "ok", "ok", "ok", "ok", "ok", "not run", "unsent"},
	{"not run", "not run", "unsent", "crossed", "silent"},
}

// TestStepProperty plays queries against servers that change versions and maps
// and a network that delays, doubles, crosses and cuts. Whatever happens, the
// answer is of one snapshot, claims no more than was merged, comes in time, says
// "not run" only if nothing ran, and a request that must not be repeated runs
// once on each shard at most.
func TestStepProperty(t *testing.T) {
	codes := make(map[result.Code]int)
	rapid.Check(t, func(rt *rapid.T) {
		wo := &world{rt: rt, now: epoch, ran: make(map[string]int), maybe: make(map[string]bool), unran: make(map[int]string)}
		wo.fates = rapid.SampledFrom(weathers).Draw(rt, "weather")
		wo.st = NewState(Params{
			RequestIDPrefix: "q",
			Start:           epoch,
			AnswerDeadline:  at(rapid.SampledFrom([]int{5, 100, 400}).Draw(rt, "finish")),
			HedgeDelay:      10 * time.Millisecond,
			Policy:          rapid.SampledFrom([]operator.Policy{operator.Complete, operator.Best}).Draw(rt, "policy"),
			Tactics:         rapid.SampledFrom([]operator.Tactics{operator.Adaptive, operator.Adaptive, operator.Baseline}).Draw(rt, "tactics"),
			Repeatable:      rapid.Bool().Draw(rt, "repeatable"),
		})
		wo.plan = wo.draw(1)
		wo.run()
		wo.check()
		codes[wo.answer.Code]++
	})
	t.Log(codes)
}
