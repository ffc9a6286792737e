package load

import (
	"math/rand/v2"
	"time"
)

// Arrival is one query of an open loop: it is due at a fixed time, whatever
// became of the queries before it.
type Arrival struct {
	At     time.Duration // At counts from the start of the block.
	Stream int           // Stream is the index of the rate that it belongs to.
	Seed   uint64        // Seed drives the choices made for this query.
}

// Arrivals returns the arrivals of one block in order: a Poisson process for
// each stream, of the given rates a second. Equal seeds give equal arrivals, so
// that two arms can be offered the same load.
func Arrivals(seed uint64, length time.Duration, rates []float64) []Arrival {
	rd := rand.New(rand.NewPCG(seed, uint64(len(rates))))
	sum := 0.0
	for _, ra := range rates {
		sum += ra
	}
	if sum <= 0 {
		return nil
	}
	var ars []Arrival
	at := 0.0
	for {
		at += rd.ExpFloat64() / sum
		due := time.Duration(at * float64(time.Second))
		if due >= length {
			return ars
		}
		ars = append(ars, Arrival{At: due, Stream: pick(rd.Float64()*sum, rates), Seed: rd.Uint64()})
	}
}

// pick returns the stream whose share of the summed rates holds the point.
func pick(point float64, rates []float64) int {
	last := 0
	for ix, ra := range rates {
		if ra <= 0 {
			continue
		}
		if point < ra {
			return ix
		}
		point -= ra
		last = ix
	}
	return last
}
