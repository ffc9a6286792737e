package registry

import (
	"container/list"
	"time"
)

// boundedMap maps ids to values. Beyond its maximum size it evicts the values that were
// put first.
type boundedMap[V any] struct {
	maxSize int
	byID    map[string]*list.Element
	order   *list.List // *boundedEntry[V], the last put at the back
}

type boundedEntry[V any] struct {
	id    string
	at    time.Duration
	value V
}

func newBoundedMap[V any](maxSize int) *boundedMap[V] {
	return &boundedMap[V]{maxSize: maxSize, byID: make(map[string]*list.Element), order: list.New()}
}

func (bm *boundedMap[V]) get(id string) (V, bool) {
	el, ok := bm.byID[id]
	if !ok {
		var none V
		return none, false
	}
	return el.Value.(*boundedEntry[V]).value, true
}

func (bm *boundedMap[V]) put(at time.Duration, id string, value V) {
	bm.remove(id)
	bm.byID[id] = bm.order.PushBack(&boundedEntry[V]{id: id, at: at, value: value})
	for len(bm.byID) > bm.maxSize {
		bm.evictOldest()
	}
}

func (bm *boundedMap[V]) remove(id string) {
	if el, ok := bm.byID[id]; ok {
		bm.order.Remove(el)
		delete(bm.byID, id)
	}
}

func (bm *boundedMap[V]) evictOldest() {
	bm.remove(bm.order.Front().Value.(*boundedEntry[V]).id)
}

// evictUntil removes the values that were put at the given time or before.
func (bm *boundedMap[V]) evictUntil(at time.Duration) {
	for el := bm.order.Front(); el != nil && el.Value.(*boundedEntry[V]).at <= at; el = bm.order.Front() {
		bm.evictOldest()
	}
}

// since returns the values put after the given time, in their order.
func (bm *boundedMap[V]) since(at time.Duration) []V {
	var vs []V
	for el := bm.order.Front(); el != nil; el = el.Next() {
		if be := el.Value.(*boundedEntry[V]); be.at > at {
			vs = append(vs, be.value)
		}
	}
	return vs
}
