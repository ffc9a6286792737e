// Package replica decides which backend server of a service is asked, and when
// a second one is. It learns from the requests of one instance: how long they
// took against others of the same work, which failed, which are still waiting.
// What servers report of their load lags and only adds to that. The package
// opens no connection, starts no goroutine and reads no clock.
package replica

import (
	"math/rand/v2"
	"sync"
	"time"

	"balsamwinch.example/registry"
)

const (
	// defaultHedgeShare is the share of requests that are hedged.
	defaultHedgeShare = 0.08
	// mostWorks is how many kinds of work are remembered; beyond that the one
	// that was not used for longest is forgotten.
	mostWorks = 1024
	// seedStream is the second half of the seed.
	seedStream = 0x9e3779b97f4a7c15
)

// Config is what a Table is made with. The zero Config is usable.
type Config struct {
	// DataCentre is the one in which the process runs. Of servers that are as
	// good, those in it are preferred; empty for no preference.
	DataCentre string
	// Seed is the seed of the random choices.
	Seed uint64
	// HedgeShare is the share of requests that should reach their hedge time;
	// zero or less counts as 0.08.
	HedgeShare float64
}

// Table is what one instance knows of the backend servers. It is safe for many
// goroutines.
type Table struct {
	cf Config

	mu       sync.Mutex
	rn       *rand.Rand
	begun    bool
	base     time.Time     // base is the time of the first call.
	latest   time.Duration // latest is the time of the newest call, since base.
	resumed  time.Duration // resumed is when the process last went on after it stood still.
	services map[string][]*server
	servers  map[string]*server
	works    map[string]*work
	limits   map[string]int // limits are the most requests in flight at one server, by service.
}

// New returns a table without servers.
func New(cf Config) *Table {
	if cf.HedgeShare <= 0 {
		cf.HedgeShare = defaultHedgeShare
	}
	return &Table{
		cf:       cf,
		rn:       rand.New(rand.NewPCG(cf.Seed, seedStream)),
		services: make(map[string][]*server),
		servers:  make(map[string]*server),
		works:    make(map[string]*work),
	}
}

// at returns the time since the first call. It never goes back: callers read
// the clock before they take the lock.
func (tb *Table) at(now time.Time) time.Duration {
	if !tb.begun {
		tb.begun, tb.base = true, now
	}
	tb.latest = max(tb.latest, now.Sub(tb.base))
	return tb.latest
}

