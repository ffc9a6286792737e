package limit

import (
	"iter"
	"sync"
	"sync/atomic"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
)

// reviewInterval is how often the servers of a service in use are compared.
const reviewInterval = 50 * time.Millisecond

// ServiceCapacity is what the backend servers of a service can take from one
// instance.
type ServiceCapacity struct {
	// Concurrency is how many leaf requests may be in flight to the shard with the
	// lowest limit; zero if unknown. Shards without a usable server don't count.
	Concurrency   float64
	MedianLatency time.Duration // median leaf latency; zero if unknown
}

// shardKey identifies a shard of one partition map.
type shardKey struct {
	partition uint64
	shard     string
}

// selectorIndex finds the services that select a server.
type selectorIndex struct {
	byService map[string][]operator.Service // services whose selector names a service, by that name
	others    []operator.Service
}

func newSelectorIndex(services map[string]operator.Service) selectorIndex {
	si := selectorIndex{byService: make(map[string][]operator.Service)}
	for name, se := range services {
		se.Name = name
		if sl := se.Selector.Service; sl != "" {
			si.byService[sl] = append(si.byService[sl], se)
		} else {
			si.others = append(si.others, se)
		}
	}
	return si
}

// servicesOf yields the services that select the server.
func (si selectorIndex) servicesOf(re *backend.Record) iter.Seq[operator.Service] {
	return func(yield func(operator.Service) bool) {
		for _, ses := range [][]operator.Service{si.byService[re.Service], si.others} {
			for _, se := range ses {
				if Selects(se, re) && !yield(se) {
					return
				}
			}
		}
	}
}

// group holds the servers that one service selects.
type group struct {
	service    operator.Service
	minSlots   int // lowest number of slots of a server
	servers    []*serverEntry
	shards     [][]int          // for each shard, the indices of its servers
	shardIndex map[shardKey]int // index into shards

	mu         sync.Mutex // held by the goroutine that reviews
	nextReview atomic.Int64
	capacity   atomic.Pointer[ServiceCapacity]
}

// newGroup returns a group without servers. Until its first review it keeps the
// capacity of the group that it replaces.
func newGroup(se operator.Service, old *group) *group {
	gr := &group{service: se, shardIndex: make(map[shardKey]int)}
	gr.capacity.Store(&ServiceCapacity{})
	if old != nil {
		gr.capacity.Store(old.capacity.Load())
		gr.nextReview.Store(old.nextReview.Load())
	}
	return gr
}

func (gr *group) add(en *serverEntry, re *backend.Record) {
	ix := len(gr.servers)
	gr.servers = append(gr.servers, en)
	if re.Slots > 0 && (gr.minSlots == 0 || re.Slots < gr.minSlots) {
		gr.minSlots = re.Slots
	}
	for _, ho := range re.Holdings {
		key := shardKey{ho.Snapshot.Partition, ho.Shard}
		sh, ok := gr.shardIndex[key]
		if !ok {
			sh = len(gr.shards)
			gr.shardIndex[key] = sh
			gr.shards = append(gr.shards, nil)
		}
		if holders := gr.shards[sh]; len(holders) == 0 || holders[len(holders)-1] != ix {
			gr.shards[sh] = append(holders, ix)
		}
	}
}

// numSharers returns how many instances share each server for this service.
func (gr *group) numSharers(instances int) int {
	if n := numEntries(gr.service, gr.minSlots); n > 0 {
		return min(n, instances)
	}
	return instances
}

// claimReview reports whether a review is due. Of concurrent callers, only one
// gets true.
func (gr *group) claimReview(now time.Time) bool {
	next := gr.nextReview.Load()
	return now.UnixNano() >= next && gr.nextReview.CompareAndSwap(next, now.Add(reviewInterval).UnixNano())
}

// review compares the servers and computes the capacity. It returns at once if
// another goroutine is doing so.
func (gr *group) review(now time.Time) {
	if !gr.mu.TryLock() {
		return
	}
	defer gr.mu.Unlock()
	sv := make([]Server, len(gr.servers))
	for ix, en := range gr.servers {
		sv[ix] = en.current(now)
	}
	co := compare(now, sv, gr.shards)
	for ix, en := range gr.servers {
		en.applyComparison(Compared{Now: now, MedianLatency: co.medianLatency, Verdict: co.verdicts[ix], Reason: co.reasons[ix]})
	}
	gr.capacity.Store(&ServiceCapacity{Concurrency: gr.concurrency(now, sv), MedianLatency: co.medianLatency})
}

// concurrency returns the limit of the shard with the lowest one, in the
// partition map for which that is highest.
func (gr *group) concurrency(now time.Time, sv []Server) float64 {
	highest := 0.0
	for _, pa := range gr.service.Partitions {
		lowest := 0.0
		for _, sh := range pa.Shards {
			ix, ok := gr.shardIndex[shardKey{pa.Number, sh}]
			if !ok {
				continue
			}
			if capacity := gr.shardConcurrency(now, sv, gr.shards[ix]); capacity > 0 && (lowest == 0 || capacity < lowest) {
				lowest = capacity
			}
		}
		highest = max(highest, lowest)
	}
	return highest
}

func (gr *group) shardConcurrency(now time.Time, sv []Server, holders []int) float64 {
	capacity := 0.0
	for _, ix := range holders {
		switch se := sv[ix]; {
		case !se.usable() || se.stuck(now):
		case gr.service.Tactics == operator.Baseline:
			capacity += float64(se.staticShare())
		default:
			capacity += se.limit
		}
	}
	return capacity
}
