package replica

import (
	"math"
	"slices"
	"time"

	"balsamwinch.example/outlier"
)

// stallThreshold is the time between two calls of TakeSamples from which the process is
// assumed to have been stalled in between. The calls are normally a few hundred
// milliseconds apart.
const stallThreshold = time.Second

// countOutcome counts an outcome in the sample for the other entry instances.
func (se *server) countOutcome(outcome Outcome) {
	switch outcome {
	case Served:
		se.sample.Served++
	case Shed, Failed, Unreachable:
		se.sample.Failed++
	case Abandoned, Replaced, Canceled:
	}
}

// sampleLatency adds the latency of a request to the sample for the other entry instances.
// The latency of an abandoned request is only a lower bound, so it counts only if it is
// slow already; otherwise a server whose requests are always abandoned early would look
// quick.
func (se *server) sampleLatency(fl *flight, latency, median time.Duration, abandoned bool) {
	ratio := float64(latency) / float64(max(median, 1))
	if fl.reported || abandoned && ratio < outlier.SlowFactor {
		return
	}
	ratio = min(max(ratio, 1/maxLatencyRatio), maxLatencyRatio)
	se.sample.Count++
	se.sample.LogSum += float32(math.Log(ratio))
	if ratio < outlier.SlowFactor {
		se.lastQuick = max(se.lastQuick, fl.start)
		return
	}
	if se.sample.Slow == 0 {
		se.firstSlow, se.lastSlow = fl.start, fl.start
	}
	se.firstSlow, se.lastSlow = min(se.firstSlow, fl.start), max(se.lastSlow, fl.start)
	se.sample.Slow++
}

// sampleInFlight samples the requests in flight that are slow already. While no hedge can
// be afforded, a request to a slow server ends only when the caller gives up, and the other
// instances would not learn of it before. Requests sent before since, the end of the last
// stall of this process, say nothing about their servers.
func (se *server) sampleInFlight(at, since time.Duration) {
	for ix := range se.inFlight {
		fl := &se.inFlight[ix]
		if fl.start >= since && fl.stats.known() {
			se.sampleLatency(fl, at-fl.start, fl.stats.medianOrDefault(), true)
			fl.reported = fl.reported || float64(at-fl.start) >= outlier.SlowFactor*float64(fl.stats.medianOrDefault())
		}
	}
}

// TakeSamples returns what this instance has seen of at most maxServers servers since the
// last call, for the other entry instances. Servers beyond that limit are kept for the next
// call, which continues from there: a selection that prefers slow samples would make
// healthy servers seem slow.
func (ba *Balancer) TakeSamples(now time.Time, maxServers int) []outlier.Sample {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	last, at := ba.sampledAt, ba.at(now)
	ba.sampledAt = at
	ba.urgentSent = false
	since := ba.resumed
	if at-last >= stallThreshold {
		since = at // The process was stalled just now and Resumed has not been called yet.
	}
	ids := make([]string, 0, len(ba.servers))
	for id, se := range ba.servers {
		se.sampleInFlight(at, since)
		if se.sample != (outlier.Sample{}) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	start, _ := slices.BinarySearch(ids, ba.nextSampleID)
	out := make([]outlier.Sample, 0, min(maxServers, len(ids)))
	for ix := range min(maxServers, len(ids)) {
		out = append(out, ba.servers[ids[(start+ix)%len(ids)]].takeSample(at))
	}
	ba.nextSampleID = out[len(out)-1].ID + "\x00" // This is the smallest id after it.
	return out
}

// takeSample returns the sample of a server and resets it.
func (se *server) takeSample(at time.Duration) outlier.Sample {
	sa := se.sample
	sa.ID = se.record.ID
	if sa.Slow > 0 {
		sa.OldestSlow, sa.NewestSlow = millisAgo(at, se.firstSlow), millisAgo(at, se.lastSlow)
	}
	if sa.Count > sa.Slow {
		sa.NewestQuick = millisAgo(at, se.lastQuick)
	}
	se.sample, se.lastQuick = outlier.Sample{}, 0
	return sa
}

func millisAgo(at, then time.Duration) uint32 { return uint32(max(0, at-then) / time.Millisecond) }

// Urgent receives a value when the other entry instances should learn soon of a slow or
// failing server. It holds at most one element until the next TakeSamples.
func (ba *Balancer) Urgent() <-chan struct{} { return ba.urgent }

// signalUrgent signals Urgent if the sample of a server shows a fault.
func (ba *Balancer) signalUrgent(se *server) {
	if ba.urgentSent || se.sample.Slow == 0 && se.sample.Failed == 0 {
		return
	}
	ba.urgentSent = true
	select {
	case ba.urgent <- struct{}{}:
	default:
	}
}

// ApplyFindings applies what all entry instances together found about servers.
//
// When a finding ends, the slowness or failures that this instance recorded itself are
// dropped too: it has sent the server nothing since, so its own data is older.
func (ba *Balancer) ApplyFindings(now time.Time, fis []outlier.Finding) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	at := ba.at(now)
	for _, fi := range fis {
		se := ba.servers[fi.ID]
		if se == nil {
			continue
		}
		se.applyDecay(at)
		if fi.Slowness == 0 && se.finding.Slowness > 0 {
			se.ownLogSlowness = min(se.ownLogSlowness, 0)
		}
		if fi.Slowness > 0 {
			se.lastWasQuick = false // The last answer seen here is older than the finding.
		}
		if fi.Failures == 0 && se.finding.Failures > 0 {
			se.ownFailures = 0
		}
		se.finding, se.findingUntil = fi, at+outlier.FindingTTL
		if fi.Healthy() {
			se.findingUntil = never
		}
	}
}
