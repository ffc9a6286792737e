package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/outlier"
)

// collector simulates the control instance that receives the samples of entry instances.
// Its intervals are those of packages tier (observationInterval, urgentObservationDelay)
// and feed (outlierInterval).
type collector struct {
	sm             *sim
	de             *outlier.Detector
	slowSince      map[string]time.Duration // slowSince is since when a server is found slow.
	heard          map[string]int           // heard counts the entry instances that know of a server.
	detectedAt     map[string]time.Duration // detectedAt is when the first finding of a slow server reached the entry instances.
	clearedAt      map[string]time.Duration // clearedAt is when the end of the last finding of a server reached the entry instances.
	falsePositives int                      // falsePositives counts findings about servers that aren't slow.
	falseTime      time.Duration            // falseTime is the total time for which they held.
}

const (
	simSampleInterval = 300 * time.Millisecond
	simUrgentDelay    = 30 * time.Millisecond
	simJudgeInterval  = 50 * time.Millisecond
)

func newCollector(sm *sim) *collector {
	co := &collector{
		sm: sm, de: outlier.New(), slowSince: make(map[string]time.Duration), heard: make(map[string]int),
		detectedAt: make(map[string]time.Duration), clearedAt: make(map[string]time.Duration),
	}
	for ix, en := range sm.members {
		name := fmt.Sprint("entry-", ix)
		co.every(time.Duration(sm.rn.Int64N(int64(simSampleInterval))), simSampleInterval, func() { co.sendSamples(en, name) })
		co.every(time.Duration(sm.rn.Int64N(int64(simUrgentDelay))), simUrgentDelay, func() {
			select {
			case <-en.ba.Urgent():
				co.sendSamples(en, name)
			default:
			}
		})
	}
	co.every(simJudgeInterval, simJudgeInterval, co.broadcastFindings)
	return co
}

func (co *collector) every(first, period time.Duration, action func()) {
	co.sm.after(first, func() {
		if co.sm.now < co.sm.length {
			action()
			co.every(period, period, action)
		}
	})
}

func (co *collector) sendSamples(en *simEntry, name string) {
	sas := en.ba.TakeSamples(co.sm.clock(), 48)
	co.sm.after(co.sm.farHop, func() { co.de.Add(co.sm.clock(), name, sas) })
}

func (co *collector) broadcastFindings() {
	fis := co.de.Findings(co.sm.clock())
	for _, fi := range fis {
		co.recordFinding(fi)
	}
	if len(fis) == 0 {
		return
	}
	co.sm.after(co.sm.farHop, func() {
		for _, en := range co.sm.members {
			en.ba.ApplyFindings(co.sm.clock(), fis)
		}
	})
}

func (co *collector) recordFinding(fi outlier.Finding) {
	now := co.sm.now
	since, known := co.slowSince[fi.ID]
	switch {
	case fi.Slowness > 0 && !known:
		co.slowSince[fi.ID] = now
		if !co.wasSlow(fi.ID, now) {
			co.falsePositives++
		} else if _, ok := co.detectedAt[fi.ID]; !ok {
			co.detectedAt[fi.ID] = now + co.sm.farHop
		}
	case fi.Slowness == 0 && known:
		delete(co.slowSince, fi.ID)
		co.clearedAt[fi.ID] = now + co.sm.farHop
		if !co.wasSlow(fi.ID, since) {
			co.falseTime += now - since
		}
	}
}

// wasSlow reports whether a server is slow at a time.
func (co *collector) wasSlow(id string, at time.Duration) bool {
	for _, replicas := range co.sm.servers {
		for _, se := range replicas {
			if se.record.ID == id {
				return slices.ContainsFunc(se.slow, func(sl simSlow) bool { return at >= sl.from && at < sl.until })
			}
		}
	}
	return false
}

// wideScenario has hundreds of entry instances, each of which sends a backend server one
// request in five seconds: 191 of them, 42 shards of three, 110 queries a second, each
// server paused for a quarter of a second in every six.
func wideScenario(seed uint64, slow ...simSlow) scenario {
	return scenario{
		name: "wide", entries: 191, shards: 42, slots: 3, queue: 18, queriesPerSecond: 110,
		works: []simWork{
			{name: "history", fraction: 0.75, mean: 28, spread: 0.35, tail: 0.01, tailFactor: 5, target: 200 * time.Millisecond},
			{name: "lookup", fraction: 0.25, mean: 9.2, spread: 0.35, tail: 0.01, tailFactor: 5, target: 80 * time.Millisecond},
		},
		speeds: []float64{0.8, 1.0, 1.3}, pause: 250 * time.Millisecond, pauseEvery: 6 * time.Second,
		slow: slow, hop: time.Millisecond, farHop: 2 * time.Millisecond, handshake: 6 * time.Millisecond,
		length: 16 * time.Second, measureFrom: 4 * time.Second, ratio: 0.2, slack: 422, budgetFraction: 0.95, seed: seed,
	}
}

// Some backend servers become five or nine times slower for 6 s. Each entry instance sends
// such a server one request in five seconds. Together they must detect most of them after
// about 500 ms, rarely mistake a short pause for slowness, and drop the findings within a
// second of recovery.
func TestSlowServersAreDetectedByAllInstances(t *testing.T) {
	const from, until = 6 * time.Second, 12 * time.Second
	for _, times := range []float64{5, 9} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%v times slower, seed %d", times, seed), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				sm := newSim(wideScenario(seed+1, simSlow{from: from, until: until, fraction: 0.15, factor: times}), learnedChoice)
				co := newCollector(sm)
				sm.run()
				var detected, cleared []time.Duration
				slow := 0
				for _, replicas := range sm.servers {
					for _, se := range replicas {
						if len(se.slow) == 0 {
							continue
						}
						slow++
						if at, ok := co.detectedAt[se.record.ID]; ok {
							detected = append(detected, at-from)
							if ended, ok := co.clearedAt[se.record.ID]; ok {
								cleared = append(cleared, max(0, ended-until))
							}
						}
					}
				}
				slices.Sort(detected)
				slices.Sort(cleared)
				seconds := float64(len(sm.servers)*3) * sm.length.Seconds()
				t.Logf("%d slow, detected after %v; cleared after %v; %d false findings, %v in %.0f server-seconds; within target %.3f, %.3f",
					slow, detected, cleared, co.falsePositives, co.falseTime, seconds, sm.withinTarget(0), sm.withinTarget(1))
				c.Assert(len(detected) >= slow-1, qt.IsTrue)
				c.Check(detected[len(detected)/2] <= 600*time.Millisecond, qt.IsTrue)
				c.Check(detected[len(detected)*9/10] <= 700*time.Millisecond, qt.IsTrue)
				c.Check(cleared[len(cleared)/2] <= time.Second, qt.IsTrue)
				c.Check(1000*float64(co.falsePositives) <= 15*seconds, qt.IsTrue)
				c.Check(co.falseTime.Seconds() <= 0.01*seconds, qt.IsTrue)
			})
		}
	}
}

// withinTarget returns the fraction of a work's queries whose last part came within the
// target latency.
func (sm *sim) withinTarget(kind int) float64 {
	within := 0
	for _, la := range sm.latencies[kind] {
		if la <= sm.works[kind].target {
			within++
		}
	}
	return float64(within) / float64(max(1, len(sm.latencies[kind])))
}
