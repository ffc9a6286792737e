package emulate

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// The streams of random numbers that one seed drives.
const (
	workStream = iota
	pauseStream
)

// Work is how long requests take: a lognormal distribution with a tail.
type ServiceTime struct {
	Median     time.Duration
	Sigma      float64 // Sigma is the standard deviation of the logarithm.
	TailShare  float64 // TailShare is the share of the requests that take TailFactor times as long.
	TailFactor float64
}

func (wo ServiceTime) draw(rd *rand.Rand) time.Duration {
	took := float64(wo.Median) * math.Exp(wo.Sigma*rd.NormFloat64())
	if rd.Float64() < wo.TailShare {
		took *= wo.TailFactor
	}
	return time.Duration(took)
}

// Pause is how a server stands still at times: for a length between Least and
// Most, and from one beginning to the next between EveryLeast and EveryMost.
type Pause struct {
	Least, Most           time.Duration
	EveryLeast, EveryMost time.Duration
}

// Trouble is what goes wrong at a server that seems well. Shares are from 0 to 1.
type Faults struct {
	SlowFactor   float64 // Slow multiplies the work; 0 means 1.
	Shed         float64 // Shed is the share of requests that are refused though there is room.
	Fail         float64 // Fail is the share of requests that run and are answered with status 500.
	Cut          float64 // Cut is the share of requests that run and whose connection is closed instead of an answer.
	Garble       float64 // Garble is the share of requests that run and are answered with bytes that are not HTTP.
	Truncate     float64 // Truncate is the share of answers that end in the middle.
	Silent       float64 // Silent is the share of requests that run and are never answered.
	Duplicate    float64 // Twice is the share of answers that are sent twice on the connection, which stays open for a while.
	Late         float64 // Late is the share of answers that come some 50 to 400 ms later, whatever the deadline.
	WrongRequest float64 // Other is the share of answers that are those to another request.
}

// span is a time in which a server stands still.
type span struct {
	from, to time.Time
}

// pauses is when a server stands still.
type pauses struct {
	pa Pause

	mu    sync.Mutex
	rd    *rand.Rand
	begin time.Time // begin is when the last drawn pause begins.
	spans []span    // spans are those that are not over, the next one first.

	halted atomic.Int64 // halted is until when the server stands still besides, in Unix nanoseconds.
}

func newPauses(pa Pause, seed uint64, now time.Time) *pauses {
	return &pauses{pa: pa, rd: rand.New(rand.NewPCG(seed, pauseStream)), begin: now}
}

// halt makes the server stand still until a time.
func (ps *pauses) halt(until time.Time) { ps.halted.Store(until.UnixNano()) }

// end returns when work that begins now is done, if nothing is worked on during
// pauses.
func (ps *pauses) end(now time.Time, work time.Duration) time.Time {
	if left := time.Duration(ps.halted.Load() - now.UnixNano()); left > 0 {
		now = now.Add(left)
	}
	if ps.pa.Most <= 0 || ps.pa.EveryMost <= 0 {
		return now.Add(work)
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for len(ps.spans) > 0 && !ps.spans[0].to.After(now) {
		ps.spans = ps.spans[1:]
	}
	at := now
	for ix := 0; ; ix++ {
		sp := ps.span(ix)
		if !sp.to.After(at) {
			continue
		}
		if gap := sp.from.Sub(at); gap > 0 {
			if work <= gap {
				return at.Add(work)
			}
			work -= gap
		}
		at = sp.to
	}
}

// span returns a pause that is not over, counted from 0, and draws it if needed.
func (ps *pauses) span(ix int) span {
	for len(ps.spans) <= ix {
		ps.begin = ps.begin.Add(ps.between(ps.pa.EveryLeast, ps.pa.EveryMost))
		ps.spans = append(ps.spans, span{ps.begin, ps.begin.Add(ps.between(ps.pa.Least, ps.pa.Most))})
	}
	return ps.spans[ix]
}

// between draws a time of at least a millisecond, so that drawing gets on.
func (ps *pauses) between(least, most time.Duration) time.Duration {
	least = max(time.Millisecond, least)
	return least + time.Duration(ps.rd.Float64()*float64(max(0, most-least)))
}
