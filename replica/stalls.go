package replica

import (
	"time"

	"balsamwinch.example/outlier"
	"balsamwinch.example/stall"
)

const (
	// minStallCheck and maxStallCheck bound the time between two calls of CheckStalls while
	// requests are in flight.
	minStallCheck = 4 * time.Millisecond
	maxStallCheck = 10 * time.Millisecond
	// lateCheck is the delay of a call of CheckStalls from which this process, and not the
	// servers, is assumed to have paused.
	lateCheck = 8 * time.Millisecond
	// maxStuckFraction is the fraction of all servers, and minStuckBound the lower bound of
	// their number, beyond which servers that are stuck at the same time show a fault of
	// this instance or its network. Regular stalls of 200 ms every 4.5 s stop 1 server
	// in 22.
	maxStuckFraction = 0.125
	minStuckBound    = 3
)

// stuckHedgeDelays is how many hedge delays a request is in flight at least before it counts
// as stuck. It matters to classes whose latencies vary much: with exponential ones 16 % of the
// requests take longer than stall.StuckAfter says, and 2 % longer than this.
const stuckHedgeDelays = 2

// forecastProbeFraction is the fraction of requests that are sent to a server although a
// stall is forecast. A server gets some seven requests in the time of one, so that one in
// four forecast stalls is confirmed or contradicted.
const forecastProbeFraction = 0.04

// sharedStalls is the state of the stalls that entry instances tell each other of.
type sharedStalls struct {
	rp        *stall.Reporter
	watched   []*server     // watched holds the servers with a request in flight since the last check.
	checkAt   time.Duration // checkAt is when CheckStalls should be called next; 0 if nothing is watched.
	steadyAt  time.Duration // steadyAt is when this process last paused.
	avoided   uint64        // avoided counts the choices that left out a stalled server.
	numStuck  uint64
	numQuick  uint64
	numHeard  uint64
	numBroken uint64 // numBroken counts the checks that were ignored for a fault of this instance.
}

// StallCounts counts what became of stalls since the balancer was created.
type StallCounts struct {
	Reported uint64 // Reported counts the stuck requests that were reported.
	Quick    uint64 // Quick counts the reported answers that contradict a forecast.
	Heard    uint64 // Heard counts news of stalls of known servers.
	Avoided  uint64 // Avoided counts choices that left out a stalled server.
	Ignored  uint64 // Ignored counts checks that found a fault of this instance.
}

// SetSharedStalls sets whether stalls of servers are reported and avoided. While they are
// not, which is the state at the start, every other method behaves as if there were none.
func (ba *Balancer) SetSharedStalls(on bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	switch {
	case on && ba.stalls == nil:
		ba.stalls = &sharedStalls{rp: stall.NewReporter()}
	case !on && ba.stalls != nil:
		ba.dropStalls()
		ba.stalls = nil
	}
}

// StallCounts returns the counts while stalls are shared, otherwise zeros.
func (ba *Balancer) StallCounts() StallCounts {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	if ba.stalls == nil {
		return StallCounts{}
	}
	ss := ba.stalls
	return StallCounts{Reported: ss.numStuck, Quick: ss.numQuick, Heard: ss.numHeard, Avoided: ss.avoided, Ignored: ss.numBroken}
}

// dropStalls drops what is known of stalls, because the process stood still.
func (ba *Balancer) dropStalls() {
	if ba.stalls == nil {
		return
	}
	ba.stalls.rp.Drop()
	ba.stalls.steadyAt = ba.latest
	for _, se := range ba.stalls.watched {
		se.watched = false
	}
	ba.stalls.watched, ba.stalls.checkAt = nil, 0
	for _, se := range ba.servers {
		se.outlook.Drop()
	}
}

// StallWork receives a value when CheckStalls should be called, after a time without any
// request in flight.
func (ba *Balancer) StallWork() <-chan struct{} { return ba.stallWork }

// watchStalls has the requests in flight to a server checked.
func (ba *Balancer) watchStalls(se *server) {
	if ba.stalls == nil || se.watched {
		return
	}
	se.watched = true
	ba.stalls.watched = append(ba.stalls.watched, se)
	if len(ba.stalls.watched) > 1 {
		return
	}
	select {
	case ba.stallWork <- struct{}{}:
	default:
	}
}

