package registry

import (
	"container/list"
	"time"
)

// boundedMap maps ids to values. Beyond its maximum size it evicts the values that were
// put first.
type boundedMap[V any] struct {
	maxSize  int
	maxBytes int // bounds the sum of bytes over the values; 0 if bytes is nil
	bytes    func(value V) int
	numBytes int
	byID     map[string]*list.Element
	order    *list.List // *boundedEntry[V], the last put at the back
}

type boundedEntry[V any] struct {
	id    string
	at    time.Duration
	value V
}

func newBoundedMap[V any](maxSize int) *boundedMap[V] {
	return &boundedMap[V]{maxSize: maxSize, byID: make(map[string]*list.Element), order: list.New()}
}

// withMaxBytes bounds the sum of a size over the values, too.
func (bm *boundedMap[V]) withMaxBytes(maxBytes int, bytes func(value V) int) *boundedMap[V] {
	bm.maxBytes, bm.bytes = maxBytes, bytes
	return bm
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
	if bm.bytes != nil {
		bm.numBytes += bm.bytes(value)
	}
	for len(bm.byID) > bm.maxSize || bm.numBytes > bm.maxBytes {
		bm.evictOldest()
	}
}

func (bm *boundedMap[V]) remove(id string) {
	if el, ok := bm.byID[id]; ok {
		bm.order.Remove(el)
		if bm.bytes != nil {
			bm.numBytes -= bm.bytes(el.Value.(*boundedEntry[V]).value)
		}
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
