package replica

import (
	"math"
	"time"

	"balsamwinch.example/outlier"
	"balsamwinch.example/registry"
	"balsamwinch.example/stall"
)

const (
	// latencyGain is the weight of a new latency in the logarithm of the slowness. A
	// latency that differs by more than jumpFactor, in either direction, weighs jumpGain,
	// so that a server that turned slow is avoided after two or three answers.
	latencyGain = 0.12
	jumpGain    = 0.4
	jumpFactor  = 2.0
	// maxLatencyRatio bounds the ratio of one latency to the median of its class.
	maxLatencyRatio = 20.0
	// decayTime is the time in which the logarithm of the slowness and the failure fraction
	// decay to 1/e while no request to the server ends.
	decayTime = 5 * time.Second
	// coldSlowness is the slowness assumed for a server that has just started.
	coldSlowness = 1.5
	// failureGain is the weight of a new outcome in the failure fraction. failureCost is
	// the cost of one failure as a multiple of the expected latency.
	failureGain = 0.25
	failureCost = 4.0
	// ejectAfter is the number of consecutive failures that eject a server; a single
	// refusal or failed connection ejects it at once.
	ejectAfter = 2
	// minEjection and maxEjection bound how long a server is ejected.
	minEjection = 100 * time.Millisecond
	maxEjection = 2 * time.Second
	// minSuspicion is how long a server is suspect after its first abandoned request. Most
	// such servers only pause.
	minSuspicion = 100 * time.Millisecond
	// loadTTL is how long a reported load is used; its weight falls linearly to zero over
	// this time.
	loadTTL = time.Second
	// usualPace is the reported pace of a server on which work takes the usual time.
	usualPace = 100.0
	// staleAfter is the time without an answer after which the expected latency of a server
	// is raised by staleCost, as a fraction, for a hedge: the server may have begun to
	// pause since its last answer.
	staleAfter = 150 * time.Millisecond
	staleCost  = 1.0
)

// never is the time of an event that has not happened.
const never = time.Duration(math.MinInt64 / 2)

// server is the state of one backend server.
type server struct {
	record   registry.Server
	replaced bool // replaced is set once another server has taken over its address for good.
	inFlight []flight
	numSent  uint64 // numSent counts the requests sent.

	ownLogSlowness float64       // ownLogSlowness is the logarithm of its latency relative to the median, as seen by this instance.
	lastWasQuick   bool          // lastWasQuick is set if the last answer was not slow.
	ownFailures    float64       // ownFailures is the decaying failure fraction seen by this instance.
	decayedAt      time.Duration // decayedAt is when ownLogSlowness and ownFailures were last decayed.
	answeredAt     time.Duration // answeredAt is when the last answer came.

	failureRun   int           // failureRun counts consecutive failures.
	onProbation  bool          // onProbation is set from an ejection until the next answer.
	ejectedAt    time.Duration // ejectedAt is when the last ejection began.
	ejectedUntil time.Duration // ejectedUntil is when the last ejection ends.
	numSuspected int           // numSuspected counts the requests in flight that make the server suspect.
	abandonedRun int           // abandonedRun counts consecutive abandoned requests.
	abandonedAt  time.Duration // abandonedAt is when the last abandoned request ended.
	suspectUntil time.Duration // suspectUntil is when the suspicion from abandoned requests ends.

	waiting, slots, pace int           // These are as last reported.
	loadAt               time.Duration // loadAt is when the load was reported.

	readySince time.Duration // readySince is when the server last became ready again after another state.
	permit     permit        // permit limits the requests to the server while it is cold.

	sample outlier.Sample // sample is collected for the other entry instances; see samples.go.
	// firstSlow, lastSlow and lastQuick are the send times of the slow and quick requests
	// in the sample.
	firstSlow, lastSlow, lastQuick time.Duration

	finding      outlier.Finding // finding is what all entry instances together saw of the server.
	findingUntil time.Duration   // findingUntil is when finding expires.

	outlook stall.Outlook // outlook is what is known of its stalls; see stalls.go.
	watched bool          // watched is set while the server is in sharedStalls.watched.
}

