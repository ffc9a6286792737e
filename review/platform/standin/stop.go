package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "stop".
const (
	// firstSend and lastSend bound when the requests are sent, after the SIGTERM. A request
	// sent no later than 3 s after it may be cut.
	firstSend = 3750 * time.Millisecond
	lastSend  = 3950 * time.Millisecond
	sendEvery = 50 * time.Millisecond
	// stopWork is how long a leaf works on each of them: as long as a cold leaf takes
	// for the longest work of sheet-archive-pull (1,300 ms times 1.6).
	stopWork = 2080 * time.Millisecond
)

// playStop stops one frontend node as planned. Clients that hold its address go on using it,
// and a leaf works on their requests for longer than the process still runs.
func playStop(wo *world) (bool, error) {
	if err := wo.configure(7); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for nth := range 3 {
		le, err := wo.startLeaf(fmt.Sprintf("i-%d", nth+1), 20+nth)
		if err != nil {
			return false, err
		}
		go le.beatAlways(wo.controls, stop)
	}
	if err := wo.awaitReady(); err != nil {
		return false, err
	}
	if err := await("requests are served", 10*time.Second, func() bool { return wo.post(wo.fronts[0], 10*time.Millisecond).status == 200 }); err != nil {
		return false, err
	}
	time.Sleep(contactWindow + 500*time.Millisecond) // all nodes have been in touch for the whole window
	addrs, ttl := wo.resolve(wo.controls[0])
	wo.rc.add("client: the directory names %v for %.1f s", addrs, ttl)
	front := wo.fronts[0]
	start := time.Now()
	if wo.trouble {
		wo.signal(front, syscall.SIGTERM)
	}
	var mu sync.Mutex
	var ats []attempt
	var wg sync.WaitGroup
	for after := firstSend; after <= lastSend; after += sendEvery {
		time.Sleep(time.Until(start.Add(after)))
		wg.Go(func() {
			at := wo.post(front, stopWork)
			mu.Lock()
			defer mu.Unlock()
			ats = append(ats, at)
		})
	}
	wg.Wait()
	return wo.judgeStop(start, ats), nil
}

// judgeStop applies the rule LOST: a request was passed on to a leaf, and the connection
// ended without a complete answer, though neither the client's deadline nor the route's
// timeout was reached, and the request was sent later than 3 s after the SIGTERM. The leafs
// of this case never break off.
func (wo *world) judgeStop(start time.Time, ats []attempt) bool {
	broken := 0
	for _, at := range ats {
		_, le, ran := wo.findRun(at.id)
		late := at.endedAt.Sub(at.sentAt) >= min(clientDeadline, routeTimeout)
		if at.complete || !ran || late {
			continue
		}
		broken++
		wo.rc.add("LOST: %s was sent %.3f s after the SIGTERM, ran on %s, and its connection ended without an answer %.3f s after it was sent",
			at.id, at.sentAt.Sub(start).Seconds(), le.id, at.endedAt.Sub(at.sentAt).Seconds())
	}
	wo.rc.add("%d of %d requests were lost", broken, len(ats))
	return broken > 0
}

// findRun returns the run of a request and the leaf.
func (wo *world) findRun(id string) (run, *leaf, bool) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	for _, le := range wo.leafs {
		if ru, ok := le.findRun(id); ok {
			return ru, le, true
		}
	}
	return run{}, nil, false
}
