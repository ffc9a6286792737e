package gateway

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
