package limit

import "time"

const (
	// A shed reply multiplies the limit by shedCutFactor.
	shedCutFactor = 0.85
	// Latency far above the server's unloaded latency multiplies the limit by
	// latencyCutFactor.
	latencyCutFactor = 0.95
	// limitGrowth divided by growthDivisor is what a reply adds to a limit that was
	// reached.
	limitGrowth = 0.1
	// overcommitFactor multiplies an instance's equal share of the slots while that
	// is below one. Requests come at random, so with the plain share the slots stay
	// half empty; BenchmarkSlots compares the factors.
	overcommitFactor = 2
	// maxPerSlot is how many requests may be in flight for each slot: while one
	// runs, another may be on its way.
	maxPerSlot = 2
	// maxPauseDoublings bounds how often the pause after a shed reply doubles.
	maxPauseDoublings = 2
	// maxPaceBurst is how many requests may be sent ahead of the constant rate.
	maxPaceBurst = 8
	// maxGrowthDivisor bounds how much slower the limit grows after repeated shed
	// replies.
	maxGrowthDivisor = 128
	// growthRecoveryReplies is how many replies without a shed one halve the growth
	// divisor.
	growthRecoveryReplies = 512
	// Above growthLatencyRatio times the server's unloaded latency the limit stops
	// growing, and above cutLatencyRatio times it is lowered.
	growthLatencyRatio = 2
	cutLatencyRatio    = 3
	// unloadedLatencyDrift is the fraction by which the unloaded latency moves
	// towards the current one per reply. With a faster drift, the latency of a
	// lasting queue would be taken for the server's unloaded latency.
	unloadedLatencyDrift = 1.0 / 8192
	// minPause and maxPause bound the pause after a shed reply.
	minPause = time.Millisecond
	maxPause = time.Second
)

func (se Server) sent(ev Sent) Server {
	se.inFlight++
	se.oldestSent = ev.Oldest
	se.limitReached = se.limitReached || se.inFlight+se.held >= se.maxInFlight()
	if se.limit < 1 {
		se.pacedUntil = later(se.pacedUntil, ev.Now).Add(se.sendInterval())
	}
	if ev.Probe {
		se.probing = true
		return se.transition(probe, ev.Now)
	}
	return se
}

// grown raises the limit if it was reached, unless the latency shows that
// requests queue at the server.
func (se Server) grown(now time.Time) Server {
	se.repliesSinceShed++
	if se.repliesSinceShed >= growthRecoveryReplies {
		se.repliesSinceShed, se.growthDivisor = 0, max(1, se.growthDivisor/2)
	}
	if !se.limitReached {
		return se
	}
	se.limitReached = false
	if se.latency.value > cutLatencyRatio*se.unloadedLatency {
		if now.Sub(se.lastCut) >= se.latency.value {
			se.lastCut = now
			se.limit = max(min(se.limit, se.minLimit()), se.limit*latencyCutFactor)
		}
		return se
	}
	if se.latency.value <= growthLatencyRatio*se.unloadedLatency {
		se.limit = max(se.limit, min(se.maxLimit(), se.limit+limitGrowth/se.growthDivisor))
	}
	return se
}

// shed lowers the limit and pauses. It lowers the limit at most once per
// latency, because replies that come together report the same overload. The
// pause has jitter and doubles with each consecutive shed reply, so that
// instances that collided at a slot don't retry together.
func (se Server) shed(ev Ended) Server {
	se.consecutiveSheds++
	se.repliesSinceShed = 0
	wait := se.expectedLatency()
	if ev.Now.Sub(se.lastCut) >= time.Duration(wait) {
		se.lastCut = ev.Now
		se.growthDivisor = min(maxGrowthDivisor, 2*se.growthDivisor)
		se.limit = max(min(se.limit, se.minLimit()), se.limit*shedCutFactor)
	}
	wait *= (0.5 + ev.Random) * float64(int(1)<<min(se.consecutiveSheds-1, maxPauseDoublings))
	pause := min(maxPause, max(minPause, time.Duration(wait)))
	se.pauseUntil = later(se.pauseUntil, ev.Now.Add(max(pause, ev.Outcome.RetryAfter)))
	return se
}

// maxLimit returns the highest limit. It exceeds the number of slots, because a
// request that is on its way takes no slot yet, but never the connections.
func (se Server) maxLimit() float64 {
	return float64(min(maxPerSlot*se.slots, max(1, se.maxConnections)))
}

// minLimit returns the lowest limit: this instance's equal share of the slots,
// which no other instance may use.
func (se Server) minLimit() float64 {
	limit := max(se.slotShare, min(1, overcommitFactor*se.slotShare))
	return min(limit, se.maxLimit())
}

// staticShare returns the whole slots of this instance's equal share, at least
// one. This is the limit under the baseline tactics.
func (se Server) staticShare() int {
	return min(max(1, int(se.slotShare)), se.maxConnections)
}

// expectedLatency returns the expected latency of the next request, in
// nanoseconds.
func (se Server) expectedLatency() float64 {
	switch {
	case se.latency.count > 0:
		return float64(se.latency.value)
	case se.medianLatency > 0:
		return float64(se.medianLatency)
	default:
		return float64(minPause)
	}
}

// maxInFlight returns how many requests may be in flight. For a cold server it
// starts at one and grows by one with every two replies, up to the limit.
func (se Server) maxInFlight() int {
	limit := max(1, int(se.limit))
	if se.state == StateCold {
		limit = min(limit, 1+se.repliesSinceCold/2)
	}
	return limit
}

// sendInterval returns the time between requests for a limit below one.
func (se Server) sendInterval() time.Duration {
	return time.Duration(se.expectedLatency() / se.limit)
}

// sendDelay returns how long nothing may be sent, after a shed reply or to keep
// the rate of a limit below one. The rate allows a burst: requests come at
// random, and with a constant rate most of them would wait.
func (se Server) sendDelay(now time.Time) time.Duration {
	wait := se.pauseUntil.Sub(now)
	if se.limit < 1 {
		wait = max(wait, se.pacedUntil.Add(-maxPaceBurst*se.sendInterval()).Sub(now))
	}
	return max(0, wait)
}
