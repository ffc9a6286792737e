package fleet

import (
	"context"
	"sync"
	"time"

	"balsamwinch.example/peer"
	"balsamwinch.example/result"
)

// The operations that errors name.
const (
	opPropose = "propose document"
	opRead    = "read document"
)

// Times of a request to a leader.
const (
	// askPatience is how long one instance is asked before another one is. The
	// disk of a leader may hang; the others have elected another one by then.
	askPatience = time.Second
	// askPause is the longest pause before the next instance is asked.
	askPause = 100 * time.Millisecond
)

// calls are the requests that wait for an answer.
type calls struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan Answer
}

func (ca *calls) open() (request uint64, answer <-chan Answer) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ca.waiting == nil {
		ca.waiting = make(map[uint64]chan Answer)
	}
	ca.last++
	ch := make(chan Answer, 1)
	ca.waiting[ca.last] = ch
	return ca.last, ch
}

func (ca *calls) drop(request uint64) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	delete(ca.waiting, request)
}

func (ca *calls) resolve(an Answer) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ch, ok := ca.waiting[an.Request]; ok {
		delete(ca.waiting, an.Request)
		ch <- an
	}
}

// ask puts a request to the leader and follows hints to it until an answer is OK
// or the context ends.
func (nd *Node) ask(ctx context.Context, op string, message func(request uint64) peer.Message) (peer.Message, error) {
	target := nd.leader()
	reason := "no leader is known"
	for try := 0; ; try++ {
		if target == "" {
			target = nd.rotate(try)
		}
		an, ok := nd.askOne(ctx, target, message)
		if ok && an.OK {
			return an, nil
		}
		if ctx.Err() != nil {
			return nil, &result.Error{Code: result.ControlUnavailable, Op: op, Detail: reason, Err: ctx.Err()}
		}
		next := ""
		reason = target + " does not answer"
		if ok {
			next = an.Leader
			reason = target + " says: " + an.Reason
		}
		hinted := next != "" && next != target
		if next == target {
			next = ""
		}
		target = next
		if hinted && try == 0 {
			continue
		}
		if err := nd.ts.Sleep(ctx, nd.jitter(askPause)); err != nil {
			return nil, &result.Error{Code: result.ControlUnavailable, Op: op, Detail: reason, Err: err}
		}
	}
}

// leader returns the name of the instance that leads as far as is known, or "".
func (nd *Node) leader() string {
	name := nd.status.Load().Leader
	if name == nd.cf.Name || nd.li.find(name) != nil {
		return name
	}
	return ""
}

// rotate returns one instance after the other, beginning with the known leader.
func (nd *Node) rotate(try int) string {
	if name := nd.leader(); name != "" && try%2 == 0 {
		return name
	}
	names := []string{nd.cf.Name}
	for _, li := range nd.li.each() {
		names = append(names, li.name)
	}
	return names[(try/2+1)%len(names)]
}

// askOne asks one instance. It reports false if there was no answer in time.
func (nd *Node) askOne(ctx context.Context, name string, message func(request uint64) peer.Message) (Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, askPatience)
	defer cancel()
	request, answer := nd.ca.open()
	defer nd.ca.drop(request)
	ms := message(request)
	var ended <-chan struct{}
	if name == nd.cf.Name {
		reply := func(an Answer) {
			an.Request = request
			nd.ca.resolve(an)
		}
		if !nd.post(demanded{ms: ms, reply: reply}, 0) {
			return Answer{}, false
		}
	} else {
		li := nd.li.find(name)
		if li == nil || li.co.Send(ms) != nil {
			return Answer{}, false
		}
		ended = li.co.Done()
	}
	select {
	case an := <-answer:
		return an, true
	case <-ended:
	case <-ctx.Done():
	}
	return Answer{}, false
}
