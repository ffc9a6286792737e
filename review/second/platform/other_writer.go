package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// otherWriter plays heartbeats of another writer: they have the ID of a leaf and a service
// that isn't named in the configuration. The leaf then says to the same control instance that
// it drains, gets an acknowledgement, and continues to serve. No request may reach it later
// than the drain period after that.
func otherWriter(wo *world) error {
	const leaving = "i-7f3a91c2"
	if err := wo.start(); err != nil {
		return err
	}
	var mu sync.Mutex
	arrivals := map[string][]time.Time{}
	ran := func(lf *leaf, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrivals[lf.id] = append(arrivals[lf.id], time.Now())
	}
	var leafs []*leaf
	for ix, id := range []string{leaving, "i-2c5be310", "i-90aa41d7"} {
		lf, err := wo.startLeaf(id, "archivo", []string{"miraflores", "surquillo", "san-isidro"}[ix], 0)
		if err != nil {
			return err
		}
		lf.ran = ran
		leafs = append(leafs, lf)
		go lf.announce()
	}
	if err := wo.configure(config(1, "safe", "archivo")); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go load(wo, stop)
	time.Sleep(2 * contactWindow)
	if wo.trouble {
		go otherBeats(wo, leafs[0], stop)
	}
	time.Sleep(heartbeat / 2)
	// The leaf moves to another control instance, as after an acknowledgement that came late.
	leafs[0].setNode(1)
	time.Sleep(heartbeat)
	leafs[0].setState("draining")
	name := leafs[0].beat()
	if name == "" {
		return fmt.Errorf("no control instance acknowledges that %s drains", leaving)
	}
	due := time.Now().Add(drainPeriod)
	wo.rec.note("%s has acknowledged that %s drains; no request may reach it from %.1f s later", name, leaving, drainPeriod.Seconds())
	time.Sleep(2 * drainPeriod)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range arrivals[leaving] {
		if at.After(due) {
			late++
		}
	}
	wo.rec.note("%s has got %d requests, %d of them later than %.1f s after the acknowledgement", leaving, len(arrivals[leaving]), late, drainPeriod.Seconds())
	if len(arrivals[leaving]) == 0 {
		return fmt.Errorf("no request reached %s", leaving)
	}
	if late > 0 {
		return fmt.Errorf("%w: %d requests reached %s too late", errBroken, late, leaving)
	}
	return nil
}

// otherBeats sends the other writer's heartbeats to the second control instance.
func otherBeats(wo *world, lf *leaf, stop <-chan struct{}) {
	for seq := 0; ; seq++ {
		lf.otherBeat(wo.controls[1], "ready", seq)
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// load sends ten requests a second to the entry instances in turn.
func load(wo *world, stop <-chan struct{}) {
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		in := wo.entries[count%len(wo.entries)]
		go func() {
			an := wo.request(in, "GET", "sheets.example", "/goka902/2f", "", newID(), 2*time.Second)
			wo.rec.note("client: request %s to %s: %d %s", an.id, in.name, an.status, an.body)
		}()
	}
}
