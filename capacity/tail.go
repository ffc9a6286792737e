package capacity

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
)

// Parameters of the service time distribution that the experiments use.
const (
	sigma      = 0.3  // standard deviation of the logarithm
	slowRatio  = 0.01 // fraction of slow leaf requests
	slowFactor = 10
	// hedgeQuantile is the quantile of leaf latencies after which package limit hedges.
	hedgeQuantile = 0.97
	inTimeRatio   = 0.99
)

// MaxLateRatio returns the fraction of leaf requests that may be late if the fraction inTime
// of queries must be in time. A query is in time if all of its leaves are.
func MaxLateRatio(inTime float64, leaves int) float64 {
	return 1 - math.Pow(inTime, 1/float64(leaves))
}

// serviceTimes draws service times with the median 1.
type serviceTimes struct {
	rn        *rand.Rand
	slowRatio float64
}

func (se serviceTimes) sample() float64 {
	ti := math.Exp(sigma * se.rn.NormFloat64())
	if se.slowRatio > 0 && se.rn.Float64() < se.slowRatio {
		ti *= slowFactor
	}
	return ti
}

// leafLatency draws the latency of a leaf request that is hedged at most hedges times, with
// delay between the attempts, and returns how many requests were sent.
func (se serviceTimes) leafLatency(hedges int, delay float64) (latency float64, requests int) {
	latency = se.sample()
	requests = 1
	for ix := 1; ix <= hedges; ix++ {
		start := float64(ix) * delay
		if latency <= start {
			break
		}
		latency = min(latency, start+se.sample())
		requests++
	}
	return latency, requests
}

// queryLatency draws the latencies of queries. It returns their inTimeRatio quantile and the
// ratio of extra leaf requests.
func (se serviceTimes) queryLatency(queries, leaves, hedges int, delay float64) (quantile, extraRatio float64) {
	las := make([]float64, queries)
	requests := 0
	for ix := range las {
		for range leaves {
			la, re := se.leafLatency(hedges, delay)
			las[ix] = max(las[ix], la)
			requests += re
		}
	}
	return quantileOf(las, inTimeRatio), float64(requests)/float64(queries*leaves) - 1
}

// hedgeDelay returns the delay after which a leaf request is hedged.
func (se serviceTimes) hedgeDelay() float64 {
	const samples = 200_000
	las := make([]float64, samples)
	for ix := range las {
		las[ix] = se.sample()
	}
	return quantileOf(las, hedgeQuantile)
}

func quantileOf(vas []float64, quantile float64) float64 {
	slices.Sort(vas)
	return vas[int(quantile*float64(len(vas)))]
}

// tailLatency simulates the latency of queries that wait for their slowest leaf, in units of
// the median service time of a leaf. There are no queues, so it shows the effect of the
// distribution alone.
func tailLatency() Measurement {
	const queries = 20_000
	return Measurement{
		Name: "entry/tail", SizeUnit: "leaves", Sizes: []int{13, 60, 180}, Quick: []int{13, 60, 180}, Target: TargetQueryLeaves,
		Columns: []Column{
			{"entry", "leaf requests that may be late", "share", Constant},
			{"entry", "p99, lognormal, no hedge", "medians", Constant},
			{"entry", "p99, lognormal, one hedge", "medians", Constant},
			{"entry", "extra load of that hedge", "share", Constant},
			{"entry", "p99, 1 in 100 slow, no hedge", "medians", Constant},
			{"entry", "p99, 1 in 100 slow, one hedge", "medians", Constant},
			{"entry", "extra load of that hedge, 1 in 100 slow", "share", Constant},
			{"entry", "p99, 1 in 100 slow, two hedges", "medians", Constant},
			{"entry", "extra load of two hedges, 1 in 100 slow", "share", Constant},
		},
		Take: func(_ context.Context, tr Trial) ([]float64, error) {
			rn := rand.New(rand.NewPCG(1, uint64(tr.Run)))
			vas := []float64{MaxLateRatio(inTimeRatio, tr.Size)}
			for _, se := range []serviceTimes{{rn: rn}, {rn: rn, slowRatio: slowRatio}} {
				delay := se.hedgeDelay()
				alone, _ := se.queryLatency(queries, tr.Size, 0, delay)
				once, extra := se.queryLatency(queries, tr.Size, 1, delay)
				vas = append(vas, alone, once, extra)
				if se.slowRatio > 0 {
					twice, more := se.queryLatency(queries, tr.Size, 2, delay)
					vas = append(vas, twice, more)
				}
			}
			return vas, nil
		},
	}
}
