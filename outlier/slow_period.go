package outlier

import (
	"math"
	"time"
)

const (
	// maxPause is how long all requests to a healthy backend server may be slow: it pauses
	// for a quarter of a second, and its queue takes about 150 ms to drain. Slow requests
	// that were sent further apart than this did not meet a single pause. With 320 ms, 1.5
	// times as many pauses were mistaken for slowness.
	maxPause = 400 * time.Millisecond
	// minSlow is how many slow latencies a period needs, and minSlowFromOthers how many of
	// them must come from other instances than the one with the most: a single instance
	// that has a bad link, or lies, can't get a server ejected.
	minSlow           = 4
	minSlowFromOthers = 1
	// slowToQuick is how many slow latencies there must be for each quick one. A slow
	// server has some quick answers too, to short requests among long ones. With 3, twice
	// as many pauses were mistaken for slowness (in a model: 75 and 44 in 8,064
	// server-seconds).
	slowToQuick = 6
	// maxSlowGap is the time without slow requests that ends a period.
	maxSlowGap = time.Second
	// minQuick is how many consecutive latencies must be quick to end a finding. At a
	// server five times slower, one in 200 is (z = 2.6 at a spread of 0.35).
	minQuick = 2
	// maxPeriodReporters bounds the instances that are counted separately in a period.
	maxPeriodReporters = 8
)

// slowPeriod is a time in which requests to a backend server were slow. It finds a server
// that has turned slow sooner than two spans of a signal can: what distinguishes slowness
// from a pause is not how long requests waited but how far apart the slow ones were sent.
type slowPeriod struct {
	first, last time.Time // first and last are when the first and the last slow request were sent.
	slow, quick uint32
	logSum      float64   // logSum sums the logarithms of the samples with slow latencies.
	reporters   tally     // reporters are the entry instances that saw slow requests.
	foundAt     time.Time // foundAt is when the server was found slow; zero if it isn't.
	level       float64
	quickRun    uint32 // quickRun counts the consecutive quick latencies since foundAt.
}

// add adds a sample of an entry instance.
func (pe *slowPeriod) add(now time.Time, from string, sa Sample) {
	quick := sa.Count - min(sa.Slow, sa.Count)
	if sa.Slow > 0 {
		pe.addSlow(now, from, sa)
	}
	if quick == 0 {
		return
	}
	sent := millisBefore(now, sa.NewestQuick)
	if !pe.foundAt.IsZero() {
		if sa.Slow == 0 && sent.After(pe.foundAt) {
			pe.quickRun += quick
		}
		return
	}
	if sent.Before(pe.first) {
		return // It was sent before the period began.
	}
	if pe.quick += quick; pe.slow < slowToQuick*pe.quick && sa.Slow == 0 {
		*pe = slowPeriod{}
	}
}

func (pe *slowPeriod) addSlow(now time.Time, from string, sa Sample) {
	first, last := millisBefore(now, max(sa.OldestSlow, sa.NewestSlow)), millisBefore(now, sa.NewestSlow)
	if pe.foundAt.IsZero() && pe.slow > 0 && last.Sub(pe.last) >= maxSlowGap {
		*pe = slowPeriod{}
	}
	if pe.slow == 0 || first.Before(pe.first) && pe.first.Sub(first) < maxSlowGap {
		pe.first = first
	}
	if pe.slow == 0 || last.After(pe.last) {
		pe.last = last
	}
	pe.quickRun = 0
	pe.slow += sa.Slow
	pe.logSum += float64(sa.LogSum)
	pe.reporters.add(from, 0, sa.Slow, maxPeriodReporters)
}

// slowFromOthers returns how many slow latencies come from other entry instances than the
// one with the most.
func (pe *slowPeriod) slowFromOthers() uint32 {
	sum, maxCount := uint32(0), uint32(0)
	for _, re := range pe.reporters {
		sum += re.count
		maxCount = max(maxCount, re.count)
	}
	return sum - maxCount
}

// update decides whether the server is found slow now, and reports whether a finding has
// ended.
func (pe *slowPeriod) update(now time.Time, minLevel float64) (ended bool) {
	switch {
	case !pe.foundAt.IsZero():
		if pe.quickRun < minQuick {
			return false
		}
		*pe = slowPeriod{}
		return true
	case pe.slow < minSlow || pe.slow < slowToQuick*pe.quick || pe.slowFromOthers() < minSlowFromOthers || pe.last.Sub(pe.first) < maxPause:
		return false
	}
	if level := pe.logSum / float64(pe.slow+pe.quick); level >= minLevel {
		pe.foundAt, pe.level = now, min(level, maxSlowness)
	}
	return false
}

// millisBefore returns the time the given number of milliseconds before now.
func millisBefore(now time.Time, millis uint32) time.Time {
	return now.Add(-time.Duration(min(millis, math.MaxInt32)) * time.Millisecond)
}
