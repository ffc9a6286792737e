// Package replica chooses which backend server of a service receives a request and when the
// request is hedged. It learns from the requests of one instance: their latencies relative
// to others of the same class, their failures and how long those in flight have been
// waiting. The load that servers report lags behind and is only an additional input. The
// package opens no connection, starts no goroutine and reads no clock.
package replica

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"balsamwinch.example/registry"
)

const (
	// defaultHedgeFraction is the fraction of requests that should reach their hedge delay.
	defaultHedgeFraction = 0.08
	// maxClasses bounds the classes with recorded latencies; beyond that the least recently
	// used one is evicted.
	maxClasses = 1024
	// maxReplaced bounds how many replaced servers are remembered after they are no longer
	// listed; beyond that the oldest are evicted.
	maxReplaced = 4096
	// seedStream is the second half of the random seed.
	seedStream uint64 = 0x9e3779b97f4a7c15
)

// Config configures a Balancer. The zero Config is usable.
type Config struct {
	// DataCentre is the data centre of this process. Among equally good servers those in it
	// are preferred; if it is empty there is no preference.
	DataCentre string
	// Seed seeds the random choices.
	Seed uint64
	// HedgeFraction is the fraction of requests that should reach their hedge delay, unless
	// a Request sets its own; zero or less means 0.08.
	HedgeFraction float64
}

// Balancer holds what one instance knows of the backend servers. It is safe for concurrent
// use.
type Balancer struct {
	cf Config

	mu            sync.Mutex
	rn            *rand.Rand
	started       bool
	base          time.Time     // base is the time of the first call.
	latest        time.Duration // latest is the time of the latest call, since base.
	resumed       time.Duration // resumed is when the process last continued after a stall.
	services      map[string][]*server
	servers       map[string]*server
	classes       map[string]*latencyStats
	replaced      map[incarnation]bool // replaced holds the servers whose address another server has taken over.
	replacedOrder []incarnation        // replacedOrder lists replaced, the oldest first.
	maxInFlight   map[string]int       // maxInFlight limits the requests in flight to one server, by service.
	warmups       map[string]Warmup    // warmups holds the services whose cold servers have a rate limit.
	candidates    []candidate          // candidates is a buffer reused by each choice.
	preferred     map[string]bool      // preferred holds ids preferred like those in the local data centre.
	nextSampleID  string               // nextSampleID is the id at which the next TakeSamples starts.
	sampledAt     time.Duration        // sampledAt is when TakeSamples was last called.
	urgent        chan struct{}        // urgent is returned by Urgent.
	urgentSent    bool                 // urgentSent is set if urgent was sent to since the last TakeSamples.
	stalls        *sharedStalls        // stalls is nil while stalls are not shared; see stalls.go.
	stallWork     chan struct{}        // stallWork is returned by StallWork.
}

// incarnation identifies one start of a backend server.
type incarnation struct {
	id   string
	born int64
}

func incarnationOf(re registry.Server) incarnation { return incarnation{re.ID, re.Born} }

// New returns a Balancer without servers.
func New(cf Config) *Balancer {
	if cf.HedgeFraction <= 0 {
		cf.HedgeFraction = defaultHedgeFraction
	}
	return &Balancer{
		cf:       cf,
		rn:       rand.New(rand.NewPCG(cf.Seed, seedStream)),
		resumed:  never,
		services: make(map[string][]*server),
		servers:  make(map[string]*server),
		classes:  make(map[string]*latencyStats),
		replaced: make(map[incarnation]bool),
		urgent:   make(chan struct{}, 1),

		stallWork: make(chan struct{}, 1),
	}
}

// at returns the time since the first call. It never goes back, although callers read the
// clock before they take the lock.
func (ba *Balancer) at(now time.Time) time.Duration {
	if !ba.started {
		ba.started, ba.base = true, now
	}
	ba.latest = max(ba.latest, now.Sub(ba.base))
	return ba.latest
}

