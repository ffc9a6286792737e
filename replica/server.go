package replica

import (
	"math"
	"time"

	"balsamwinch.example/outlier"
	"balsamwinch.example/registry"
)

const (
	// usualGain is the weight of a new latency in the logarithm of the slowness.
	// One that is off by the factor jump, either way, weighs jumpGain, so that a
	// server that turned slow is left after two or three answers.
	usualGain = 0.12
	jumpGain  = 0.4
	jump      = 2.0
	// mostRatio bounds one latency against the median of its work.
	mostRatio = 20.0
	// forgetSlow is the time in which the logarithm of the slowness, and the
	// share of failures, fall to 1/e while nothing is heard of the server.
	forgetSlow = 5 * time.Second
	// warmSlow is the slowness that a server is thought to have when it has just
	// started.
	warmSlow = 1.5
	// failureGain is the weight of a new outcome in the share of failures, and
	// failureCost how many expected times a failure is worth.
	failureGain = 0.25
	failureCost = 4.0
	// failedRun is how many failures in a row set a server aside; a refusal or a
	// failed connection does at once.
	failedRun = 2
	// leastAside and mostAside bound for how long a server is set aside.
	leastAside = 100 * time.Millisecond
	mostAside  = 2 * time.Second
	// leastDoubt is for how long a server that let a request wait in vain is
	// suspect, at the first time. Most of them only pause.
	leastDoubt = 100 * time.Millisecond
	// loadFresh is how long a reported load is of any use; it counts for less
	// with every moment.
	loadFresh = time.Second
	// usualPace is the reported pace at which work takes as long as usual.
	usualPace = 100.0
	// staleSpan is how long a server must not have answered to count as
	// staleCost worse for a hedge: it may have begun to pause since.
	staleSpan = 150 * time.Millisecond
	staleCost = 1.0
)

// never is the time of what has not happened.
const never = time.Duration(math.MinInt64 / 2)

// server is what is known of one backend server.
type server struct {
	record  registry.Server
	moved   bool // moved says that its address belongs to another server for good.
	flights []flight
	flown   uint64 // flown counts the requests sent.

	slowness float64       // slowness is the logarithm of its latency against the median.
	quick    bool          // quick says that the last answer was no slower than usual.
	failures float64       // failures is the decaying share of failures.
	renewed  time.Duration // renewed is when slowness and failures were brought up to date.
	answered time.Duration // answered is when the last answer came.

	run      int           // run counts the failures in a row.
	proving  bool          // proving says that it was set aside and has not served since.
	since    time.Duration // since is when it was last set aside.
	aside    time.Duration // aside is until when.
	blamed   int           // blamed counts the flights that make it suspect.
	silences int           // silences counts the requests in a row that waited in vain.
	silent   time.Duration // silent is when the last one of them ended.
	doubted  time.Duration // doubted is until when it is suspect for them.

	waiting, slots, pace int           // These are as reported.
	loaded               time.Duration // loaded is when they were.

	returned time.Duration // returned is when it was ready again after it had not been.
	permit   permit        // permit bounds the requests to it while it is cold.

	news outlier.Sample // news is what is to be told of it; see news.go.
	// slowFirst, slowLast and quickSent are when the slow and quick requests of the news
	// were sent.
	slowFirst, slowLast, quickSent time.Duration

	found outlier.Finding // found is what all entry instances together saw of it.
	until time.Duration   // until is when that runs out.
}

// flight is a request on its way.
type flight struct {
	number  uint64
	start   time.Duration
	work    *work
	typical time.Duration // typical is how long it was expected to take.
	overdue bool          // overdue says that it passed its hedge time.
	blamed  bool          // blamed says so too, while the server has not answered since.
	told    bool          // told says that the others know already how slow it is.
}

func newServer(at time.Duration, re registry.Server) *server {
	se := &server{record: re, renewed: at, answered: never, silent: never, doubted: never, loaded: never, returned: never}
	if re.WarmMillis > 0 {
		se.slowness = math.Log(warmSlow)
	}
	return se
}

// take notes a request that is sent now and returns its number.
func (se *server) take(at time.Duration, wo *work) uint64 {
	typical := time.Duration(se.factor(at) * float64(wo.typical()))
	se.flown++
	se.flights = append(se.flights, flight{number: se.flown, start: at, work: wo, typical: max(typical, 1)})
	return se.flown
}

// find returns a request in flight; nil if it has ended.
func (se *server) find(number uint64) *flight {
	for ix := range se.flights {
		if se.flights[ix].number == number {
			return &se.flights[ix]
		}
	}
	return nil
}

// land removes a request in flight.
func (se *server) land(fl *flight) {
	if fl.blamed {
		se.blamed--
	}
	last := len(se.flights) - 1
	*fl = se.flights[last]
	se.flights[last] = flight{}
	se.flights = se.flights[:last]
}

