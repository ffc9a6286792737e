// Package warmup limits how often each of many senders may send a request to a backend
// server that is still cold, so that their total stays within what the server can take. The
// senders need no communication for it. The package reads no clock and sends nothing.
package warmup

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which requests to a cold server are counted.
	rateWindow = time.Second
	// minInterval is the minimum time between two requests of a sender of which at most one
	// may arrive in any second. It is longer than a second because network delays vary.
	minInterval = 1050 * time.Millisecond
	// maxSenders bounds the number of senders in the calculation.
	maxSenders = 100_000
	// extraSendersRatio is the ratio of additional senders assumed beyond the known ones:
	// callers with an older list of addresses still use other senders.
	extraSendersRatio = 0.2
	// excessExponent is the negative natural logarithm of the probability that more senders
	// than allowed take part in the warm-up of one server.
	excessExponent = 16.0
	// searchSteps is the number of steps of the binary search for the probability.
	searchSteps = 40
)

// Limit is what a cold backend server can take. The zero Limit means no bound.
type Limit struct {
	Rate        float64       // Rate is in requests per second; 0 means no bound.
	BurstFactor float64       // BurstFactor times Rate, plus Slack, may arrive in any one second.
	Slack       float64       // Slack is in requests.
	Duration    time.Duration // Duration is how long a server is cold after it starts.
}

// Bounded reports whether there is a bound.
func (li Limit) Bounded() bool { return li.Rate > 0 }

// MaxPerSecond returns how many requests of all senders may arrive in any one second.
func (li Limit) MaxPerSecond() int {
	return max(1, int(math.Floor(li.Rate*max(1, li.BurstFactor)+max(0, li.Slack))))
}

// Allowance is what one sender may send.
type Allowance struct {
	// Probability is the probability with which the sender takes part in the warm-up of a
	// server at all. It is drawn once for each server.
	Probability float64
	// MinInterval is the minimum time between two of its requests to the server.
	MinInterval time.Duration
}

// PerSender returns the allowance of each of the given number of senders. Regardless of
// when requests come, at most MaxPerSecond of all senders together arrive in any second. If
// there are more senders than MaxPerSecond, this holds except with a probability of one in
// millions.
//
// Few senders divide the rate among them, and each may be one request ahead. Many senders
// send at most one request each in any second. If there are more senders than MaxPerSecond,
// each takes part with a probability, so that senders which come and go need not agree on a
// list.
func (li Limit) PerSender(senders int) Allowance {
	known := float64(min(max(1, senders), maxSenders))
	count, maxPerSecond := math.Ceil(known*(1+extraSendersRatio)), float64(li.MaxPerSecond())
	if count+li.Rate <= maxPerSecond {
		return Allowance{Probability: 1, MinInterval: interval(count, li.Rate)}
	}
	probability := 1.0
	if count > maxPerSecond {
		probability = maxProbability(count, maxPerSecond+1)
	}
	return Allowance{Probability: probability, MinInterval: max(minInterval, interval(count*probability, li.Rate))}
}

// interval returns the time between two requests of each sender if all senders together
// send rate requests per second.
func interval(senders, rate float64) time.Duration {
	return time.Duration(senders / rate * float64(rateWindow))
}

// maxProbability returns the highest probability of taking part at which tooMany or more of
// the senders take part with a probability of at most exp(-excessExponent), by the Chernoff
// bound of the binomial distribution.
func maxProbability(senders, tooMany float64) float64 {
	fraction := tooMany / senders
	low, high := 0.0, fraction
	for range searchSteps {
		probability := (low + high) / 2
		if senders*divergence(fraction, probability) >= excessExponent {
			low = probability
		} else {
			high = probability
		}
	}
	return low
}

// divergence returns the Kullback-Leibler divergence of two Bernoulli distributions.
func divergence(pa, pb float64) float64 {
	sum := pa * math.Log(pa/pb)
	if pa < 1 {
		sum += (1 - pa) * math.Log((1-pa)/(1-pb))
	}
	return sum
}
