package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"balsamwinch.example/budget"
	"balsamwinch.example/registry"
	"balsamwinch.example/route"
)

// chaos chooses randomly what backend servers, callers and operators do.
type chaos struct {
	mu sync.Mutex
	rn *rand.Rand
	// whether time is real, so that delays are kept short
	realTime bool
	// faults to inject; none if empty
	faults []fault
}

func (ch *chaos) setFaults(faults []fault) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.faults = faults
}

func (ch *chaos) intn(n int) int {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.rn.IntN(n)
}

// randomDelay returns a random delay of up to millis milliseconds, a tenth of that in real
// time.
func (ch *chaos) randomDelay(millis int) time.Duration {
	sp := time.Duration(ch.intn(1000*millis)) * time.Microsecond
	if ch.realTime {
		return sp / 10
	}
	return sp
}

// behavior returns how a backend server treats a request: a third of the requests get one
// of the faults, and the others an answer. One request in 40 is delayed for longer.
func (ch *chaos) behavior(*work) behavior {
	ch.mu.Lock()
	faults := ch.faults
	ch.mu.Unlock()
	if len(faults) == 0 {
		return respondOK
	}
	bh := respondOK
	if draw := ch.intn(3 * len(faults)); draw < len(faults) {
		bh = faults[draw].bh
	} else if ch.intn(10) == 0 {
		bh = []behavior{respondChunked, respondConnectionClose, respondTwiceOtherID, respondTwice}[ch.intn(4)]
	}
	if ch.intn(40) == 0 {
		return waitThen(func(wo *work) bool { return wo.waitFor(ch.randomDelay(250)) }, bh)
	}
	return waitThen(func(wo *work) bool { return wo.waitFor(ch.randomDelay(20)) }, bh)
}

// chaosRig is a rig with all kinds of routes.
type chaosRig struct {
	*rig
	ch *chaos
}

// Services of chaosRig. Each may be a shard in some version of the configuration.
var chaosServices = []string{"plain", "order", "w1", "w2", "a1", "a2", "a3", "b1", "b2"}

func newChaosRig(t *testing.T, nw network, seed uint64) *chaosRig {
	cr := &chaosRig{ch: &chaos{rn: rand.New(rand.NewPCG(seed, 1)), faults: faults}}
	_, cr.ch.realTime = nw.(loopback)
	cr.rig = newRig(t, nw, setup{budget: budget.Config{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Fraction: 0.85}})
	cr.behave = cr.ch.behavior
	for _, service := range chaosServices {
		cr.startServers(service, 3)
	}
	cr.changeTable()
	return cr
}

// changeTable puts a new version of the configuration in force. Routes keep their kinds,
// and their services change.
func (cr *chaosRig) changeTable() {
	sets := [][]string{{"a1", "a2", "a3"}, {"a1", "b1"}, {"b1", "b2", "a3", "a2"}}
	set := func() []string { return sets[cr.ch.intn(len(sets))] }
	plainTargets := [][]route.Target{singleTarget("plain"), singleTarget("w1"), {{Service: "w1", Weight: 3}, {Service: "w2", Weight: 1}}}
	orderTargets := []route.Target{{Service: "order", Weight: 1 + cr.ch.intn(3)}, {Service: "w2", Weight: cr.ch.intn(2)}}
	const targetLatency, timeout = 100 * time.Millisecond, 400 * time.Millisecond
	cr.setLimitedTable(limits, 30,
		route.Route{Prefix: "/plain/", Timeout: timeout, TargetLatency: targetLatency, MaxAttempts: 1 + cr.ch.intn(3), Targets: plainTargets[cr.ch.intn(len(plainTargets))]},
		route.Route{Prefix: "/order/", Kind: route.NotRepeatable, Timeout: timeout, TargetLatency: targetLatency, MaxAttempts: 3, Targets: orderTargets},
		route.Route{Prefix: "/some/", Timeout: timeout, TargetLatency: targetLatency, MaxAttempts: 2, Shards: set(), Merge: route.Merge{TopK: 7, LeastShare: 0.5}},
		route.Route{Prefix: "/all/", Timeout: timeout, TargetLatency: targetLatency, MaxAttempts: 2, Shards: set(), Merge: route.Merge{TopK: 3, LeastShare: 1}},
	)
}

