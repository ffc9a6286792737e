package registry

import (
	"cmp"
	"slices"
	"time"
)

// source is the catalog of a control instance.
type source struct {
	connected bool
	held      map[string]*item
}

// item is a server that some source holds, or held within the retention time.
type item struct {
	server  Server
	order   uint64 // position in the order in which incarnations were first seen
	sources map[*source]struct{}
	heldAt  time.Duration // when a connected source last held it; outdated while one does
	listed  *Server       // its entry in byService; nil if it has none
}

// pastServer is what is remembered of the last incarnation of an id that is no longer an
// item.
type pastServer struct {
	order    uint64
	born     int64
	draining bool
	gone     bool
}

// held reports whether a connected source holds the item.
func (it *item) held() bool {
	for so := range it.sources {
		if so.connected {
			return true
		}
	}
	return false
}

// allDisconnected reports whether no source is connected.
func (un *Union) allDisconnected() bool {
	for _, so := range un.sources {
		if so.connected {
			return false
		}
	}
	return true
}

// connectSource returns the source of a name, creates it if needed, and marks it
// connected.
func (un *Union) connectSource(name string) *source {
	so, ok := un.sources[name]
	if !ok {
		so = &source{held: make(map[string]*item)}
		un.sources[name] = so
	}
	so.connected = true
	return so
}

// applyServer handles a source's record of a server that it holds or that left. It ignores one
// that Check rejects.
func (un *Union) applyServer(so *source, se Server) {
	if se.Check() != nil {
		return
	}
	it, ok := un.items[se.ID]
	switch {
	case ok && se.Born < it.server.Born && (se.Born != 0 || se.State != Gone):
		return // A late record of an earlier incarnation, or the source hasn't heard the later one yet.
	case se.State == Gone:
		un.markGone(se.ID, se.Born)
		return
	case ok && se.Born > it.server.Born:
		un.remove(it, it.asPast())
		ok = false
	}
	if !ok {
		if it, ok = un.addItem(se); !ok {
			return
		}
	}
	it.sources[so] = struct{}{}
	so.held[se.ID] = it
	un.updateItem(it, se)
}

// release records that a source no longer holds the item.
func (un *Union) release(so *source, it *item) {
	delete(it.sources, so)
	if so.connected {
		it.heldAt = un.clock.running
	}
}

// asPast returns what is remembered of an item that is removed without being Gone.
func (it *item) asPast() pastServer {
	return pastServer{order: it.order, born: it.server.Born, draining: it.server.State == Draining}
}

// addItem creates the item of an id, unless its incarnation is Gone or outdated. An
// incarnation that was known before gets its old position in the order of items.
func (un *Union) addItem(se Server) (*item, bool) {
	ps, known := un.past.get(se.ID)
	if known && (se.Born < ps.born || se.Born == ps.born && ps.gone) {
		return nil, false
	}
	if !known || se.Born > ps.born {
		un.numSeen++
		ps = pastServer{order: un.numSeen}
	}
	un.past.remove(se.ID)
	it := &item{server: se, order: ps.order, sources: make(map[*source]struct{})}
	if ps.draining {
		it.server.State = Draining
	}
	un.items[se.ID] = it
	un.addToAddress(it)
	return it, true
}

// updateItem applies a record to an item. A late one is ignored, except for a Draining
// state.
func (un *Union) updateItem(it *item, se Server) {
	se.State = max(se.State, it.server.State)
	if se.Sequence < it.server.Sequence {
		it.server.State = se.State
		se = it.server
	}
	if ad := it.server.Address; se.Address != ad {
		un.removeFromAddress(it)
		it.server = se
		un.addToAddress(it)
	}
	it.server = se
	un.dirtyAddresses[se.Address] = struct{}{}
}

