package limit

import (
	"fmt"
	"testing"
	"time"

	"balsamwinch.example/operator"
)

// The arms of a comparison run with the same seeds.
const simSeeds = 3

// measure runs a trial with each seed and reports the means; answers are in
// percent of what the slots could give.
func measure(b *testing.B, name string, tr trial) {
	b.Run(name, func(b *testing.B) {
		sums := make(map[string]float64)
		for b.Loop() {
			for seed := range simSeeds {
				tr.seed = uint64(seed + 1)
				ta := tr.run()
				second := float64(tr.slots*max(1, tr.replicas)) / simService.Seconds() / 100
				sums["good%"] += float64(ta.useful) / second / tr.length.Seconds()
				sums["shed%"] += 100 * float64(ta.shed) / float64(max(1, ta.sent))
				sums["p50ms"] += millis(ta.latencies, 0.5)
				sums["p99ms"] += millis(ta.latencies, 0.99)
				sums["messages"] += float64(ta.messages) / float64(max(1, ta.useful))
				if tr.load(3*time.Second) != tr.load(0) {
					sums["before%"] += float64(ta.bySecond[1]) / second
					sums["surge%"] += float64(ta.bySecond[3]+ta.bySecond[4]+ta.bySecond[5]) / second / 3
					sums["after%"] += float64(ta.bySecond[7]+ta.bySecond[8]) / second / 2
					sums["refused-p99ms"] += millis(ta.refusals, 0.99)
				}
			}
		}
		b.ReportMetric(0, "ns/op")
		for unit, sum := range sums {
			b.ReportMetric(sum/simSeeds/float64(b.N), unit)
		}
	})
}

// BenchmarkSlots compares the ways to share a leaf's slots.
func BenchmarkSlots(b *testing.B) {
	for _, sz := range []struct{ slots, entries int }{{2, 9}, {4, 9}, {6, 9}, {6, 23}, {6, 100}} {
		for _, hop := range []time.Duration{200 * time.Microsecond, time.Millisecond} {
			for _, load := range []float64{0.3, 0.6, 0.85} {
				tr := trial{
					entries: sz.entries, leafs: 1, slots: sz.slots, load: steady(load), length: 10 * time.Second,
					deadline: 250 * time.Millisecond, hop: hop, tactics: "Adaptive",
				}
				arm := func(name string, change func(tr *trial)) {
					at := tr
					change(&at)
					measure(b, fmt.Sprintf("%dx%d/hop=%v/load=%v/%s", sz.slots, sz.entries, hop, load, name), at)
				}
				arm("static", func(tr *trial) { tr.tactics = "Baseline" })
				arm("adaptive", func(*trial) {})
				arm("lent", func(tr *trial) { tr.scheme = lent })
				arm("relay", func(tr *trial) { tr.scheme = relay })
				for _, n := range []int{2, 3, 6} {
					arm(fmt.Sprint("subset", n), func(tr *trial) { tr.entries = n })
				}
			}
		}
	}
}

// BenchmarkReplicas compares the baseline's random choice with the table's when
// one of two replicas of one shard is slower, or stuck, for four seconds.
func BenchmarkReplicas(b *testing.B) {
	for _, load := range []float64{0.2, 0.3, 0.4} {
		for _, sick := range []float64{0, 3, 10, 1000} {
			tr := trial{
				entries: 2, leafs: 3, slots: 4, replicas: 2, load: steady(load), length: 10 * time.Second, slow: 0.01, sick: sick,
				deadline: 250 * time.Millisecond, hop: 200 * time.Microsecond, giveUp: 60 * time.Millisecond, retry: true,
			}
			for _, tactics := range []operator.Tactics{operator.Baseline, operator.Adaptive} {
				tr.tactics = tactics
				measure(b, fmt.Sprintf("load=%v/slower=%v/%s", load, sick, tactics), tr)
			}
		}
	}
}

// BenchmarkHold compares holding the slot of a request that was given up on
// with freeing it at once, when the leaf goes on with it for a while.
func BenchmarkHold(b *testing.B) {
	for _, sz := range []struct{ slots, entries int }{{2, 2}, {4, 2}, {6, 2}} {
		for _, load := range []float64{0.3, 0.6} {
			for _, lag := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
				tr := trial{
					entries: sz.entries, leafs: 1, slots: sz.slots, load: steady(load), length: 15 * time.Second, slow: 0.02,
					deadline: 250 * time.Millisecond, hop: time.Millisecond, tactics: "Adaptive", giveUp: 15 * time.Millisecond, stopLag: lag,
				}
				name := fmt.Sprintf("%dx%d/load=%v/lag=%v/", sz.slots, sz.entries, load, lag)
				measure(b, name+"held", tr)
				tr.hold = ReleaseImmediately
				measure(b, name+"freed", tr)
			}
		}
	}
}

// BenchmarkSurge compares the queues at the entry under twice the capacity,
// after the capacity itself.
func BenchmarkSurge(b *testing.B) {
	for _, sz := range []struct{ leafs, slots, entries int }{{13, 6, 2}, {13, 6, 3}, {3, 5, 2}, {3, 5, 5}, {8, 4, 2}, {3, 2, 2}, {3, 2, 9}} {
		tr := trial{
			entries: sz.entries, leafs: sz.leafs, slots: sz.slots, length: 10 * time.Second,
			deadline: 250 * time.Millisecond, hop: 200 * time.Microsecond, tactics: "Adaptive",
		}
		name := fmt.Sprintf("%dx%dx%d/", sz.leafs, sz.slots, sz.entries)
		for _, load := range []float64{0.7, 0.9, 1.2} {
			tr.load, tr.admit = steady(load), &AdmissionConfig{}
			measure(b, fmt.Sprint(name, "steady=", load), tr)
		}
		tr.load, tr.admit = surge, nil
		measure(b, name+"none", tr)
		for _, ar := range []struct {
			name string
			cf   AdmissionConfig
		}{
			{"bound", AdmissionConfig{}},
			{"deadline", AdmissionConfig{Target: -1}},
			{"newest", AdmissionConfig{Target: -1, Order: NewestFirst}},
		} {
			tr.admit = &ar.cf
			measure(b, name+ar.name, tr)
		}
	}
}
