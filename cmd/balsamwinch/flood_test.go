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

// floodPartitions is what a flood's service is divided into unless told otherwise.
const floodPartitions = "1:a,b"

// flood sends queries from several callers until it is told to end. They begin at
// the addresses in turn, and each keeps the address list that it gets for its time
// to live, as a real one does. Every answer is compared with its query: request
// id, rows, snapshot and shards.
type flood struct {
	addresses  []string
	fixed      bool // fixed makes each caller stay at its first address without asking for a list.
	service    string
	partitions load.Partitions
	stop       chan struct{}
	wg         sync.WaitGroup
	sent       atomic.Int64
	ended      atomic.Int64 // ended counts queries that were answered or cut.
	cut        atomic.Int64 // cut counts queries that got no answer at all.
	bad        atomic.Int64 // bad counts answers that are not complete.
	wrong      atomic.Int64 // wrong counts answers that are mixed, of another request, or claim what they don't hold.
	last       atomic.Value
}

// cmdFlood starts callers: flood ADDRESSES SERVICE CALLERS [NUMBER:SHARD,SHARD...].
// The last arguments are the service's partition maps.
func cmdFlood(ts *testscript.TestScript, _ bool, args []string) {
	startFlood(ts, false, args)
}

// cmdPress is flood for callers that stay at the given addresses: press ADDRESSES
// SERVICE CALLERS.
func cmdPress(ts *testscript.TestScript, _ bool, args []string) {
	startFlood(ts, true, args)
}

func startFlood(ts *testscript.TestScript, fixed bool, args []string) {
	callers, err := strconv.Atoi(args[2])
	ts.Check(err)
	maps := args[3:]
	if len(maps) == 0 {
		maps = []string{floodPartitions}
	}
	fl := &flood{
		addresses:  strings.Split(args[0], ","),
		fixed:      fixed,
		service:    args[1],
		partitions: make(load.Partitions),
		stop:       make(chan struct{}),
	}
	for _, pa := range maps {
		number, shards, _ := strings.Cut(pa, ":")
		nu, err := strconv.ParseUint(number, 10, 64)
		ts.Check(err)
		fl.partitions[nu] = strings.Split(shards, ",")
	}
	worldOf(ts).flood = fl
	for ix := range callers {
		fl.wg.Go(func() { fl.run(ix) })
	}
}

func (fl *flood) run(caller int) {
	first := caller % len(fl.addresses)
	cr := &listCaller{seeds: slices.Concat(fl.addresses[first:], fl.addresses[:first]), service: fl.service}
	if fl.fixed {
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
		fl.note(ca, cr.query(ca))
		fl.ended.Add(1)
	}
}

func (fl *flood) note(ca load.Call, at load.Attempt) {
	if at.Err != nil {
		fl.cut.Add(1)
		fl.last.Store(at.Err.Error())
		return
	}
	if at.Answer.Code != result.Complete {
		fl.bad.Add(1)
		fl.last.Store(fmt.Sprint(at.Answer.Code, " ", at.Answer.Detail))
	}
	if brs := load.Check(ca, at); len(brs) > 0 {
		fl.wrong.Add(1)
		fl.last.Store(fmt.Sprint(brs))
	}
}

// cmdFlooded waits until that many more queries have ended: flooded COUNT.
func cmdFlooded(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	fl := worldOf(ts).flood
	until := fl.ended.Load() + count
	for end := time.Now().Add(patience); fl.ended.Load() < until; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("%d of %d queries are still to end", until-fl.ended.Load(), count)
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
	fmt.Fprintf(ts.Stdout(), "sent %s, cut %d, bad %d, wrong %d, last %v\n",
		some, fl.cut.Load(), fl.bad.Load(), fl.wrong.Load(), fl.last.Load())
}
