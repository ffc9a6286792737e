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

// weather decides at random what backend servers, callers and operators do.
type weather struct {
	mu sync.Mutex
	rn *rand.Rand
	// real says that time passes in earnest, so that pauses are short.
	real bool
	// faults are those that happen; none if empty.
	faults []fault
}

func (we *weather) set(faults []fault) {
	we.mu.Lock()
	defer we.mu.Unlock()
	we.faults = faults
}

func (we *weather) intn(n int) int {
	we.mu.Lock()
	defer we.mu.Unlock()
	return we.rn.IntN(n)
}

// span returns a time of up to so many milliseconds, a tenth of it in real time.
func (we *weather) span(millis int) time.Duration {
	sp := time.Duration(we.intn(1000*millis)) * time.Microsecond
	if we.real {
		return sp / 10
	}
	return sp
}

// act returns what a backend server does with a request: mostly it answers, at
// times late, and in a third of the cases it has one of the faults.
func (we *weather) act(*work) act {
	we.mu.Lock()
	faults := we.faults
	we.mu.Unlock()
	if len(faults) == 0 {
		return fine
	}
	ac := fine
	if draw := we.intn(3 * len(faults)); draw < len(faults) {
		ac = faults[draw].ac
	} else if we.intn(10) == 0 {
		ac = []act{chunked, closing, chatty, double}[we.intn(4)]
	}
	if we.intn(40) == 0 {
		return after(func(wo *work) bool { return wo.pause(we.span(250)) }, ac)
	}
	return after(func(wo *work) bool { return wo.pause(we.span(20)) }, ac)
}

// world is a rig with routes of all kinds.
type world struct {
	*rig
	we *weather
}

// Services of the world. All names of shards may be in one version or another.
var worldServices = []string{"plain", "order", "w1", "w2", "a1", "a2", "a3", "b1", "b2"}

func newWorld(t *testing.T, nw network, seed uint64) *world {
	wd := &world{we: &weather{rn: rand.New(rand.NewPCG(seed, 1)), faults: faultList}}
	_, wd.we.real = nw.(loopback)
	wd.rig = newRig(t, nw, setup{budget: budget.Config{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Fraction: 0.85}})
	wd.any = wd.we.act
	for _, service := range worldServices {
		wd.serve(service, 3)
	}
	wd.change()
	return wd
}

// change puts another version in force. Routes keep their kinds; services move.
func (wd *world) change() {
	sets := [][]string{{"a1", "a2", "a3"}, {"a1", "b1"}, {"b1", "b2", "a3", "a2"}}
	set := func() []string { return sets[wd.we.intn(len(sets))] }
	plain := [][]route.Target{to("plain"), to("w1"), {{Service: "w1", Weight: 3}, {Service: "w2", Weight: 1}}}
	kinds := []route.Target{{Service: "order", Weight: 1 + wd.we.intn(3)}, {Service: "w2", Weight: wd.we.intn(2)}}
	const aim, timeout = 100 * time.Millisecond, 400 * time.Millisecond
	wd.limited(limits, 30,
		route.Route{Prefix: "/plain/", Timeout: timeout, Aim: aim, MaxAttempts: 1 + wd.we.intn(3), Targets: plain[wd.we.intn(len(plain))]},
		route.Route{Prefix: "/order/", Kind: route.NotRepeatable, Timeout: timeout, Aim: aim, MaxAttempts: 3, Targets: kinds},
		route.Route{Prefix: "/some/", Timeout: timeout, Aim: aim, MaxAttempts: 2, Shards: set(), Merge: route.Merge{TopK: 7, LeastShare: 0.5}},
		route.Route{Prefix: "/all/", Timeout: timeout, Aim: aim, MaxAttempts: 2, Shards: set(), Merge: route.Merge{TopK: 3, LeastShare: 1}},
	)
}

// replace ends one backend server, or makes it leave, and starts another.
func (wd *world) replace() {
	be := wd.servers[wd.we.intn(len(wd.servers))]
	be.mu.Lock()
	gone := be.state != registry.Ready
	be.state = registry.Draining
	if gone {
		be.state = registry.Gone
	}
	be.mu.Unlock()
	if gone {
		be.refuse()
		be.hangUp()
	}
	wd.serve(be.service, 1)
}

