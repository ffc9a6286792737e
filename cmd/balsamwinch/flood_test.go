package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"
)

// flood sends queries from several callers until it is told to end. Each caller
// keeps the address list for its time to live, as a real one does.
type flood struct {
	stop chan struct{}
	wg   sync.WaitGroup
	sent atomic.Int64
	cut  atomic.Int64 // cut counts queries that got no answer at all.
	bad  atomic.Int64 // bad counts answers that are not complete.
	last atomic.Value
}

// cmdFlood starts callers: flood ADDRESSES SERVICE CALLERS.
func cmdFlood(ts *testscript.TestScript, _ bool, args []string) {
	callers, err := strconv.Atoi(args[2])
	ts.Check(err)
	fl := &flood{stop: make(chan struct{})}
	worldOf(ts).flood = fl
	for range callers {
		fl.wg.Go(func() { fl.run(strings.Split(args[0], ","), args[1]) })
	}
}

func (fl *flood) run(addresses []string, service string) {
	cr := &listCaller{seeds: addresses, service: service}
	for {
		select {
		case <-fl.stop:
			return
		default:
		}
		fl.sent.Add(1)
		code, err := cr.query()
		if err != nil {
			fl.cut.Add(1)
			fl.last.Store(err.Error())
		} else if code != 0 {
			fl.bad.Add(1)
			fl.last.Store(fmt.Sprint("code ", code))
		}
	}
}

// cmdFloodEnds stops the callers and prints what they counted.
func cmdFloodEnds(ts *testscript.TestScript, _ bool, _ []string) {
	fl := worldOf(ts).flood
	close(fl.stop)
	fl.wg.Wait()
	some := "none"
	if fl.sent.Load() > 0 {
		some = "some"
	}
	fmt.Fprintf(ts.Stdout(), "sent %s, cut %d, bad %d, last %v\n", some, fl.cut.Load(), fl.bad.Load(), fl.last.Load())
}
