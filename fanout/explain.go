package fanout

import (
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"balsamwinch.example/result"
	"balsamwinch.example/snapshot"
)

// Explained says why an answer was less than complete.
type IncompleteAnswer struct {
	When             time.Time
	RequestID        string
	Service          string
	Code             result.Code
	Detail           string
	Snapshot         snapshot.ID
	Covered          []string       // Covered are the shards with rows.
	Missing          []MissingShard // Missing are the shards without rows and their reasons.
	RetryAfterMillis int64
	Cost             Cost
}

// recentAnswers is how many answers Recent remembers.
const recentAnswers = 256

// recent is a ring of the last answers that were less than complete.
type recent struct {
	next atomic.Uint64
	ring [recentAnswers]atomic.Pointer[IncompleteAnswer]
}

func (re *recent) add(ex *IncompleteAnswer) {
	re.ring[(re.next.Add(1)-1)%recentAnswers].Store(ex)
}

// Recent returns the last answers that were refused or less than complete, the
// newest first.
func (en *Engine) RecentIncomplete() []IncompleteAnswer {
	var exs []IncompleteAnswer
	for ix := range en.recent.ring {
		if ex := en.recent.ring[ix].Load(); ex != nil {
			exs = append(exs, *ex)
		}
	}
	slices.SortStableFunc(exs, func(aa, bb IncompleteAnswer) int { return bb.When.Compare(aa.When) })
	return exs
}

// Bounds of the log of single answers.
const (
	logsPerSecond = 5
	logsBurst     = 20
	// slowShare is the part of its time after which a complete answer is slow.
	slowNum, slowDen = 3, 4
)

// logLimit bounds the lines for single answers, which come by the thousand when
// something fails, and counts what it leaves out.
type logLimit struct {
	li      *rate.Limiter
	omitted atomic.Int64
}

func (ll *logLimit) init() {
	ll.li = rate.NewLimiter(logsPerSecond, logsBurst)
}

// allow reports whether a line may be written, and how many were left out since
// the last.
func (ll *logLimit) allow(now time.Time) (omitted int64, ok bool) {
	if !ll.li.AllowN(now, 1) {
		ll.omitted.Add(1)
		return 0, false
	}
	return ll.omitted.Swap(0), true
}

// observe counts an answer, and remembers and logs one that is less than
// complete or slow. A service that no configuration names is not counted, or
// callers could make any number of series.
func (en *Engine) observe(rn *run, start time.Time, an *Answer) {
	if rn.sv != nil {
		rn.sv.me.add(an)
	}
	elapsed := time.Duration(an.Cost.Micros) * time.Microsecond
	now := start.Add(elapsed)
	if an.Code != result.Complete {
		en.recent.add(&IncompleteAnswer{
			When: now, RequestID: an.RequestID, Service: rn.qu.Service, Code: an.Code, Detail: an.Detail,
			Snapshot: an.Snapshot, Covered: an.Covered, Missing: an.Missing,
			RetryAfterMillis: an.RetryAfterMillis, Cost: an.Cost,
		})
	}
	if event := logEvent(rn, an, elapsed); event != "" {
		en.logAnswer(event, rn.qu, now, an)
	}
}

// logEvent returns the name of the line for an answer, or nothing.
func logEvent(rn *run, an *Answer, elapsed time.Duration) string {
	switch {
	case an.Code.NotRun():
		return ""
	case an.Code != result.Complete:
		return "query.incomplete"
	case elapsed*slowDen > rn.ru.AnswerDeadline.Sub(rn.ru.Start)*slowNum:
		return "query.slow"
	default:
		return ""
	}
}

func (en *Engine) logAnswer(event string, qu *Query, now time.Time, an *Answer) {
	omitted, ok := en.slow.allow(now)
	if !ok {
		return
	}
	en.lg.Warn(event,
		zap.String("RequestID", an.RequestID),
		zap.String("Service", qu.Service),
		zap.Stringer("Code", an.Code),
		zap.String("Detail", an.Detail),
		zap.Stringer("Snapshot", an.Snapshot),
		zap.Int("Covered", len(an.Covered)),
		zap.Any("Missing", an.Missing),
		zap.Any("Cost", an.Cost),
		zap.Int64("Omitted", omitted),
	)
}
