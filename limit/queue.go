package limit

import (
	"slices"
	"time"
)

// Order is the order in which the queries of one service leave the queue.
type Order uint8

// The orders.
const (
	OldestFirst Order = iota
	NewestFirst
)

const (
	// roomFactor is how many queries run for each one that the scarcest shard has
	// room for. The shards of a query end at different times: with one query for
	// each place, most shards would wait for the slowest one.
	roomFactor = 3.0
	// agedFactor is after how many typical leaf latencies a query no longer
	// counts. One that waits for a stuck server until its deadline takes no room
	// at the others.
	agedFactor = 8
	// gapWeight is the weight of a new sample of the time between starts.
	gapWeight = 0.05
	// longestGap bounds one sample of it.
	longestGap = 100 * time.Millisecond
	// leastRetryAfter and mostRetryAfter bound what a refusal asks for.
	leastRetryAfter = 20 * time.Millisecond
	mostRetryAfter  = 5 * time.Second
)

// waiting is a query in the queue or running.
type waiting struct {
	li      *line
	cost    int
	arrived time.Time
	latest  time.Time // latest is when it must have started.
	started time.Time
	state   waitState
	told    func() // told, if set, is called when it starts or expires after it has waited.
}

type waitState uint8

const (
	queued waitState = iota
	running
	expired
	gone // gone has ended or was taken out by its caller.
)

// line is the queue of one service.
type line struct {
	name    string
	weight  int
	waiting []*waiting
	running []*waiting // running are those that count, in the order of starting.
	tag     float64    // tag is the service's virtual time.
	gap     time.Duration
	last    time.Time // last is when a query last left the queue.
	long    time.Time // long is since when queries have waited longer than the target.
	// promised is when the refused query that was told last will come back.
	promised time.Time
}

// queue holds the queries of one instance. It has no clock and no lock.
type queue struct {
	cf      AdmissionConfig
	lines   map[string]*line
	cost    int     // cost is the leaf requests of all queries that run.
	virtual float64 // virtual is the tag of the query that started last.
}

func newQueue(cf AdmissionConfig) *queue {
	return &queue{cf: cf, lines: make(map[string]*line)}
}

func (qu *queue) line(service string, weight int) *line {
	li := qu.lines[service]
	if li == nil {
		li = &line{name: service}
		qu.lines[service] = li
	}
	li.weight = max(1, weight)
	return li
}

// arrive takes in a query. It returns it started or queued, or nil and when to
// come back.
func (qu *queue) arrive(now time.Time, service string, weight, cost int, deadline time.Time) (*waiting, time.Duration) {
	li := qu.line(service, weight)
	ro := qu.cf.ServiceCapacity(service)
	left := deadline.Sub(now)
	pace := li.pace(ro)
	wait := time.Duration(len(li.waiting)) * pace
	if left <= 0 || wait > qu.patience(now, li, ro, left) {
		return nil, li.comeBack(now, wait, pace)
	}
	wa := &waiting{li: li, cost: cost, arrived: now, latest: now.Add(left - need(ro, left))}
	li.waiting = append(li.waiting, wa)
	qu.advance(now)
	return wa, 0
}

// need returns the part of the time left that the query needs once started. At
// most half of it, or queries that wait for a stuck server would make the
// instance refuse all others.
func need(ro ServiceCapacity, left time.Duration) time.Duration {
	return min(left/2, 2*ro.MedianLatency)
}

// patience returns how long a query that arrives now may wait. A burst may wait
// as long as the deadline allows; but when the queue has been long for a while,
// it holds more than a burst, and a longer one only makes answers late.
func (qu *queue) patience(now time.Time, li *line, ro ServiceCapacity, left time.Duration) time.Duration {
	most := left - need(ro, left)
	if qu.cf.Target > 0 && !li.long.IsZero() && now.Sub(li.long) >= qu.cf.Interval {
		most = min(most, qu.cf.Target)
	}
	return most
}

// pace returns the time between starts: as seen, or as the room suggests.
func (li *line) pace(ro ServiceCapacity) time.Duration {
	if li.gap == 0 && ro.Concurrency > 0 {
		return time.Duration(float64(ro.MedianLatency) / (roomFactor * ro.Concurrency))
	}
	return li.gap
}

