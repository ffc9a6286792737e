package gateway

import (
	"time"

	"balsamwinch.example/scatter"
)

// Fractions of requests to backend servers that reach their hedge delay, for merged answers
// of few and of many shards. In between, the fraction grows linearly.
const (
	lowShards          = 10
	lowHedgeFraction   = 0.08
	highShards         = 36
	highHedgeFraction  = 0.15
	hedgeFractionSlope = (highHedgeFraction - lowHedgeFraction) / (highShards - lowShards)
)

// hedgeFraction returns the fraction of requests that should reach their hedge delay in a
// merged answer of the given number of shards.
//
// A merged answer is complete only with its last part. At 36 shards, of which each is late
// in 8 of 100 cases, three are late at the usual hedge delay, and their hedges have little
// time left before the target latency. So the more shards there are, the sooner a part is
// hedged. At ten shards, a larger fraction would spend the retry budget on parts that
// arrive in time anyway.
func hedgeFraction(shards int) float64 {
	return lowHedgeFraction + hedgeFractionSlope*float64(min(max(shards, lowShards), highShards)-lowShards)
}

// minSpareBudget is the fraction of a service's retry budget that must be unused for a hedge
// that the query doesn't need.
const minSpareBudget = 0.5

// spend takes an attempt from the retry budget of the service and reports whether it may be
// made.
//
// Where stalls are shared, a query that already has as many parts as it needs leaves the last
// half of the budget to queries whose outcome depends on a hedge. It still hedges its
// missing parts while there is plenty: without them it would wait until shortly before the
// target latency and be partial.
func (ex *executor) spend(now time.Time, sa scatter.Attempt, service string) bool {
	bu := ex.ca.sv.bu
	if ex.stallNews != nil && sa.Kind == scatter.Hedge && ex.qu.HasMinParts() && bu.RemainingFraction(now, service) < minSpareBudget {
		return false
	}
	return bu.Spend(now, service)
}
