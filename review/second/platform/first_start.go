package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	startSpread   = 300 * time.Millisecond // all machines start within this time
	firstBeat     = 150 * time.Millisecond // when the leaf sends its first heartbeat
	downFor       = 3 * time.Second        // how long the machine with the lost disk is down
	acceptTimeout = 70 * time.Second       // how long the operator sends its first configuration
)

// firstStart plays the first start of the whole system. The third control instance starts a
// moment after the others. The first one loses its disk right after it has acknowledged the
// first heartbeat of a leaf, and is back 3 s later with an empty disk. The system must accept
// the first configuration and serve.
func firstStart(wo *world) error {
	for _, in := range wo.instances() {
		if in != wo.controls[2] {
			if err := wo.run(in); err != nil {
				return err
			}
		}
	}
	third := make(chan error, 1)
	time.AfterFunc(startSpread, func() { third <- wo.run(wo.controls[2]) })
	time.Sleep(firstBeat)
	lf, err := wo.startLeaf("i-7f3a91c2", "archivo", "miraflores", 0)
	if err != nil {
		return err
	}
	for lf.beat() != wo.controls[0].name {
		lf.setNode(0)
		time.Sleep(5 * time.Millisecond)
	}
	if wo.trouble {
		if err := wo.loseDisk(wo.controls[0]); err != nil {
			return err
		}
	}
	go lf.announce()
	if err := <-third; err != nil {
		return err
	}
	if wo.trouble {
		time.Sleep(downFor)
		if err := wo.writeSettings(wo.controls[0], false); err != nil {
			return err
		}
		if err := wo.run(wo.controls[0]); err != nil {
			return err
		}
	}
	if !wo.accepted(config(1, "safe", "archivo"), acceptTimeout) {
		return fmt.Errorf("%w: the first configuration was not accepted within %v, and no request can be served", errBroken, acceptTimeout)
	}
	time.Sleep(contactWindow)
	served := 0
	for ix := range 20 {
		an := wo.request(wo.entries[ix%len(wo.entries)], "GET", "sheets.example", "/goka902/2f", "", newID(), 2*time.Second)
		wo.rec.note("client: request %s: %d %s", an.id, an.status, an.body)
		if an.status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		return fmt.Errorf("%w: no request was served", errBroken)
	}
	return nil
}

// loseDisk ends the process of an instance and empties its data folder.
func (wo *world) loseDisk(in *instance) error {
	_ = in.cmd.Process.Kill()
	_ = in.cmd.Wait()
	folder := filepath.Join(wo.dir, in.name)
	names, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	for _, na := range names {
		if err := os.RemoveAll(filepath.Join(folder, na.Name())); err != nil {
			return err
		}
	}
	wo.rec.note("%s is killed and has lost its disk (%d names)", in.name, len(names))
	return nil
}

// accepted sends a configuration to the control instances in turn until one acknowledges it,
// and reports whether one has.
func (wo *world) accepted(config string, within time.Duration) bool {
	limit := time.Now().Add(within)
	for ix := 0; time.Now().Before(limit); ix++ {
		in := wo.controls[ix%len(wo.controls)]
		status, detail := wo.call("PUT", "http://"+in.at(portControl)+"/config", config)
		wo.rec.note("operator: the first configuration to %s: %d %s", in.name, status, detail)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}
