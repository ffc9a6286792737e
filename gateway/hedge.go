package gateway

// The shares of requests to backend servers that reach their hedge time, for merged
// answers of few and of many shards.
const (
	fewShards       = 10
	fewHedgeShare   = 0.08
	manyShards      = 36
	manyHedgeShare  = 0.15
	hedgeShareSlope = (manyHedgeShare - fewHedgeShare) / (manyShards - fewShards)
)

// hedgeShare returns which share of the requests for a merged answer of so many shards
// should reach their hedge time.
//
// An answer comes with its last part. At 36 shards, of which each is late in 8 of 100
// cases, three are late at the usual hedge time, and the hedges for them have little of
// the aim left; so the more shards there are, the sooner a part is hedged. At ten, a
// larger share spends the retry budget on what would have come in time.
func hedgeShare(shards int) float64 {
	return fewHedgeShare + hedgeShareSlope*float64(min(max(shards, fewShards), manyShards)-fewShards)
}
