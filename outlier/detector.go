package outlier

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// span is the least time over which samples are judged. Backend servers stand
	// still for up to a quarter of a second now and then, and their queues drain for
	// half as long again: a server is slow only if two spans in a row say so, which no
	// such pause fills. With 400 ms a pause at the border of two spans did (model of 191
	// entry instances: 466 false findings in 16,128 server-seconds, 235 with 800). What is much
	// slower is found by its spell long before.
	span = 800 * time.Millisecond
	// failingSpan is the same for failures, which no pause brings about.
	failingSpan = 150 * time.Millisecond
	// leastSamples is how many samples a span needs; it is prolonged until it has
	// them. One request in a hundred is slow at a sound server.
	leastSamples = 3
	// leastSlow and leastFailing are the levels from which a server is slow (twice the
	// usual latency; at 1.6 times, a server that is 1.3 times slower than others by
	// nature was found after every other pause) or failing.
	leastSlow    = 0.69
	leastFailing = 0.15
	// mostSlow bounds the slowness of one sample.
	mostSlow = 3.0
	// movedSlow and movedFailing are by how much a level must change to be told.
	movedSlow    = 0.3
	movedFailing = 0.2
	// again is after how long a finding is told again, so that it doesn't run out.
	again = FindingTTL / 2
	// forget is after how long without samples a server is forgotten.
	forget = 10 * time.Second
	// mostTellers bounds the entry instances that are told apart in a span. Where more
	// tell of one server, none of them weighs much.
	mostTellers = 16
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
	spell         spell
	told          Finding
	toldAt        time.Time
	seen          time.Time
}

// signal is one property of a server, judged span by span.
type signal struct {
	begun   time.Time
	sum     float64
	count   uint32
	tellers tally
	before  float64 // before is the mean of the span before.
	level   float64 // level is the lower mean of the last two spans, or 0.
}

// New returns a detector that has seen nothing.
func New() *Detector { return &Detector{servers: make(map[string]*server)} }

// Add takes in the samples of the entry instance of a name.
func (de *Detector) Add(now time.Time, from string, sas []Sample) {
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
		if sa.Count > 0 && !math.IsNaN(float64(sa.LogSum)) {
			most := mostSlow * float64(sa.Count)
			sa.LogSum = float32(max(-most, min(most, float64(sa.LogSum))))
			se.slow.add(now, from, float64(sa.LogSum), sa.Count)
			se.spell.add(now, from, sa)
		}
		se.failing.add(now, from, float64(sa.Failed), sa.Served+sa.Failed)
	}
}

func (si *signal) add(now time.Time, from string, sum float64, count uint32) {
	if count == 0 {
		return
	}
	if si.count == 0 {
		si.begun = now
	}
	si.sum += sum
	si.count += count
	si.tellers.add(from, sum, count, mostTellers)
}

// judge ends the span if it has the given length and enough samples.
func (si *signal) judge(now time.Time, length time.Duration, least float64) {
	if si.count < leastSamples || now.Sub(si.begun) < length {
		return
	}
	mean := si.mean()
	si.level = min(mean, si.before)
	if si.level < least {
		si.level = 0
	}
	si.before, si.sum, si.count, si.tellers = mean, 0, 0, si.tellers[:0]
}

// mean returns the mean of the span, or that without the entry instance that says the
// worst, if it is lower: one with a bad link, or that lies, sets nobody aside.
func (si *signal) mean() float64 {
	mean := si.sum / float64(si.count)
	worst := slices.MaxFunc(si.tellers, func(a, b teller) int { return cmp.Compare(a.sum, b.sum) })
	if worst.count == si.count {
		return min(mean, 0)
	}
	return min(mean, (si.sum-worst.sum)/float64(si.count-worst.count))
}

// Findings returns what is to be told now, by id: levels that have changed, and
// those that stand and were told a while ago.
func (de *Detector) Findings(now time.Time) []Finding {
	var out []Finding
	for id, se := range de.servers {
		se.judge(now)
		fi := Finding{ID: id, Slowness: float32(max(se.slow.level, se.spell.level)), Failures: float32(se.failing.level)}
		idle := now.Sub(se.seen) >= forget
		if idle {
			fi = Finding{ID: id}
		}
		if fi.news(se.told) || !fi.Healthy() && now.Sub(se.toldAt) >= again {
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

// judge brings the levels up to date.
func (se *server) judge(now time.Time) {
	se.slow.judge(now, span, leastSlow)
	se.failing.judge(now, failingSpan, leastFailing)
	if se.failing.level > 0 {
		se.failing.level = se.failing.before // The span before may have begun when all was well.
	}
	if se.spell.judge(now, leastSlow) {
		se.slow = signal{} // What it holds was seen before the server was quick again.
	}
}

// news reports whether a finding says something else than the one told before.
func (fi Finding) news(told Finding) bool {
	return differ(fi.Slowness, told.Slowness, movedSlow) || differ(fi.Failures, told.Failures, movedFailing)
}

func differ(a, b float32, moved float64) bool {
	return (a == 0) != (b == 0) || math.Abs(float64(a-b)) >= moved
}
