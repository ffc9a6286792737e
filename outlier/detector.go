package outlier

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// span is the least time over which samples are judged. Backend servers stand
	// still for up to a quarter of a second now and then, and are quick again: a
	// server is slow only if two spans in a row say so, which no such pause fills.
	span = 400 * time.Millisecond
	// leastSamples is how many samples a span needs; it is prolonged until it has
	// them. One request in a hundred is slow at a sound server.
	leastSamples = 3
	// leastSlow and leastFailing are the levels from which a server is slow (1.6
	// times the usual latency) or failing.
	leastSlow    = 0.47
	leastFailing = 0.15
	// mostSlow bounds the slowness of one sample.
	mostSlow = 3.0
	// movedSlow and movedFailing are by how much a level must change to be told.
	movedSlow    = 0.3
	movedFailing = 0.2
	// again is after how long a finding is told again, so that it doesn't run out.
	again = Lifetime / 2
	// forget is after how long without samples a server is forgotten.
	forget = 10 * time.Second
	// mostServers bounds the servers that are remembered.
	mostServers = 16384
)

// Detector judges backend servers by the samples of all entry instances. It is
// used by one goroutine at a time and reads no clock.
type Detector struct {
	servers map[string]*server
}

// server is what is known of one backend server.
type server struct {
	slow, failing signal
	told          Finding
	toldAt        time.Time
	seen          time.Time
}

// signal is one property of a server, judged span by span.
type signal struct {
	begun  time.Time
	sum    float64
	count  uint32
	before float64 // before is the mean of the span before.
	level  float64 // level is the lower mean of the last two spans, or 0.
}

// New returns a detector that has seen nothing.
func New() *Detector { return &Detector{servers: make(map[string]*server)} }

// Add takes in the samples of one entry instance.
func (de *Detector) Add(now time.Time, sas []Sample) {
	for _, sa := range sas {
		se := de.servers[sa.ID]
		if se == nil {
			if len(de.servers) >= mostServers {
				continue
			}
			se = &server{}
			de.servers[sa.ID] = se
		}
		se.seen = now
		if sa.Count > 0 && !math.IsNaN(float64(sa.Log)) {
			most := mostSlow * float64(sa.Count)
			se.slow.add(now, max(-most, min(most, float64(sa.Log))), sa.Count)
		}
		se.failing.add(now, float64(sa.Failed), sa.Served+sa.Failed)
	}
}

func (si *signal) add(now time.Time, sum float64, count uint32) {
	if count == 0 {
		return
	}
	if si.count == 0 {
		si.begun = now
	}
	si.sum += sum
	si.count += count
}

// judge ends the span if it is long enough and has enough samples.
func (si *signal) judge(now time.Time, least float64) {
	if si.count < leastSamples || now.Sub(si.begun) < span {
		return
	}
	mean := si.sum / float64(si.count)
	si.level = min(mean, si.before)
	if si.level < least {
		si.level = 0
	}
	si.before, si.sum, si.count = mean, 0, 0
}

// Findings returns what is to be told now, by id: levels that have changed, and
// those that stand and were told a while ago.
func (de *Detector) Findings(now time.Time) []Finding {
	var out []Finding
	for id, se := range de.servers {
		se.slow.judge(now, leastSlow)
		se.failing.judge(now, leastFailing)
		fi := Finding{ID: id, Slowness: float32(se.slow.level), Failures: float32(se.failing.level)}
		idle := now.Sub(se.seen) >= forget
		if idle {
			fi = Finding{ID: id}
		}
		if fi.news(se.told) || !fi.Clear() && now.Sub(se.toldAt) >= again {
			se.told, se.toldAt = fi, now
			out = append(out, fi)
		}
		if idle {
			delete(de.servers, id)
		}
	}
	slices.SortFunc(out, func(a, b Finding) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// news reports whether a finding says something else than the one told before.
func (fi Finding) news(told Finding) bool {
	return differ(fi.Slowness, told.Slowness, movedSlow) || differ(fi.Failures, told.Failures, movedFailing)
}

func differ(a, b float32, moved float64) bool {
	return (a == 0) != (b == 0) || math.Abs(float64(a-b)) >= moved
}