// flight is a request in flight.
type flight struct {
	number    uint64
	start     time.Duration
	stats     *latencyStats
	expected  time.Duration // expected is its expected latency.
	overdue   bool          // overdue is set once the request has passed its hedge delay.
	suspected bool          // suspected is set while the request is overdue and the server has not answered any request since.
	reported  bool          // reported is set once the slow latency is in a sample.
	stuck     bool          // stuck is set once the request counts as stuck at a stalled server.
}

func newServer(at time.Duration, re registry.Server) *server {
	se := &server{record: re, decayedAt: at, answeredAt: never, abandonedAt: never, suspectUntil: never, loadAt: never, readySince: never}
	if re.WarmMillis > 0 {
		se.ownLogSlowness = math.Log(coldSlowness)
	}
	return se
}

// send records a request that is sent now and returns its number.
func (se *server) send(at time.Duration, ls *latencyStats) uint64 {
	expected := time.Duration(se.slowness(at) * float64(ls.medianOrDefault()))
	se.numSent++
	se.inFlight = append(se.inFlight, flight{number: se.numSent, start: at, stats: ls, expected: max(expected, 1)})
	return se.numSent
}

// find returns a request in flight, or nil if it has ended.
func (se *server) find(number uint64) *flight {
	for ix := range se.inFlight {
		if se.inFlight[ix].number == number {
			return &se.inFlight[ix]
		}
	}
	return nil
}

// remove removes a request in flight.
func (se *server) remove(fl *flight) {
	if fl.suspected {
		se.numSuspected--
	}
	last := len(se.inFlight) - 1
	*fl = se.inFlight[last]
	se.inFlight[last] = flight{}
	se.inFlight = se.inFlight[:last]
}

// suspect makes the server suspect because a request is overdue.
func (se *server) suspect(fl *flight) {
	if !fl.overdue {
		fl.overdue, fl.suspected = true, true
		se.numSuspected++
	}
}

// clearSuspicion ends the suspicion caused by requests in flight.
func (se *server) clearSuspicion() {
	se.numSuspected = 0
	for ix := range se.inFlight {
		se.inFlight[ix].suspected = false
	}
}

// decay returns the factor by which slowness and failures have decayed since decayedAt.
func (se *server) decay(at time.Duration) float64 {
	return math.Exp(-float64(at-se.decayedAt) / float64(decayTime))
}

// slowness returns the server's latency as a multiple of the usual one.
func (se *server) slowness(at time.Duration) float64 {
	return math.Exp(se.logSlowness(at))
}

// logSlowness returns the logarithm of the server's latency as a multiple of the usual one:
// the higher value of what this instance saw and of the finding of all instances.
func (se *server) logSlowness(at time.Duration) float64 {
	own := se.ownLogSlowness * se.decay(at)
	if at < se.findingUntil {
		return max(own, float64(se.finding.Slowness))
	}
	return own
}

// failures returns the fraction of requests that fail: the higher value of what this
// instance saw and of the finding of all instances.
func (se *server) failures(at time.Duration) float64 {
	own := se.ownFailures * se.decay(at)
	if at < se.findingUntil {
		return max(own, float64(se.finding.Failures))
	}
	return own
}

// applyDecay decays the slowness and the failures up to now. It is called before either is
// updated.
func (se *server) applyDecay(at time.Duration) {
	decay := se.decay(at)
	se.ownLogSlowness *= decay
	se.ownFailures *= decay
	se.decayedAt = at
}

// recordLatency updates the slowness with a latency and the median of its class. The
// latency of an abandoned request is only a lower bound and can only raise the slowness.
func (se *server) recordLatency(latency, median time.Duration, abandoned bool) {
	ratio := float64(latency) / float64(max(median, 1))
	ratio = min(max(ratio, 1/maxLatencyRatio), maxLatencyRatio)
	step := math.Log(ratio) - se.ownLogSlowness
	if abandoned && step <= 0 {
		return
	}
	se.lastWasQuick = ratio < jumpFactor
	gain := latencyGain
	if math.Abs(step) > math.Log(jumpFactor) {
		gain = jumpGain
	}
	se.ownLogSlowness += gain * step
}

