package limit

import "time"

const (
	// failuresSuspected is how many failures in a row make a server suspect.
	failuresSuspected = 3
	// stuckFactor and leastStuck say how long nothing may come back, in mean
	// latencies and at least, before a server counts as stuck.
	stuckFactor = 20
	leastStuck  = 100 * time.Millisecond
	// leastColdStuck is leastStuck for a cold server, whose first replies are slow.
	leastColdStuck = time.Second

	// loadWeight is how many latencies worse a server is rated when its limit is
	// reached than when it is idle.
	loadWeight = 2
	// staleAfter is after how long the last request says nothing of the present.
	staleAfter = time.Second

	// coldReplies is how many replies a cold server must give to be warm.
	coldReplies = 20
	// coldFor is after how long a server is no longer excused as cold.
	coldFor = 30 * time.Second
	// coldPenalty is how many times worse a server that has just started is rated
	// than a warm one. It wanes with replies and over coldRamp: by replies alone, a
	// server that the others leave nothing to do would stay cold.
	coldPenalty = 8
	coldRamp    = 10 * time.Second

	// probesPassed is how many probes in a row must be good.
	probesPassed = 3
	// probeGap is the time between good probes.
	probeGap = 20 * time.Millisecond
	// leastProbe and mostProbe bound the time from a failed probe to the next.
	leastProbe = 250 * time.Millisecond
	mostProbe  = 30 * time.Second
)

// probed takes in the end of a probe. Only replies as quick as the peers' make
// it good; a shed reply or a request that was not sent says nothing of that.
func (se Server) probed(ev Ended) Server {
	se.probing = false
	if se.state != StateProbing {
		return se
	}
	quick := se.typical == 0 || ev.Outcome.Latency <= slowGrowth*se.typical+leastPause
	switch {
	case ev.Outcome.Kind == Shed || ev.Outcome.Kind == NotSent:
		se.probeAt = ev.Now.Add(leastProbe)
	case ev.Outcome.Kind == OK && quick:
		se.goodProbes++
		se.probeAt = ev.Now.Add(probeGap)
		if se.goodProbes >= probesPassed {
			se = se.moved(pass, ev.Now)
			se.latency = latency{}.with(ev.Outcome.Latency)
		}
	default:
		se = se.moved(fail, ev.Now).probedLater(ev.Now, ev.Random)
	}
	return se
}

func (se Server) probedLater(now time.Time, random float64) Server {
	se.goodProbes = 0
	se.probeAfter = min(mostProbe, max(leastProbe, 2*se.probeAfter))
	se.probeAt = now.Add(time.Duration(float64(se.probeAfter) * (0.75 + 0.5*random)))
	return se
}

func (se Server) judged(ev Compared) Server {
	se.typical = ev.MedianLatency
	switch ev.Verdict {
	case Eject:
		if to, ok := servers.Next(se.state, suspect); ok {
			se.state, se.since, se.reason = to, ev.Now, ev.Reason
			se = se.probedLater(ev.Now, ev.Random)
		}
	case Readmit:
		return se.moved(recall, ev.Now)
	}
	if se.state == StateCold && se.warmed(ev.Now) {
		return se.moved(warm, ev.Now)
	}
	return se
}

func (se Server) warmed(now time.Time) bool {
	if se.cold || se.replies < coldReplies {
		return false
	}
	quick := se.typical == 0 || se.latency.value <= slowGrowth*se.typical
	return quick || now.Sub(se.since) >= coldFor
}

// stuck reports whether requests wait and nothing has come back for long. One
// old request alone does not make a server stuck: its connection may have gone
// silent while others are answered.
func (se Server) stuck(now time.Time) bool {
	if se.oldest.IsZero() {
		return false
	}
	least := leastStuck
	if se.state == StateCold {
		least = leastColdStuck
	}
	bound := max(least, time.Duration(stuckFactor*se.expected()))
	return now.Sub(later(se.oldest, se.heard)) > bound
}

// score rates the server for one more request; lower is better. Latency and
// failures count only while they are fresh: a server that was slow once and gets
// nothing for it could not show that it has become quick.
func (se Server) score(now time.Time) float64 {
	sc := se.expected()
	if now.Sub(se.ended) <= staleAfter {
		sc *= float64((1 + se.failures) * (1 + se.failures))
	} else if se.typical > 0 {
		sc = float64(se.typical)
	}
	sc *= 1 + loadWeight*float64(se.inFlight+se.held)/se.limit
	if se.state == StateCold {
		left := 1 - max(float64(se.replies)/coldReplies, float64(now.Sub(se.since))/float64(coldRamp))
		sc *= 1 + coldPenalty*max(0, left)
	}
	return sc
}
