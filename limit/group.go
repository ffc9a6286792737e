package limit

import (
	"iter"
	"sync"
	"sync/atomic"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
)

// reviewEvery is how often the servers of a service that is in use are compared.
const reviewEvery = 50 * time.Millisecond

// Room is what the backend servers of a service can take from one instance.
type ServiceCapacity struct {
	// Queries is how many leaf requests the scarcest shard may have in flight;
	// zero if unknown. Shards without a usable server don't count.
	Concurrency   float64
	MedianLatency time.Duration // Typical is the median leaf latency; zero if unknown.
}

// shardKey names a shard of one partition map.
type shardKey struct {
	partition uint64
	shard     string
}

// wanted finds the services that select a server.
type wanted struct {
	named map[string][]operator.Service // named are those that select by a service, by its name.
	other []operator.Service
}

func newWanted(services map[string]operator.Service) wanted {
	wa := wanted{named: make(map[string][]operator.Service)}
	for name, se := range services {
		se.Name = name
		if sl := se.Selector.Service; sl != "" {
			wa.named[sl] = append(wa.named[sl], se)
		} else {
			wa.other = append(wa.other, se)
		}
	}
	return wa
}

// of yields the services that select the server.
func (wa wanted) of(re *backend.Record) iter.Seq[operator.Service] {
	return func(yield func(operator.Service) bool) {
		for _, ses := range [][]operator.Service{wa.named[re.Service], wa.other} {
			for _, se := range ses {
				if Selects(se, re) && !yield(se) {
					return
				}
			}
		}
	}
}

// group is the servers that one service selects.
type group struct {
	service  operator.Service
	scarcest int // scarcest is the fewest slots of a server.
	entries  []*entry
	shards   [][]int          // shards lists, for each shard, the indices of its entries.
	index    map[shardKey]int // index maps to indices of shards.

	mu   sync.Mutex // mu lets one goroutine review at a time.
	next atomic.Int64
	room atomic.Pointer[ServiceCapacity]
}

// newGroup returns a group without servers that keeps the room of the one that
// it replaces until its next review.
func newGroup(se operator.Service, old *group) *group {
	gr := &group{service: se, index: make(map[shardKey]int)}
	gr.room.Store(&ServiceCapacity{})
	if old != nil {
		gr.room.Store(old.room.Load())
		gr.next.Store(old.next.Load())
	}
	return gr
}

func (gr *group) add(en *entry, re *backend.Record) {
	ix := len(gr.entries)
	gr.entries = append(gr.entries, en)
	if re.Slots > 0 && (gr.scarcest == 0 || re.Slots < gr.scarcest) {
		gr.scarcest = re.Slots
	}
	for _, ho := range re.Holdings {
		key := shardKey{ho.Snapshot.Partition, ho.Shard}
		sh, ok := gr.index[key]
		if !ok {
			sh = len(gr.shards)
			gr.index[key] = sh
			gr.shards = append(gr.shards, nil)
		}
		if holders := gr.shards[sh]; len(holders) == 0 || holders[len(holders)-1] != ix {
			gr.shards[sh] = append(holders, ix)
		}
	}
}

// sharers returns how many instances share each server for this service.
func (gr *group) sharers(instances int) int {
	if n := entriesOf(gr.service, gr.scarcest); n > 0 {
		return min(n, instances)
	}
	return instances
}

// due reports whether it is time for a review, to one caller only.
func (gr *group) due(now time.Time) bool {
	next := gr.next.Load()
	return now.UnixNano() >= next && gr.next.CompareAndSwap(next, now.Add(reviewEvery).UnixNano())
}

// review compares the servers and works out the room. It returns at once when
// another goroutine is at it.
func (gr *group) review(now time.Time) {
	if !gr.mu.TryLock() {
		return
	}
	defer gr.mu.Unlock()
	sv := make([]Server, len(gr.entries))
	for ix, en := range gr.entries {
		sv[ix] = en.look(now)
	}
	ju := judge(now, sv, gr.shards)
	for ix, en := range gr.entries {
		en.judge(Compared{Now: now, MedianLatency: ju.typical, Verdict: ju.verdicts[ix], Reason: ju.reasons[ix]})
	}
	gr.room.Store(&ServiceCapacity{Concurrency: gr.queries(now, sv), MedianLatency: ju.typical})
}

// queries returns the room of the scarcest shard, in the partition map that has
// the most of it.
func (gr *group) queries(now time.Time, sv []Server) float64 {
	most := 0.0
	for _, pa := range gr.service.Partitions {
		least := 0.0
		for _, sh := range pa.Shards {
			ix, ok := gr.index[shardKey{pa.Number, sh}]
			if !ok {
				continue
			}
			if room := gr.shardRoom(now, sv, gr.shards[ix]); room > 0 && (least == 0 || room < least) {
				least = room
			}
		}
		most = max(most, least)
	}
	return most
}

func (gr *group) shardRoom(now time.Time, sv []Server, holders []int) float64 {
	room := 0.0
	for _, ix := range holders {
		switch se := sv[ix]; {
		case !se.usable() || se.stuck(now):
		case gr.service.Tactics == operator.Baseline:
			room += float64(se.static())
		default:
			room += se.limit
		}
	}
	return room
}
