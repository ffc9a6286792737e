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

// TestStep replays testdata/step.txt. A line "> 12 ok 3" is an event: at 12 ms,
// attempt 3 replied OK. The lines after it are the actions that Step gave.
func TestStep(t *testing.T) {
	const file = "testdata/step.txt"
	data, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	var out strings.Builder
	var sc *script
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "rules "):
			sc = newScript(strings.Fields(line)[1:])
		case strings.HasPrefix(line, "> "):
			out.WriteString(line + "\n")
			sc.play(t, &out, strings.Fields(line)[1:])
			continue
		case line != "" && !strings.HasPrefix(line, "#"):
			continue // an action, to be written anew
		}
		out.WriteString(line + "\n")
	}
	if *update {
		qt.Assert(t, os.WriteFile(file, []byte(out.String()), 0o644), qt.IsNil)
		return
	}
	qt.Assert(t, out.String(), qt.Equals, string(data))
}

// script is one query that is replayed.
type script struct {
	st   State
	asks map[int]SendAttempt
}

// newScript takes the words Best, Complete, Baseline, once, and the end in ms.
// The hedge delay is 10 ms.
func newScript(words []string) *script {
	ru := Params{RequestIDPrefix: "q", Start: epoch, HedgeDelay: 10 * time.Millisecond, Policy: operator.Complete, Repeatable: true}
	for _, wo := range words {
		switch wo {
		case "Best", "Complete":
			ru.Policy = operator.Policy(wo)
		case "Baseline":
			ru.Tactics = operator.Baseline
		case "once":
			ru.Repeatable = false
		default:
			ms, _ := strconv.Atoi(wo)
			ru.AnswerDeadline = at(ms)
		}
	}
	return &script{st: NewState(ru), asks: make(map[int]SendAttempt)}
}

func (sc *script) play(t *testing.T, out *strings.Builder, words []string) {
	ms, err := strconv.Atoi(words[0])
	qt.Assert(t, err, qt.IsNil)
	var acts []Action
	sc.st, acts = Step(sc.st, sc.event(t, at(ms), words[1], words[2:]))
	for _, ac := range acts {
		switch ac := ac.(type) {
		case SendAttempt:
			sc.asks[ac.Attempt.Number] = ac
			words := []string{"First", "Retry", "Hedge"}[ac.Kind] + []string{"", " gated", " doubted", " owed"}[ac.BudgetUse]
			if ac.ExcludeTried {
				words += " elsewhere"
			}
			fmt.Fprintf(out, "ask %d %s %s %s\n", ac.Attempt.Number, ac.Shard, ac.Snapshot, words)
		case CancelAttempt:
			fmt.Fprintf(out, "cancel %d\n", ac.Attempt.Number)
		case Replan:
			fmt.Fprintf(out, "replan %s\n", ac.Newer)
		case SetTimer:
			fmt.Fprintf(out, "arm %d\n", ac.At.Sub(epoch).Milliseconds())
		case Finish:
			an := ac.Answer
			fmt.Fprintf(out, "finish %s %s covered %v missing %v again %d cost %+v\n", an.Code, an.Snapshot, an.Covered, an.Missing, an.RetryAfterMillis, an.Cost)
		}
	}
}

// replies and failures are the words for ends of attempts.
var (
	replies = map[string]backend.ReplyCode{
		"ok": backend.ReplyOK, "other": backend.ReplyOK, "crossed": backend.ReplyShed, "shed": backend.ReplyShed, "draining": backend.ReplyDraining,
		"gone": backend.ReplyVersionGone, "bad": backend.ReplyBad, "failed": backend.ReplyFailed, "expired": backend.ReplyDeadlinePassed,
	}
	failures = map[string]backend.ErrorKind{"cut": backend.Cut, "silent": backend.Silent, "refused": backend.DialFailed, "unconnected": backend.NoConnection}
)

func (sc *script) event(t *testing.T, now time.Time, word string, args []string) Event {
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
	case "due":
		return TimerFired{Now: now}
	case "caller-gone":
		return CallerGone{Now: now}
	}
	number, err := strconv.Atoi(args[0])
	qt.Assert(t, err, qt.IsNil)
	ask := sc.asks[number]
	switch word {
	case "room":
		return CapacityAvailable{Now: now, Shard: number}
	case "full":
		return NoServerAvailable{Now: now, Attempt: ask.Attempt, AvailableLater: true, RetryDelay: 5 * time.Millisecond}
	case "mute":
		return NoServerAvailable{Now: now, Attempt: ask.Attempt, AvailableLater: true, Unresponsive: true}
	case "lone":
		return NoServerAvailable{Now: now, Attempt: ask.Attempt, Unresponsive: true}
	case "nobody":
		return NoServerAvailable{Now: now, Attempt: ask.Attempt}
	case "broke":
		return BudgetExhausted{Now: now, Attempt: ask.Attempt}
	}
	if kind, ok := failures[word]; ok {
		return AttemptFailed{Now: now, Attempt: ask.Attempt, Kind: kind, Sent: kind == backend.Cut || kind == backend.Silent}
	}
	code, ok := replies[word]
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("event %q", word))
	rp := backend.Reply{RequestID: ask.RequestID, Server: "s", Shard: ask.Shard, Snapshot: ask.Snapshot, Code: code, Rows: rowOf(ask.Snapshot, ask.Shard)}
	switch word {
	case "other":
		rp.Snapshot.Version++
	case "crossed":
		rp.RequestID = "another"
	case "shed":
		rp.RetryAfterMillis = 30
	}
	return Replied{Now: now, Attempt: ask.Attempt, Server: "s", Reply: rp}
}
