package leaf

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults says how a Leaf misbehaves. Shares are between 0 and 1 and are drawn
// for each request. The zero Faults is a healthy server.
type Faults struct {
	SlowShare  float64 // SlowShare is the share of requests that take SlowFactor times as long.
	SlowFactor float64
	Stuck      bool // Stuck makes requests hold their slot without an answer or an end.
	// Silent makes the connections of the moment at which it is set go silent;
	// newer ones work.
	Silent bool
	// SilentHeld keeps silent connections counted as open when the other end
	// closes them, as when the close is lost too.
	SilentHeld bool
	Shed       float64 // Shed is the share of requests that are shed.
	Crossed    float64 // Crossed is the share of replies that belong to another request.
	Doubled    float64 // Doubled is the share of replies that come twice.
	Cut        float64 // Cut is the share of requests whose connection closes once they are read; they do not run.
	Lost       float64 // Lost is the share of requests that run and whose connection closes instead of the reply.
	Lie        bool    // Lie makes health and load claim an idle, serving server.
}

// lot is what the draw decided for one request.
type lot struct {
	service                           time.Duration
	shed, crossed, doubled, cut, gone bool
}

// dice draws service times and faults, repeatably for a seed.
type dice struct {
	mu sync.Mutex
	rn *rand.Rand
}

func newDice(seed uint64) *dice {
	return &dice{rn: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

func (di *dice) draw(la Latency, fa Faults, factor float64) lot {
	di.mu.Lock()
	defer di.mu.Unlock()
	lo := lot{
		shed:    di.hit(fa.Shed),
		crossed: di.hit(fa.Crossed),
		doubled: di.hit(fa.Doubled),
		cut:     di.hit(fa.Cut),
		gone:    di.hit(fa.Lost),
	}
	if di.hit(fa.SlowShare) {
		factor *= max(fa.SlowFactor, 1)
	}
	lo.service = time.Duration(float64(la.Median) * math.Exp(la.Sigma*di.rn.NormFloat64()) * factor)
	return lo
}

func (di *dice) hit(share float64) bool {
	return share > 0 && di.rn.Float64() < share
}
