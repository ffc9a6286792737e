package control

import (
	"cmp"
	"hash/maphash"
	"iter"
)

// tree is an immutable sorted map: a treap whose updates copy only the path to the
// changed node. The zero value is an empty map.
type tree[K cmp.Ordered, V any] struct {
	root *node[K, V]
	size int
}

type node[K cmp.Ordered, V any] struct {
	key         K
	val         V
	left, right *node[K, V]
}

// prioritySeed makes node priorities unpredictable, so that nobody can choose keys
// that unbalance a tree. The shape of a tree differs between processes; its content
// and order don't.
var prioritySeed = maphash.MakeSeed()

func (no *node[K, V]) priority() uint64 {
	return maphash.Comparable(prioritySeed, no.key)
}

func (tr tree[K, V]) len() int {
	return tr.size
}

func (tr tree[K, V]) get(key K) (V, bool) {
	no := tr.root
	for no != nil {
		switch co := cmp.Compare(key, no.key); {
		case co < 0:
			no = no.left
		case co > 0:
			no = no.right
		default:
			return no.val, true
		}
	}
	var zero V
	return zero, false
}

func (tr tree[K, V]) with(key K, val V) tree[K, V] {
	size := tr.size
	if _, ok := tr.get(key); !ok {
		size++
	}
	return tree[K, V]{root: insert(tr.root, key, val), size: size}
}

func insert[K cmp.Ordered, V any](no *node[K, V], key K, val V) *node[K, V] {
	if no == nil {
		return &node[K, V]{key: key, val: val}
	}
	cp := *no
	switch co := cmp.Compare(key, no.key); {
	case co < 0:
		le := insert(no.left, key, val)
		if le.priority() <= cp.priority() {
			cp.left = le
			return &cp
		}
		cp.left = le.right
		le.right = &cp
		return le
	case co > 0:
		ri := insert(no.right, key, val)
		if ri.priority() <= cp.priority() {
			cp.right = ri
			return &cp
		}
		cp.right = ri.left
		ri.left = &cp
		return ri
	default:
		cp.val = val
		return &cp
	}
}

func (tr tree[K, V]) without(key K) tree[K, V] {
	if _, ok := tr.get(key); !ok {
		return tr
	}
	return tree[K, V]{root: remove(tr.root, key), size: tr.size - 1}
}

func remove[K cmp.Ordered, V any](no *node[K, V], key K) *node[K, V] {
	cp := *no
	switch co := cmp.Compare(key, no.key); {
	case co < 0:
		cp.left = remove(no.left, key)
		return &cp
	case co > 0:
		cp.right = remove(no.right, key)
		return &cp
	default:
		return join(no.left, no.right)
	}
}

// join merges two trees. Every key of le must be lower than every key of ri.
func join[K cmp.Ordered, V any](le, ri *node[K, V]) *node[K, V] {
	switch {
	case le == nil:
		return ri
	case ri == nil:
		return le
	case le.priority() > ri.priority():
		cp := *le
		cp.right = join(le.right, ri)
		return &cp
	default:
		cp := *ri
		cp.left = join(le, ri.left)
		return &cp
	}
}

// first returns the lowest key and its value, or false if the tree is empty.
func (tr tree[K, V]) first() (key K, val V, ok bool) {
	for key, val := range tr.all() {
		return key, val, true
	}
	return key, val, false
}

// all yields all keys and values in ascending order of keys.
func (tr tree[K, V]) all() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		walk(tr.root, func(K) bool { return false }, yield)
	}
}

// from yields the keys not below key and their values in ascending order of keys.
func (tr tree[K, V]) from(key K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		walk(tr.root, func(ot K) bool { return ot < key }, yield)
	}
}

func walk[K cmp.Ordered, V any](no *node[K, V], skip func(K) bool, yield func(K, V) bool) bool {
	if no == nil {
		return true
	}
	if skip(no.key) {
		return walk(no.right, skip, yield)
	}
	return walk(no.left, skip, yield) && yield(no.key, no.val) && walk(no.right, skip, yield)
}