// comeBack returns when a refused query should come back. Each gets the next
// turn of the rate at which the queue drains: if all were told how long the
// queue is now, they would come back together and be refused again.
func (li *line) comeBack(now time.Time, wait, pace time.Duration) time.Duration {
	li.promised = later(li.promised, now.Add(wait)).Add(pace)
	return min(mostRetryAfter, max(leastRetryAfter, li.promised.Sub(now)))
}

// end takes out a query that ended or that its caller gave up on.
func (qu *queue) end(now time.Time, wa *waiting) {
	switch wa.state {
	case running:
		qu.cost -= wa.cost
		wa.li.running = without(wa.li.running, wa)
	case queued:
		wa.li.waiting = without(wa.li.waiting, wa)
	}
	wa.state = gone
	qu.advance(now)
}

// advance starts the queries that have room and takes out those that can't
// start in time any more. Among services it starts the one with the lowest
// virtual time, which a start moves on by cost over weight: a service in a
// surge only competes with itself.
func (qu *queue) advance(now time.Time) {
	for _, li := range qu.lines {
		li.drop(now)
		li.age(now, qu.cf.ServiceCapacity(li.name))
	}
	for {
		li := qu.nextLine()
		if li == nil {
			return
		}
		qu.start(now, li)
	}
}

func (qu *queue) nextLine() *line {
	var best *line
	for _, li := range qu.lines {
		if len(li.waiting) == 0 || !qu.fits(li) {
			continue
		}
		if best == nil || li.tag < best.tag || li.tag == best.tag && li.name < best.name {
			best = li
		}
	}
	return best
}

func (qu *queue) fits(li *line) bool {
	if qu.cost > 0 && qu.cost+li.next(qu.cf.Order).cost > qu.cf.MaxLeafRequests {
		return false
	}
	ro := qu.cf.ServiceCapacity(li.name)
	return ro.Concurrency == 0 || len(li.running) < max(1, int(roomFactor*ro.Concurrency))
}

func (li *line) next(or Order) *waiting {
	if or == NewestFirst {
		return li.waiting[len(li.waiting)-1]
	}
	return li.waiting[0]
}

func (qu *queue) start(now time.Time, li *line) {
	wa := li.next(qu.cf.Order)
	li.waiting = without(li.waiting, wa)
	li.running = append(li.running, wa)
	qu.cost += wa.cost
	qu.virtual = max(qu.virtual, li.tag)
	li.tag = qu.virtual + float64(wa.cost)/float64(li.weight)
	li.learn(now, wa, qu.cf.Target)
	wa.state, wa.started = running, now
	wa.tell()
}

func (wa *waiting) tell() {
	if wa.told != nil {
		wa.told()
	}
}

// learn takes in a start: how quickly the queue drains, and whether it is long.
func (li *line) learn(now time.Time, wa *waiting, target time.Duration) {
	if now.After(wa.arrived) && !li.last.IsZero() {
		gap := min(longestGap, now.Sub(li.last))
		if li.gap == 0 {
			li.gap = gap
		}
		li.gap += time.Duration(gapWeight * float64(gap-li.gap))
	}
	li.last = now
	switch wait := now.Sub(wa.arrived); {
	case wait == 0:
		li.long = time.Time{}
	case wait > target && li.long.IsZero():
		li.long = now
	}
}

// drop takes out the queries that can't start in time any more.
func (li *line) drop(now time.Time) {
	li.waiting = slices.DeleteFunc(li.waiting, func(wa *waiting) bool {
		late := now.After(wa.latest)
		if late {
			wa.state = expired
			wa.tell()
		}
		return late
	})
}

// age stops counting the queries that have run for long.
func (li *line) age(now time.Time, ro ServiceCapacity) {
	if ro.MedianLatency == 0 {
		return
	}
	for len(li.running) > 0 && now.Sub(li.running[0].started) > agedFactor*ro.MedianLatency {
		li.running = li.running[1:]
	}
}

func without(ws []*waiting, wa *waiting) []*waiting {
	if ix := slices.Index(ws, wa); ix >= 0 {
		return slices.Delete(ws, ix, ix+1)
	}
	return ws
}

// nextAged returns when the next running query stops counting, if that could
// let a waiting one start.
func (qu *queue) nextAged() (time.Time, bool) {
	var next time.Time
	for _, li := range qu.lines {
		typical := qu.cf.ServiceCapacity(li.name).MedianLatency
		if len(li.waiting) == 0 || len(li.running) == 0 || typical == 0 {
			continue
		}
		if at := li.running[0].started.Add(agedFactor * typical); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}
