package settings

import (
	"cmp"
	"maps"
	"slices"

	"go.yaml.in/yaml/v3"
)

// MergeTrees lays each tree over those before it: mappings are merged key by
// key, any other value of a later tree replaces the earlier one whole, and a
// null removes it. Neither a null at the top level nor one that removes nothing
// is allowed.
func MergeTrees(trees ...Tree) (Tree, Faults) {
	me := merger{}
	root := newDraft(entry{line: 1, kind: yaml.MappingNode})
	for _, tr := range trees {
		me.mapping(root, tr.root, "")
	}
	return Tree{root: root.finish()}, me.faults.Sorted()
}

// draft is a value that is being merged.
type draft struct {
	entry entry             // entry is without items if it is a mapping.
	items map[string]*draft // items is nil for other values.
	place int               // place orders the items of one mapping.
}

func newDraft(en entry) *draft {
	dr := &draft{entry: en}
	if en.kind == yaml.MappingNode {
		dr.entry.items = nil
		dr.items = make(map[string]*draft)
	}
	return dr
}

func (dr *draft) finish() entry {
	if dr.items == nil {
		return dr.entry
	}
	so := slices.SortedFunc(maps.Values(dr.items), func(aa, bb *draft) int { return cmp.Compare(aa.place, bb.place) })
	items := make([]entry, len(so))
	for i, it := range so {
		items[i] = it.finish()
	}
	return dr.entry.withItems(items)
}

// merger collects the faults of a merge.
type merger struct {
	faults Faults
	places int // places counts the values that were set.
}

func (me *merger) mapping(dr *draft, later entry, field string) {
	for _, it := range later.items {
		me.item(dr, it, joinKey(field, it.key), field == "")
	}
}

func (me *merger) item(dr *draft, it entry, field string, top bool) {
	old, ok := dr.items[it.key]
	switch {
	case it.removes() && top:
		// A key left over a commented block reads as null. At the top it would
		// remove every service at once.
		me.fault(it, field, "a mapping")
	case it.removes() && !ok:
		// A misspelt name would leave what was meant to go.
		me.fault(it, field, "a name that an earlier file sets, to remove it")
	case it.removes():
		delete(dr.items, it.key)
	case it.kind == yaml.MappingNode && ok && old.items != nil:
		me.mapping(old, it, field)
	default:
		me.set(dr, it, field)
	}
}

func (me *merger) set(dr *draft, it entry, field string) {
	fresh := newDraft(it)
	fresh.place = me.places
	me.places++
	dr.items[it.key] = fresh
	if fresh.items != nil {
		me.mapping(fresh, it, field)
	}
}

func (me *merger) fault(it entry, field, want string) {
	me.faults = append(me.faults, Fault{File: it.file, Line: it.line, Field: field, Want: want, Got: it.describe()})
}

func (en entry) removes() bool {
	return en.kind == yaml.ScalarNode && en.tag == tagNull
}