// CheckStalls looks for requests in flight that are stuck beyond what the work explains,
// and returns what there is to report. While busy is set it should be called again after
// the returned delay, otherwise after StallWork.
func (ba *Balancer) CheckStalls(now time.Time) (obs []stall.Observation, delay time.Duration, busy bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	at, ss := ba.at(now), ba.stalls
	if ss == nil {
		return nil, 0, false
	}
	if ss.checkAt > 0 && at-ss.checkAt >= lateCheck {
		ss.steadyAt = at
	}
	next := at + maxStallCheck
	watched, stuck := ss.watched[:0], 0
	for _, se := range ss.watched {
		if len(se.inFlight) == 0 {
			se.watched = false
			continue
		}
		watched = append(watched, se)
		due, isStuck := se.nextStuck(at, max(ss.steadyAt, ba.resumed))
		if next = min(next, due); isStuck {
			stuck++
		}
	}
	clear(ss.watched[len(watched):])
	ss.watched = watched
	switch {
	case stuck > max(minStuckBound, int(maxStuckFraction*float64(len(ba.servers)))):
		ss.steadyAt = at
		ss.numBroken++
	case stuck > 0:
		for _, se := range watched {
			ss.report(at, se, max(ss.steadyAt, ba.resumed))
		}
	}
	if len(watched) == 0 {
		ss.checkAt = 0
		return ss.rp.Take(at), 0, false
	}
	delay = max(next-at, minStallCheck)
	ss.checkAt = at + delay
	return ss.rp.Take(at), delay, true
}

// stuckAt returns when a request in flight counts as stuck, given when this process last
// paused. It returns false if it never does.
func (se *server) stuckAt(at time.Duration, fl *flight, steadyAt time.Duration) (time.Duration, bool) {
	if fl.stuck || !fl.stats.known() {
		return 0, false
	}
	expected := float64(fl.expected) * (1 + se.freshness(at)*float64(se.waiting)/se.capacity())
	wait := max(stall.StuckAfter(time.Duration(expected)), stuckHedgeDelays*fl.stats.hedgeDelay(at))
	return max(fl.start, steadyAt) + wait, true
}

// nextStuck returns when the next request in flight to the server will count as stuck, and
// whether one does already.
func (se *server) nextStuck(at, steadyAt time.Duration) (next time.Duration, stuck bool) {
	next = at + maxStallCheck
	if se.hasFault(at) {
		return next, false
	}
	for ix := range se.inFlight {
		due, ok := se.stuckAt(at, &se.inFlight[ix], steadyAt)
		switch {
		case se.inFlight[ix].stuck || ok && due <= at:
			stuck = true
		case ok:
			next = min(next, due)
		}
	}
	return next, stuck
}

// hasFault reports whether the server fails or is slow for longer than a stall lasts, which
// explains stuck requests.
func (se *server) hasFault(at time.Duration) bool {
	return se.onProbation || se.replaced || at < se.findingUntil && se.finding != (outlier.Finding{})
}

// report marks the requests in flight that are stuck. One of them is reported, unless the
// server is known to be stalled.
func (ss *sharedStalls) report(at time.Duration, se *server, steadyAt time.Duration) {
	if se.hasFault(at) {
		return
	}
	_, forecast, known := se.outlook.Until(at, 0)
	known = known && !forecast // The forecast needs to be confirmed.
	for ix := range se.inFlight {
		fl := &se.inFlight[ix]
		known = known || fl.stuck
	}
	for ix := range se.inFlight {
		fl := &se.inFlight[ix]
		if due, ok := se.stuckAt(at, fl, steadyAt); !ok || due > at {
			continue
		}
		fl.stuck = true
		if !known {
			known = true
			ss.numStuck++
			ss.rp.Stuck(at, se.stallServer(), fl.start)
		}
	}
}

func (se *server) stallServer() stall.Server {
	return stall.Server{ID: se.record.ID, Born: se.record.Born, Group: stall.GroupOf(se.record.Service)}
}

// recordStallEnd records the end of a request: a stuck one tells how long the server was
// stalled, and any answer may tell that it is not stalled any more.
func (ba *Balancer) recordStallEnd(at time.Duration, se *server, fl *flight, outcome Outcome) {
	ss := ba.stalls
	if ss == nil {
		return
	}
	switch {
	case outcome == Served && fl.stuck:
		ss.rp.Ended(at, se.stallServer(), fl.start, stall.Answered)
	case outcome == Abandoned && fl.stuck:
		ss.rp.Ended(at, se.stallServer(), fl.start, stall.Abandoned)
	case outcome == Served && se.outlook.Contradicts(at, fl.start):
		ss.numQuick++
		ss.rp.Ended(at, se.stallServer(), fl.start, stall.Quick)
	}
	if outcome == Served {
		se.outlook.Answered(fl.start)
	}
}

