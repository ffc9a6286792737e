package settings

import (
	"cmp"
	"maps"
	"slices"

	"go.yaml.in/yaml/v3"
)

// MergeTrees merges trees in order: mappings are merged key by key, any other value of a later
// tree replaces the earlier value, and null removes it. A null at the top level, or one that
// removes nothing, is a fault.
func MergeTrees(trees ...Tree) (Tree, Faults) {
	me := merger{}
	root := newMergedNode(node{line: 1, kind: yaml.MappingNode})
	for _, tr := range trees {
		me.mapping(root, tr.root, "")
	}
	return Tree{root: root.finish()}, me.faults.Sorted()
}

// mergedNode is a value that is being merged.
type mergedNode struct {
	node  node                   // has no items if it is a mapping
	items map[string]*mergedNode // nil if it is not a mapping
	order int                    // position among the items of its mapping
}

func newMergedNode(no node) *mergedNode {
	mn := &mergedNode{node: no}
	if no.kind == yaml.MappingNode {
		mn.node.items = nil
		mn.items = make(map[string]*mergedNode)
	}
	return mn
}

func (mn *mergedNode) finish() node {
	if mn.items == nil {
		return mn.node
	}
	so := slices.SortedFunc(maps.Values(mn.items), func(aa, bb *mergedNode) int { return cmp.Compare(aa.order, bb.order) })
	items := make([]node, len(so))
	for i, it := range so {
		items[i] = it.finish()
	}
	return mn.node.withItems(items)
}

// merger collects the faults of a merge.
type merger struct {
	faults Faults
	numSet int // number of values set so far
}

func (me *merger) mapping(mn *mergedNode, later node, field string) {
	for _, it := range later.items {
		me.item(mn, it, joinKey(field, it.key), field == "")
	}
}

func (me *merger) item(mn *mergedNode, it node, field string, top bool) {
	old, ok := mn.items[it.key]
	switch {
	case it.isNull() && top:
		// A key whose block is commented out reads as null. At the top level it would remove
		// every service at once.
		me.fault(it, field, "a mapping")
	case it.isNull() && !ok:
		// If the name is misspelt, the value that should be removed would stay.
		me.fault(it, field, "a name that an earlier file sets, to remove it")
	case it.isNull():
		delete(mn.items, it.key)
	case it.kind == yaml.MappingNode && ok && old.items != nil:
		me.mapping(old, it, field)
	default:
		me.set(mn, it, field)
	}
}

func (me *merger) set(mn *mergedNode, it node, field string) {
	added := newMergedNode(it)
	added.order = me.numSet
	me.numSet++
	mn.items[it.key] = added
	if added.items != nil {
		me.mapping(added, it, field)
	}
}

func (me *merger) fault(it node, field, want string) {
	me.faults = append(me.faults, Fault{File: it.file, Line: it.line, Field: field, Want: want, Got: it.describe()})
}

func (no node) isNull() bool {
	return no.kind == yaml.ScalarNode && no.tag == tagNull
}
