// Package replica decides which backend server of a service is asked, and when
// a second one is. It learns from the requests of one instance: how long they
// took against others of the same work, which failed, which are still waiting.
// What servers report of their load lags and only adds to that. The package
// opens no connection, starts no goroutine and reads no clock.
package replica

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"balsamwinch.example/registry"
)

const (
	// defaultHedgeShare is the share of requests that reach their hedge time.
	defaultHedgeShare = 0.08
	// mostWorks is how many kinds of work are remembered; beyond that the one
	// that was not used for longest is forgotten.
	mostWorks = 1024
	// mostMoved is how many servers that moved are remembered beyond their last
	// listing; then the oldest are forgotten.
	mostMoved = 4096
	// seedStream is the second half of the seed.
	seedStream uint64 = 0x9e3779b97f4a7c15
)

// Config is what a Table is made with. The zero Config is usable.
type Config struct {
	// DataCentre is the one in which the process runs. Of servers that are as
	// good, those in it are preferred; empty for no preference.
	DataCentre string
	// Seed is the seed of the random choices.
	Seed uint64
	// HedgeShare is the share of requests that should reach their hedge time,
	// unless an Ask says otherwise; zero or less counts as 0.08.
	HedgeFraction float64
}

// Table is what one instance knows of the backend servers. It is safe for many
// goroutines.
type Balancer struct {
	cf Config

	mu         sync.Mutex
	rn         *rand.Rand
	begun      bool
	base       time.Time     // base is the time of the first call.
	latest     time.Duration // latest is the time of the newest call, since base.
	resumed    time.Duration // resumed is when the process last went on after it stood still.
	services   map[string][]*server
	servers    map[string]*server
	works      map[string]*work
	moved      map[incarnation]bool // moved are the servers that moved.
	movedOrder []incarnation        // movedOrder lists them, the oldest first.
	limits     map[string]int       // limits are the most requests in flight at one server, by service.
	warmups    map[string]Warmup    // warmups are of services whose cold servers bear a bounded rate.
	candidates []candidate          // candidates is room for those of one choice.
	home       map[string]bool      // home are the ids preferred like those in the own data centre.
	newsFrom   string               // newsFrom is the id after which the next news begin.
	newsAt     time.Duration        // newsAt is when News was called last.
	press      chan struct{}        // press is what Pressing returns.
	pressing   bool                 // pressing says that it was sent to since the last news.
}

// incarnation names one start of a backend server.
type incarnation struct {
	id   string
	born int64
}

func incarnationOf(re registry.Server) incarnation { return incarnation{re.ID, re.Born} }

// New returns a table without servers.
func New(cf Config) *Balancer {
	if cf.HedgeFraction <= 0 {
		cf.HedgeFraction = defaultHedgeShare
	}
	return &Balancer{
		cf:       cf,
		rn:       rand.New(rand.NewPCG(cf.Seed, seedStream)),
		resumed:  never,
		services: make(map[string][]*server),
		servers:  make(map[string]*server),
		works:    make(map[string]*work),
		moved:    make(map[incarnation]bool),
		press:    make(chan struct{}, 1),
	}
}

// at returns the time since the first call. It never goes back: callers read
// the clock before they take the lock.
func (tb *Balancer) at(now time.Time) time.Duration {
	if !tb.begun {
		tb.begun, tb.base = true, now
	}
	tb.latest = max(tb.latest, now.Sub(tb.base))
	return tb.latest
}

// Update takes over the servers by service. What is known of ids that stay is
// kept, that of others and of earlier starts under the same id forgotten, except that
// they moved. Only ready servers are chosen.
func (tb *Balancer) Update(now time.Time, ses map[string][]registry.Server) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	at := tb.at(now)
	old := tb.servers
	tb.servers = make(map[string]*server, len(old))
	tb.services = make(map[string][]*server, len(ses))
	for name, records := range ses {
		for _, re := range records {
			se := old[re.ID]
			if se == nil || se.record.Born != re.Born {
				se = newServer(at, re)
				se.moved = tb.moved[incarnationOf(re)]
			}
			if se.record.State != registry.Ready && re.State == registry.Ready {
				se.returned = at
			}
			se.record = re
			tb.servers[re.ID] = se
			if re.State == registry.Ready {
				tb.services[name] = append(tb.services[name], se)
			}
		}
	}
}

// Ready returns how many servers of a service may be chosen at some time.
func (tb *Balancer) NumReady(service string) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	count := 0
	for _, se := range tb.services[service] {
		if !se.moved {
			count++
		}
	}
	return count
}

// Limit takes over how many requests may be in flight at one server of each
// service, which is how many connections this instance may open to it. A service
// that isn't named has no limit.
func (tb *Balancer) SetMaxInFlight(most map[string]int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.limits = most
}

// Warm takes over of which services cold servers bear a bounded rate, and this instance's
// part of it. The map must not be changed later.
func (tb *Balancer) SetWarmups(was map[string]Warmup) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.warmups = was
}

// Warming reports whether all ready servers that aren't avoided may not be asked now because
// they are cold.
func (tb *Balancer) AllWarmingUp(now time.Time, as Request) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	at, warming := tb.at(now), false
	for _, se := range tb.services[as.Service] {
		if se.moved || slices.Contains(as.Avoid, se.record.ID) {
			continue
		}
		if tb.permits(at, se) {
			return false
		}
		warming = true
	}
	return warming
}

// Home takes over the ids of servers that are preferred as those in the own data
// centre are. The map must not be changed later.
func (tb *Balancer) SetPreferred(ids map[string]bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.home = ids
}

// ReportKind says how a request to a server ended.
type Outcome uint8

