package replica

import (
	"math"
	"slices"
	"time"

	"balsamwinch.example/outlier"
)

// newsGap is the time between two calls of News from which the process stood still
// meanwhile; they are a few hundred milliseconds apart.
const newsGap = time.Second

// note counts an outcome for the other entry instances.
func (se *server) note(kind Outcome) {
	switch kind {
	case Served:
		se.news.Served++
	case Shed, Failed, Unreachable:
		se.news.Failed++
	case Abandoned, Replaced, Canceled:
	}
}

// noteLatency notes the latency of a request for the other entry instances. That of one
// that was given up is less than the real one: it counts only if it shows the
// server slow all the same, or it would make a server that is never waited for
// seem quick.
func (se *server) noteLatency(fl *flight, latency, typical time.Duration, early bool) {
	ratio := float64(latency) / float64(max(typical, 1))
	if fl.told || early && ratio < outlier.SlowFactor {
		return
	}
	ratio = min(max(ratio, 1/mostRatio), mostRatio)
	se.news.Count++
	se.news.LogSum += float32(math.Log(ratio))
	if ratio < outlier.SlowFactor {
		se.quickSent = max(se.quickSent, fl.start)
		return
	}
	if se.news.Slow == 0 {
		se.slowFirst, se.slowLast = fl.start, fl.start
	}
	se.slowFirst, se.slowLast = min(se.slowFirst, fl.start), max(se.slowLast, fl.start)
	se.news.Slow++
}

// noteWaiting notes the requests in flight that have been slow already. While no hedge
// can be afforded, a request to a slow server ends with the caller's patience alone, and
// the others would learn of it no sooner. Requests from before the process stood still,
// since when it went on again, show nothing of their servers.
func (se *server) noteWaiting(at, since time.Duration) {
	for ix := range se.flights {
		fl := &se.flights[ix]
		if fl.start >= since && fl.work.known() {
			se.noteLatency(fl, at-fl.start, fl.work.typical(), true)
			fl.told = fl.told || float64(at-fl.start) >= outlier.SlowFactor*float64(fl.work.typical())
		}
	}
}

// News returns what this instance has seen of at most so many servers since it
// was last asked, for the other entry instances. What finds no room is kept for
// the next call, which goes on from there: the samples told must be no choice of
// the slow ones, or sound servers would seem slow.
func (tb *Balancer) TakeSamples(now time.Time, most int) []outlier.Sample {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	before, at := tb.newsAt, tb.at(now)
	tb.newsAt = at
	tb.pressing = false
	since := tb.resumed
	if at-before >= newsGap {
		since = at // It stood still just now, and Resumed is yet to say so.
	}
	ids := make([]string, 0, len(tb.servers))
	for id, se := range tb.servers {
		se.noteWaiting(at, since)
		if se.news != (outlier.Sample{}) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	from, _ := slices.BinarySearch(ids, tb.newsFrom)
	out := make([]outlier.Sample, 0, min(most, len(ids)))
	for ix := range min(most, len(ids)) {
		out = append(out, tb.servers[ids[(from+ix)%len(ids)]].takeNews(at))
	}
	tb.newsFrom = out[len(out)-1].ID + "\x00" // This is the least id after it.
	return out
}

// takeNews returns what is to be told of a server, and forgets it.
func (se *server) takeNews(at time.Duration) outlier.Sample {
	sa := se.news
	sa.ID = se.record.ID
	if sa.Slow > 0 {
		sa.OldestSlow, sa.NewestSlow = millisAgo(at, se.slowFirst), millisAgo(at, se.slowLast)
	}
	if sa.Count > sa.Slow {
		sa.NewestQuick = millisAgo(at, se.quickSent)
	}
	se.news, se.quickSent = outlier.Sample{}, 0
	return sa
}

func millisAgo(at, then time.Duration) uint32 { return uint32(max(0, at-then) / time.Millisecond) }

// Pressing is sent to when something was seen that the others should know soon: a slow
// or failing server. It holds one element at most until the next News.
func (tb *Balancer) Urgent() <-chan struct{} { return tb.press }

// urge makes the others be told soon if the news of a server are of a fault.
func (tb *Balancer) urge(se *server) {
	if tb.pressing || se.news.Slow == 0 && se.news.Failed == 0 {
		return
	}
	tb.pressing = true
	select {
	case tb.press <- struct{}{}:
	default:
	}
}

// Hear takes over what was found of servers by all entry instances together.
//
// When a server is found well again, what this instance held against it is
// forgotten: it has not asked it since, so it can't know better.
func (tb *Balancer) ApplyFindings(now time.Time, fis []outlier.Finding) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	at := tb.at(now)
	for _, fi := range fis {
		se := tb.servers[fi.ID]
		if se == nil {
			continue
		}
		se.renew(at)
		if fi.Slowness == 0 && se.found.Slowness > 0 {
			se.slowness = min(se.slowness, 0)
		}
		if fi.Slowness > 0 {
			se.quick = false // What it last answered here was before.
		}
		if fi.Failures == 0 && se.found.Failures > 0 {
			se.failures = 0
		}
		se.found, se.until = fi, at+outlier.FindingTTL
		if fi.Healthy() {
			se.until = never
		}
	}
}
