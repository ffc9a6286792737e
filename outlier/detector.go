package outlier

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// slowSpan is the minimum time over which latencies are evaluated. Backend servers
	// pause for up to a quarter of a second now and then, and their queues take half as
	// long again to drain. So a server is slow only if two consecutive spans say so, which
	// no such pause fills. With spans of 400 ms a pause at the border of two spans did (in
	// a model of 191 entry instances: 466 false findings in 16,128 server-seconds, 235 with
	// 800 ms). Servers that are much slower are found by their slow period long before.
	slowSpan = 800 * time.Millisecond
	// failingSpan is the same for failures, which pauses don't cause.
	failingSpan = 150 * time.Millisecond
	// minSamples is how many samples a span needs; it is extended until it has them. One
	// request in a hundred is slow at a healthy server.
	minSamples = 3
	// minSlowness and minFailures are the levels from which a server is slow or failing.
	// minSlowness is the logarithm of twice the usual latency; with 1.6 times, a server
	// that is by nature 1.3 times slower than others was found slow after every other
	// pause.
	minSlowness = 0.69
	minFailures = 0.15
	// maxSlowness bounds the slowness of one sample.
	maxSlowness = 3.0
	// slownessDelta and failuresDelta are the changes of a level from which it is sent
	// again.
	slownessDelta = 0.3
	failuresDelta = 0.2
	// resendInterval is the time after which a finding is sent again, so that it doesn't
	// expire.
	resendInterval = FindingTTL / 2
	// idleTTL is the time without samples after which a server is dropped.
	idleTTL = 10 * time.Second
	// maxReporters bounds the entry instances that are counted separately in a span. If
	// more report on a server, none of them has much weight.
	maxReporters = 16
	// maxServers bounds the servers that are tracked.
	maxServers = 16384
)

// Detector finds outliers among the backend servers by the samples of all entry instances.
// It reads no clock and is not safe for concurrent use.
type Detector struct {
	servers map[string]*server
}

// server is the state of one backend server.
type server struct {
	slow, failing signal
	slowPeriod    slowPeriod
	sent          Finding
	sentAt        time.Time
	sampledAt     time.Time
}

// signal is one property of a server, evaluated span by span.
type signal struct {
	start     time.Time
	sum       float64
	count     uint32
	reporters tally
	previous  float64 // previous is the mean of the previous span.
	level     float64 // level is the lower mean of the last two spans, or 0 if that is below the minimum.
}

// New returns a detector without samples.
func New() *Detector { return &Detector{servers: make(map[string]*server)} }

// Add adds the samples of the entry instance with the given name.
func (de *Detector) Add(now time.Time, from string, sas []Sample) {
	for _, sa := range sas {
		se := de.servers[sa.ID]
		if se == nil {
			if len(de.servers) >= maxServers {
				continue
			}
			se = &server{}
			de.servers[sa.ID] = se
		}
		se.sampledAt = now
		if sa.Count > 0 && !math.IsNaN(float64(sa.LogSum)) {
			limit := maxSlowness * float64(sa.Count)
			sa.LogSum = float32(max(-limit, min(limit, float64(sa.LogSum))))
			se.slow.add(now, from, float64(sa.LogSum), sa.Count)
			se.slowPeriod.add(now, from, sa)
		}
		se.failing.add(now, from, float64(sa.Failed), sa.Served+sa.Failed)
	}
}

func (si *signal) add(now time.Time, from string, sum float64, count uint32) {
	if count == 0 {
		return
	}
	if si.count == 0 {
		si.start = now
	}
	si.sum += sum
	si.count += count
	si.reporters.add(from, sum, count, maxReporters)
}

// endSpan ends the span if it has the given length and enough samples.
func (si *signal) endSpan(now time.Time, length time.Duration, minLevel float64) {
	if si.count < minSamples || now.Sub(si.start) < length {
		return
	}
	mean := si.mean()
	si.level = min(mean, si.previous)
	if si.level < minLevel {
		si.level = 0
	}
	si.previous, si.sum, si.count, si.reporters = mean, 0, 0, si.reporters[:0]
}

// mean returns the mean of the span, or the mean without the entry instance that reports
// the worst, whichever is lower. So a single instance that has a bad link, or lies, can't
// get a server ejected.
func (si *signal) mean() float64 {
	mean := si.sum / float64(si.count)
	worst := slices.MaxFunc(si.reporters, func(a, b report) int { return cmp.Compare(a.sum, b.sum) })
	if worst.count == si.count {
		return min(mean, 0)
	}
	return min(mean, (si.sum-worst.sum)/float64(si.count-worst.count))
}

// Findings returns the findings that should be sent now, sorted by id: those that have
// changed, and those that hold and were last sent resendInterval ago.
func (de *Detector) Findings(now time.Time) []Finding {
	var out []Finding
	for id, se := range de.servers {
		se.update(now)
		fi := Finding{ID: id, Slowness: float32(max(se.slow.level, se.slowPeriod.level)), Failures: float32(se.failing.level)}
		idle := now.Sub(se.sampledAt) >= idleTTL
		if idle {
			fi = Finding{ID: id}
		}
		if fi.differs(se.sent) || !fi.Healthy() && now.Sub(se.sentAt) >= resendInterval {
			se.sent, se.sentAt = fi, now
			out = append(out, fi)
		}
		if idle {
			delete(de.servers, id)
		}
	}
	slices.SortFunc(out, func(a, b Finding) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// update brings the levels up to date.
func (se *server) update(now time.Time) {
	se.slow.endSpan(now, slowSpan, minSlowness)
	se.failing.endSpan(now, failingSpan, minFailures)
	if se.failing.level > 0 {
		se.failing.level = se.failing.previous // The previous span may have begun before the failures did.
	}
	if se.slowPeriod.update(now, minSlowness) {
		se.slow = signal{} // Its samples are from before the server was quick again.
	}
}

// differs reports whether a finding differs from the one sent before by enough to be sent.
func (fi Finding) differs(sent Finding) bool {
	return differ(fi.Slowness, sent.Slowness, slownessDelta) || differ(fi.Failures, sent.Failures, failuresDelta)
}

func differ(a, b float32, minDelta float64) bool {
	return (a == 0) != (b == 0) || math.Abs(float64(a-b)) >= minDelta
}