// callOne is one caller's request. Some leave before they have an answer.
func (wd *world) callOne(nth int) {
	paths := []string{"/plain/", "/order/", "/some/", "/all/"}
	as := ask{uri: fmt.Sprint(paths[wd.we.intn(len(paths))], nth)}
	if wd.we.intn(3) == 0 {
		as.body, as.chunked = strings.Repeat("b", wd.we.intn(40000)), wd.we.intn(2) == 0
	}
	if wd.we.intn(3) == 0 {
		as.waits = 50 + wd.we.intn(500)
	}
	ca := wd.connect()
	defer ca.leave()
	if wd.we.intn(10) == 0 {
		tm := time.AfterFunc(wd.we.span(200), ca.leave)
		defer tm.Stop()
	}
	ca.do(as)
}

// play lets callers ask while versions and backend servers change, and waits for
// the last of them.
func (wd *world) play(count int) {
	var wg sync.WaitGroup
	for nth := range count {
		switch wd.we.intn(20) {
		case 0:
			wd.change()
		case 1:
			wd.replace()
		}
		wg.Go(func() { wd.callOne(nth) })
		if span := wd.we.span(10); span > 0 {
			_ = wd.ts.Sleep(wd.tb.Context(), span)
		}
	}
	wg.Wait()
	awaitIdle(wd.rig)
}

// counts returns how many requests got a success, a merged one among them, and
// how many a refusal or failure.
func (wd *world) counts() (good, merged, bad int) {
	wd.le.mu.Lock()
	defer wd.le.mu.Unlock()
	for _, as := range wd.le.asked {
		switch {
		case as.got == nil || as.got.err != nil:
		case as.got.status != http.StatusOK:
			bad++
		case as.got.header.Get(names.PartStamps) != "":
			merged++
			good++
		default:
			good++
		}
	}
	return good, merged, bad
}

// Backend servers fail in every way at once, leave and are replaced, while the
// configuration changes and callers go. Whatever happens: a success is the bytes
// of the backend server whose stamp it has, or the merge of the parts whose stamps
// it names, all given for this very request and all of one version's shards; an
// order runs once at most; what is refused has not run; nothing is asked more often
// than allowed. The ledger compares at the end of each play.
func TestAnyFaults(t *testing.T) {
	const plays, requests = 40, 120
	good, merged, bad := 0, 0, 0
	for seed := range uint64(plays) {
		synctest.Test(t, func(t *testing.T) {
			wd := newWorld(t, newPipes(), seed)
			wd.play(requests)
			gd, me, ba := wd.counts()
			good, merged, bad = good+gd, merged+me, bad+ba
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d good answers, %d of them merged, %d others", good, merged, bad)
	if good < plays*requests/2 || merged < plays*requests/10 || bad == 0 {
		t.Fatalf("%d good answers, %d merged and %d others show too little", good, merged, bad)
	}
}

// The same over real sockets, where bytes cross each other.
func TestAnyFaultsOverSockets(t *testing.T) {
	for seed := range uint64(4) {
		wd := newWorld(t, loopback{}, seed)
		wd.play(200)
	}
}

// After a time of faults that ended, the instance believes the worst of all its
// backend servers, and goes on refusing. Requests are what shows how they do: a few
// seconds later all are served.
func TestServedAfterFaults(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			wd := newWorld(t, newPipes(), 1000+seed)
			// One that says that it is another server never comes back.
			wd.we.set(slices.DeleteFunc(slices.Clone(faultList), func(fa fault) bool { return fa.name == "is another server" }))
			wd.play(150)
			wd.we.set(nil)
			for nth := range 50 {
				wd.callOne(nth)
				time.Sleep(100 * time.Millisecond)
			}
			for _, path := range []string{"/plain/", "/order/", "/some/", "/all/"} {
				for range 5 {
					wd.get(path, http.StatusOK)
				}
			}
		})
	}
}
