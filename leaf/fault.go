package leaf

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults describes how a Leaf misbehaves. The fractions lie between 0 and 1 and are
// probabilities for each request. The zero Faults is a healthy server.
type Faults struct {
	SlowShare  float64 // fraction of requests that take SlowFactor times as long
	SlowFactor float64
	Stuck      bool // requests hold their slot and are never answered
	// The connections that are open when Silent is set go silent; newer ones work.
	Silent bool
	// Silent connections remain counted as open after the other end closes them, as if the
	// close were lost too.
	SilentHeld bool
	Shed       float64 // fraction of requests that are shed
	Crossed    float64 // fraction of replies that carry the ID of another request
	Doubled    float64 // fraction of replies that are sent twice
	Cut        float64 // fraction of requests whose connection is closed after they are read; they do not run
	Lost       float64 // fraction of requests that run and whose connection is closed instead of a reply
	Lie        bool    // health and load always report an idle, serving server
}

// requestPlan holds the service time and the faults that were drawn for one request.
type requestPlan struct {
	serviceTime                       time.Duration
	shed, crossed, doubled, cut, lost bool
}

// sampler draws service times and faults; equal seeds give equal results.
type sampler struct {
	mu sync.Mutex
	rn *rand.Rand
}

func newSampler(seed uint64) *sampler {
	return &sampler{rn: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

func (sm *sampler) sample(la Latency, fa Faults, factor float64) requestPlan {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	pl := requestPlan{
		shed:    sm.occurs(fa.Shed),
		crossed: sm.occurs(fa.Crossed),
		doubled: sm.occurs(fa.Doubled),
		cut:     sm.occurs(fa.Cut),
		lost:    sm.occurs(fa.Lost),
	}
	if sm.occurs(fa.SlowShare) {
		factor *= max(fa.SlowFactor, 1)
	}
	pl.serviceTime = time.Duration(float64(la.Median) * math.Exp(la.Sigma*sm.rn.NormFloat64()) * factor)
	return pl
}

func (sm *sampler) occurs(probability float64) bool {
	return probability > 0 && sm.rn.Float64() < probability
}
