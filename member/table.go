package member

import "slices"

const (
	// tableBits is how many bits of a key's hash each level of the table takes.
	tableBits = 4
	tableFan  = 1 << tableBits
	tableMask = tableFan - 1
	// leafItems is how many items a leaf holds at most.
	leafItems = 8
	maxDepth  = 64 / tableBits
)

// table is an immutable trie over the hashes of keys. Each node holds the sum
// over its items, so two tables can be compared from the top. The shape depends
// on the items alone: a node is a leaf exactly if it holds at most leafItems.
type table struct {
	count int
	timed int // timed is how many items change as time passes.
	sum   uint64
	kids  *[tableFan]*table // kids is nil for a leaf.
	items []item            // items are those of a leaf, sorted by hash.
}

// emptyTable stands for a child that is not there.
var emptyTable = &table{}

func slot(hash uint64, depth int) int {
	return int(hash>>(64-tableBits*(depth+1))) & tableMask
}

func (ta *table) kid(ix int) *table {
	if ki := ta.kids[ix]; ki != nil {
		return ki
	}
	return emptyTable
}

// get returns the item of a hash.
func (ta *table) get(hash uint64) (item, bool) {
	for depth := 0; ta.kids != nil; depth++ {
		ta = ta.kid(slot(hash, depth))
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

// with returns the table with an item added or replaced.
func (ta *table) with(it item) *table {
	return ta.put(it, 0)
}

func (ta *table) put(it item, depth int) *table {
	if ta.kids != nil {
		ix := slot(it.hash, depth)
		return ta.withKid(ix, ta.kid(ix).put(it, depth+1))
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

// without returns the table without the item of a hash.
func (ta *table) without(hash uint64) *table {
	return ta.remove(hash, 0)
}

func (ta *table) remove(hash uint64, depth int) *table {
	if ta.kids == nil {
		ix, ok := ta.search(hash)
		if !ok {
			return ta
		}
		return newLeaf(slices.Delete(slices.Clone(ta.items), ix, ix+1))
	}
	ix := slot(hash, depth)
	ta = ta.withKid(ix, ta.kid(ix).remove(hash, depth+1))
	if ta.count > leafItems {
		return ta
	}
	var items []item
	ta.each(func(it *item) { items = append(items, *it) })
	return newLeaf(items)
}

func (ta *table) withKid(ix int, ki *table) *table {
	old := ta.kid(ix)
	kids := *ta.kids
	kids[ix] = ki
	return &table{
		count: ta.count - old.count + ki.count,
		timed: ta.timed - old.timed + ki.timed,
		sum:   ta.sum - old.sum + ki.sum,
		kids:  &kids,
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

// build returns the table of sorted items at a depth.
func build(items []item, depth int) *table {
	if len(items) <= leafItems || depth == maxDepth {
		return newLeaf(items)
	}
	ta := &table{count: len(items), kids: &[tableFan]*table{}}
	for len(items) > 0 {
		ix := slot(items[0].hash, depth)
		end := 1
		for end < len(items) && slot(items[end].hash, depth) == ix {
			end++
		}
		ki := build(slices.Clone(items[:end]), depth+1)
		ta.kids[ix] = ki
		ta.sum += ki.sum
		ta.timed += ki.timed
		items = items[end:]
	}
	return ta
}

// each calls fn for every item in the order of the hashes.
func (ta *table) each(fn func(*item)) {
	for ix := range ta.items {
		fn(&ta.items[ix])
	}
	if ta.kids == nil {
		return
	}
	for _, ki := range ta.kids {
		if ki != nil {
			ki.each(fn)
		}
	}
}

// eachTimed calls fn for every item near one that changes as time passes.
func (ta *table) eachTimed(fn func(*item)) {
	if ta.timed == 0 {
		return
	}
	if ta.kids == nil {
		ta.each(fn)
		return
	}
	for _, ki := range ta.kids {
		if ki != nil {
			ki.eachTimed(fn)
		}
	}
}

// path names the part of a table whose hashes begin with Prefix, which has
// Depth levels of tableBits bits each; its other bits are zero.
type path struct {
	Depth  int    `cbor:"1,keyasint"`
	Prefix uint64 `cbor:"2,keyasint"`
}

func (pa path) mask() uint64 {
	return ^(^uint64(0) >> (tableBits * pa.Depth))
}

func (pa path) kid(ix int) path {
	shift := 64 - tableBits*(pa.Depth+1)
	return path{Depth: pa.Depth + 1, Prefix: pa.Prefix | uint64(ix)<<shift}
}

// part returns the part of the table under a path, as a table of its own whose
// children are the next level.
func (ta *table) part(pa path) *table {
	for depth := range pa.Depth {
		if ta.kids == nil {
			return newLeaf(ta.within(pa))
		}
		ta = ta.kid(slot(pa.Prefix, depth))
	}
	return ta
}

// within returns the items of a leaf that belong to a path.
func (ta *table) within(pa path) []item {
	var items []item
	for ix := range ta.items {
		if ta.items[ix].hash&pa.mask() == pa.Prefix {
			items = append(items, ta.items[ix])
		}
	}
	return items
}

// child returns the part of the table under a child of a path, of which ta is
// the part.
func (ta *table) child(pa path, ix int) *table {
	if ta.kids == nil {
		return newLeaf(ta.within(pa.kid(ix)))
	}
	return ta.kid(ix)
}
