package gateway

import (
	"math"
	"slices"
	"time"

	"balsamwinch.example/registry"
	"balsamwinch.example/scatter"
)

const (
	// downFailures is the fraction of requests that fail at a server by the finding of all
	// entry instances from which it counts as down. A server that refuses most of its
	// requests, and accepts some, is below it.
	downFailures = 0.95
	// failingFailures is the same for a server from which no answer is expected any more
	// after stuckDelay.
	failingFailures = 0.5
	// stuckDelay is how long an attempt must have been silent at least to count as stuck.
	// Backend servers pause for up to a quarter of a second now and then.
	stuckDelay = 300 * time.Millisecond
	// stuckFactor is the multiple of the time expected of a slow server after which an
	// attempt counts as stuck there.
	stuckFactor = 4
	// stuckCheckInterval is how often a finding is looked for that explains a silent
	// attempt.
	stuckCheckInterval = 50 * time.Millisecond
)

// allDown reports whether each ready server that is left for a part is down: nearly all
// requests of all entry instances to it fail, and this instance has seen one fail so
// recently that it waits before it tries again. As each instance tries again every two
// seconds at most, a server that is back is found soon.
func (ex *executor) allDown(now time.Time, sh int) bool {
	if len(ex.services) == 1 {
		return false
	}
	found := false
	for _, se := range ex.ca.sv.view.Load().servers[ex.services[sh]] {
		if se.State != registry.Ready || slices.Contains(ex.tried[sh], se.ID) {
			continue
		}
		kn := ex.ca.sv.re.Known(now, se.ID)
		if !kn.Gone && (!kn.Ejected || kn.Failures < downFailures) {
			return false
		}
		found = true
	}
	return found
}

// giveUpStuck gives up the parts all of whose allowed attempts are stuck at servers that
// are gone, or slow or failing by the findings of all entry instances. It returns when to
// call it again. A part that arrives all the same before the query has ended counts.
func (ex *executor) giveUpStuck(now time.Time) time.Time {
	next := now.Add(time.Hour)
	if len(ex.services) == 1 || !ex.ca.repeatable() {
		return next
	}
	if first := ex.ca.start.Add(stuckDelay); now.Before(first) {
		return first
	}
	for sh := range ex.services {
		if !ex.qu.Exhausted(sh) {
			continue
		}
		stuckAt := ex.stuckAt(now, sh)
		if stuckAt.After(now) {
			next = earlier(next, stuckAt)
			continue
		}
		ex.qu.GiveUp(now, sh, scatter.CauseTimeout)
	}
	return next
}

// stuckAt returns when all attempts in flight for a part will count as stuck, or when to
// look again.
func (ex *executor) stuckAt(now time.Time, sh int) time.Time {
	median := ex.ca.sv.re.MedianLatency(ex.ca.ro.Name)
	latest := time.Time{}
	for index := range ex.attempts {
		ar := &ex.attempts[index]
		if int(ar.shard) != sh || ar.ended {
			continue
		}
		kn := ex.ca.sv.re.Known(now, ar.server)
		if !kn.Gone && kn.Slowness == 0 && kn.Failures < failingFailures {
			return now.Add(stuckCheckInterval)
		}
		usual := time.Duration(float64(median) * math.Exp(kn.Slowness))
		if at := ex.ca.start.Add(ar.startedAt + max(stuckDelay, stuckFactor*usual)); at.After(latest) {
			latest = at
		}
	}
	return latest
}