// blame makes the server suspect for a request that is overdue.
func (se *server) blame(fl *flight) {
	if !fl.overdue {
		fl.overdue, fl.blamed = true, true
		se.blamed++
	}
}

// clear takes the blame off all requests in flight.
func (se *server) clear() {
	se.blamed = 0
	for ix := range se.flights {
		se.flights[ix].blamed = false
	}
}

// fade returns what is left of the slowness and the failures.
func (se *server) fade(at time.Duration) float64 {
	return math.Exp(-float64(at-se.renewed) / float64(forgetSlow))
}

// factor returns how many times longer than usual the server takes.
func (se *server) factor(at time.Duration) float64 {
	return math.Exp(se.slow(at))
}

// slow returns the logarithm of how many times longer than usual the server
// takes, by what this instance saw and what all together found.
func (se *server) slow(at time.Duration) float64 {
	own := se.slowness * se.fade(at)
	if at < se.until {
		return max(own, float64(se.found.Slowness))
	}
	return own
}

// failing returns the share of requests that fail, likewise.
func (se *server) failing(at time.Duration) float64 {
	own := se.failures * se.fade(at)
	if at < se.until {
		return max(own, float64(se.found.Failures))
	}
	return own
}

// renew brings the slowness and the failures up to date, before news.
func (se *server) renew(at time.Duration) {
	left := se.fade(at)
	se.slowness *= left
	se.failures *= left
	se.renewed = at
}

// learn takes in how long a request took against the median of its work. The
// latency of a request that was given up early is less than the real one and
// can only raise the slowness.
func (se *server) learn(latency, typical time.Duration, early bool) {
	ratio := float64(latency) / float64(max(typical, 1))
	ratio = min(max(ratio, 1/mostRatio), mostRatio)
	step := math.Log(ratio) - se.slowness
	if early && step <= 0 {
		return
	}
	se.quick = ratio < jump
	gain := usualGain
	if math.Abs(step) > math.Log(jump) {
		gain = jumpGain
	}
	se.slowness += gain * step
}

// serve notes that the server has answered.
func (se *server) serve(at time.Duration) {
	se.failures -= failureGain * se.failures
	se.run, se.silences = 0, 0
	se.proving, se.doubted = false, never
	se.answered = at
	se.clear()
}

// fail notes the failure of a request that began at start. Requests that were
// in flight together when the server fell ill count once: one crash must not
// set it aside for as long as many failed probes.
func (se *server) fail(at, start time.Duration, need int) {
	se.failures += failureGain * (1 - se.failures)
	if se.proving && start <= se.since {
		return
	}
	se.run++
	if se.run < need && !se.proving {
		return
	}
	se.proving, se.since = true, at
	se.aside = at + grown(leastAside, se.run-need)
}

// wait notes a request that began at start and waited in vain. Those that were
// in flight together count once.
func (se *server) wait(at, start time.Duration) {
	if start <= se.silent {
		return
	}
	se.silent = at
	se.doubted = at + grown(leastDoubt, se.silences)
	se.silences++
}

// grown returns a span that is doubled a number of times, up to mostAside.
func grown(least time.Duration, times int) time.Duration {
	for ; times > 0 && least < mostAside; times-- {
		least *= 2
	}
	return min(least, mostAside)
}

// load takes over a reported load.
func (se *server) load(at time.Duration, re Report) {
	se.waiting, se.slots, se.pace = max(0, re.Waiting), re.Slots, re.Pace
	se.loaded = at
}

// freshness returns how much a reported load still counts, from 0 to 1.
func (se *server) freshness(at time.Duration) float64 {
	return max(0, 1-float64(at-se.loaded)/float64(loadFresh))
}

// capacity returns the server's slots.
func (se *server) capacity() float64 {
	if se.slots > 0 {
		return float64(se.slots)
	}
	return float64(max(1, se.record.Slots))
}

// expected returns how long work of the given median should take at the
// server, in nanoseconds, with what its failures cost.
func (se *server) expected(at, typical time.Duration, hedge bool) float64 {
	fresh := se.freshness(at)
	time := se.factor(at) * float64(typical)
	time *= 1 + (float64(len(se.flights))+fresh*float64(se.waiting))/se.capacity()
	if se.pace > 0 {
		time *= 1 + fresh*(float64(se.pace)/usualPace-1)
	}
	time *= 1 + failureCost*se.failing(at)
	time *= se.stillness(at)
	if hedge {
		time *= 1 + staleCost*min(1, float64(at-se.answered)/float64(staleSpan))
	}
	return time
}

// stillness returns by how many times the oldest request in flight exceeds its
// expected time, at least one: the server may stand still, long before the
// request is overdue.
func (se *server) stillness(at time.Duration) float64 {
	most := 1.0
	for ix := range se.flights {
		fl := &se.flights[ix]
		most = max(most, float64(at-fl.start)/float64(fl.typical))
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
	case se.blamed > 0 || at < se.doubted:
		return suspect
	}
	return sound
}
