package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"balsamwinch.example/load"
	"balsamwinch.example/result"
)

// floodPartitions is the default partition map of the queried service.
const floodPartitions = "1:a,b"

// flood sends queries from several concurrent callers until it is stopped. The callers start
// at different addresses, and each keeps its address list until its TTL expires, as a real
// caller does. Every answer is checked against its query: request id, rows, snapshot and
// shards.
type flood struct {
	addresses    []string
	fixedAddress bool // whether each caller keeps its first address and never fetches a list
	service      string
	partitions   load.Partitions
	stop         chan struct{}
	wg           sync.WaitGroup
	sent         atomic.Int64
	ended        atomic.Int64 // queries that ended, with or without an answer
	unanswered   atomic.Int64 // queries that got no answer at all
	incomplete   atomic.Int64 // answers with a code other than Complete
	wrong        atomic.Int64 // answers that mix snapshots, belong to another request or claim coverage they lack
	lastError    atomic.Value
}

// cmdFlood implements "flood ADDRESSES SERVICE CALLERS [NUMBER:SHARD,SHARD...]": it starts
// callers. The last arguments are the service's partition maps.
func cmdFlood(ts *testscript.TestScript, _ bool, args []string) {
	startFlood(ts, false, args)
}

// cmdPress implements "press ADDRESSES SERVICE CALLERS": like flood, but the callers keep the
// given addresses.
func cmdPress(ts *testscript.TestScript, _ bool, args []string) {
	startFlood(ts, true, args)
}

func startFlood(ts *testscript.TestScript, fixedAddress bool, args []string) {
	callers, err := strconv.Atoi(args[2])
	ts.Check(err)
	maps := args[3:]
	if len(maps) == 0 {
		maps = []string{floodPartitions}
	}
	fl := &flood{
		addresses:    strings.Split(args[0], ","),
		fixedAddress: fixedAddress,
		service:      args[1],
		partitions:   make(load.Partitions),
		stop:         make(chan struct{}),
	}
	for _, pa := range maps {
		number, shards, _ := strings.Cut(pa, ":")
		nu, err := strconv.ParseUint(number, 10, 64)
		ts.Check(err)
		fl.partitions[nu] = strings.Split(shards, ",")
	}
	clusterOf(ts).flood = fl
	for ix := range callers {
		fl.wg.Go(func() { fl.run(ix) })
	}
}

func (fl *flood) run(caller int) {
	first := caller % len(fl.addresses)
	cr := &listCaller{seeds: slices.Concat(fl.addresses[first:], fl.addresses[:first]), service: fl.service}
	if fl.fixedAddress {
		cr.list.Addresses = cr.seeds[:1]
		cr.until = time.Now().Add(time.Hour)
	}
	for number := 0; ; number++ {
		select {
		case <-fl.stop:
			return
		default:
		}
		ca := load.Call{
			RequestID:  fmt.Sprintf("flood-%d-%d", caller, number),
			Query:      json.RawMessage(fmt.Sprintf(`{"Caller":%d,"Number":%d}`, caller, number)),
			Partitions: fl.partitions,
		}
		fl.sent.Add(1)
		fl.record(ca, cr.query(ca))
		fl.ended.Add(1)
	}
}

func (fl *flood) record(ca load.Call, at load.Attempt) {
	if at.Err != nil {
		fl.unanswered.Add(1)
		fl.lastError.Store(at.Err.Error())
		return
	}
	if at.Answer.Code != result.Complete {
		fl.incomplete.Add(1)
		fl.lastError.Store(fmt.Sprint(at.Answer.Code, " ", at.Answer.Detail))
	}
	if brs := load.Check(ca, at); len(brs) > 0 {
		fl.wrong.Add(1)
		fl.lastError.Store(fmt.Sprint(brs))
	}
}

// cmdFlooded implements "flooded COUNT": it waits until COUNT more queries have ended.
func cmdFlooded(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	fl := clusterOf(ts).flood
	until := fl.ended.Load() + count
	for end := time.Now().Add(waitTimeout); fl.ended.Load() < until; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("%d of %d queries have not ended", until-fl.ended.Load(), count)
		}
	}
}

// cmdFloodEnds implements "floodends": it stops the callers and prints their counters.
func cmdFloodEnds(ts *testscript.TestScript, _ bool, _ []string) {
	fl := clusterOf(ts).flood
	close(fl.stop)
	fl.wg.Wait()
	some := "none"
	if fl.sent.Load() > 0 {
		some = "some"
	}
	fmt.Fprintf(ts.Stdout(), "sent %s, cut %d, bad %d, wrong %d, last %v\n",
		some, fl.unanswered.Load(), fl.incomplete.Load(), fl.wrong.Load(), fl.lastError.Load())
}
