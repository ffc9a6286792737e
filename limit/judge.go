package limit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowFactor is how many times the median latency of its peers a server shows
	// when it is set aside, and slowMargin how much more than that at least.
	slowFactor = 5
	slowMargin = time.Millisecond
	// judgedReplies is how many samples a latency must have to be compared.
	judgedReplies = 10
	// leastPeers is how many latencies make a median worth comparing with.
	leastPeers = 3
	// slowShare is the part of the servers that may be set aside as slow: when
	// more are slow, the load is what they have in common.
	slowShare = 1.0 / 3
)

// judgement is what a comparison found. Its slices go by the servers' indices.
type judgement struct {
	typical  time.Duration
	verdicts []Verdict
	reasons  []Reason
}

// judge compares the servers of one service. Shards lists, for each shard, the
// indices of the servers that hold it. It sets servers aside only while each of
// their shards keeps another that is usable, and recalls one where none is left.
func judge(now time.Time, sv []Server, shards [][]int) judgement {
	ju := judgement{typical: median(sv), verdicts: make([]Verdict, len(sv)), reasons: make([]Reason, len(sv))}
	usable := make([]bool, len(sv))
	for ix, se := range sv {
		usable[ix] = se.usable()
	}
	keepers := make([][]int, len(sv))
	for sh, holders := range shards {
		for _, ix := range holders {
			keepers[ix] = append(keepers[ix], sh)
		}
	}
	quota := slowQuota(sv)
	for _, ix := range ju.suspects(now, sv) {
		slow := ju.reasons[ix] == Slow
		if slow && quota <= 0 || !replaceable(ix, keepers[ix], shards, usable) {
			continue
		}
		if slow {
			quota--
		}
		usable[ix] = false
		ju.verdicts[ix] = Eject
	}
	ju.recall(sv, shards, usable)
	return ju
}

// suspects returns the servers that ought to be set aside, those that fail
// first and then the slowest, and notes the reasons.
func (ju judgement) suspects(now time.Time, sv []Server) []int {
	var ill, slow []int
	for ix, se := range sv {
		if !se.usable() {
			continue
		}
		switch ju.reasons[ix] = se.fault(now, ju.typical); ju.reasons[ix] {
		case "":
		case Slow:
			slow = append(slow, ix)
		default:
			ill = append(ill, ix)
		}
	}
	slices.SortStableFunc(slow, func(ix, iy int) int {
		return cmp.Compare(sv[iy].latency.value, sv[ix].latency.value)
	})
	return append(ill, slow...)
}

// slowQuota returns how many more servers may be set aside as slow.
func slowQuota(sv []Server) int {
	quota := max(1, int(slowShare*float64(len(sv))))
	for _, se := range sv {
		if se.aside() && se.reason == Slow {
			quota--
		}
	}
	return quota
}

// recall takes back the server with the lowest latency of each shard that has
// no usable one.
func (ju judgement) recall(sv []Server, shards [][]int, usable []bool) {
	for _, holders := range shards {
		if slices.ContainsFunc(holders, func(ix int) bool { return usable[ix] }) {
			continue
		}
		best := -1
		for _, ix := range holders {
			if sv[ix].aside() && (best < 0 || sv[ix].latency.value < sv[best].latency.value) {
				best = ix
			}
		}
		if best >= 0 {
			usable[best] = true
			ju.verdicts[best] = Readmit
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
	return (se.state == StateCold || se.state == StateServing) && se.connections > 0
}

func (se Server) aside() bool {
	return (se.state == StateEjected || se.state == StateProbing) && se.connections > 0
}

// fault returns why the server ought to be set aside; empty if it ought not.
// A cold server is excused for being slow.
func (se Server) fault(now time.Time, typical time.Duration) Reason {
	switch {
	case se.failures >= failuresSuspected:
		return Failing
	case se.stuck(now):
		return Stuck
	case se.state == StateServing && typical > 0 && se.latency.count >= judgedReplies &&
		se.latency.value > slowFactor*typical+slowMargin:
		return Slow
	}
	return ""
}

// median returns the median latency of the servers that have enough samples;
// zero if there are too few of them.
func median(sv []Server) time.Duration {
	var las []time.Duration
	for _, se := range sv {
		if se.usable() && se.latency.count >= judgedReplies {
			las = append(las, se.latency.value)
		}
	}
	if len(las) < leastPeers {
		return 0
	}
	slices.Sort(las)
	return las[(len(las)-1)/2]
}
