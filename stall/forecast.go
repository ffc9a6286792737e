package stall

import (
	"math"
	"slices"
	"time"
)

const (
	// minSpread and maxSpread bound how much sooner or later than forecast a stall is
	// assumed to begin.
	minSpread = 15 * time.Millisecond
	maxSpread = 60 * time.Millisecond
	// phaseTolerance is the deviation up to which two starts of a server agree, given the
	// period: each may be off by 50 ms.
	phaseTolerance = 100 * time.Millisecond
	// maxChance is the probability up to which so many starts of a server may agree by
	// chance for a forecast.
	maxChance = 0.15
	// judgeDelay is how long after the end of a forecast stall it is judged: observations of
	// it may still be on their way.
	judgeDelay = 150 * time.Millisecond
	// maxContradicted is the number of forecast stalls in a row, without one that came,
	// during which a request was answered as usual; maxIrregular is the number of stalls at
	// other times. With either of them the forecast is dropped.
	maxContradicted = 2
	maxIrregular    = 12
	// maxUnconfirmed is the number of periods without an observed stall after which a
	// forecast is dropped. One in four stalls is observed, since requests avoid the server.
	maxUnconfirmed = 20
	// fewAgreeing is how many starts say too little about the length of stalls, because the
	// requests that were stuck may have been given up before the end.
	fewAgreeing = 3
	// maxStallAge is the number of periods since its last stall for which a server gets a new
	// forecast.
	maxStallAge = 6
	// nearMargin is how far outside of the forecast a stall may be and still confirm it.
	nearMargin = 50 * time.Millisecond
	// resendInterval is the time after which a forecast is sent again, for entry instances
	// that have not heard it. maxForecasts bounds the forecasts in one message: with four
	// messages a second and 41 bytes for each forecast they take at most 2 KB a second. Of
	// more than 288 servers each is repeated less often.
	resendInterval = 6 * time.Second
	maxForecasts   = 12
	// edgeMargin is how far a stall may exceed the forecast one without moving it, and
	// maxMove bounds how far one stall moves the forecast.
	edgeMargin = 10 * time.Millisecond
	maxMove    = 20 * time.Millisecond
)

// forecast is the forecast of one server.
type forecast struct {
	next, length, spread time.Duration // the next stall, or the one that is not judged yet
	came, contradicted   bool          // what was observed of it
	numContradicted      int
	numIrregular         int
	confirmedAt          time.Duration
	sentAt               time.Duration
	dirty                bool          // is new, or has changed much, since sentAt
	moved                time.Duration // by how much since sentAt
}

// covers reports whether an interval overlaps the forecast stall.
func (fc *forecast) covers(in interval) bool {
	return in.end > fc.next-fc.spread && in.start < fc.next+fc.length+fc.spread
}

// near reports whether an interval confirms the forecast.
func (fc *forecast) near(in interval) bool {
	return fc.covers(interval{start: in.start - nearMargin, end: in.end + nearMargin})
}

// observe records an observation.
func (fc *forecast) observe(ob Observation, in interval) {
	if ob.Kind != Quick {
		fc.came = fc.came || fc.near(in)
		return
	}
	if in.start >= fc.next+fc.spread-edgeMargin && in.end <= fc.next+fc.length-fc.spread+edgeMargin {
		fc.contradicted = true
	}
}

// Reasons why a forecast is dropped.
const (
	reasonContradicted = "answers during forecast stalls"
	reasonIrregular    = "stalls at other times"
	reasonUnconfirmed  = "no stall for many periods"
	reasonTrouble      = "slow for longer than a stall"
	reasonRestarted    = "the server started again"
	reasonPeriod       = "most forecasts of this kind failed"
)

// judge judges the forecast stall once it is over and moves on to the next one. It returns
// why the forecast is to be dropped, or an empty string.
func (tr *Tracker) judge(at time.Duration, se *server, gr *group) string {
	fc, period := se.forecast, se.period
	if at < fc.next+fc.length+fc.spread+judgeDelay {
		return ""
	}
	switch {
	case fc.came:
		tr.counts.Right++
		fc.numContradicted, fc.numIrregular, fc.confirmedAt = 0, 0, at
		gr.moved += fc.follow(se.current)
	case fc.contradicted:
		tr.counts.Wrong++
		fc.numContradicted++
	default:
		tr.counts.Right++
	}
	gr.numJudged++
	fc.came, fc.contradicted = false, false
	for fc.next+fc.length+fc.spread <= at {
		fc.next += period
	}
	switch {
	case fc.numContradicted >= maxContradicted:
		return reasonContradicted
	case fc.numIrregular >= maxIrregular:
		return reasonIrregular
	case at-fc.confirmedAt > maxUnconfirmed*period:
		return reasonUnconfirmed
	}
	return ""
}

