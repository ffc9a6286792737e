package fanout

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
	"balsamwinch.example/snapshot"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestStepScenarios replays testdata/step.txt. A line "> 12 ok 3" is an event:
// at 12 ms, attempt 3 replied OK. The lines after it are the actions that Step
// returned.
func TestStepScenarios(t *testing.T) {
	const file = "testdata/step.txt"
	data, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	var out strings.Builder
	var sc *scenario
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "params "):
			sc = newScenario(strings.Fields(line)[1:])
		case strings.HasPrefix(line, "> "):
			out.WriteString(line + "\n")
			sc.apply(t, &out, strings.Fields(line)[1:])
			continue
		case line != "" && !strings.HasPrefix(line, "#"):
			continue // an action, written again below its event
		}
		out.WriteString(line + "\n")
	}
	if *update {
		qt.Assert(t, os.WriteFile(file, []byte(out.String()), 0o644), qt.IsNil)
		return
	}
	qt.Assert(t, out.String(), qt.Equals, string(data))
}

// scenario is one query being replayed.
type scenario struct {
	st       State
	attempts map[int]SendAttempt
}

// newScenario takes the words Best, Complete, Baseline, not-repeatable, and the
// deadline in ms. The hedge delay is 10 ms.
func newScenario(words []string) *scenario {
	pa := Params{RequestIDPrefix: "q", Start: epoch, HedgeDelay: 10 * time.Millisecond, Policy: operator.Complete, Repeatable: true}
	for _, si := range words {
		switch si {
		case "Best", "Complete":
			pa.Policy = operator.Policy(si)
		case "Baseline":
			pa.Tactics = operator.Baseline
		case "not-repeatable":
			pa.Repeatable = false
		default:
			ms, _ := strconv.Atoi(si)
			pa.AnswerDeadline = at(ms)
		}
	}
	return &scenario{st: NewState(pa), attempts: make(map[int]SendAttempt)}
}

func (sc *scenario) apply(t *testing.T, out *strings.Builder, words []string) {
	ms, err := strconv.Atoi(words[0])
	qt.Assert(t, err, qt.IsNil)
	var acts []Action
	sc.st, acts = Step(sc.st, sc.event(t, at(ms), words[1], words[2:]))
	for _, ac := range acts {
		switch ac := ac.(type) {
		case SendAttempt:
			sc.attempts[ac.Attempt.Number] = ac
			words := []string{"First", "Retry", "Hedge"}[ac.Kind] + []string{"", " budget-required", " budget-if-responsive", " budget-optional"}[ac.BudgetUse]
			if ac.ExcludeTried {
				words += " exclude-tried"
			}
			fmt.Fprintf(out, "send %d %s %s %s\n", ac.Attempt.Number, ac.Shard, ac.Snapshot, words)
		case CancelAttempt:
			fmt.Fprintf(out, "cancel %d\n", ac.Attempt.Number)
		case Replan:
			fmt.Fprintf(out, "replan %s\n", ac.Newer)
		case SetTimer:
			fmt.Fprintf(out, "timer %d\n", ac.At.Sub(epoch).Milliseconds())
		case Finish:
			an := ac.Answer
			fmt.Fprintf(out, "finish %s %s covered %v missing %v retry-after %d cost %+v\n", an.Code, an.Snapshot, an.Covered, an.Missing, an.RetryAfterMillis, an.Cost)
		}
	}
}

// replyWords and failureWords are the words for ends of attempts.
var (
	replyWords = map[string]backend.ReplyCode{
		"ok": backend.ReplyOK, "wrong-snapshot": backend.ReplyOK, "wrong-request": backend.ReplyShed, "shed": backend.ReplyShed, "draining": backend.ReplyDraining,
		"version-gone": backend.ReplyVersionGone, "bad": backend.ReplyBad, "failed": backend.ReplyFailed, "deadline-passed": backend.ReplyDeadlinePassed,
	}
	failureWords = map[string]backend.ErrorKind{"cut": backend.Cut, "silent": backend.Silent, "dial-failed": backend.DialFailed, "no-connection": backend.NoConnection}
)

func (sc *scenario) event(t *testing.T, now time.Time, word string, args []string) Event {
	switch word {
	case "plan":
		co := snapshot.Coverage{}
		_, err := fmt.Sscanf(args[0], "%d.%d", &co.Snapshot.Partition, &co.Snapshot.Version)
		qt.Assert(t, err, qt.IsNil)
		for _, sh := range args[1:] {
			name, unheld := strings.CutPrefix(sh, "-")
			co.Shards = append(co.Shards, name)
			if unheld {
				co.Missing = append(co.Missing, name)
			}
		}
		return PlanReady{Now: now, Plan: co}
	case "timer-fired":
		return TimerFired{Now: now}
	case "caller-gone":
		return CallerGone{Now: now}
	}
	number, err := strconv.Atoi(args[0])
	qt.Assert(t, err, qt.IsNil)
	sent := sc.attempts[number]
	switch word {
	case "capacity":
		return CapacityAvailable{Now: now, Shard: number}
	case "busy":
		return NoServerAvailable{Now: now, Attempt: sent.Attempt, AvailableLater: true, RetryDelay: 5 * time.Millisecond}
	case "busy-unresponsive":
		return NoServerAvailable{Now: now, Attempt: sent.Attempt, AvailableLater: true, Unresponsive: true}
	case "no-server-unresponsive":
		return NoServerAvailable{Now: now, Attempt: sent.Attempt, Unresponsive: true}
	case "no-server":
		return NoServerAvailable{Now: now, Attempt: sent.Attempt}
	case "no-budget":
		return BudgetExhausted{Now: now, Attempt: sent.Attempt}
	}
	if kind, ok := failureWords[word]; ok {
		return AttemptFailed{Now: now, Attempt: sent.Attempt, Kind: kind, Sent: kind == backend.Cut || kind == backend.Silent}
	}
	code, ok := replyWords[word]
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("event %q", word))
	rp := backend.Reply{RequestID: sent.RequestID, Server: "s", Shard: sent.Shard, Snapshot: sent.Snapshot, Code: code, Rows: rowOf(sent.Snapshot, sent.Shard)}
	switch word {
	case "wrong-snapshot":
		rp.Snapshot.Version++
	case "wrong-request":
		rp.RequestID = "another"
	case "shed":
		rp.RetryAfterMillis = 30
	}
	return Replied{Now: now, Attempt: sent.Attempt, Server: "s", Reply: rp}
}