// Update replaces the servers by service. Servers that stay listed keep their state; the
// state of others, and of earlier starts under the same id, is dropped, except that they
// were replaced. Only ready servers are chosen.
func (ba *Balancer) Update(now time.Time, ses map[string][]registry.Server) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	at := ba.at(now)
	old := ba.servers
	ba.servers = make(map[string]*server, len(old))
	ba.services = make(map[string][]*server, len(ses))
	for name, records := range ses {
		for _, re := range records {
			se := old[re.ID]
			if se == nil || se.record.Born != re.Born {
				se = newServer(at, re)
				se.replaced = ba.replaced[incarnationOf(re)]
			}
			if se.record.State != registry.Ready && re.State == registry.Ready {
				se.readySince = at
			}
			se.record = re
			ba.servers[re.ID] = se
			if re.State == registry.Ready {
				ba.services[name] = append(ba.services[name], se)
			}
		}
	}
}

// NumReady returns how many ready servers of a service have not been replaced.
func (ba *Balancer) NumReady(service string) int {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	count := 0
	for _, se := range ba.services[service] {
		if !se.replaced {
			count++
		}
	}
	return count
}

// SetMaxInFlight sets the limit of requests in flight to one server, by service, which is
// the number of connections that this instance may open to it. Services that are not listed
// have no limit.
func (ba *Balancer) SetMaxInFlight(maxInFlight map[string]int) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.maxInFlight = maxInFlight
}

// SetWarmups sets which services have a rate limit for cold servers, and the allowance of
// this instance. The map must not be changed afterwards.
func (ba *Balancer) SetWarmups(warmups map[string]Warmup) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.warmups = warmups
}

// AllWarmingUp reports whether there are ready servers outside Avoid and all of them are
// cold and may not receive a request now.
func (ba *Balancer) AllWarmingUp(now time.Time, rq Request) bool {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	at, warming := ba.at(now), false
	for _, se := range ba.services[rq.Service] {
		if se.replaced || slices.Contains(rq.Avoid, se.record.ID) {
			continue
		}
		if ba.mayReceive(at, se) {
			return false
		}
		warming = true
	}
	return warming
}

// SetPreferred sets the ids of servers that are preferred like those in the local data
// centre. The map must not be changed afterwards.
func (ba *Balancer) SetPreferred(preferred map[string]bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.preferred = preferred
}

// Outcome says how a request to a server ended.
type Outcome uint8

// The outcomes of a request.
const (
	Served      Outcome = iota // Served is an answer that is no failure of the server.
	Shed                       // Shed is a refusal by the server, which has not run the request.
	Failed                     // Failed is a 5xx, an invalid answer or a lost one.
	Abandoned                  // Abandoned means given up while waiting for the answer: a hedge won, or the deadline passed.
	Unreachable                // Unreachable means that no connection could be opened.
	Replaced                   // Replaced means that another server answered at the address; the listed one is gone permanently.
	Canceled                   // Canceled says nothing about the server: the caller left, or this was a hedge that lost.
)

// Report describes how a request to a server ended.
type Report struct {
	Outcome Outcome
	// Running, Waiting and Slots are the load reported by the server, in requests. Pace is
	// the current duration of work there in percent of the usual one; 0 if unknown.
	Running, Waiting, Slots, Pace int
	// HasLoad is set if the server reported its load.
	HasLoad bool
	// LocalCause is set if a refusal was caused by a shortage at this instance, which says
	// nothing about the server and is not sampled for the other instances.
	LocalCause bool
}

// Done ends the request of a pick. A second call for the same pick has no effect.
func (ba *Balancer) Done(now time.Time, pk Pick, re Report) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	at := ba.at(now)
	if pk.se == nil {
		return
	}
	found := pk.se.find(pk.number)
	if found == nil {
		return
	}
	fl := *found
	pk.se.remove(found)
	if re.HasLoad {
		pk.se.recordLoad(at, re)
	}
	if re.Outcome == Replaced {
		ba.markReplaced(pk.se)
	}
	if fl.start >= ba.resumed {
		if !re.LocalCause {
			pk.se.countOutcome(re.Outcome)
		}
		ba.record(at, pk.se, &fl, re.Outcome)
		ba.recordStallEnd(at, pk.se, &fl, re.Outcome)
		ba.signalUrgent(pk.se)
	}
}

