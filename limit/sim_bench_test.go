package limit

import (
	"fmt"
	"testing"
	"time"

	"balsamwinch.example/operator"
)

// All variants of a comparison run with the same seeds.
const simSeeds = 3

// runSeeds runs a simulation with each seed and reports the means. Useful
// answers are reported as a percentage of what the slots could give.
func runSeeds(b *testing.B, name string, sc simConfig) {
	b.Run(name, func(b *testing.B) {
		sums := make(map[string]float64)
		for b.Loop() {
			for seed := range simSeeds {
				sc.seed = uint64(seed + 1)
				sr := sc.run()
				second := float64(sc.slots*max(1, sc.replicas)) / simService.Seconds() / 100
				sums["good%"] += float64(sr.useful) / second / sc.length.Seconds()
				sums["shed%"] += 100 * float64(sr.shed) / float64(max(1, sr.sent))
				sums["p50ms"] += quantileMillis(sr.latencies, 0.5)
				sums["p99ms"] += quantileMillis(sr.latencies, 0.99)
				sums["messages"] += float64(sr.messages) / float64(max(1, sr.useful))
				if sc.load(3*time.Second) != sc.load(0) {
					sums["before%"] += float64(sr.bySecond[1]) / second
					sums["surge%"] += float64(sr.bySecond[3]+sr.bySecond[4]+sr.bySecond[5]) / second / 3
					sums["after%"] += float64(sr.bySecond[7]+sr.bySecond[8]) / second / 2
					sums["refused-p99ms"] += quantileMillis(sr.refusals, 0.99)
				}
			}
		}
		b.ReportMetric(0, "ns/op")
		for unit, sum := range sums {
			b.ReportMetric(sum/simSeeds/float64(b.N), unit)
		}
	})
}

// BenchmarkSlots compares ways to share a leaf's slots.
func BenchmarkSlots(b *testing.B) {
	for _, sz := range []struct{ slots, entries int }{{2, 9}, {4, 9}, {6, 9}, {6, 23}, {6, 100}} {
		for _, hop := range []time.Duration{200 * time.Microsecond, time.Millisecond} {
			for _, load := range []float64{0.3, 0.6, 0.85} {
				sc := simConfig{
					entries: sz.entries, leafs: 1, slots: sz.slots, load: steady(load), length: 10 * time.Second,
					deadline: 250 * time.Millisecond, hop: hop, tactics: "Adaptive",
				}
				variant := func(name string, change func(sc *simConfig)) {
					at := sc
					change(&at)
					runSeeds(b, fmt.Sprintf("%dx%d/hop=%v/load=%v/%s", sz.slots, sz.entries, hop, load, name), at)
				}
				variant("static", func(sc *simConfig) { sc.tactics = "Baseline" })
				variant("adaptive", func(*simConfig) {})
				variant("lent", func(sc *simConfig) { sc.scheme = lent })
				variant("relay", func(sc *simConfig) { sc.scheme = relay })
				for _, n := range []int{2, 3, 6} {
					variant(fmt.Sprint("subset", n), func(sc *simConfig) { sc.entries = n })
				}
			}
		}
	}
}

// BenchmarkReplicas compares the baseline's random choice with the table's
// choice while one of two replicas of one shard is slower, or stuck, for four
// seconds.
func BenchmarkReplicas(b *testing.B) {
	for _, load := range []float64{0.2, 0.3, 0.4} {
		for _, slowdown := range []float64{0, 3, 10, 1000} {
			sc := simConfig{
				entries: 2, leafs: 3, slots: 4, replicas: 2, load: steady(load), length: 10 * time.Second, slowFraction: 0.01, slowdown: slowdown,
				deadline: 250 * time.Millisecond, hop: 200 * time.Microsecond, requestTimeout: 60 * time.Millisecond, retry: true,
			}
			for _, tactics := range []operator.Tactics{operator.Baseline, operator.Adaptive} {
				sc.tactics = tactics
				runSeeds(b, fmt.Sprintf("load=%v/slower=%v/%s", load, slowdown, tactics), sc)
			}
		}
	}
}

// BenchmarkHold compares holding the slot of an abandoned request with freeing
// it at once, when the leaf continues to work on it for a while.
func BenchmarkHold(b *testing.B) {
	for _, sz := range []struct{ slots, entries int }{{2, 2}, {4, 2}, {6, 2}} {
		for _, load := range []float64{0.3, 0.6} {
			for _, lag := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
				sc := simConfig{
					entries: sz.entries, leafs: 1, slots: sz.slots, load: steady(load), length: 15 * time.Second, slowFraction: 0.02,
					deadline: 250 * time.Millisecond, hop: time.Millisecond, tactics: "Adaptive", requestTimeout: 15 * time.Millisecond, cancelDelay: lag,
				}
				name := fmt.Sprintf("%dx%d/load=%v/lag=%v/", sz.slots, sz.entries, load, lag)
				runSeeds(b, name+"held", sc)
				sc.hold = ReleaseImmediately
				runSeeds(b, name+"freed", sc)
			}
		}
	}
}

// BenchmarkSurge compares queueing at the entry instance under twice the
// capacity, after runs around the capacity.
func BenchmarkSurge(b *testing.B) {
	for _, sz := range []struct{ leafs, slots, entries int }{{13, 6, 2}, {13, 6, 3}, {3, 5, 2}, {3, 5, 5}, {8, 4, 2}, {3, 2, 2}, {3, 2, 9}} {
		sc := simConfig{
			entries: sz.entries, leafs: sz.leafs, slots: sz.slots, length: 10 * time.Second,
			deadline: 250 * time.Millisecond, hop: 200 * time.Microsecond, tactics: "Adaptive",
		}
		name := fmt.Sprintf("%dx%dx%d/", sz.leafs, sz.slots, sz.entries)
		for _, load := range []float64{0.7, 0.9, 1.2} {
			sc.load, sc.admission = steady(load), &AdmissionConfig{}
			runSeeds(b, fmt.Sprint(name, "steady=", load), sc)
		}
		sc.load, sc.admission = surge, nil
		runSeeds(b, name+"none", sc)
		for _, ar := range []struct {
			name string
			cf   AdmissionConfig
		}{
			{"bound", AdmissionConfig{}},
			{"deadline", AdmissionConfig{Target: -1}},
			{"newest", AdmissionConfig{Target: -1, Order: NewestFirst}},
		} {
			sc.admission = &ar.cf
			runSeeds(b, name+ar.name, sc)
		}
	}
}
