package limit

import (
	"fmt"
	"testing"
	"time"

	"balsamwinch.example/operator"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
)

// BenchmarkPick measures Pick and Done for one leaf request, with the replicas
// of a shard (2) and with large groups (13, 180).
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{2, 13, 180} {
		ta, res := tableOf(TableConfig{}, n)
		warmTable(ta, res, t0)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ch, _ := ta.Pick(t0, operator.Adaptive, res, nil)
				ta.Done(t0, ch, Outcome{Kind: OK, Latency: 5 * ms})
			}
		})
		b.Run(fmt.Sprint(n, "/parallel"), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if ch, ok := ta.Pick(t0, operator.Adaptive, res, nil); ok {
						ta.Done(t0, ch, Outcome{Kind: OK, Latency: 5 * ms})
					}
				}
			})
		})
	}
}

func BenchmarkAdmit(b *testing.B) {
	b.ReportAllocs()
	ad := NewAdmission(timer.New(), AdmissionConfig{})
	deadline := time.Now().Add(time.Hour)
	for b.Loop() {
		release, _ := ad.Admit(b.Context(), "s", 1, 13, deadline)
		release(true)
	}
}

func BenchmarkObserve(b *testing.B) {
	ta := NewTable(nil, TableConfig{})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ta.ObserveLatency("s", 5*ms)
		}
	})
}

func BenchmarkBudget(b *testing.B) {
	bu := NewBudget(5, 10)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			bu.Earn(1)
			bu.Spend()
		}
	})
}

// BenchmarkUpdate measures Update with views as large as those in operation.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{360, 6900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ta, res := tableOf(TableConfig{}, n)
			vi := &view.View{Servers: res, Configuration: operator.Configuration{Services: map[string]operator.Service{"s": {}}}}
			for b.Loop() {
				ta.update(t0, vi)
			}
		})
	}
}

// BenchmarkReview measures comparing the servers of one service.
func BenchmarkReview(b *testing.B) {
	for _, n := range []int{26, 360} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ta, res := tableOf(TableConfig{}, n)
			warmTable(ta, res, t0)
			for b.Loop() {
				ta.st.Load().groups["s"].review(t0)
			}
		})
	}
}
