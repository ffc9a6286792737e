package replica

import (
	"math"
	"time"

	"balsamwinch.example/registry"
)

const (
	// usualGain and jumpGain are the weights of a new latency in the slowness, in
	// the logarithm; jumpGain is for one beyond jump times the learned value,
	// either way, so that two or three answers show a server that turned slow.
	usualGain = 0.12
	jumpGain  = 0.4
	jump      = 2.0
	// mostRatio bounds one latency against the median of its work.
	mostRatio = 20.0
	// forgetSlow is the time in which the logarithm of the slowness, and the
	// share of failures, fall to a third while nothing is heard of the server.
	forgetSlow = 5 * time.Second
	// warmSlow is the slowness from which a server that has just started is known.
	warmSlow = 1.5
	// failureGain is the weight of a new outcome in the share of failures, and
	// failureCost how many expected times one failure is worth.
	failureGain = 0.25
	failureCost = 4.0
	// failedRun is how many failures in a row set a server aside; refusals and
	// broken connections do so at the first one.
	failedRun = 2
	// leastAside and mostAside bound for how long a server is set aside.
	leastAside = 100 * time.Millisecond
	mostAside  = 2 * time.Second
	// silentAside is for how long a server that let a request wait in vain counts
	// as suspect: about what is left of a pause when it is noticed.
	silentAside = 150 * time.Millisecond
	// loadFresh is how long a reported load is of any use; it counts for less
	// with every moment.
	loadFresh = time.Second
	// usualPace is the reported pace at which work takes as long as usual.
	usualPace = 100
)

// server is what is known of one backend server.
type server struct {
	record  registry.Server
	moved   bool // moved says that its address belongs to another server for good.
	flights []flight
	flown   uint64 // flown counts the requests sent.

	slowness float64       // slowness is the logarithm of its latency against the median.
	heard    time.Duration // heard is when the last latency came, answered that or the last failure.
	answered time.Duration // answered is when the last answer came; negative for never.
	failures float64       // failures is the decaying share of failures.
	run      int           // run counts the failures in a row.
	silences int           // silences counts the requests in a row that waited in vain.
	quick    bool          // quick says that the last answer was no slower than usual.
	aside    time.Duration // aside is until when the server is set aside.
	proving  bool          // proving says that it was set aside and has not served since.
	doubted  time.Duration // doubted is until when it is suspect.
	late     int           // late counts the overdue requests in flight.

	running, waiting, slots, pace int
	loaded                        time.Duration // loaded is when the load was reported; negative for never.
}

// flight is a request on its way.
type flight struct {
	number  uint64
	start   time.Duration
	work    *work
	typical time.Duration // typical is how long it was expected to take.
	overdue bool
}

func newServer(at time.Duration, re registry.Server) *server {
	se := &server{record: re, heard: at, answered: -1, loaded: -1}
	if re.WarmMillis > 0 {
		se.slowness = math.Log(warmSlow)
	}
	return se
}

// take notes a request that is sent now and returns its number.
func (se *server) take(at time.Duration, wo *work, typical time.Duration) uint64 {
	se.flown++
	se.flights = append(se.flights, flight{number: se.flown, start: at, work: wo, typical: typical})
	return se.flown
}

// flight returns the index of a request in flight; negative if it has ended.
func (se *server) flight(number uint64) int {
	for ix := range se.flights {
		if se.flights[ix].number == number {
			return ix
		}
	}
	return -1
}

// land removes a request in flight.
func (se *server) land(ix int) flight {
	fl := se.flights[ix]
	last := len(se.flights) - 1
	se.flights[ix] = se.flights[last]
	se.flights[last] = flight{}
	se.flights = se.flights[:last]
	if fl.overdue {
		se.late--
	}
	return fl
}

// fade returns what is left of a belief that was last renewed at heard.
func (se *server) fade(at time.Duration) float64 {
	return math.Exp(-float64(at-se.heard) / float64(forgetSlow))
}

// factor returns how many times longer than usual the server takes.
func (se *server) factor(at time.Duration) float64 {
	return math.Exp(se.slowness * se.fade(at))
}

// renew brings the beliefs to the present, before news change them.
func (se *server) renew(at time.Duration) {
	left := se.fade(at)
	se.slowness *= left
	se.failures *= left
	se.heard = at
}