// follow moves the forecast if the observed stall exceeds it, and returns by how much.
// Requests avoid the server, so that most stalls are observed in part only: one that lies
// within the forecast moves nothing.
func (fc *forecast) follow(in interval) time.Duration {
	if !fc.near(in) {
		return 0
	}
	early := fc.next - edgeMargin - in.start
	late := in.end - edgeMargin - (fc.next + fc.length)
	if in.answered {
		late -= edgeMargin // The work took its time after the stall.
	}
	move := time.Duration(0)
	switch {
	case early > 0 && late > 0:
		fc.length = min(fc.length+min(late, maxMove)/2, MaxLength)
	case early > 0:
		move = -min(early, 2*maxMove) / 2
	case late > 0:
		move = min(late, 2*maxMove) / 2
	default:
		return 0
	}
	fc.next += move
	fc.moved += move
	if fc.moved >= edgeMargin/2 || fc.moved <= -edgeMargin/2 {
		fc.dirty = true
	}
	return move
}

// newForecast returns a forecast by the recorded stalls of a server, or nil if too few of
// their starts agree.
func newForecast(at, period, usual time.Duration, stalls []interval) *forecast {
	var best []interval
	for _, anchor := range stalls {
		var agreeing []interval
		for _, in := range stalls {
			if _, off := multipleOf(in.start-anchor.start, period); off <= phaseTolerance && off >= -phaseTolerance {
				agreeing = append(agreeing, in)
			}
		}
		if len(agreeing) >= len(best) {
			best = agreeing
		}
	}
	if chanceOfAgreement(len(stalls), len(best), chanceOf(phaseTolerance, period)) > maxChance {
		return nil
	}
	last := best[len(best)-1]
	if at-last.start > maxStallAge*period {
		return nil
	}
	first, latest, sum, longest := time.Duration(0), time.Duration(0), time.Duration(0), MinLength
	for _, in := range best {
		_, off := multipleOf(in.start-last.start, period)
		first, latest, sum = min(first, off), max(latest, off), sum+off
		longest = max(longest, in.end-in.start)
	}
	if len(best) <= fewAgreeing {
		longest = max(longest, usual)
	}
	mean := sum / time.Duration(len(best))
	fc := &forecast{next: last.start + mean, length: min(longest, MaxLength), confirmedAt: at, dirty: true}
	fc.spread = min(max(latest-mean, mean-first, minSpread), maxSpread)
	for fc.next+fc.length+fc.spread <= at {
		fc.next += period
	}
	return fc
}

// chanceOfAgreement returns the probability that of some random starts at least the given
// number agree with one of them, if any other one does with a probability of chance.
func chanceOfAgreement(starts, agreeing int, chance float64) float64 {
	if agreeing < 2 {
		return 1
	}
	tail, others := 0.0, starts-1
	for count := agreeing - 1; count <= others; count++ {
		tail += binomial(others, count, chance)
	}
	return min(1, tail*float64(starts)/float64(agreeing))
}

// binomial returns the probability of exactly count successes in a number of trials.
func binomial(trials, count int, chance float64) float64 {
	out := math.Pow(1-chance, float64(trials-count))
	for ix := range count {
		out *= chance * float64(trials-ix) / float64(ix+1)
	}
	return out
}

// usualLength returns the length that three in four of the recorded stalls don't exceed.
func usualLength(ses []*server) time.Duration {
	var lengths []time.Duration
	for _, se := range ses {
		for _, in := range se.stalls {
			lengths = append(lengths, in.end-in.start)
		}
	}
	if len(lengths) == 0 {
		return defaultLength
	}
	slices.Sort(lengths)
	return min(max(lengths[len(lengths)*3/4], MinLength), MaxLength)
}
