package route

import (
	"math/rand/v2"
	"slices"
	"sync"
)

const (
	// maxNames bounds the route names that a picker remembers in each of its two
	// generations.
	maxNames = 4096
	// maxVariants bounds the sets of targets remembered for one route name. While a
	// configuration is being replaced, requests under the old and the new one
	// alternate.
	maxVariants = 4
	// maxPhase bounds the number of steps by which a new split is advanced. Over
	// that many steps, the shares match the weights to within a thousandth.
	maxPhase = 1024
)

// Picker divides the requests of split routes by smooth weighted round robin. In
// every run of requests as long as the sum of the weights, divided by their
// greatest common divisor, each service gets its exact share. A Picker is safe
// for concurrent use. It need not be notified of a new configuration: a route
// with the same name and targets continues its sequence.
type Picker struct {
	randomPhase func(n int) int // returns a number from 0 to n-1

	mu       sync.Mutex
	splits   map[string][]*split // variants by route name, most recently used first
	previous map[string][]*split // the previous generation
}

// NewPicker returns a picker without state.
func NewPicker() *Picker {
	return &Picker{randomPhase: rand.IntN, splits: make(map[string][]*split)}
}

// Pick returns the service that gets the next request of the route, or "" for a
// route without targets. The route should come from a Table. In any other route,
// negative weights count as 0, and if no weight is above 0 the first target gets
// all requests.
func (pk *Picker) Pick(ro *Route) string {
	switch len(ro.Targets) {
	case 0:
		return ""
	case 1:
		return ro.Targets[0].Service
	}
	pk.mu.Lock()
	defer pk.mu.Unlock()
	sp := pk.find(ro)
	return sp.targets[sp.next()].Service
}

// find returns the split of a route, or a new one if none is remembered.
func (pk *Picker) find(ro *Route) *split {
	sps, ok := pk.splits[ro.Name]
	if !ok {
		sps = pk.promote(ro.Name)
	}
	ix := slices.IndexFunc(sps, func(sp *split) bool { return slices.Equal(sp.targets, ro.Targets) })
	if ix == 0 {
		return sps[0]
	}
	var sp *split
	if ix > 0 {
		sp = sps[ix]
		sps = slices.Delete(sps, ix, ix+1)
	} else {
		sp = pk.newSplit(ro.Targets)
		sps = sps[:min(len(sps), maxVariants-1)]
	}
	pk.splits[ro.Name] = slices.Insert(sps, 0, sp)
	return sp
}

// promote moves the splits of a name from the previous generation to the current
// one. A full generation becomes the previous one; names that haven't been used
// since the last such change are evicted.
func (pk *Picker) promote(name string) []*split {
	if len(pk.splits) >= maxNames {
		pk.previous = pk.splits
		pk.splits = make(map[string][]*split)
	}
	sps := pk.previous[name]
	delete(pk.previous, name)
	pk.splits[name] = sps
	return sps
}

// split is the state of smooth weighted round robin: in each step every service
// gains its weight as credit, and the one with the most credit gets the request
// and pays the sum.
type split struct {
	targets []Target
	weights []int
	credits []int
	sum     int
}

// newSplit returns a split at a random position of its sequence. If each began
// at the same position, many instances with a few requests each would all send
// them to the service with the greatest weight. Its share over all instances
// would be too large after each start and each change of weights.
func (pk *Picker) newSplit(ts []Target) *split {
	sp := &split{targets: slices.Clone(ts), weights: make([]int, len(ts)), credits: make([]int, len(ts))}
	divisor := 0
	for ix, ta := range ts {
		sp.weights[ix] = max(0, ta.Weight)
		sp.sum += sp.weights[ix]
		divisor = gcd(divisor, sp.weights[ix])
	}
	if sp.sum == 0 {
		return sp
	}
	for range pk.randomPhase(min(sp.sum/divisor, maxPhase)) {
		sp.next()
	}
	return sp
}

// next returns the index of the service that gets the next request.
func (sp *split) next() int {
	best := 0
	for ix, we := range sp.weights {
		sp.credits[ix] += we
		if sp.credits[ix] > sp.credits[best] {
			best = ix
		}
	}
	sp.credits[best] -= sp.sum
	return best
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
