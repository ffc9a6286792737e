package limit

import "time"

const (
	// failureThreshold is the number of consecutive failures after which a server is
	// ejected.
	failureThreshold = 3
	// A server is stuck if no reply has come for stuckFactor times its mean latency,
	// and for minStuckTimeout at least.
	stuckFactor     = 20
	minStuckTimeout = 100 * time.Millisecond
	// minColdStuckTimeout replaces minStuckTimeout for a cold server, whose first
	// replies are slow.
	minColdStuckTimeout = time.Second

	// loadPenalty is by how many latencies the score of a server worsens from idle
	// to the limit.
	loadPenalty = 2
	// staleAfter is the time after which the outcome of the last request no longer
	// affects the score.
	staleAfter = time.Second

	// warmupReplies is how many replies a cold server must give to become warm.
	warmupReplies = 20
	// maxWarmup is the time after which a server may become warm although it is
	// slow.
	maxWarmup = 30 * time.Second
	// warmupPenalty is by how many times the score of a server that has just started
	// is worse than that of a warm one. It falls with replies and with time over
	// warmupRamp: with replies alone, a server that gets no requests because the
	// others can take them all would stay cold.
	warmupPenalty = 8
	warmupRamp    = 10 * time.Second

	// minGoodProbes is how many consecutive probes must succeed.
	minGoodProbes = 3
	// probeInterval is the time between successful probes.
	probeInterval = 20 * time.Millisecond
	// minProbeBackoff and maxProbeBackoff bound the time from a failed probe to the
	// next.
	minProbeBackoff = 250 * time.Millisecond
	maxProbeBackoff = 30 * time.Second
)

// probeEnded applies the result of a probe. Only replies as quick as those of
// the peers count as success. A shed reply or a request that was not sent is
// neither success nor failure.
func (se Server) probeEnded(ev Ended) Server {
	se.probing = false
	if se.state != StateProbing {
		return se
	}
	quick := se.medianLatency == 0 || ev.Outcome.Latency <= growthLatencyRatio*se.medianLatency+minPause
	switch {
	case ev.Outcome.Kind == Shed || ev.Outcome.Kind == NotSent:
		se.nextProbe = ev.Now.Add(minProbeBackoff)
	case ev.Outcome.Kind == OK && quick:
		se.goodProbes++
		se.nextProbe = ev.Now.Add(probeInterval)
		if se.goodProbes >= minGoodProbes {
			se = se.transition(pass, ev.Now)
			se.latency = latency{}.with(ev.Outcome.Latency)
		}
	default:
		se = se.transition(fail, ev.Now).backOffProbe(ev.Now, ev.Random)
	}
	return se
}

func (se Server) backOffProbe(now time.Time, random float64) Server {
	se.goodProbes = 0
	se.probeBackoff = min(maxProbeBackoff, max(minProbeBackoff, 2*se.probeBackoff))
	se.nextProbe = now.Add(time.Duration(float64(se.probeBackoff) * (0.75 + 0.5*random)))
	return se
}

func (se Server) compared(ev Compared) Server {
	se.medianLatency = ev.MedianLatency
	switch ev.Verdict {
	case Eject:
		if to, ok := serverStates.Next(se.state, suspect); ok {
			se.state, se.stateSince, se.reason = to, ev.Now, ev.Reason
			se = se.backOffProbe(ev.Now, ev.Random)
		}
	case Readmit:
		return se.transition(recall, ev.Now)
	}
	if se.state == StateCold && se.isWarm(ev.Now) {
		return se.transition(warm, ev.Now)
	}
	return se
}

func (se Server) isWarm(now time.Time) bool {
	if se.announcedCold || se.repliesSinceCold < warmupReplies {
		return false
	}
	quick := se.medianLatency == 0 || se.latency.value <= growthLatencyRatio*se.medianLatency
	return quick || now.Sub(se.stateSince) >= maxWarmup
}

// stuck reports whether requests are in flight and no reply has come for too
// long. One old request alone does not make a server stuck: its connection may
// have gone silent while requests on others are answered.
func (se Server) stuck(now time.Time) bool {
	if se.oldestSent.IsZero() {
		return false
	}
	minTimeout := minStuckTimeout
	if se.state == StateCold {
		minTimeout = minColdStuckTimeout
	}
	bound := max(minTimeout, time.Duration(stuckFactor*se.expectedLatency()))
	return now.Sub(later(se.oldestSent, se.lastReply)) > bound
}

// score rates the server for one more request; lower is better. Latency and
// failures count only while they are recent: otherwise a server that was slow
// once would get no requests and could not show that it has recovered.
func (se Server) score(now time.Time) float64 {
	sc := se.expectedLatency()
	if now.Sub(se.lastEnd) <= staleAfter {
		sc *= float64((1 + se.consecutiveFailures) * (1 + se.consecutiveFailures))
	} else if se.medianLatency > 0 {
		sc = float64(se.medianLatency)
	}
	sc *= 1 + loadPenalty*float64(se.inFlight+se.held)/se.limit
	if se.state == StateCold {
		left := 1 - max(float64(se.repliesSinceCold)/warmupReplies, float64(now.Sub(se.stateSince))/float64(warmupRamp))
		sc *= 1 + warmupPenalty*max(0, left)
	}
	return sc
}
