package scatter

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// burstModel is instances that ask for merged answers of which one shard has a single sound
// server left. Each instance has few connections to it, and callers that get no answer come
// again once. The other shards answer soon.
type burstModel struct {
	rn    *rand.Rand
	room  time.Duration // room is the time after which a shard without a connection is given up.
	calm  float64       // calm and burst are arrivals in queries a second.
	burst float64

	now    time.Duration
	steps  steps
	count  int
	busy   int     // busy counts the slots of the server that are taken.
	line   []*part // line waits at the server.
	places [modelInstances][]*part
	flying [modelInstances]int

	inTime, late, failed int
}

// part is the request for the scarce shard of one query.
type part struct {
	qu       *Query
	instance int
	start    time.Duration // start is that of the caller's first attempt.
	again    bool          // again says that the caller has come again.
	over     bool
}

type modelStep struct {
	at    time.Duration
	order int
	do    func()
}

type steps []modelStep

func (st steps) Len() int { return len(st) }
func (st steps) Less(i, j int) bool {
	return st[i].at < st[j].at || st[i].at == st[j].at && st[i].order < st[j].order
}
func (st steps) Swap(i, j int) { st[i], st[j] = st[j], st[i] }
func (st *steps) Push(x any)   { *st = append(*st, x.(modelStep)) }
func (st *steps) Pop() any {
	old := *st
	last := old[len(old)-1]
	*st = old[:len(old)-1]
	return last
}

const (
	modelInstances   = 18
	modelConnections = 2
	modelSlots       = 4
	modelShards      = 12
	modelWork        = 15 * time.Millisecond
	modelOthers      = 25 * time.Millisecond
	modelAim         = 120 * time.Millisecond
	modelHold        = 108 * time.Millisecond
	modelDeadline    = 800 * time.Millisecond
	modelBurstFrom   = time.Second
	modelBurstTo     = 3 * time.Second
	modelEnd         = 5 * time.Second
)

func (bm *burstModel) at(after time.Duration, do func()) {
	bm.count++
	heap.Push(&bm.steps, modelStep{bm.now + after, bm.count, do})
}

func (bm *burstModel) run() {
	bm.at(0, bm.arrive)
	for len(bm.steps) > 0 {
		st := heap.Pop(&bm.steps).(modelStep)
		bm.now = st.at
		st.do()
	}
}

func (bm *burstModel) arrive() {
	if bm.now >= modelEnd {
		return
	}
	rate := bm.calm
	if bm.now >= modelBurstFrom && bm.now < modelBurstTo {
		rate = bm.burst
	}
	bm.ask(bm.now, false)
	bm.at(time.Duration(bm.rn.ExpFloat64()/rate*float64(time.Second)), bm.arrive)
}

// ask begins a query of a caller that came first at start.
func (bm *burstModel) ask(start time.Duration, again bool) {
	began := t0.Add(bm.now)
	pa := &part{
		instance: bm.rn.IntN(modelInstances), start: start, again: again,
		qu: New(Plan{
			Shards: modelShards, MinParts: modelShards, MaxAttempts: 2, Repeatable: true, RetryDelay: 5 * time.Millisecond,
			NoServerDeadline: began.Add(modelHold), PartialDeadline: began.Add(modelHold), NoConnectionDeadline: began.Add(bm.room), Deadline: t0.Add(start + modelDeadline),
		}),
	}
	for sh := 1; sh < modelShards; sh++ {
		pa.qu.AttemptStarted(sh, time.Time{})
		bm.at(modelOthers, func() { bm.replied(pa, sh) })
	}
	bm.look(pa)
}

// look asks for what the query wants, and comes again when it is to be looked at next.
func (bm *burstModel) look(pa *part) {
	if pa.over {
		return
	}
	now := t0.Add(bm.now)
	for range pa.qu.Next(now, nil) {
		if bm.flying[pa.instance] >= modelConnections {
			pa.qu.AttemptDeferred(now, 0, CauseNoConnection, now.Add(20*time.Millisecond))
			continue
		}
		bm.flying[pa.instance]++
		pa.qu.AttemptStarted(0, time.Time{})
		bm.line = append(bm.line, pa)
		bm.serve()
	}
	if bm.ended(pa); !pa.over {
		bm.at(max(time.Microsecond, pa.qu.WakeAt(now).Sub(now)), func() { bm.look(pa) })
	}
}

// serve begins what waits at the server. Work whose query is over is dropped, as the
// connection has been closed.
func (bm *burstModel) serve() {
	for bm.busy < modelSlots && len(bm.line) > 0 {
		pa := bm.line[0]
		bm.line = bm.line[1:]
		if pa.over {
			bm.flying[pa.instance]--
			continue
		}
		bm.busy++
		bm.at(modelWork, func() {
			bm.busy--
			bm.flying[pa.instance]--
			bm.replied(pa, 0)
			bm.serve()
		})
	}
}

func (bm *burstModel) replied(pa *part, sh int) {
	if pa.over {
		return
	}
	pa.qu.AttemptEnded(t0.Add(bm.now), sh, OutcomePart)
	bm.ended(pa)
}

// ended counts what the caller got, or has it come again.
func (bm *burstModel) ended(pa *part) {
	switch pa.qu.State() {
	case Running:
		return
	case Answered:
		if bm.now-pa.start <= modelAim {
			bm.inTime++
		} else {
			bm.late++
		}
	default:
		if !pa.again && bm.now-pa.start < modelDeadline {
			bm.ask(pa.start, true)
		} else {
			bm.failed++
		}
	}
	pa.over = true
}

// Guards against callers who are failed just before the aim for a part that would have come
// a little later, and who come again with all their shards. The load: one sound server of
// a shard with two connections from each of 18 instances, two seconds of 1.3 times what it
// can do.
func TestPartsWithoutRoomAreWaitedFor(t *testing.T) {
	play := func(room time.Duration) *burstModel {
		bm := &burstModel{rn: rand.New(rand.NewPCG(5, 6)), room: room, calm: 180, burst: 350}
		bm.run()
		t.Logf("given up after %v: %d in time, %d late, %d failed", room, bm.inTime, bm.late, bm.failed)
		return bm
	}
	hold, deadline := play(modelHold), play(modelDeadline)
	qt.Assert(t, deadline.failed < hold.failed, qt.IsTrue)
	qt.Assert(t, deadline.inTime+deadline.late > hold.inTime+hold.late, qt.IsTrue)
}
