package member

import "slices"

const (
	// tableBits is the number of bits of a key's hash per level of the table.
	tableBits   = 4
	tableFanout = 1 << tableBits
	tableMask   = tableFanout - 1
	// maxLeafItems is the maximum number of items in a leaf.
	maxLeafItems = 8
	maxDepth     = 64 / tableBits
)

// table is an immutable hash trie and Merkle tree: each node holds the sum of the
// checksums of its items, so that two tables can be compared from the root. The
// shape depends only on the items: a node above the maximum depth is a leaf exactly
// if it holds at most maxLeafItems.
type table struct {
	count    int
	timed    int // number of items that may change by the passing of time alone
	sum      uint64
	children *[tableFanout]*table // nil for a leaf
	items    []item               // items of a leaf, sorted by hash
}

// emptyTable represents a missing child.
var emptyTable = &table{}

func slot(hash uint64, depth int) int {
	return int(hash>>(64-tableBits*(depth+1))) & tableMask
}

func (ta *table) childAt(ix int) *table {
	if ch := ta.children[ix]; ch != nil {
		return ch
	}
	return emptyTable
}

// get returns the item with the given hash.
func (ta *table) get(hash uint64) (item, bool) {
	for depth := 0; ta.children != nil; depth++ {
		ta = ta.childAt(slot(hash, depth))
	}
	ix, ok := ta.search(hash)
	if !ok {
		return item{}, false
	}
	return ta.items[ix], true
}

func (ta *table) search(hash uint64) (int, bool) {
	for ix := range ta.items {
		if ta.items[ix].hash >= hash {
			return ix, ta.items[ix].hash == hash
		}
	}
	return len(ta.items), false
}

// with returns the table with the item added or replaced.
func (ta *table) with(it item) *table {
	return ta.put(it, 0)
}

func (ta *table) put(it item, depth int) *table {
	if ta.children != nil {
		ix := slot(it.hash, depth)
		return ta.withChild(ix, ta.childAt(ix).put(it, depth+1))
	}
	ix, ok := ta.search(it.hash)
	if ok {
		items := slices.Clone(ta.items)
		items[ix] = it
		return newLeaf(items)
	}
	items := make([]item, 0, len(ta.items)+1)
	items = append(items, ta.items[:ix]...)
	items = append(items, it)
	return build(append(items, ta.items[ix:]...), depth)
}

// without returns the table without the item with the given hash.
func (ta *table) without(hash uint64) *table {
	return ta.remove(hash, 0)
}

func (ta *table) remove(hash uint64, depth int) *table {
	if ta.children == nil {
		ix, ok := ta.search(hash)
		if !ok {
			return ta
		}
		return newLeaf(slices.Delete(slices.Clone(ta.items), ix, ix+1))
	}
	ix := slot(hash, depth)
	ta = ta.withChild(ix, ta.childAt(ix).remove(hash, depth+1))
	if ta.count > maxLeafItems {
		return ta
	}
	var items []item
	ta.each(func(it *item) { items = append(items, *it) })
	return newLeaf(items)
}

func (ta *table) withChild(ix int, ch *table) *table {
	old := ta.childAt(ix)
	children := *ta.children
	children[ix] = ch
	return &table{
		count:    ta.count - old.count + ch.count,
		timed:    ta.timed - old.timed + ch.timed,
		sum:      ta.sum - old.sum + ch.sum,
		children: &children,
	}
}

func newLeaf(items []item) *table {
	ta := &table{count: len(items), items: items}
	for ix := range items {
		ta.sum += items[ix].sum
		if items[ix].timed() {
			ta.timed++
		}
	}
	return ta
}

// build returns the subtable at a depth for items sorted by hash.
func build(items []item, depth int) *table {
	if len(items) <= maxLeafItems || depth == maxDepth {
		return newLeaf(items)
	}
	ta := &table{count: len(items), children: &[tableFanout]*table{}}
	for len(items) > 0 {
		ix := slot(items[0].hash, depth)
		end := 1
		for end < len(items) && slot(items[end].hash, depth) == ix {
			end++
		}
		ch := build(slices.Clone(items[:end]), depth+1)
		ta.children[ix] = ch
		ta.sum += ch.sum
		ta.timed += ch.timed
		items = items[end:]
	}
	return ta
}

// each calls fn for every item in ascending order of hashes.
func (ta *table) each(fn func(*item)) {
	for ix := range ta.items {
		fn(&ta.items[ix])
	}
	if ta.children == nil {
		return
	}
	for _, ch := range ta.children {
		if ch != nil {
			ch.each(fn)
		}
	}
}

// eachTimed calls fn for every item in a leaf that has a timed item.
func (ta *table) eachTimed(fn func(*item)) {
	if ta.timed == 0 {
		return
	}
	if ta.children == nil {
		ta.each(fn)
		return
	}
	for _, ch := range ta.children {
		if ch != nil {
			ch.eachTimed(fn)
		}
	}
}

// path identifies the subtable of hashes that begin with the Depth*tableBits most
// significant bits of Prefix. The other bits of Prefix are zero.
type path struct {
	Depth  int    `cbor:"1,keyasint"`
	Prefix uint64 `cbor:"2,keyasint"`
}

func (pa path) mask() uint64 {
	return ^(^uint64(0) >> (tableBits * pa.Depth))
}

func (pa path) child(ix int) path {
	shift := 64 - tableBits*(pa.Depth+1)
	return path{Depth: pa.Depth + 1, Prefix: pa.Prefix | uint64(ix)<<shift}
}

// subtable returns the subtable at a path.
func (ta *table) subtable(pa path) *table {
	for depth := range pa.Depth {
		if ta.children == nil {
			return newLeaf(ta.itemsUnder(pa))
		}
		ta = ta.childAt(slot(pa.Prefix, depth))
	}
	return ta
}

// itemsUnder returns the items of a leaf that are under a path.
func (ta *table) itemsUnder(pa path) []item {
	var items []item
	for ix := range ta.items {
		if ta.items[ix].hash&pa.mask() == pa.Prefix {
			items = append(items, ta.items[ix])
		}
	}
	return items
}

// childSubtable returns the subtable at a child of the path pa, where ta is the
// subtable at pa.
func (ta *table) childSubtable(pa path, ix int) *table {
	if ta.children == nil {
		return newLeaf(ta.itemsUnder(pa.child(ix)))
	}
	return ta.childAt(ix)
}
