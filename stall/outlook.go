package stall

import "time"

// minWait is the rest of a stall from which a server is avoided. A shorter wait costs less
// than the difference between two replicas usually does.
const minWait = 4 * time.Millisecond

// answerMargin is how long after the begin of a stall an answered request must have been
// sent to show that news of the stall is outdated when it arrives. The begin is the send
// time of the first stuck request, which may precede the real one by the time of its work.
const answerMargin = 20 * time.Millisecond

// maxAhead bounds how long before a forecast stall a server is avoided. Work that takes longer
// would have to wait for the stall at some server anyway, which matters less to it.
const maxAhead = 100 * time.Millisecond

// forecastTTL is how long a forecast is used after it was last heard. Control instances
// repeat it every 6 s, less often where there are many servers.
const forecastTTL = time.Minute

// Outlook is what an entry instance knows of the stalls of one backend server. The zero
// value knows of none.
type Outlook struct {
	began, until time.Duration // the stall of the newest news; none if until is 0
	hasAnswer    bool
	answered     time.Duration // send time of the newest answered request, if there is one

	// The forecast. The first stall that it tells of begins at next; there is none if period
	// is 0.
	period, next, length, spread time.Duration
	expires                      time.Duration
}

// Hear applies news of a stall that arrived now, late by the given time.
func (ou *Outlook) Hear(at, late time.Duration, st Stall) {
	left := min(fromMillis(st.LeftMillis), MaxLength) - late
	if late >= MaxNewsAge || left <= 0 {
		return
	}
	began := at - late - fromMillis(st.AgeMillis)
	if ou.hasAnswer && ou.answered > began+answerMargin {
		return // The stall has ended, or the report was wrong.
	}
	if at < ou.until {
		began = min(began, ou.began)
	}
	ou.began, ou.until = began, max(ou.until, at+left)
}

// Answered records an answer that came now to a request of the given send time. The stall
// of the news has ended if the request was sent after its begin.
func (ou *Outlook) Answered(sent time.Duration) {
	if !ou.hasAnswer || sent > ou.answered {
		ou.hasAnswer, ou.answered = true, sent
	}
	if sent > ou.began {
		ou.until = 0
	}
}

// SetForecast applies a forecast that arrived now, late by the given time. One that makes no
// sense withdraws the forecast.
func (ou *Outlook) SetForecast(at, late time.Duration, fc Forecast) {
	period := time.Duration(fc.PeriodMicros) * time.Microsecond
	length, spread, in := fromMillis(fc.LengthMillis), fromMillis(fc.SpreadMillis), fromMillis(fc.InMillis)
	ou.period = 0
	if period < minPeriod/2 || period > 2*maxPeriod || length <= 0 || length > MaxLength || spread > maxSpread || in > 2*period {
		return
	}
	ou.period, ou.next, ou.length, ou.spread, ou.expires = period, at+in-late, length, spread, at+forecastTTL
}

// Drop drops what is known, because the process stood still: delays that were counted from
// before may be wrong.
func (ou *Outlook) Drop() { *ou = Outlook{} }

// Until returns when the server will have ended the stall that a request sent now would
// meet, given the time that it takes. It returns false if there is none, or if its rest is
// too short to matter. Forecast is set if the stall is only forecast.
func (ou *Outlook) Until(at, work time.Duration) (until time.Duration, forecast, ok bool) {
	if at+minWait < ou.until {
		return ou.until, false, true
	}
	begin, ok := ou.forecastBefore(at, at+min(work, maxAhead)+ou.spread)
	if until = begin + ou.length + ou.spread; !ok || at+minWait >= until {
		return 0, false, false
	}
	return until, true, true
}

// forecastBefore returns the forecast begin of the newest stall that begins before a time.
func (ou *Outlook) forecastBefore(at, limit time.Duration) (time.Duration, bool) {
	if ou.period == 0 || at >= ou.expires || limit < ou.next {
		return 0, false
	}
	return ou.next + (limit-ou.next)/ou.period*ou.period, true
}

// Contradicts reports whether a request that was answered now as usual shows that a
// forecast stall did not come: the server had it while it surely should have been stalled.
func (ou *Outlook) Contradicts(at, sent time.Duration) bool {
	begin, ok := ou.forecastBefore(at, at)
	return ok && sent >= begin+ou.spread && at <= begin+ou.length-ou.spread
}