// learn takes in how long a request took against the median of its work. An
// early latency, of a request that was given up, is less than the real one and
// can only raise the slowness.
func (se *server) learn(latency, typical time.Duration, early bool) {
	ratio := float64(latency) / float64(max(typical, 1))
	ratio = min(max(ratio, 1/mostRatio), mostRatio)
	step := math.Log(ratio) - se.slowness
	if early && step <= 0 {
		return
	}
	gain := usualGain
	if math.Abs(step) > math.Log(jump) {
		gain = jumpGain
	}
	se.slowness += gain * step
}

// served notes that the server has answered.
func (se *server) served(at time.Duration) {
	se.failures -= failureGain * se.failures
	se.run, se.silences = 0, 0
	se.proving, se.doubted = false, 0
	se.answered = at
	for ix := range se.flights {
		se.flights[ix].overdue = false
	}
	se.late = 0
}

// failed notes a failure; a hard one sets the server aside at once.
func (se *server) failed(at time.Duration, hard bool) {
	se.failures += failureGain * (1 - se.failures)
	se.run++
	need := failedRun
	if hard || se.proving {
		need = 1
	}
	if se.run >= need {
		se.proving = true
		se.aside = at + grown(leastAside, se.run-need)
	}
}

// silent notes a request that waited in vain.
func (se *server) silent(at time.Duration) {
	se.doubted = at + grown(silentAside, se.silences)
	se.silences++
}

// grown returns a span that was doubled a number of times, up to mostAside.
func grown(least time.Duration, times int) time.Duration {
	for ; times > 0 && least < mostAside; times-- {
		least *= 2
	}
	return min(least, mostAside)
}

// load takes over a reported load.
func (se *server) load(at time.Duration, re Report) {
	se.running, se.waiting, se.slots, se.pace = re.Running, re.Waiting, re.Slots, re.Pace
	se.loaded = at
}

// freshness returns how much a reported load still counts, from 0 to 1.
func (se *server) freshness(at time.Duration) float64 {
	if se.loaded < 0 {
		return 0
	}
	return max(0, 1-float64(at-se.loaded)/float64(loadFresh))
}

// capacity returns the server's slots.
func (se *server) capacity() float64 {
	if se.loaded >= 0 && se.slots > 0 {
		return float64(se.slots)
	}
	return float64(max(1, se.record.Slots))
}

// expected returns the time that work of the given median is expected to take,
// and the standing of the server.
func (se *server) expected(at, typical time.Duration) (float64, standing) {
	queue := float64(len(se.flights)) / se.capacity()
	factor := se.factor(at)
	if fresh := se.freshness(at); fresh > 0 {
		queue += fresh * float64(se.waiting) / se.capacity()
		if se.pace > 0 {
			factor *= 1 + fresh*(float64(se.pace)/usualPace-1)
		}
	}
	time := factor * float64(typical) * (1 + queue)
	time *= 1 + failureCost*se.failures*se.fade(at)
	time *= se.stillness(at)
	return time, se.standing(at)
}

// stillness returns a factor above one while a request has been in flight for
// longer than it should: the server may stand still, before it is overdue.
func (se *server) stillness(at time.Duration) float64 {
	most := 1.0
	for ix := range se.flights {
		fl := &se.flights[ix]
		most = max(most, float64(at-fl.start)/float64(max(fl.typical, 1)))
	}
	return most
}

// standing says what is thought of a server beside its expected time.
type standing uint8

const (
	sound   standing = iota // sound is any server without the faults below.
	suspect                 // suspect lets a request wait beyond its hedge time, or did so a moment ago.
	shunned                 // shunned is set aside, or has a probe in flight.
	due                     // due was set aside and may be probed by one request.
)

func (se *server) standing(at time.Duration) standing {
	switch {
	case se.proving && (at < se.aside || len(se.flights) > 0):
		return shunned
	case se.proving:
		return due
	case se.late > 0 || at < se.doubted:
		return suspect
	}
	return sound
}

const (
	staleSpan  = 300 * time.Millisecond
	staleFirst = 0.0001
	staleHedge = 0.5
)

func (se *server) stale(at time.Duration, hedge bool) float64 {
	cost := staleFirst
	if hedge {
		cost = staleHedge
	}
	return 1 + cost*min(1, float64(at-se.answered)/float64(staleSpan))
}
