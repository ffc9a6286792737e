package registry

import (
	"cmp"
	"slices"
	"time"
)

// source is a control instance's book.
type source struct {
	connected bool
	held      map[string]*item
}

// item is a server that some source holds, or held until a short time ago.
type item struct {
	server  Server
	order   uint64 // order is the place in the order of first hearing.
	sources map[*source]struct{}
	at      time.Duration // at is when a connected source last held it; it lags while one does.
	listed  *Server       // listed is what is in the groups of it; nil if nothing is.
}

// fate is what is remembered of an id that is no item any more: of its last
// incarnation.
type fate struct {
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

// blind reports whether no source is connected.
func (un *Union) blind() bool {
	for _, so := range un.sources {
		if so.connected {
			return false
		}
	}
	return true
}

// source returns the source of a name, which is connected, and makes it if need be.
func (un *Union) source(name string) *source {
	so, ok := un.sources[name]
	if !ok {
		so = &source{held: make(map[string]*item)}
		un.sources[name] = so
	}
	so.connected = true
	return so
}

// observe takes what a source says of a server that it holds or that left.
func (un *Union) observe(so *source, se Server) {
	if se.ID == "" {
		return
	}
	it, ok := un.items[se.ID]
	switch {
	case ok && se.Born < it.server.Born && (se.Born != 0 || se.State != Gone):
		return // An earlier incarnation says so late, or a source hasn't heard of the later one.
	case se.State == Gone:
		un.bury(se.ID, se.Born)
		return
	case ok && se.Born > it.server.Born:
		un.remove(it, it.fate())
		ok = false
	}
	if !ok {
		if it, ok = un.add(se); !ok {
			return
		}
	}
	it.sources[so] = struct{}{}
	so.held[se.ID] = it
	un.update(it, se)
}

// release takes that a source doesn't hold the item any more.
func (un *Union) release(so *source, it *item) {
	delete(it.sources, so)
	if so.connected {
		it.at = un.wa.running
	}
}

// fate returns what is remembered of an item that leaves without being Gone.
func (it *item) fate() fate {
	return fate{order: it.order, born: it.server.Born, draining: it.server.State == Draining}
}

// add makes the item of an id, unless its incarnation is Gone or an earlier one. If
// the incarnation was known before, it has its old place in the order of first
// hearing.
func (un *Union) add(se Server) (*item, bool) {
	fa, known := un.past.get(se.ID)
	if known && (se.Born < fa.born || se.Born == fa.born && fa.gone) {
		return nil, false
	}
	if !known || se.Born > fa.born {
		un.count++
		fa = fate{order: un.count}
	}
	un.past.remove(se.ID)
	it := &item{server: se, order: fa.order, sources: make(map[*source]struct{})}
	if fa.draining {
		it.server.State = Draining
	}
	un.items[se.ID] = it
	un.place(it)
	return it, true
}

// update takes what was said of an item. Something late is ignored, but for
// that the server is Draining.
func (un *Union) update(it *item, se Server) {
	se.State = max(se.State, it.server.State)
	if se.Sequence < it.server.Sequence {
		it.server.State = se.State
		se = it.server
	}
	if ad := it.server.Address; se.Address != ad {
		un.displace(it)
		it.server = se
		un.place(it)
	}
	it.server = se
	un.touched[se.Address] = struct{}{}
}

// bury makes an id Gone up to an incarnation; 0 stands for the one that is known.
func (un *Union) bury(id string, born int64) {
	if it, ok := un.items[id]; ok {
		un.remove(it, fate{order: it.order, born: max(born, it.server.Born), gone: true})
		return
	}
	fa, _ := un.past.get(id)
	if late := born != 0 && born < fa.born; late || fa.gone && born <= fa.born {
		return
	}
	un.past.put(un.wa.running, id, fate{order: fa.order, born: max(born, fa.born), gone: true})
}

// remove takes an item out and remembers its fate. If it was the one that counts at
// its address, the older ones that aren't held leave with it for good.
func (un *Union) remove(it *item, fa fate) {
	ad := it.server.Address
	counted := ad != "" && !un.superseded(it)
	delete(un.items, it.server.ID)
	for so := range it.sources {
		delete(so.held, it.server.ID)
	}
	un.past.put(un.wa.running, it.server.ID, fa)
	un.displace(it)
	un.list(it, false)
	if counted {
		blind := un.blind()
		for _, older := range slices.Clone(un.spots[ad]) {
			if older.order < it.order && !older.held() && (!blind || len(older.sources) == 0) {
				un.remove(older, fate{order: older.order, born: older.server.Born, gone: true})
			}
		}
	}
}

// superseded reports whether another id has the item's address: the one first heard of
// last among those of services that are named, or else among all. Servers without an
// address don't supersede each other.
//
// Something that no backend server said may name the address of one, with a service
// that nobody knows. By its order alone it would take that server away from callers.
func (un *Union) superseded(it *item) bool {
	if it.server.Address == "" {
		return false
	}
	its := un.spots[it.server.Address]
	for _, other := range slices.Backward(its) {
		if un.names(other) {
			return other != it
		}
	}
	return its[len(its)-1] != it
}

// names reports whether the item's service is named; all are until Name is called.
func (un *Union) names(it *item) bool {
	return un.named == nil || un.named[it.server.Service]
}

// place puts an item among those of its address.
func (un *Union) place(it *item) {
	its := un.spots[it.server.Address]
	ix, _ := slices.BinarySearchFunc(its, it.order, func(other *item, order uint64) int {
		return cmp.Compare(other.order, order)
	})
	un.spots[it.server.Address] = slices.Insert(its, ix, it)
}

// displace takes an item away from its address.
func (un *Union) displace(it *item) {
	ad := it.server.Address
	its := slices.DeleteFunc(un.spots[ad], func(other *item) bool { return other == it })
	if len(its) == 0 {
		delete(un.spots, ad)
		return
	}
	un.spots[ad] = its
	un.touched[ad] = struct{}{}
}

// show lists, of the items at an address, what is to be listed.
func (un *Union) show(address string) {
	for _, it := range un.spots[address] {
		un.list(it, !un.superseded(it))
	}
}

// list lists an item as it is now, or not at all. An item that differs in
// nothing worth telling stays listed as it was.
func (un *Union) list(it *item, wanted bool) {
	if was := it.listed; was != nil {
		if wanted && was.alike(it.server) {
			return
		}
		delete(un.groups[was.Service], was.ID)
		un.dirty[was.Service] = struct{}{}
		it.listed = nil
		un.changed = true
	}
	if !wanted {
		return
	}
	se := it.server
	it.listed = &se
	if un.groups[se.Service] == nil {
		un.groups[se.Service] = make(map[string]Server)
	}
	un.groups[se.Service][se.ID] = se
	un.dirty[se.Service] = struct{}{}
	un.changed = true
}

// publish ends a call that may have changed what is listed, and reports whether
// it has. What came and went within the call is not to be seen.
func (un *Union) publish() bool {
	for ad := range un.touched {
		un.show(ad)
	}
	clear(un.touched)
	if !un.changed {
		return false
	}
	un.changed = false
	un.version++
	return true
}