// markGone marks an id as Gone up to an incarnation; 0 stands for the one that is known.
func (un *Union) markGone(id string, born int64) {
	if it, ok := un.items[id]; ok {
		un.remove(it, pastServer{order: it.order, born: max(born, it.server.Born), gone: true})
		return
	}
	ps, _ := un.past.get(id)
	if late := born != 0 && born < ps.born; late || ps.gone && born <= ps.born {
		return
	}
	un.past.put(un.clock.running, id, pastServer{order: ps.order, born: max(born, ps.born), gone: true})
}

// remove removes an item and remembers it as past. If it was the current one at its
// address, the older ones that aren't held become Gone with it.
func (un *Union) remove(it *item, ps pastServer) {
	ad := it.server.Address
	wasCurrent := ad != "" && !un.superseded(it)
	delete(un.items, it.server.ID)
	for so := range it.sources {
		delete(so.held, it.server.ID)
	}
	un.past.put(un.clock.running, it.server.ID, ps)
	un.removeFromAddress(it)
	un.setListed(it, false)
	if wasCurrent {
		allDisconnected := un.allDisconnected()
		for _, older := range slices.Clone(un.byAddress[ad]) {
			if older.order < it.order && !older.held() && (!allDisconnected || len(older.sources) == 0) {
				un.remove(older, pastServer{order: older.order, born: older.server.Born, gone: true})
			}
		}
	}
}

// superseded reports whether another id has the item's address: the one first seen last
// among those of services in use, or else among all. Servers without an address don't
// supersede each other.
//
// An announcement that comes from no backend server may give the address of one and an
// unknown service. If only the order counted, it would hide that server from callers.
func (un *Union) superseded(it *item) bool {
	if it.server.Address == "" {
		return false
	}
	its := un.byAddress[it.server.Address]
	for _, other := range slices.Backward(its) {
		if un.inUse(other) {
			return other != it
		}
	}
	return its[len(its)-1] != it
}

// inUse reports whether the item's service is in use; all are until SetServices is
// called.
func (un *Union) inUse(it *item) bool {
	return un.services == nil || un.services[it.server.Service]
}

// addToAddress adds an item to those at its address.
func (un *Union) addToAddress(it *item) {
	its := un.byAddress[it.server.Address]
	ix, _ := slices.BinarySearchFunc(its, it.order, func(other *item, order uint64) int {
		return cmp.Compare(other.order, order)
	})
	un.byAddress[it.server.Address] = slices.Insert(its, ix, it)
}

// removeFromAddress removes an item from those at its address.
func (un *Union) removeFromAddress(it *item) {
	ad := it.server.Address
	its := slices.DeleteFunc(un.byAddress[ad], func(other *item) bool { return other == it })
	if len(its) == 0 {
		delete(un.byAddress, ad)
		return
	}
	un.byAddress[ad] = its
	un.dirtyAddresses[ad] = struct{}{}
}

// refreshAddress updates which items at an address are listed.
func (un *Union) refreshAddress(address string) {
	for _, it := range un.byAddress[address] {
		un.setListed(it, !un.superseded(it))
	}
}

// setListed lists an item in its current state, or removes it from the list. An item
// without a change worth publishing stays listed as it was.
func (un *Union) setListed(it *item, wanted bool) {
	if was := it.listed; was != nil {
		if wanted && was.sameContent(it.server) {
			return
		}
		delete(un.byService[was.Service], was.ID)
		un.dirtyServices[was.Service] = struct{}{}
		it.listed = nil
		un.changed = true
	}
	if !wanted {
		return
	}
	se := it.server
	it.listed = &se
	if un.byService[se.Service] == nil {
		un.byService[se.Service] = make(map[string]Server)
	}
	un.byService[se.Service][se.ID] = se
	un.dirtyServices[se.Service] = struct{}{}
	un.changed = true
}

// publish ends a call that may have changed the listed servers, and reports whether it
// has. Changes that cancel out within the call aren't published.
func (un *Union) publish() bool {
	for ad := range un.dirtyAddresses {
		un.refreshAddress(ad)
	}
	clear(un.dirtyAddresses)
	if !un.changed {
		return false
	}
	un.changed = false
	un.version++
	return true
}
