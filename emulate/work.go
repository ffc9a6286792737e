package emulate

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// The streams of random numbers that are derived from one seed.
const (
	serviceTimeStream = iota
	pauseStream
)

// ServiceTime is the distribution of the service times of requests: lognormal with a
// tail.
type ServiceTime struct {
	Median     time.Duration
	Sigma      float64 // standard deviation of the logarithm
	TailShare  float64 // fraction of the requests that take TailFactor times as long
	TailFactor float64
}

func (st ServiceTime) draw(rd *rand.Rand) time.Duration {
	duration := float64(st.Median) * math.Exp(st.Sigma*rd.NormFloat64())
	if rd.Float64() < st.TailShare {
		duration *= st.TailFactor
	}
	return time.Duration(duration)
}

// Pause describes the recurring pauses of a server: each lasts between Least and Most,
// and starts between EveryLeast and EveryMost after the start of the previous one.
type Pause struct {
	Least, Most           time.Duration
	EveryLeast, EveryMost time.Duration
}

// Faults are the faults of a server whose health checks still succeed. All except
// SlowFactor are fractions from 0 to 1.
type Faults struct {
	SlowFactor   float64 // multiplies service times; 0 means 1
	Shed         float64 // requests that are rejected although there is a free slot
	Fail         float64 // requests that run and get status 500
	Cut          float64 // requests that run and whose connection is closed instead of a response
	Garble       float64 // requests that run and get bytes that are not HTTP
	Truncate     float64 // responses that end in the middle
	Silent       float64 // requests that run and never get a response
	Duplicate    float64 // responses that are sent twice on the connection, which stays open for a while
	Late         float64 // responses that are delayed by 50 to 400 ms, whatever the deadline
	WrongRequest float64 // responses that belong to another request
}

// span is the time of one pause.
type span struct {
	from, to time.Time
}

// pauses are the pauses of a server.
type pauses struct {
	pa Pause

	mu        sync.Mutex
	rd        *rand.Rand
	lastStart time.Time // start of the last drawn pause
	spans     []span    // pauses that have not ended, the next one first

	haltedUntil atomic.Int64 // when the pause of Halt ends, in Unix nanoseconds
}

func newPauses(pa Pause, seed uint64, now time.Time) *pauses {
	return &pauses{pa: pa, rd: rand.New(rand.NewPCG(seed, pauseStream)), lastStart: now}
}

// halt pauses the server until a time.
func (ps *pauses) halt(until time.Time) { ps.haltedUntil.Store(until.UnixNano()) }

// end returns when work that starts now is done, if nothing runs during pauses.
func (ps *pauses) end(now time.Time, work time.Duration) time.Time {
	if remaining := time.Duration(ps.haltedUntil.Load() - now.UnixNano()); remaining > 0 {
		now = now.Add(remaining)
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
		sp := ps.pauseAt(ix)
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

// pauseAt returns the pause with the index among those that have not ended, and draws it
// if needed.
func (ps *pauses) pauseAt(ix int) span {
	for len(ps.spans) <= ix {
		ps.lastStart = ps.lastStart.Add(ps.drawBetween(ps.pa.EveryLeast, ps.pa.EveryMost))
		ps.spans = append(ps.spans, span{ps.lastStart, ps.lastStart.Add(ps.drawBetween(ps.pa.Least, ps.pa.Most))})
	}
	return ps.spans[ix]
}

// drawBetween draws a duration of at least a millisecond, so that drawing pauses makes
// progress.
func (ps *pauses) drawBetween(shortest, longest time.Duration) time.Duration {
	shortest = max(time.Millisecond, shortest)
	return shortest + time.Duration(ps.rd.Float64()*float64(max(0, longest-shortest)))
}
