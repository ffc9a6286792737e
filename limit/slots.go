package limit

import "time"

const (
	// shedCut is what a shed reply leaves of the limit.
	shedCut = 0.85
	// slowCut is what latency far above the server's own best leaves of it.
	slowCut = 0.95
	// growth is what a reply adds to a limit that binds, before patience.
	growth = 0.1
	// overcommit is how many times its equal part of the slots an instance may
	// ask for while that is below one. Requests come at random, so with the bare
	// part the slots stay half empty; BenchmarkSlots compares the factors.
	overcommit = 2
	// mostPerSlot is how many requests may be in flight for each slot: while one
	// runs, another may be on its way.
	mostPerSlot = 2
	// mostDoublings bounds how often the pause after a shed reply doubles.
	mostDoublings = 2
	// paceBurst is how many requests may be ahead of the pace.
	paceBurst = 8
	// mostPatience bounds how much slower a limit grows after repeated sheds.
	mostPatience = 128
	// calmReplies is how many replies without a shed halve the patience.
	calmReplies = 512
	// slowGrowth and slowShrink are how many times its own best latency a server
	// may show before its limit stops growing, and before it is cut.
	slowGrowth = 2
	slowShrink = 3
	// bestDrift is the share by which the best latency follows the present one. A
	// quick drift would take a queue that lasts for the server's own pace.
	bestDrift = 1.0 / 8192
	// leastPause and mostPause bound the pause after a shed reply.
	leastPause = time.Millisecond
	mostPause  = time.Second
)

func (se Server) sent(ev Sent) Server {
	se.inFlight++
	se.oldest = ev.Oldest
	se.bound = se.bound || se.inFlight+se.held >= se.whole()
	if se.limit < 1 {
		se.paced = later(se.paced, ev.Now).Add(se.pace())
	}
	if ev.Probe {
		se.probing = true
		return se.moved(probe, ev.Now)
	}
	return se
}

// grown raises a limit that binds, unless latency shows that the server queues.
func (se Server) grown(now time.Time) Server {
	se.calm++
	if se.calm >= calmReplies {
		se.calm, se.patience = 0, max(1, se.patience/2)
	}
	if !se.bound {
		return se
	}
	se.bound = false
	if se.latency.value > slowShrink*se.best {
		if now.Sub(se.cutAt) >= se.latency.value {
			se.cutAt = now
			se.limit = max(min(se.limit, se.least()), se.limit*slowCut)
		}
		return se
	}
	if se.latency.value <= slowGrowth*se.best {
		se.limit = max(se.limit, min(se.most(), se.limit+growth/se.patience))
	}
	return se
}

// shed lowers the limit, at most once in a latency because the replies of one
// moment say the same, and pauses. The pause is random and doubles with each
// shed in a row: instances that collided at a slot must not come back together.
func (se Server) shed(ev Ended) Server {
	se.sheds++
	se.calm = 0
	wait := se.expected()
	if ev.Now.Sub(se.cutAt) >= time.Duration(wait) {
		se.cutAt = ev.Now
		se.patience = min(mostPatience, 2*se.patience)
		se.limit = max(min(se.limit, se.least()), se.limit*shedCut)
	}
	wait *= (0.5 + ev.Random) * float64(int(1)<<min(se.sheds-1, mostDoublings))
	pause := min(mostPause, max(leastPause, time.Duration(wait)))
	se.pause = later(se.pause, ev.Now.Add(max(pause, ev.Outcome.RetryAfter)))
	return se
}

// most is the highest limit. A request that is on its way takes no slot yet, so
// it is above the slots; it is never above the connections.
func (se Server) most() float64 {
	return float64(min(mostPerSlot*se.slots, max(1, se.connections)))
}

// least is the lowest limit: this instance's equal part of the slots, which
// nobody else is entitled to.
func (se Server) least() float64 {
	least := max(se.share, min(1, overcommit*se.share))
	return min(least, se.most())
}

// static returns the whole slots of this instance's equal part, at least one:
// what the baseline may have in flight.
func (se Server) static() int {
	return min(max(1, int(se.share)), se.connections)
}

// expected returns the latency in nanoseconds that the next request will show.
func (se Server) expected() float64 {
	switch {
	case se.latency.count > 0:
		return float64(se.latency.value)
	case se.typical > 0:
		return float64(se.typical)
	default:
		return float64(leastPause)
	}
}

// whole returns how many requests may be in flight. A cold server gets one more
// for every two replies.
func (se Server) whole() int {
	whole := max(1, int(se.limit))
	if se.state == StateCold {
		whole = min(whole, 1+se.replies/2)
	}
	return whole
}

// pace returns the time between requests of a limit below one.
func (se Server) pace() time.Duration {
	return time.Duration(se.expected() / se.limit)
}

// rest returns how long nothing may be sent: after a shed reply, or to keep the
// pace of a limit below one. The pace allows a burst, since requests come at
// random and an even pace would make most of them wait.
func (se Server) rest(now time.Time) time.Duration {
	wait := se.pause.Sub(now)
	if se.limit < 1 {
		wait = max(wait, se.paced.Add(-paceBurst*se.pace()).Sub(now))
	}
	return max(0, wait)
}