// HearStalls applies news of stalled servers that arrived late by the given time. It
// returns how many of them are about servers that it knows.
func (ba *Balancer) HearStalls(now time.Time, late time.Duration, sts []stall.Stall) int {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	at, count := ba.at(now), 0
	if ba.stalls == nil {
		return 0
	}
	for _, st := range sts {
		if se := ba.servers[st.ID]; se != nil && se.record.Born == st.Born {
			se.outlook.Hear(at, late, st)
			count++
		}
	}
	ba.stalls.numHeard += uint64(count)
	return count
}

// SetForecasts applies forecasts of stalls that arrived late by the given time.
func (ba *Balancer) SetForecasts(now time.Time, late time.Duration, fcs []stall.Forecast) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	at := ba.at(now)
	if ba.stalls == nil {
		return
	}
	for _, fc := range fcs {
		if se := ba.servers[fc.ID]; se != nil && se.record.Born == fc.Born {
			se.outlook.SetForecast(at, late, fc)
		}
	}
}

// withoutStalled removes the candidates that are stalled, if another healthy one is left.
// If all healthy ones are stalled, only the one whose stall ends first is left. The choice
// among the rest is as it is without stalls, so that no server gets the whole load of a
// stalled one.
func (ba *Balancer) withoutStalled(at time.Duration, rq Request, cas []candidate, median time.Duration) []candidate {
	if ba.stalls == nil || len(cas) < 2 {
		return cas
	}
	numHealthy, numStalled, first, firstUntil := 0, 0, 0, time.Duration(0)
	for ix := range cas {
		ca := &cas[ix]
		until, stalled := ba.stalledUntil(at, rq, ca, ca.se.expectedWork(at, median))
		ca.stalled = stalled
		if ca.health != healthy {
			continue
		}
		numHealthy++
		if !stalled {
			continue
		}
		if numStalled++; numStalled == 1 || until < firstUntil {
			first, firstUntil = ix, until
		}
	}
	switch {
	case numStalled == 0:
		return cas
	case numStalled == numHealthy:
		cas[0] = cas[first]
		return cas[:1]
	}
	ba.stalls.avoided++
	left := cas[:0]
	for _, ca := range cas {
		if !ca.stalled {
			left = append(left, ca)
		}
	}
	return left
}

// stalledUntil returns when the stall ends that a request to the candidate would meet. It
// returns false if there is none. A few requests ignore a forecast, since no other request
// could show that the stall did not come.
func (ba *Balancer) stalledUntil(at time.Duration, rq Request, ca *candidate, work time.Duration) (time.Duration, bool) {
	until, forecast, stalled := ca.se.outlook.Until(at, work)
	if stalled && forecast && !rq.NoProbe && len(rq.Avoid) == 0 && ba.rn.Float64() < forecastProbeFraction {
		return 0, false
	}
	return until, stalled
}

// expectedWork returns the time that work of a median takes at a server, without the load
// there.
func (se *server) expectedWork(at, median time.Duration) time.Duration {
	return time.Duration(se.slowness(at) * float64(median))
}

// stalledWithFree reports whether a server is stalled, or will be before work of a median is
// done, while another healthy one is not.
func (ba *Balancer) stalledWithFree(at time.Duration, rq Request, se *server, median time.Duration) bool {
	if ba.stalls == nil {
		return false
	}
	if _, _, stalled := se.outlook.Until(at, se.expectedWork(at, median)); !stalled {
		return false
	}
	for _, ot := range ba.services[rq.Service] {
		if ot == se || !ba.usable(ot, rq) || ot.health(at) != healthy {
			continue
		}
		if _, _, stalled := ot.outlook.Until(at, ot.expectedWork(at, median)); !stalled {
			return true
		}
	}
	return false
}

// StalledWithFree reports whether the server of a pick is stalled while another one, which
// is not in Avoid, is healthy and not stalled. The request should then be hedged at once.
func (ba *Balancer) StalledWithFree(now time.Time, rq Request, pk Pick) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	at := ba.at(now)
	if pk.se == nil || ba.stalls == nil {
		return false
	}
	fl := pk.se.find(pk.number)
	return fl != nil && ba.stalledWithFree(at, rq, pk.se, fl.stats.medianOrDefault())
}