// recordAnswer records that the server has answered.
func (se *server) recordAnswer(at time.Duration) {
	se.ownFailures -= failureGain * se.ownFailures
	se.failureRun, se.abandonedRun = 0, 0
	se.onProbation, se.suspectUntil = false, never
	se.answeredAt = at
	se.clearSuspicion()
}

// recordFailure records the failure of a request that began at start. Requests that were in
// flight together when the server failed count once: otherwise one crash would eject the
// server for as long as many failed probes would.
func (se *server) recordFailure(at, start time.Duration, threshold int) {
	se.ownFailures += failureGain * (1 - se.ownFailures)
	if se.onProbation && start <= se.ejectedAt {
		return
	}
	se.failureRun++
	if se.failureRun < threshold && !se.onProbation {
		return
	}
	se.onProbation, se.ejectedAt = true, at
	se.ejectedUntil = at + backoff(minEjection, se.failureRun-threshold)
}

// recordAbandoned records an abandoned request that began at start. Requests that were in
// flight together count once.
func (se *server) recordAbandoned(at, start time.Duration) {
	if start <= se.abandonedAt {
		return
	}
	se.abandonedAt = at
	se.suspectUntil = at + backoff(minSuspicion, se.abandonedRun)
	se.abandonedRun++
}

// backoff returns the delay, doubled the given number of times, up to maxEjection.
func backoff(delay time.Duration, times int) time.Duration {
	for ; times > 0 && delay < maxEjection; times-- {
		delay *= 2
	}
	return min(delay, maxEjection)
}

// recordLoad stores a reported load.
func (se *server) recordLoad(at time.Duration, re Report) {
	se.waiting, se.slots, se.pace = max(0, re.Waiting), re.Slots, re.Pace
	se.loadAt = at
}

// freshness returns the weight of the reported load, from 0 to 1.
func (se *server) freshness(at time.Duration) float64 {
	return max(0, 1-float64(at-se.loadAt)/float64(loadTTL))
}

// capacity returns the server's slots.
func (se *server) capacity() float64 {
	if se.slots > 0 {
		return float64(se.slots)
	}
	return float64(max(1, se.record.Slots))
}

// expectedLatency returns the expected latency at the server, in nanoseconds, of work with
// the given median, including the expected cost of failures.
func (se *server) expectedLatency(at, median time.Duration, hedge bool) float64 {
	fresh := se.freshness(at)
	nanos := se.slowness(at) * float64(median)
	nanos *= 1 + (float64(len(se.inFlight))+fresh*float64(se.waiting))/se.capacity()
	if se.pace > 0 {
		nanos *= 1 + fresh*(float64(se.pace)/usualPace-1)
	}
	nanos *= 1 + failureCost*se.failures(at)
	nanos *= se.stallFactor(at)
	if hedge {
		nanos *= 1 + staleCost*min(1, float64(at-se.answeredAt)/float64(staleAfter))
	}
	return nanos
}

// stallFactor returns the age of the oldest request in flight as a multiple of its expected
// latency, at least one. It shows that a server may be stalled long before a request is
// overdue.
func (se *server) stallFactor(at time.Duration) float64 {
	ratio := 1.0
	for ix := range se.inFlight {
		fl := &se.inFlight[ix]
		ratio = max(ratio, float64(at-fl.start)/float64(fl.expected))
	}
	return ratio
}

// health classifies a server independently of its expected latency.
type health uint8

const (
	healthy  health = iota // healthy is a server in none of the states below.
	suspect                // suspect has a request in flight beyond its hedge delay, or had one abandoned a moment ago.
	ejected                // ejected is set aside after failures, or has a probe in flight.
	probeDue               // probeDue was ejected and may now be probed by one request.
)

func (se *server) health(at time.Duration) health {
	switch {
	case se.onProbation && (at < se.ejectedUntil || len(se.inFlight) > 0):
		return ejected
	case se.onProbation:
		return probeDue
	case se.numSuspected > 0 || at < se.suspectUntil:
		return suspect
	}
	return healthy
}
