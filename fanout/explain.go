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

// IncompleteAnswer describes an answer that was refused or less than complete.
type IncompleteAnswer struct {
	When             time.Time
	RequestID        string
	Service          string
	Code             result.Code
	Detail           string
	Snapshot         snapshot.ID
	Covered          []string       // shards with rows
	Missing          []MissingShard // shards without rows, with their reasons
	RetryAfterMillis int64
	Cost             Cost
}

// maxRecentAnswers is the number of answers that RecentIncomplete keeps.
const maxRecentAnswers = 256

// answerRing is a ring buffer of the latest answers that were less than
// complete.
type answerRing struct {
	next atomic.Uint64
	ring [maxRecentAnswers]atomic.Pointer[IncompleteAnswer]
}

func (ar *answerRing) add(ia *IncompleteAnswer) {
	ar.ring[(ar.next.Add(1)-1)%maxRecentAnswers].Store(ia)
}

// RecentIncomplete returns the latest answers that were refused or less than
// complete, newest first.
func (en *Engine) RecentIncomplete() []IncompleteAnswer {
	var ias []IncompleteAnswer
	for ix := range en.recent.ring {
		if ia := en.recent.ring[ix].Load(); ia != nil {
			ias = append(ias, *ia)
		}
	}
	slices.SortStableFunc(ias, func(aa, bb IncompleteAnswer) int { return bb.When.Compare(aa.When) })
	return ias
}

// Limits of the log lines for single answers.
const (
	maxLogsPerSecond = 5
	maxLogsBurst     = 20
	// Fraction of its time after which a complete answer is logged as slow.
	slowNumerator, slowDenominator = 3, 4
)

// logLimiter limits log lines for single answers, which come by the thousand
// during a failure, and counts those it drops.
type logLimiter struct {
	li      *rate.Limiter
	omitted atomic.Int64
}

func (ll *logLimiter) init() {
	ll.li = rate.NewLimiter(maxLogsPerSecond, maxLogsBurst)
}

// allow reports whether a line may be written, and how many were dropped since
// the last one.
func (ll *logLimiter) allow(now time.Time) (omitted int64, ok bool) {
	if !ll.li.AllowN(now, 1) {
		ll.omitted.Add(1)
		return 0, false
	}
	return ll.omitted.Swap(0), true
}

// recordAnswer updates the metrics, and keeps and logs an answer that is less
// than complete or slow. Unconfigured services are not counted, because callers
// could otherwise create any number of metric series.
func (en *Engine) recordAnswer(qr *queryRun, start time.Time, an *Answer) {
	if qr.sv != nil {
		qr.sv.me.add(an)
	}
	elapsed := time.Duration(an.Cost.Micros) * time.Microsecond
	now := start.Add(elapsed)
	if an.Code != result.Complete {
		en.recent.add(&IncompleteAnswer{
			When: now, RequestID: an.RequestID, Service: qr.qu.Service, Code: an.Code, Detail: an.Detail,
			Snapshot: an.Snapshot, Covered: an.Covered, Missing: an.Missing,
			RetryAfterMillis: an.RetryAfterMillis, Cost: an.Cost,
		})
	}
	if event := logEvent(qr, an, elapsed); event != "" {
		en.logAnswer(event, qr.qu, now, an)
	}
}

// logEvent returns the name of the log event for an answer, or an empty string.
func logEvent(qr *queryRun, an *Answer, elapsed time.Duration) string {
	switch {
	case an.Code.NotRun():
		return ""
	case an.Code != result.Complete:
		return "query.incomplete"
	case elapsed*slowDenominator > qr.pa.AnswerDeadline.Sub(qr.pa.Start)*slowNumerator:
		return "query.slow"
	default:
		return ""
	}
}

func (en *Engine) logAnswer(event string, qu *Query, now time.Time, an *Answer) {
	omitted, ok := en.answerLog.allow(now)
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