// Update takes over the servers by service. What is known of ids that stay is
// kept, that of others forgotten. Only ready servers are chosen.
func (tb *Table) Update(now time.Time, ses map[string][]registry.Server) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	at := tb.at(now)
	old := tb.servers
	tb.servers = make(map[string]*server, len(old))
	tb.services = make(map[string][]*server, len(ses))
	for name, records := range ses {
		for _, re := range records {
			se := old[re.ID]
			if se == nil {
				se = newServer(at, re)
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
func (tb *Table) Ready(service string) int {
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
func (tb *Table) Limit(most map[string]int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.limits = most
}

// Ask is what a server is wanted for.
type Ask struct {
	Service string
	// Work names requests that cost alike, of whatever service.
	Work string
	// Avoid are the ids that were asked for this request before.
	Avoid []string
	// Sure says that the request must not serve as a probe of a server that
	// failed or was slow, because it can't be sent again.
	Sure bool
}

// Pick is a chosen server and a request in flight to it, until Done.
type Pick struct {
	Server registry.Server
	// Doubtful says that the server is suspect or set aside and was chosen because
	// no other is left: a hedge there is hardly worth its cost.
	Doubtful bool

	se     *server
	number uint64
}

// ReportKind says how a request to a server ended.
type ReportKind uint8

// The ends of a request.
const (
	Served      ReportKind = iota // Served is an answer that is no failure of the server.
	Shed                          // Shed is a refusal of the server, which hasn't run the request.
	Failed                        // Failed is a 5xx, a wrong answer or a lost one.
	Silent                        // Silent was given up: a hedge won, or time was out.
	Unreachable                   // Unreachable is no connection.
	Moved                         // Moved is the word of another server at the address; this one is gone for good.
	Canceled                      // Canceled says nothing of the server: the caller left, or the request wasn't needed any more.
)

// Report is what a request showed of its server.
type Report struct {
	Kind ReportKind
	// Running, Waiting and Slots are the load that the server reported, in
	// requests; Pace is how long work takes there now, 100 as usual, 0 unknown.
	Running, Waiting, Slots, Pace int
	// HasLoad says that the server reported a load.
	HasLoad bool
}

// Done ends the request of a pick. A second call for the same pick does nothing.
func (tb *Table) Done(now time.Time, pk Pick, re Report) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	at := tb.at(now)
	if pk.se == nil {
		return
	}
	ix := pk.se.flight(pk.number)
	if ix < 0 {
		return
	}
	fl := pk.se.land(ix)
	if re.HasLoad {
		pk.se.load(at, re)
	}
	if re.Kind == Moved {
		pk.se.moved = true
	}
	if fl.start < tb.resumed {
		return
	}
	tb.learn(at, pk.se, fl, re.Kind)
}

// learn takes in the end of a request.
func (tb *Table) learn(at time.Duration, se *server, fl flight, kind ReportKind) {
	latency := at - fl.start
	switch kind {
	case Served:
		se.renew(at)
		if fl.work.total > 0 {
			fl.work.refresh(1 - tb.cf.HedgeShare)
			se.learn(latency, fl.work.typical(), false)
		}
		fl.work.add(at, latency)
		se.served(at)
	case Failed:
		se.renew(at)
		se.failed(at, false)
	case Shed, Unreachable:
		se.renew(at)
		se.failed(at, true)
	case Silent:
		tb.learnSilence(at, se, fl)
	case Moved, Canceled:
	}
}

// learnSilence takes in a request that was given up. Its real latency lies
// beyond the hedge time: left out, or counted as what was waited for at a server
// that was hedged sooner, it would pull the quantile down, and more and more
// requests would be hedged.
func (tb *Table) learnSilence(at time.Duration, se *server, fl flight) {
	latency := at - fl.start
	se.renew(at)
	se.learn(latency, fl.work.typical(), true)
	if !fl.overdue {
		return
	}
	fl.work.refresh(1 - tb.cf.HedgeShare)
	fl.work.add(at, max(latency, fl.work.delay(at)))
	se.silent(at)
}

// Overdue says that the request of a pick has passed its hedge time, hedged or
// not. The server counts as suspect until it answers, or for a moment after
// the request was given up.
func (tb *Table) Overdue(now time.Time, pk Pick) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.at(now)
	if pk.se == nil {
		return
	}
	ix := pk.se.flight(pk.number)
	if ix < 0 {
		return
	}
	if fl := &pk.se.flights[ix]; !fl.overdue && fl.start >= tb.resumed {
		fl.overdue = true
		pk.se.late++
	}
}

// Resumed says that the process stood still until now. The requests in flight
// show nothing of their servers any more.
func (tb *Table) Resumed(now time.Time) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.resumed = tb.at(now)
	for _, se := range tb.servers {
		se.late = 0
		for ix := range se.flights {
			se.flights[ix].overdue = false
		}
	}
}

// Expected returns the median latency of a work over all servers; a guess if
// nothing is known of it.
func (tb *Table) Expected(work string) time.Duration {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	wo := tb.works[work]
	if wo == nil {
		return unknownMedian
	}
	wo.refresh(1 - tb.cf.HedgeShare)
	return wo.typical()
}

// work returns what is known of a work, with its quantiles up to date.
func (tb *Table) work(at time.Duration, name string) *work {
	wo := tb.works[name]
	if wo == nil {
		tb.shed()
		wo = &work{since: at}
		tb.works[name] = wo
	}
	wo.used = at
	wo.refresh(1 - tb.cf.HedgeShare)
	return wo
}

// shed forgets the work that was not used for longest, if there are too many.
func (tb *Table) shed() {
	if len(tb.works) < mostWorks {
		return
	}
	oldest := ""
	for name, wo := range tb.works {
		if oldest == "" || wo.used < tb.works[oldest].used {
			oldest = name
		}
	}
	delete(tb.works, oldest)
}
