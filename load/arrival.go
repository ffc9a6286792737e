package load

import (
	"math/rand/v2"
	"time"
)

// Arrival is one query of an open loop: it is due at a fixed time that does not depend on the
// queries before it.
type Arrival struct {
	At     time.Duration // time since the start of the block
	Stream int           // index of the rate that the arrival belongs to
	Seed   uint64        // seeds the random choices made for this query
}

// Arrivals returns the arrivals of one block in order: a Poisson process for each stream, with
// the given rates per second. Equal seeds give equal arrivals, so that two arms can be offered
// the same load.
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
		ars = append(ars, Arrival{At: due, Stream: pickStream(rd.Float64()*sum, rates), Seed: rd.Uint64()})
	}
}

// pickStream returns the index of the stream whose part of the summed rates contains the
// point.
func pickStream(point float64, rates []float64) int {
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
