package replica

import (
	"math"
	"slices"
	"time"

	"balsamwinch.example/outlier"
)

// note counts an outcome for the other entry instances.
func (se *server) note(kind ReportKind) {
	switch kind {
	case Served:
		se.news.Served++
	case Shed, Failed, Unreachable:
		se.news.Failed++
	case Silent, Moved, Canceled:
	}
}

// noteLatency notes a latency for the other entry instances. That of a request
// that was given up is less than the real one: it counts only if it shows the
// server slow all the same, or it would make a server that is never waited for
// seem quick.
func (se *server) noteLatency(latency, typical time.Duration, early bool) {
	ratio := float64(latency) / float64(max(typical, 1))
	if early && ratio < slowFactor {
		return
	}
	ratio = min(max(ratio, 1/mostRatio), mostRatio)
	se.news.Count++
	se.news.Log += float32(math.Log(ratio))
}

// News returns what this instance has seen of at most so many servers since it
// was last asked, for the other entry instances. What finds no room is kept for
// the next call, which goes on from there: the samples told must be no choice of
// the slow ones, or sound servers would seem slow.
func (tb *Table) News(most int) []outlier.Sample {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	ids := make([]string, 0, len(tb.servers))
	for id, se := range tb.servers {
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
		id := ids[(from+ix)%len(ids)]
		se := tb.servers[id]
		sa := se.news
		sa.ID, se.news = id, outlier.Sample{}
		out = append(out, sa)
	}
	tb.newsFrom = out[len(out)-1].ID + "\x00" // This is the least id after it.
	return out
}

// Hear takes over what was found of servers by all entry instances together.
//
// When a server is found well again, what this instance held against it is
// forgotten: it has not asked it since, so it can't know better.
func (tb *Table) Hear(now time.Time, fis []outlier.Finding) {
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
		se.found, se.until = fi, at+outlier.Lifetime
		if fi.Clear() {
			se.until = never
		}
	}
}