// replaceServer drains a backend server, or stops it if it drains already, and starts
// another one.
func (cr *chaosRig) replaceServer() {
	be := cr.servers[cr.ch.intn(len(cr.servers))]
	be.mu.Lock()
	gone := be.state != registry.Ready
	be.state = registry.Draining
	if gone {
		be.state = registry.Gone
	}
	be.mu.Unlock()
	if gone {
		be.closeListener()
		be.closeConns()
	}
	cr.startServers(be.service, 1)
}

// sendOne sends one request of a caller. Some callers leave before the answer.
func (cr *chaosRig) sendOne(nth int) {
	paths := []string{"/plain/", "/order/", "/some/", "/all/"}
	rq := request{uri: fmt.Sprint(paths[cr.ch.intn(len(paths))], nth)}
	if cr.ch.intn(3) == 0 {
		rq.body, rq.chunked = strings.Repeat("b", cr.ch.intn(40000)), cr.ch.intn(2) == 0
	}
	if cr.ch.intn(3) == 0 {
		rq.timeoutMillis = 50 + cr.ch.intn(500)
	}
	ca := cr.connect()
	defer ca.leave()
	if cr.ch.intn(10) == 0 {
		tm := time.AfterFunc(cr.ch.randomDelay(200), ca.leave)
		defer tm.Stop()
	}
	ca.do(rq)
}

// run sends requests while versions and backend servers change, and waits until all have
// ended.
func (cr *chaosRig) run(count int) {
	var wg sync.WaitGroup
	for nth := range count {
		switch cr.ch.intn(20) {
		case 0:
			cr.changeTable()
		case 1:
			cr.replaceServer()
		}
		wg.Go(func() { cr.sendOne(nth) })
		if span := cr.ch.randomDelay(10); span > 0 {
			_ = cr.ts.Sleep(cr.tb.Context(), span)
		}
	}
	wg.Wait()
	awaitIdle(cr.rig)
}

// counts returns the numbers of successful answers, of merged ones among them, and of
// rejections and failures.
func (cr *chaosRig) counts() (good, merged, bad int) {
	cr.hist.mu.Lock()
	defer cr.hist.mu.Unlock()
	for _, rq := range cr.hist.requests {
		switch {
		case rq.answer == nil || rq.answer.err != nil:
		case rq.answer.status != http.StatusOK:
			bad++
		case rq.answer.header.Get(names.PartStamps) != "":
			merged++
			good++
		default:
			good++
		}
	}
	return good, merged, bad
}

// Backend servers fail in every way at once, leave and are replaced, while the
// configuration changes and callers disconnect. A success must be the answer of the backend
// server whose stamp it has, or the merge of the parts whose stamps it lists, all for this
// request and for the shards of one version. A non-repeatable request runs at most once, a
// rejected request has not run, and no request has more attempts than allowed. The history
// checks this at the end of each run.
func TestRandomFaults(t *testing.T) {
	const numRuns, requests = 40, 120
	good, merged, bad := 0, 0, 0
	for seed := range uint64(numRuns) {
		synctest.Test(t, func(t *testing.T) {
			cr := newChaosRig(t, newMemNetwork(), seed)
			cr.run(requests)
			gd, me, ba := cr.counts()
			good, merged, bad = good+gd, merged+me, bad+ba
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d good answers, %d of them merged, %d others", good, merged, bad)
	if good < numRuns*requests/2 || merged < numRuns*requests/10 || bad == 0 {
		t.Fatalf("%d good answers, %d merged and %d others are too few to test anything", good, merged, bad)
	}
}

// The same over real sockets, where messages can cross.
func TestRandomFaultsOverSockets(t *testing.T) {
	for seed := range uint64(4) {
		cr := newChaosRig(t, loopback{}, seed)
		cr.run(200)
	}
}

// After a period of faults, the instance distrusts all its backend servers and continues to
// reject. Only requests show that the servers have recovered: a few seconds later all
// requests must be served.
func TestRecoversAfterFaults(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			cr := newChaosRig(t, newMemNetwork(), 1000+seed)
			// A server that reports that it is another server never recovers.
			cr.ch.setFaults(slices.DeleteFunc(slices.Clone(faults), func(fa fault) bool { return fa.name == "is another server" }))
			cr.run(150)
			cr.ch.setFaults(nil)
			for nth := range 50 {
				cr.sendOne(nth)
				time.Sleep(100 * time.Millisecond)
			}
			for _, path := range []string{"/plain/", "/order/", "/some/", "/all/"} {
				for range 5 {
					cr.get(path, http.StatusOK)
				}
			}
		})
	}
}
