package limit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A server is ejected as slow if its latency exceeds slowFactor times the median
	// of its peers plus slowMargin.
	slowFactor = 5
	slowMargin = time.Millisecond
	// minSamples is how many samples a latency needs to be compared.
	minSamples = 10
	// minPeers is how many latencies the median needs to be meaningful.
	minPeers = 3
	// maxSlowFraction is the fraction of the servers that may be ejected as slow. If
	// more are slow, the cause is likely the load that they share.
	maxSlowFraction = 1.0 / 3
)

// comparison is the result of comparing servers. Its slices are indexed like the
// compared servers.
type comparison struct {
	medianLatency time.Duration
	verdicts      []Verdict
	reasons       []Reason
}

// compare compares the servers of one service. Shards lists, for each shard, the
// indices of the servers that hold it. A server is ejected only if each of its
// shards keeps another usable one. For a shard without any usable server, an
// ejected one is readmitted.
func compare(now time.Time, sv []Server, shards [][]int) comparison {
	co := comparison{medianLatency: median(sv), verdicts: make([]Verdict, len(sv)), reasons: make([]Reason, len(sv))}
	usable := make([]bool, len(sv))
	for ix, se := range sv {
		usable[ix] = se.usable()
	}
	heldShards := make([][]int, len(sv))
	for sh, holders := range shards {
		for _, ix := range holders {
			heldShards[ix] = append(heldShards[ix], sh)
		}
	}
	quota := slowQuota(sv)
	for _, ix := range co.suspects(now, sv) {
		slow := co.reasons[ix] == Slow
		if slow && quota <= 0 || !replaceable(ix, heldShards[ix], shards, usable) {
			continue
		}
		if slow {
			quota--
		}
		usable[ix] = false
		co.verdicts[ix] = Eject
	}
	co.readmit(sv, shards, usable)
	return co
}

// suspects returns the servers that should be ejected, failing ones first and
// then the slowest, and records the reasons.
func (co comparison) suspects(now time.Time, sv []Server) []int {
	var failing, slow []int
	for ix, se := range sv {
		if !se.usable() {
			continue
		}
		switch co.reasons[ix] = se.ejectReason(now, co.medianLatency); co.reasons[ix] {
		case "":
		case Slow:
			slow = append(slow, ix)
		default:
			failing = append(failing, ix)
		}
	}
	slices.SortStableFunc(slow, func(ix, iy int) int {
		return cmp.Compare(sv[iy].latency.value, sv[ix].latency.value)
	})
	return append(failing, slow...)
}

// slowQuota returns how many more servers may be ejected as slow.
func slowQuota(sv []Server) int {
	quota := max(1, int(maxSlowFraction*float64(len(sv))))
	for _, se := range sv {
		if se.ejected() && se.reason == Slow {
			quota--
		}
	}
	return quota
}

// readmit readmits, for each shard without a usable server, the ejected server
// with the lowest latency.
func (co comparison) readmit(sv []Server, shards [][]int, usable []bool) {
	for _, holders := range shards {
		if slices.ContainsFunc(holders, func(ix int) bool { return usable[ix] }) {
			continue
		}
		best := -1
		for _, ix := range holders {
			if sv[ix].ejected() && (best < 0 || sv[ix].latency.value < sv[best].latency.value) {
				best = ix
			}
		}
		if best >= 0 {
			usable[best] = true
			co.verdicts[best] = Readmit
		}
	}
}

// replaceable reports whether each shard that the server holds has another
// usable server.
func replaceable(ix int, held []int, shards [][]int, usable []bool) bool {
	for _, sh := range held {
		if !slices.ContainsFunc(shards[sh], func(ot int) bool { return ot != ix && usable[ot] }) {
			return false
		}
	}
	return true
}

func (se Server) usable() bool {
	return (se.state == StateCold || se.state == StateServing) && se.maxConnections > 0
}

func (se Server) ejected() bool {
	return (se.state == StateEjected || se.state == StateProbing) && se.maxConnections > 0
}

// ejectReason returns why the server should be ejected, or "" if it should not.
// A cold server is not ejected as slow.
func (se Server) ejectReason(now time.Time, medianLatency time.Duration) Reason {
	switch {
	case se.consecutiveFailures >= failureThreshold:
		return Failing
	case se.stuck(now):
		return Stuck
	case se.state == StateServing && medianLatency > 0 && se.latency.count >= minSamples &&
		se.latency.value > slowFactor*medianLatency+slowMargin:
		return Slow
	}
	return ""
}

// median returns the median latency of the servers that have enough samples;
// zero if there are too few of them.
func median(sv []Server) time.Duration {
	var las []time.Duration
	for _, se := range sv {
		if se.usable() && se.latency.count >= minSamples {
			las = append(las, se.latency.value)
		}
	}
	if len(las) < minPeers {
		return 0
	}
	slices.Sort(las)
	return las[(len(las)-1)/2]
}
