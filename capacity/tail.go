package capacity

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
)

// The distribution of service times that the experiments use.
const (
	sigma      = 0.3  // sigma is that of the logarithm.
	slowShare  = 0.01 // slowShare is the share of slow leaf requests.
	slowFactor = 10
	// hedgeAfter is the quantile of leaf latencies after which package limit
	// hedges.
	hedgeAfter    = 0.97
	answersInTime = 0.99
)

// LeafQuantile returns the share of leaf requests that may be late so that the
// share of queries that are not late is kept.
func MaxLateRatio(inTime float64, leaves int) float64 {
	return 1 - math.Pow(inTime, 1/float64(leaves))
}

// service draws service times with the median 1.
type service struct {
	rn   *rand.Rand
	slow float64
}

func (se service) time() float64 {
	ti := math.Exp(sigma * se.rn.NormFloat64())
	if se.slow > 0 && se.rn.Float64() < se.slow {
		ti *= slowFactor
	}
	return ti
}

// leaf draws the latency of a leaf request that is hedged up to so many times,
// each time after the delay, and how many requests it took.
func (se service) leaf(hedges int, delay float64) (latency float64, requests int) {
	latency = se.time()
	requests = 1
	for ix := 1; ix <= hedges; ix++ {
		start := float64(ix) * delay
		if latency <= start {
			break
		}
		latency = min(latency, start+se.time())
		requests++
	}
	return latency, requests
}

// query draws the latency of queries and returns a quantile of them and the
// share of extra leaf requests.
func (se service) query(queries, leaves, hedges int, delay float64) (quantile, extra float64) {
	las := make([]float64, queries)
	requests := 0
	for ix := range las {
		for range leaves {
			la, re := se.leaf(hedges, delay)
			las[ix] = max(las[ix], la)
			requests += re
		}
	}
	return quantileOf(las, answersInTime), float64(requests)/float64(queries*leaves) - 1
}

// late returns the delay after which a leaf request is hedged.
func (se service) late() float64 {
	const samples = 200_000
	las := make([]float64, samples)
	for ix := range las {
		las[ix] = se.time()
	}
	return quantileOf(las, hedgeAfter)
}

func quantileOf(vas []float64, quantile float64) float64 {
	slices.Sort(vas)
	return vas[int(quantile*float64(len(vas)))]
}

// tail draws the latency of queries whose slowest leaf decides, in medians of a
// leaf's service time, without queues: what the distribution alone demands.
func tail() Measurement {
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
		Sample: func(_ context.Context, tr Trial) ([]float64, error) {
			rn := rand.New(rand.NewPCG(1, uint64(tr.Run)))
			vas := []float64{MaxLateRatio(answersInTime, tr.Size)}
			for _, se := range []service{{rn: rn}, {rn: rn, slow: slowShare}} {
				delay := se.late()
				alone, _ := se.query(queries, tr.Size, 0, delay)
				once, extra := se.query(queries, tr.Size, 1, delay)
				vas = append(vas, alone, once, extra)
				if se.slow > 0 {
					twice, more := se.query(queries, tr.Size, 2, delay)
					vas = append(vas, twice, more)
				}
			}
			return vas, nil
		},
	}
}
