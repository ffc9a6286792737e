// Package warmup decides how often one of many senders may send a request to a backend
// server that is still cold, so that all of them together keep within what it bears. The
// senders exchange no message for it. The package reads no clock and sends nothing.
package warmup

import (
	"math"
	"time"
)

const (
	// countSpan is the span over which requests to a cold server are counted.
	countSpan = time.Second
	// leastSpacing is the least time between two requests of a sender of which at most one
	// may fall into any second. It is longer than the second, as networks delay requests
	// unequally.
	leastSpacing = 1050 * time.Millisecond
	// mostSenders bounds the senders that are reckoned with.
	mostSenders = 100_000
	// strayShare is by how much more senders are reckoned with than are known: callers that
	// hold an older list of addresses go on using others.
	strayShare = 0.2
	// excessExponent is the negative natural logarithm of the probability with which more
	// senders than allowed take part in the warm-up of one server.
	excessExponent = 16.0
	// searchSteps is how often the share of the senders is halved in a search.
	searchSteps = 40
)

// Limit is what a cold backend server bears. The zero Limit bounds nothing.
type Limit struct {
	Rate        float64       // Rate is in requests a second; 0 means no bound.
	BurstFactor float64       // Overage times Rate, and Slack, may arrive in any one second.
	Slack       float64       // Slack is in requests.
	Duration    time.Duration // Duration is how long a server is cold after it starts.
}

// Bounded reports whether there is a bound.
func (li Limit) Bounded() bool { return li.Rate > 0 }

// Most returns how many requests of all senders may arrive in any one second.
func (li Limit) MaxPerSecond() int {
	return max(1, int(math.Floor(li.Rate*max(1, li.BurstFactor)+max(0, li.Slack))))
}

// Part is what one sender may do.
type Allowance struct {
	// Share is the probability with which the sender takes part in the warm-up of a
	// server at all. It is drawn once for each server.
	Probability float64
	// Spacing is the least time between two of its requests to the server.
	MinInterval time.Duration
}

// Divide returns the part of each of so many senders. However their requests come, no
// second sees more than Most of them together, but for a probability of one in millions
// where there are more senders than that.
//
// Few senders divide the rate among them; each may be one request ahead. Many send one
// request each at most in any second, and if there are more senders than Most, each takes
// part with a probability: senders that come and go needn't agree on a list then.
func (li Limit) PerSender(senders int) Allowance {
	known := float64(min(max(1, senders), mostSenders))
	count, most := math.Ceil(known*(1+strayShare)), float64(li.MaxPerSecond())
	if count+li.Rate <= most {
		return Allowance{Probability: 1, MinInterval: spacing(count, li.Rate)}
	}
	share := 1.0
	if count > most {
		share = shareOf(count, most+1)
	}
	return Allowance{Probability: share, MinInterval: max(leastSpacing, spacing(count*share, li.Rate))}
}

// spacing returns the time between two requests of each of so many senders that send so
// many requests a second together.
func spacing(senders, rate float64) time.Duration {
	return time.Duration(senders / rate * float64(countSpan))
}

// shareOf returns the greatest share with which of so many senders too many, or more, take
// part with a probability of exp(-excessExponent) at most, by Chernoff's bound of the
// binomial distribution.
func shareOf(senders, tooMany float64) float64 {
	part := tooMany / senders
	low, high := 0.0, part
	for range searchSteps {
		share := (low + high) / 2
		if senders*divergence(part, share) >= excessExponent {
			low = share
		} else {
			high = share
		}
	}
	return low
}

// divergence returns the Kullback-Leibler divergence of two coins.
func divergence(pa, pb float64) float64 {
	sum := pa * math.Log(pa/pb)
	if pa < 1 {
		sum += (1 - pa) * math.Log((1-pa)/(1-pb))
	}
	return sum
}