// record updates the server with the end of a request.
func (ba *Balancer) record(at time.Duration, se *server, fl *flight, outcome Outcome) {
	switch outcome {
	case Served:
		ba.recordAnswer(at, se, fl)
	case Abandoned:
		ba.recordAbandoned(at, se, fl)
	case Failed:
		se.applyDecay(at)
		se.recordFailure(at, fl.start, ejectAfter)
	case Shed, Unreachable:
		se.applyDecay(at)
		se.recordFailure(at, fl.start, 1)
	case Replaced, Canceled:
	}
}

// recordAnswer updates the server and the class with an answered request.
func (ba *Balancer) recordAnswer(at time.Duration, se *server, fl *flight) {
	latency := at - fl.start
	se.applyDecay(at)
	if fl.stats.known() {
		fl.stats.refresh()
		se.recordLatency(latency, fl.stats.medianOrDefault(), false)
		se.sampleLatency(fl, latency, fl.stats.medianOrDefault(), false)
	}
	fl.stats.add(at, latency)
	se.recordAnswer(at)
}

// recordAbandoned updates the server and the class with an abandoned request. Its real
// latency lies beyond its hedge delay. If it were left out, or counted with the time waited
// at a server that was hedged early, the quantile would fall with each hedge and more and
// more requests would be hedged.
func (ba *Balancer) recordAbandoned(at time.Duration, se *server, fl *flight) {
	latency := at - fl.start
	fl.stats.refresh()
	delay := fl.stats.hedgeDelay(at)
	se.applyDecay(at)
	if fl.stats.known() {
		se.recordLatency(latency, fl.stats.medianOrDefault(), true)
		se.sampleLatency(fl, latency, fl.stats.medianOrDefault(), true)
	}
	if !fl.overdue && latency < delay {
		return
	}
	fl.stats.add(at, max(latency, delay))
	se.recordAbandoned(at, fl.start)
}

// markReplaced records that a server was replaced at its address.
func (ba *Balancer) markReplaced(se *server) {
	if se.replaced {
		return
	}
	se.replaced = true
	ba.replaced[incarnationOf(se.record)] = true
	ba.replacedOrder = append(ba.replacedOrder, incarnationOf(se.record))
	if len(ba.replacedOrder) > maxReplaced {
		delete(ba.replaced, ba.replacedOrder[0])
		ba.replacedOrder = ba.replacedOrder[1:]
	}
}

// Overdue records that the request of a pick has passed its hedge delay, whether or not it
// is hedged. The server is suspect until it answers any request, or for a moment after this
// one is abandoned.
func (ba *Balancer) Overdue(now time.Time, pk Pick) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.at(now)
	if pk.se == nil {
		return
	}
	if fl := pk.se.find(pk.number); fl != nil && fl.start >= ba.resumed {
		pk.se.suspect(fl)
	}
}

// Resumed records that the process was suspended or frozen until now. The requests in
// flight then say nothing about their servers.
func (ba *Balancer) Resumed(now time.Time) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.resumed = ba.at(now)
	ba.dropStalls()
	for _, se := range ba.servers {
		se.clearSuspicion()
	}
}

// MedianLatency returns the median latency of a class over all servers, or a default if
// none is known.
func (ba *Balancer) MedianLatency(class string) time.Duration {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ls := ba.classes[class]
	if ls == nil {
		return defaultMedian
	}
	ls.refresh()
	return ls.medianOrDefault()
}

// class returns the latencies of the request's class, with up-to-date quantiles.
func (ba *Balancer) class(at time.Duration, rq Request) *latencyStats {
	ls := ba.classes[rq.Class]
	if ls == nil {
		ba.evictClass()
		ls = &latencyStats{unitAt: at, hedgeFraction: ba.cf.HedgeFraction}
		ba.classes[rq.Class] = ls
	}
	if rq.HedgeFraction > 0 && rq.HedgeFraction != ls.hedgeFraction {
		ls.hedgeFraction, ls.current = rq.HedgeFraction, false
	}
	ls.usedAt = at
	ls.refresh()
	return ls
}

// evictClass evicts the least recently used class if the limit is reached.
func (ba *Balancer) evictClass() {
	if len(ba.classes) < maxClasses {
		return
	}
	oldest := ""
	for name, ls := range ba.classes {
		if first := ba.classes[oldest]; first == nil || ls.usedAt < first.usedAt {
			oldest = name
		}
	}
	delete(ba.classes, oldest)
}