// The ends of a request.
const (
	Served      Outcome = iota // Served is an answer that is no failure of the server.
	Shed                       // Shed is a refusal of the server, which hasn't run the request.
	Failed                     // Failed is a 5xx, a wrong answer or a lost one.
	Abandoned                  // Silent was given up while it was waited for: a hedge won, or time was out.
	Unreachable                // Unreachable is no connection.
	Replaced                   // Moved is the word of another server at the address; this one is gone for good.
	Canceled                   // Canceled says nothing of the server: the caller left, or this was the hedge and lost.
)

// Report is what a request showed of its server.
type Report struct {
	Outcome Outcome
	// Running, Waiting and Slots are the load that the server reported, in
	// requests; Pace is how long work takes there now, 100 as usual, 0 unknown.
	Running, Waiting, Slots, Pace int
	// HasLoad says that the server reported a load.
	HasLoad bool
	// Own says that the refusal was a lack of this instance, so that it tells the
	// others nothing of the server.
	LocalCause bool
}

// Done ends the request of a pick. A second call for the same pick does nothing.
func (tb *Balancer) Done(now time.Time, pk Pick, re Report) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	at := tb.at(now)
	if pk.se == nil {
		return
	}
	found := pk.se.find(pk.number)
	if found == nil {
		return
	}
	fl := *found
	pk.se.land(found)
	if re.HasLoad {
		pk.se.load(at, re)
	}
	if re.Outcome == Replaced {
		tb.bury(pk.se)
	}
	if fl.start >= tb.resumed {
		if !re.LocalCause {
			pk.se.note(re.Outcome)
		}
		tb.learn(at, pk.se, &fl, re.Outcome)
		tb.urge(pk.se)
	}
}

// learn takes in the end of a request.
func (tb *Balancer) learn(at time.Duration, se *server, fl *flight, kind Outcome) {
	switch kind {
	case Served:
		tb.learnAnswer(at, se, fl)
	case Abandoned:
		tb.learnSilence(at, se, fl)
	case Failed:
		se.renew(at)
		se.fail(at, fl.start, failedRun)
	case Shed, Unreachable:
		se.renew(at)
		se.fail(at, fl.start, 1)
	case Replaced, Canceled:
	}
}

// learnAnswer takes in a request that was answered.
func (tb *Balancer) learnAnswer(at time.Duration, se *server, fl *flight) {
	latency := at - fl.start
	se.renew(at)
	if fl.work.known() {
		fl.work.refresh()
		se.learn(latency, fl.work.typical(), false)
		se.noteLatency(fl, latency, fl.work.typical(), false)
	}
	fl.work.add(at, latency)
	se.serve(at)
}

// learnSilence takes in a request that was given up. Its real latency lies
// beyond its hedge time. Were it left out, or counted as what it was waited for
// at a server that was hedged sooner, the quantile would fall with each hedge,
// and more and more requests would be hedged.
func (tb *Balancer) learnSilence(at time.Duration, se *server, fl *flight) {
	latency := at - fl.start
	fl.work.refresh()
	delay := fl.work.delay(at)
	se.renew(at)
	if fl.work.known() {
		se.learn(latency, fl.work.typical(), true)
		se.noteLatency(fl, latency, fl.work.typical(), true)
	}
	if !fl.overdue && latency < delay {
		return
	}
	fl.work.add(at, max(latency, delay))
	se.wait(at, fl.start)
}

// bury remembers that a server moved.
func (tb *Balancer) bury(se *server) {
	if se.moved {
		return
	}
	se.moved = true
	tb.moved[incarnationOf(se.record)] = true
	tb.movedOrder = append(tb.movedOrder, incarnationOf(se.record))
	if len(tb.movedOrder) > mostMoved {
		delete(tb.moved, tb.movedOrder[0])
		tb.movedOrder = tb.movedOrder[1:]
	}
}

// Overdue says that the request of a pick has passed its hedge time, whether it
// is hedged or not. The server is suspect until it answers any request, or for
// a moment after this one was given up.
func (tb *Balancer) Overdue(now time.Time, pk Pick) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.at(now)
	if pk.se == nil {
		return
	}
	if fl := pk.se.find(pk.number); fl != nil && fl.start >= tb.resumed {
		pk.se.blame(fl)
	}
}

// Resumed says that the process stood still until now, suspended or frozen. The
// requests in flight show nothing of their servers any more.
func (tb *Balancer) Resumed(now time.Time) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.resumed = tb.at(now)
	for _, se := range tb.servers {
		se.clear()
	}
}

// Expected returns the median latency of a work over all servers; a guess if
// nothing is known of it.
func (tb *Balancer) MedianLatency(work string) time.Duration {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	wo := tb.works[work]
	if wo == nil {
		return unknownMedian
	}
	wo.refresh()
	return wo.typical()
}

// work returns what is known of the work of a request, with its quantiles up to
// date.
func (tb *Balancer) work(at time.Duration, as Request) *work {
	wo := tb.works[as.Class]
	if wo == nil {
		tb.forgetWork()
		wo = &work{since: at, share: tb.cf.HedgeFraction}
		tb.works[as.Class] = wo
	}
	if as.HedgeFraction > 0 && as.HedgeFraction != wo.share {
		wo.share, wo.fresh = as.HedgeFraction, false
	}
	wo.used = at
	wo.refresh()
	return wo
}

// forgetWork forgets the work that was not used for longest, if there are too
// many.
func (tb *Balancer) forgetWork() {
	if len(tb.works) < mostWorks {
		return
	}
	oldest := ""
	for name, wo := range tb.works {
		if first := tb.works[oldest]; first == nil || wo.used < first.used {
			oldest = name
		}
	}
	delete(tb.works, oldest)
}
