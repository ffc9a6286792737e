package tier

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/feed"
	"balsamwinch.example/roster"
	"balsamwinch.example/route"
	"balsamwinch.example/timer"
)

// rosterInterval is how often a control instance updates which entry instances serve a
// merged route. Instances added for a burst get requests only after this interval and the
// time for which callers keep their address list.
const rosterInterval = 250 * time.Millisecond

// rosters assigns a subset of the entry instances to the callers of each merged route, so
// that backend servers have to accept fewer connections. Until a configuration is known,
// callers may use all entry instances.
type rosters struct {
	parser ConfigurationParser
	pu     *feed.Publisher
	ts     *timer.Service
	lg     *zap.Logger
	// entries returns the entry instances that are ready.
	entries func() []feed.Entry
	// tableParsed is called with each configuration that was parsed; nil for none.
	tableParsed func(tb *route.Table)
	// wake makes serve parse a new configuration at once: entry instances that have it may
	// already ask for tokens under its quotas.
	wake chan struct{}

	mu      sync.Mutex
	version uint64
	pending []byte // configuration that is still to be parsed; nil if none is

	latest atomic.Pointer[decision]
}

// decision is the result of an update. It is immutable.
type decision struct {
	tb     *route.Table
	groups groups
	list   []roster.Group // groups.list()
	chosen roster.Groups
}

func newRosters(parser ConfigurationParser, pu *feed.Publisher, ts *timer.Service, lg *zap.Logger) *rosters {
	ro := &rosters{parser: parser, pu: pu, ts: ts, lg: lg, entries: pu.ReadyEntries, wake: make(chan struct{}, 1)}
	ro.latest.Store(&decision{})
	return ro
}

// restore applies the sizes that were saved before this start.
func (ro *rosters) restore(sizes []roster.SavedSize) {
	ro.latest.Store(&decision{chosen: roster.Restore(ro.ts.Now(), sizes)})
}

// savedSizes returns the sizes to save for the next start.
func (ro *rosters) savedSizes() []roster.SavedSize { return ro.latest.Load().chosen.SavedSizes() }

// setDocument sets the configuration. It is parsed in serve, because the commit of the
// configuration waits for this call.
func (ro *rosters) setDocument(version uint64, data []byte) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.version, ro.pending = version, data
	select {
	case ro.wake <- struct{}{}:
	default:
	}
}

// serve updates the subsets at each interval until the context ends.
func (ro *rosters) serve(ctx context.Context) error {
	su := ro.ts.Subscribe(rosterInterval)
	defer su.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-su.C:
			ro.update(ro.ts.Now())
		case <-ro.wake:
			ro.update(ro.ts.Now())
		}
	}
}

func (ro *rosters) update(now time.Time) {
	de := *ro.latest.Load()
	if tb := ro.parsePending(); tb != nil {
		de.tb, de.groups = tb, groupsOf(tb)
		de.list = de.groups.list()
		if ro.tableParsed != nil {
			ro.tableParsed(tb)
		}
	}
	if de.tb == nil {
		return
	}
	before := de.chosen.Sharers()
	ins := ro.instances()
	de.chosen = de.chosen.Update(now, de.list, ins)
	ro.latest.Store(&de)
	if sharers := de.chosen.Sharers(); sharers != before {
		ro.lg.Info("entry-instances-chosen", zap.Int("Sharers", sharers), zap.Int("Before", before), zap.Int("Ready", len(ins)))
		ro.pu.SetSharers(sharers)
	}
}

// parsePending parses the configuration that was set since the last update. It returns
// nil if there is none or it is invalid.
func (ro *rosters) parsePending() *route.Table {
	ro.mu.Lock()
	version, data := ro.version, ro.pending
	ro.pending = nil
	ro.mu.Unlock()
	if data == nil {
		return nil
	}
	tb, err := ro.parser.Parse(data)
	if err != nil {
		ro.lg.Error("configuration-not-read", zap.Uint64("Version", version), zap.Error(err))
		return nil
	}
	return tb
}

func (ro *rosters) instances() []roster.Instance {
	ens := ro.entries()
	out := make([]roster.Instance, len(ens))
	for ix, en := range ens {
		out[ix] = roster.Instance{Name: en.Name, DataCentre: en.DataCentre, Address: en.Address, Load: ro.pu.EntryLoad(en.Name)}
	}
	return out
}

// addresses returns the addresses for a caller of the host, or none if the caller may use
// all instances. An instance that is no longer ready is left out at once and not only
// after the next update, since callers would otherwise still connect to one that is about
// to stop.
func (ro *rosters) addresses(host, dataCentre string, ready []feed.Entry) []string {
	de := ro.latest.Load()
	if de.tb == nil {
		return nil
	}
	gr, ok := de.groups.forHost(de.tb, host)
	if !ok {
		return nil
	}
	list := de.chosen.Addresses(gr.Key, dataCentre)
	return slices.DeleteFunc(list, func(address string) bool {
		return !slices.ContainsFunc(ready, func(en feed.Entry) bool { return en.Address == address })
	})
}

// groups holds the groups of a table, by the first shard of their routes.
type groups map[string]roster.Group

// groupsOf returns the groups of a table. Merged routes to the same backend servers form
// one group: if their callers used different entry instances, all of these would still
// share the servers' connections. Only merged routes are limited to a subset of the
// instances, since each merged request takes a connection to a server of every shard.
//
// The key of a group is its first host and not its services. So its callers keep their
// instances when shards are repartitioned, and no other instances have to connect to all
// the new servers.
func groupsOf(tb *route.Table) groups {
	gs := make(groups)
	for _, ro := range tb.ShardedRoutes() {
		first := ro.Shards[0]
		se, ok := tb.Service(first)
		if !ok {
			continue
		}
		if gr, known := gs[first]; !known || ro.Host < gr.Key {
			gs[first] = roster.Group{Key: ro.Host, MaxConnections: se.MaxConnections}
		}
	}
	return gs
}

// list returns the groups sorted by key.
func (gs groups) list() []roster.Group {
	return slices.SortedFunc(maps.Values(gs), func(a, b roster.Group) int { return strings.Compare(a.Key, b.Key) })
}

// forHost returns the group of a host, or false if its callers may use all instances.
// Look-ups name only a host, so one merged route of a host decides for its other routes
// too.
func (gs groups) forHost(tb *route.Table, host string) (roster.Group, bool) {
	for _, ro := range tb.HostRoutes(host) {
		if len(ro.Shards) == 0 {
			continue
		}
		if gr, ok := gs[ro.Shards[0]]; ok {
			return gr, true
		}
	}
	return roster.Group{}, false
}
