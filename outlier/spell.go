package outlier

import (
	"math"
	"time"
)

const (
	// mostPause is for how long requests to a sound backend server may all be slow: it
	// stands still for a quarter of a second, and its queue drains for some 150 ms.
	// Requests that were sent further apart than this, and all found slow, met no single
	// pause. With 320 ms, half as many pauses again were taken for slowness.
	mostPause = 400 * time.Millisecond
	// leastSpell is how many slow latencies a spell needs, and leastOthers how many of
	// them from others than the instance with the most: one with a bad link, or that
	// lies, sets nobody aside.
	leastSpell  = 4
	leastOthers = 1
	// slowShare is how many slow latencies there must be for each quick one. Some are
	// quick at a slow server, too: short work among long. With 3, twice as many pauses
	// were taken for slowness (model: 75 and 44 in 8,064 server-seconds).
	slowShare = 6
	// spellGap ends a spell in which nothing was slow for so long.
	spellGap = time.Second
	// leastQuick is how many latencies in a row must be quick to end a finding. At a
	// server five times slower, one in 200 is (z = 2.6 at a spread of 0.35).
	leastQuick = 2
	// mostReporters bounds the instances that are told apart in a spell.
	mostReporters = 8
)

// spell is a time in which requests to a backend server were slow. It finds a server
// that has turned slow sooner than two spans of a signal can: what tells it from a pause
// is not how long one waits but how far apart the slow requests were sent.
type spell struct {
	first, last time.Time // first and last are when slow requests were sent.
	slow, quick uint32
	log         float64   // log sums the logarithms of the samples with slow latencies.
	reporters   tally     // reporters are the entry instances that saw slow requests.
	found       time.Time // found is when the server was found slow; zero if it isn't.
	level       float64
	again       uint32 // again counts the quick latencies in a row since.
}

// add takes in a sample of an entry instance.
func (sp *spell) add(now time.Time, from string, sa Sample) {
	quick := sa.Count - min(sa.Slow, sa.Count)
	if sa.Slow > 0 {
		sp.addSlow(now, from, sa)
	}
	if quick == 0 {
		return
	}
	sent := before(now, sa.NewestQuick)
	if !sp.found.IsZero() {
		if sa.Slow == 0 && sent.After(sp.found) {
			sp.again += quick
		}
		return
	}
	if sent.Before(sp.first) {
		return // It was answered before the spell began.
	}
	if sp.quick += quick; sp.slow < slowShare*sp.quick && sa.Slow == 0 {
		*sp = spell{}
	}
}

func (sp *spell) addSlow(now time.Time, from string, sa Sample) {
	first, last := before(now, max(sa.OldestSlow, sa.NewestSlow)), before(now, sa.NewestSlow)
	if sp.found.IsZero() && sp.slow > 0 && last.Sub(sp.last) >= spellGap {
		*sp = spell{}
	}
	if sp.slow == 0 || first.Before(sp.first) && sp.first.Sub(first) < spellGap {
		sp.first = first
	}
	if sp.slow == 0 || last.After(sp.last) {
		sp.last = last
	}
	sp.again = 0
	sp.slow += sa.Slow
	sp.log += float64(sa.LogSum)
	sp.reporters.add(from, 0, sa.Slow, mostReporters)
}

// others returns how many slow latencies are from others than the entry instance with
// the most.
func (sp *spell) others() uint32 {
	sum, most := uint32(0), uint32(0)
	for _, re := range sp.reporters {
		sum += re.count
		most = max(most, re.count)
	}
	return sum - most
}

// judge decides what is found now, and reports whether a finding has ended.
func (sp *spell) judge(now time.Time, least float64) (ended bool) {
	switch {
	case !sp.found.IsZero():
		if sp.again < leastQuick {
			return false
		}
		*sp = spell{}
		return true
	case sp.slow < leastSpell || sp.slow < slowShare*sp.quick || sp.others() < leastOthers || sp.last.Sub(sp.first) < mostPause:
		return false
	}
	if level := sp.log / float64(sp.slow+sp.quick); level >= least {
		sp.found, sp.level = now, min(level, mostSlow)
	}
	return false
}

// before returns the time so many milliseconds ago.
func before(now time.Time, millis uint32) time.Time {
	return now.Add(-time.Duration(min(millis, math.MaxInt32)) * time.Millisecond)
}
