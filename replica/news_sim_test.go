package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/outlier"
)

// collector plays the control instance that entry instances tell what they see, in a
// trial. Its times are those of the product (tier.newsPeriod, tier.newsDelay and
// feed.judgePeriod).
type collector struct {
	sm    *sim
	de    *outlier.Detector
	found map[string]time.Duration // found is since when a server is told as slow.
	heard map[string]int           // heard counts the entry instances that know.
	knew  map[string]time.Duration // knew is when 99 of 100 of them knew first.
	ended map[string]time.Duration // ended is when the last finding of a server ended.
	falls int                      // falls counts findings about servers that aren't slow.
	false time.Duration            // false sums for how long they held.
}

const (
	simNews  = 300 * time.Millisecond
	simDelay = 30 * time.Millisecond
	simJudge = 50 * time.Millisecond
)

func collect(sm *sim) *collector {
	co := &collector{
		sm: sm, de: outlier.New(), found: make(map[string]time.Duration), heard: make(map[string]int),
		knew: make(map[string]time.Duration), ended: make(map[string]time.Duration),
	}
	for ix, en := range sm.members {
		name := fmt.Sprint("entry-", ix)
		co.every(time.Duration(sm.rn.Int64N(int64(simNews))), simNews, func() { co.tell(en, name) })
		co.every(time.Duration(sm.rn.Int64N(int64(simDelay))), simDelay, func() {
			select {
			case <-en.tb.Urgent():
				co.tell(en, name)
			default:
			}
		})
	}
	co.every(simJudge, simJudge, co.judge)
	return co
}

func (co *collector) every(first, period time.Duration, do func()) {
	co.sm.after(first, func() {
		if co.sm.now < co.sm.length {
			do()
			co.every(period, period, do)
		}
	})
}

func (co *collector) tell(en *simEntry, name string) {
	sas := en.tb.TakeSamples(co.sm.clock(), 48)
	co.sm.after(co.sm.farHop, func() { co.de.Add(co.sm.clock(), name, sas) })
}

func (co *collector) judge() {
	fis := co.de.Findings(co.sm.clock())
	for _, fi := range fis {
		co.note(fi)
	}
	if len(fis) == 0 {
		return
	}
	co.sm.after(co.sm.farHop, func() {
		for _, en := range co.sm.members {
			en.tb.ApplyFindings(co.sm.clock(), fis)
		}
	})
}

func (co *collector) note(fi outlier.Finding) {
	now := co.sm.now
	since, known := co.found[fi.ID]
	switch {
	case fi.Slowness > 0 && !known:
		co.found[fi.ID] = now
		if !co.slow(fi.ID, now) {
			co.falls++
		} else if _, ok := co.knew[fi.ID]; !ok {
			co.knew[fi.ID] = now + co.sm.farHop
		}
	case fi.Slowness == 0 && known:
		delete(co.found, fi.ID)
		co.ended[fi.ID] = now + co.sm.farHop
		if !co.slow(fi.ID, since) {
			co.false += now - since
		}
	}
}

// slow reports whether a server is slow at a time.
func (co *collector) slow(id string, at time.Duration) bool {
	for _, of := range co.sm.servers {
		for _, se := range of {
			if se.record.ID == id {
				return slices.ContainsFunc(se.slow, func(sl simSlow) bool { return at >= sl.at && at < sl.until })
			}
		}
	}
	return false
}

// wide is hundreds of entry instances of which each asks a backend server once in five
// seconds: 191 of them, 42 shards of three, 110 queries a second, each server standing
// still for a quarter of a second in six.
func wide(seed uint64, slow ...simSlow) trial {
	return trial{
		name: "wide", entries: 191, shards: 42, slots: 3, queue: 18, perSecond: 110,
		works: []simWork{
			{name: "history", part: 0.75, mean: 28, spread: 0.35, tail: 0.01, tailX: 5, aim: 200 * time.Millisecond},
			{name: "lookup", part: 0.25, mean: 9.2, spread: 0.35, tail: 0.01, tailX: 5, aim: 80 * time.Millisecond},
		},
		speeds: []float64{0.8, 1.0, 1.3}, pause: 250 * time.Millisecond, pauseEvery: 6 * time.Second,
		slow: slow, hop: time.Millisecond, farHop: 2 * time.Millisecond, handshake: 6 * time.Millisecond,
		length: 16 * time.Second, from: 4 * time.Second, ratio: 0.2, slack: 422, share: 0.95, seed: seed,
	}
}

// A part of the backend servers turns five or nine times slower for 6 s. Each entry
// instance meets such a server once in five seconds; together they know most of them
// after some 500 ms, while a server that only stands still for a moment is rarely taken
// for one, and they forget it within a second once it is quick again.
func TestSlowServersAreKnownToAll(t *testing.T) {
	const from, until = 6 * time.Second, 12 * time.Second
	for _, times := range []float64{5, 9} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%v times slower, seed %d", times, seed), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				sm := newSim(wide(seed+1, simSlow{at: from, until: until, share: 0.15, by: times}), learned)
				co := collect(sm)
				sm.run()
				var known, forgotten []time.Duration
				slow := 0
				for _, of := range sm.servers {
					for _, se := range of {
						if len(se.slow) == 0 {
							continue
						}
						slow++
						if at, ok := co.knew[se.record.ID]; ok {
							known = append(known, at-from)
							if ended, ok := co.ended[se.record.ID]; ok {
								forgotten = append(forgotten, max(0, ended-until))
							}
						}
					}
				}
				slices.Sort(known)
				slices.Sort(forgotten)
				seconds := float64(len(sm.servers)*3) * sm.length.Seconds()
				t.Logf("%d slow, known after %v; forgotten after %v; %d false findings, %v in %.0f server-seconds; in the aim %.3f, %.3f",
					slow, known, forgotten, co.falls, co.false, seconds, sm.inAim(0), sm.inAim(1))
				c.Assert(len(known) >= slow-1, qt.IsTrue)
				c.Check(known[len(known)/2] <= 600*time.Millisecond, qt.IsTrue)
				c.Check(known[len(known)*9/10] <= 700*time.Millisecond, qt.IsTrue)
				c.Check(forgotten[len(forgotten)/2] <= time.Second, qt.IsTrue)
				c.Check(1000*float64(co.falls) <= 15*seconds, qt.IsTrue)
				c.Check(co.false.Seconds() <= 0.01*seconds, qt.IsTrue)
			})
		}
	}
}

// inAim returns the part of a work's queries whose last part came within its aim.
func (sm *sim) inAim(kind int) float64 {
	within := 0
	for _, la := range sm.latencies[kind] {
		if la <= sm.works[kind].aim {
			within++
		}
	}
	return float64(within) / float64(max(1, len(sm.latencies[kind])))
}
