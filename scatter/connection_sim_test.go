package scatter

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// burstModel simulates instances that run merged queries of which one shard has a single
// healthy server left. Each instance has few connections to it, and callers that get no
// answer retry once. The other shards answer soon.
type burstModel struct {
	rn                  *rand.Rand
	noConnectionTimeout time.Duration // noConnectionTimeout is the time after which a shard without a connection is given up.
	baseRate            float64       // baseRate and burstRate are arrivals in queries a second.
	burstRate           float64

	now       time.Duration
	events    modelEvents
	sequence  int
	busySlots int             // busySlots counts the slots of the server that are in use.
	queue     []*shardRequest // queue waits at the server.
	places    [modelInstances][]*shardRequest
	inFlight  [modelInstances]int

	inTime, late, failed int
}

// shardRequest is the request of one query for the scarce shard.
type shardRequest struct {
	qu       *Query
	instance int
	start    time.Duration // start is when the caller's first attempt began.
	retried  bool          // retried is set if this is the caller's retry.
	finished bool
}

type modelEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type modelEvents []modelEvent

func (evs modelEvents) Len() int { return len(evs) }
func (evs modelEvents) Less(i, j int) bool {
	return evs[i].at < evs[j].at || evs[i].at == evs[j].at && evs[i].sequence < evs[j].sequence
}
func (evs modelEvents) Swap(i, j int) { evs[i], evs[j] = evs[j], evs[i] }
func (evs *modelEvents) Push(x any)   { *evs = append(*evs, x.(modelEvent)) }
func (evs *modelEvents) Pop() any {
	old := *evs
	last := old[len(old)-1]
	*evs = old[:len(old)-1]
	return last
}

const (
	modelInstances      = 18
	modelConnections    = 2
	modelSlots          = 4
	modelShards         = 12
	modelServiceTime    = 15 * time.Millisecond
	modelOtherLatency   = 25 * time.Millisecond
	modelTargetLatency  = 120 * time.Millisecond
	modelPartialTimeout = 108 * time.Millisecond
	modelTimeout        = 800 * time.Millisecond
	modelBurstFrom      = time.Second
	modelBurstTo        = 3 * time.Second
	modelEnd            = 5 * time.Second
)

func (bm *burstModel) after(delay time.Duration, do func()) {
	bm.sequence++
	heap.Push(&bm.events, modelEvent{bm.now + delay, bm.sequence, do})
}

func (bm *burstModel) run() {
	bm.after(0, bm.arrive)
	for len(bm.events) > 0 {
		ev := heap.Pop(&bm.events).(modelEvent)
		bm.now = ev.at
		ev.run()
	}
}

func (bm *burstModel) arrive() {
	if bm.now >= modelEnd {
		return
	}
	rate := bm.baseRate
	if bm.now >= modelBurstFrom && bm.now < modelBurstTo {
		rate = bm.burstRate
	}
	bm.startQuery(bm.now, false)
	bm.after(time.Duration(bm.rn.ExpFloat64()/rate*float64(time.Second)), bm.arrive)
}

// startQuery starts a query of a caller whose first attempt began at start.
func (bm *burstModel) startQuery(start time.Duration, retried bool) {
	began := t0.Add(bm.now)
	sr := &shardRequest{
		instance: bm.rn.IntN(modelInstances), start: start, retried: retried,
		qu: New(Plan{
			Shards: modelShards, MinParts: modelShards, MaxAttempts: 2, Repeatable: true, RetryDelay: 5 * time.Millisecond,
			NoServerDeadline: began.Add(modelPartialTimeout), PartialDeadline: began.Add(modelPartialTimeout), NoConnectionDeadline: began.Add(bm.noConnectionTimeout), Deadline: t0.Add(start + modelTimeout),
		}),
	}
	for sh := 1; sh < modelShards; sh++ {
		sr.qu.AttemptStarted(sh, time.Time{})
		bm.after(modelOtherLatency, func() { bm.receivePart(sr, sh) })
	}
	bm.advance(sr)
}

// advance starts the attempts that are due and schedules the next call.
func (bm *burstModel) advance(sr *shardRequest) {
	if sr.finished {
		return
	}
	now := t0.Add(bm.now)
	for range sr.qu.Next(now, nil) {
		if bm.inFlight[sr.instance] >= modelConnections {
			sr.qu.AttemptDeferred(now, 0, CauseNoConnection, now.Add(20*time.Millisecond))
			continue
		}
		bm.inFlight[sr.instance]++
		sr.qu.AttemptStarted(0, time.Time{})
		bm.queue = append(bm.queue, sr)
		bm.serve()
	}
	if bm.recordResult(sr); !sr.finished {
		bm.after(max(time.Microsecond, sr.qu.WakeAt(now).Sub(now)), func() { bm.advance(sr) })
	}
}

// serve starts the requests that wait at the server. Those of finished queries are dropped,
// as their connections have been closed.
func (bm *burstModel) serve() {
	for bm.busySlots < modelSlots && len(bm.queue) > 0 {
		sr := bm.queue[0]
		bm.queue = bm.queue[1:]
		if sr.finished {
			bm.inFlight[sr.instance]--
			continue
		}
		bm.busySlots++
		bm.after(modelServiceTime, func() {
			bm.busySlots--
			bm.inFlight[sr.instance]--
			bm.receivePart(sr, 0)
			bm.serve()
		})
	}
}

func (bm *burstModel) receivePart(sr *shardRequest, sh int) {
	if sr.finished {
		return
	}
	sr.qu.AttemptEnded(t0.Add(bm.now), sh, OutcomePart)
	bm.recordResult(sr)
}

// recordResult counts what the caller got, or has it retry.
func (bm *burstModel) recordResult(sr *shardRequest) {
	switch sr.qu.State() {
	case Running:
		return
	case Answered:
		if bm.now-sr.start <= modelTargetLatency {
			bm.inTime++
		} else {
			bm.late++
		}
	default:
		if !sr.retried && bm.now-sr.start < modelTimeout {
			bm.startQuery(sr.start, true)
		} else {
			bm.failed++
		}
	}
	sr.finished = true
}

// Guards against queries that fail just before the target latency for lack of a part that
// would have come a little later, and whose callers retry them with all shards. The load is
// two seconds of 1.3 times what one healthy server of a shard can do, with two connections
// from each of 18 instances.
func TestPartsWaitForConnectionUntilDeadline(t *testing.T) {
	simulate := func(timeout time.Duration) *burstModel {
		bm := &burstModel{rn: rand.New(rand.NewPCG(5, 6)), noConnectionTimeout: timeout, baseRate: 180, burstRate: 350}
		bm.run()
		t.Logf("given up after %v: %d in time, %d late, %d failed", timeout, bm.inTime, bm.late, bm.failed)
		return bm
	}
	short, long := simulate(modelPartialTimeout), simulate(modelTimeout)
	qt.Assert(t, long.failed < short.failed, qt.IsTrue)
	qt.Assert(t, long.inTime+long.late > short.inTime+short.late, qt.IsTrue)
}
