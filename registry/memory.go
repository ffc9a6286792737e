package registry

import (
	"container/list"
	"time"
)

// memory remembers values by id, at most a number of them: the ones put first
// are forgotten first.
type memory[V any] struct {
	most  int
	byID  map[string]*list.Element
	order *list.List // order holds *memo[V], the last put at the back.
}

type memo[V any] struct {
	id    string
	at    time.Duration
	value V
}

func newMemory[V any](most int) *memory[V] {
	return &memory[V]{most: most, byID: make(map[string]*list.Element), order: list.New()}
}

func (me *memory[V]) get(id string) (V, bool) {
	el, ok := me.byID[id]
	if !ok {
		var none V
		return none, false
	}
	return el.Value.(*memo[V]).value, true
}

func (me *memory[V]) put(at time.Duration, id string, value V) {
	me.remove(id)
	me.byID[id] = me.order.PushBack(&memo[V]{id: id, at: at, value: value})
	for len(me.byID) > me.most {
		me.removeFirst()
	}
}

func (me *memory[V]) remove(id string) {
	if el, ok := me.byID[id]; ok {
		me.order.Remove(el)
		delete(me.byID, id)
	}
}

func (me *memory[V]) removeFirst() {
	me.remove(me.order.Front().Value.(*memo[V]).id)
}

// forget removes what was put at a time or before.
func (me *memory[V]) forget(at time.Duration) {
	for el := me.order.Front(); el != nil && el.Value.(*memo[V]).at <= at; el = me.order.Front() {
		me.removeFirst()
	}
}

// since returns the values put after a time, in their order.
func (me *memory[V]) since(at time.Duration) []V {
	var vs []V
	for el := me.order.Front(); el != nil; el = el.Next() {
		if mo := el.Value.(*memo[V]); mo.at > at {
			vs = append(vs, mo.value)
		}
	}
	return vs
}
