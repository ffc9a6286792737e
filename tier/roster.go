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

// rosterPeriod is how often a control instance looks to which entry instances callers are
// led. A burst is answered within it, and the time that callers keep their list.
const rosterPeriod = 250 * time.Millisecond

// rosters leads callers to a part of the entry instances where backend servers take few
// connections. Until it knows a configuration it leads them to all.
type rosters struct {
	tbs ConfigurationParser
	pu  *feed.Publisher
	ts  *timer.Service
	lg  *zap.Logger
	// entries gives the entry instances that are ready.
	entries func() []feed.Entry

	mu      sync.Mutex
	version uint64
	data    []byte // data is a configuration that is to be read; nil if none is.

	decided atomic.Pointer[decision]
}

// decision is what was decided last. It is never changed.
type decision struct {
	tb     *route.Table
	groups groups
	list   []roster.Group // list is groups.list().
	chosen roster.Groups
}

func newRosters(tbs ConfigurationParser, pu *feed.Publisher, ts *timer.Service, lg *zap.Logger) *rosters {
	ro := &rosters{tbs: tbs, pu: pu, ts: ts, lg: lg, entries: pu.ReadyEntries}
	ro.decided.Store(&decision{})
	return ro
}

// restore takes over the sizes that were noted before this start.
func (ro *rosters) restore(nos []roster.SavedSize) {
	ro.decided.Store(&decision{chosen: roster.Restore(ro.ts.Now(), nos)})
}

// note returns the sizes that are to be noted for the next start.
func (ro *rosters) note() []roster.SavedSize { return ro.decided.Load().chosen.SavedSizes() }

// setDocument takes over a configuration. It is read at the next look, since its
// commit waits for this.
func (ro *rosters) setDocument(version uint64, data []byte) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.version, ro.data = version, data
}

// serve looks again and again until the context ends.
func (ro *rosters) serve(ctx context.Context) error {
	su := ro.ts.Subscribe(rosterPeriod)
	defer su.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-su.C:
			ro.look(ro.ts.Now())
		}
	}
}

func (ro *rosters) look(now time.Time) {
	de := *ro.decided.Load()
	if tb := ro.read(); tb != nil {
		de.tb, de.groups = tb, groupsOf(tb)
		de.list = de.groups.list()
	}
	if de.tb == nil {
		return
	}
	was := de.chosen.Sharers()
	ins := ro.instances()
	de.chosen = de.chosen.Update(now, de.list, ins)
	ro.decided.Store(&de)
	if sharers := de.chosen.Sharers(); sharers != was {
		ro.lg.Info("entry-instances-chosen", zap.Int("Sharers", sharers), zap.Int("Before", was), zap.Int("Ready", len(ins)))
		ro.pu.SetSharers(sharers)
	}
}

// read returns the table of a configuration that came since the last look, or nil.
func (ro *rosters) read() *route.Table {
	ro.mu.Lock()
	version, data := ro.version, ro.data
	ro.data = nil
	ro.mu.Unlock()
	if data == nil {
		return nil
	}
	tb, err := ro.tbs.Table(data)
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

// addresses returns the addresses that a caller of a host is led to, none if these are
// all. An instance that isn't ready any more is left out at once, and not only after the
// next look: callers would go on coming to one that is about to end.
func (ro *rosters) addresses(host, dataCentre string, ready []feed.Entry) []string {
	de := ro.decided.Load()
	if de.tb == nil {
		return nil
	}
	gr, ok := de.groups.of(de.tb, host)
	if !ok {
		return nil
	}
	list := de.chosen.Addresses(gr.Key, dataCentre)
	return slices.DeleteFunc(list, func(address string) bool {
		return !slices.ContainsFunc(ready, func(en feed.Entry) bool { return en.Address == address })
	})
}

// groups are the groups of a table, by the first shard of their routes.
type groups map[string]roster.Group

// groupsOf returns the groups of a table. Merged routes of the same backend servers are
// one group: were their callers led to other entry instances each, these would share the
// servers' connections all the same. Only merged requests are led to a part of the
// instances: each takes a connection to a server of every shard.
//
// A group is named after its first host and not after its services: when shards are cut
// anew, its callers stay, and no other instances have to connect to all the new servers.
func groupsOf(tb *route.Table) groups {
	gs := make(groups)
	for _, ro := range tb.Merged() {
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

// list returns the groups in the order of their keys.
func (gs groups) list() []roster.Group {
	return slices.SortedFunc(maps.Values(gs), func(a, b roster.Group) int { return strings.Compare(a.Key, b.Key) })
}

// of returns the group of a host, and false if its callers may go to all. Callers of one
// host can't be told apart, so one merged route decides for the others.
func (gs groups) of(tb *route.Table, host string) (roster.Group, bool) {
	for _, ro := range tb.Of(host) {
		if len(ro.Shards) == 0 {
			continue
		}
		if gr, ok := gs[ro.Shards[0]]; ok {
			return gr, true
		}
	}
	return roster.Group{}, false
}
