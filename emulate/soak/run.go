package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/emulate"
	"balsamwinch.example/emulate/experiment"
	"balsamwinch.example/load"
	"balsamwinch.example/timer"
)

const (
	readyTimeout = time.Minute
	// lookupInterval is the interval at which callers ask which entry instances to use.
	lookupInterval = 500 * time.Millisecond
	// settleDelay is the wait after the load for requests that backend servers may still
	// start.
	settleDelay = time.Second
)

// Program configures the processes of the instances.
type Program struct {
	Command   []string // must call emulate.ServeInstance with its standard input
	LogFolder string   // folder for the instances' logs; if empty, they are discarded
}

// streams returns the streams in the order of groups.
func (cf Settings) streams() []experiment.Stream {
	return []experiment.Stream{cf.Merged, cf.Plain, cf.Once}
}

// runner runs one soak.
type runner struct {
	cf      Settings
	ts      *timer.Service
	lo      *emulate.LocalTier
	ca      *emulate.Caller
	ch      *Checker
	ij      *injector
	st      *requestStats
	entries atomic.Pointer[[]string] // addresses of the entry instances that callers use
}

// Run starts a tier and backend servers, puts them under load while it injects the faults
// of the seed, and returns the results.
func Run(ctx context.Context, cf Settings, pr Program, ts *timer.Service, lg *zap.Logger) (re Report, err error) {
	folder, err := os.MkdirTemp("", "balsamload-soak-")
	if err != nil {
		return re, err
	}
	defer os.RemoveAll(folder)
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	lo, err := emulate.StartLocalTier(ready, emulate.LocalConfig{
		Entries: cf.Tier.Entries, Controls: cf.Tier.Controls, DataCentres: cf.Tier.DataCentres, Folder: folder,
		StopTimeout: stopTimeout, Program: pr.Command, LogFolder: pr.LogFolder,
	}, ts, lg)
	if err != nil {
		return re, err
	}
	defer func() { err = errors.Join(err, lo.Close()) }()
	ss, err := emulate.StartServers(nil, lo.ControlAddresses(), ts, lg)
	if err != nil {
		return re, err
	}
	defer ss.Close()
	co := emulate.NewControlClient(lo.ControlAddresses())
	defer co.Close()
	ru := newRunner(cf, lo, ss, co, ts)
	defer ru.ca.Close()
	if err := ru.prepare(ready); err != nil {
		return re, err
	}
	re = Report{Soak: cf.Name, Seed: cf.Seed, Started: ts.Now(), Processors: runtime.GOMAXPROCS(0), Length: cf.Length}
	ru.ch.Start(re.Started)
	dropped, err := ru.load(ctx, re.Started)
	if err != nil {
		return re, err
	}
	ru.finish(ctx)
	re.Dropped = dropped
	ru.fillReport(&re)
	return re, nil
}

func newRunner(cf Settings, lo *emulate.LocalTier, ss *emulate.Servers, co *emulate.ControlClient, ts *timer.Service) *runner {
	ij := &injector{cf: cf, lo: lo, ss: ss, ts: ts, injected: make(map[Kind]int), entryLocks: make(map[string]*sync.Mutex)}
	ch := NewChecker(cf, ij.activeFaults)
	ij.ch = ch
	ij.fl = &fleet{cf: cf, ss: ss, ch: ch, ts: ts, listenAddress: randomLoopback()}
	ij.op = &operator{cf: cf, ch: ch, ts: ts, co: co}
	ij.ru = &runner{cf: cf, ts: ts, lo: lo, ca: emulate.NewCaller(), ch: ch, ij: ij, st: newRequestStats()}
	return ij.ru
}

// prepare starts the backend servers, has the first configuration accepted and waits
// until each entry instance sends complete responses for every group.
func (ru *runner) prepare(ctx context.Context) error {
	if err := ru.ij.fl.startAll(); err != nil {
		return err
	}
	version, data := ru.ij.op.newVersion(false)
	if err := ru.ij.op.send(ctx, version, data); err != nil {
		return err
	}
	la := ru.cf.layout(version, 0)
	for ix, address := range ru.lo.CallerAddresses() {
		ru.ch.EntryStarted(address)
		for _, gr := range groups {
			ex := emulate.Expectation{Services: la.services(gr), Service: ru.ij.ss.Service, Records: ru.cf.Servers.Records}
			if gr == groupMerged {
				ex.TopK = ru.cf.Merged.TopK
			}
			req := emulate.Request{ID: fmt.Sprintf("ready-%d-%s", ix, gr), Host: host, Path: "/" + gr + "/ready", Timeout: ru.timeout(gr)}
			if _, err := ru.ca.AwaitComplete(ctx, ru.ts, address, req, ex); err != nil {
				return err
			}
		}
	}
	list := ru.lo.CallerAddresses()
	ru.entries.Store(&list)
	return nil
}

func (ru *runner) timeout(group string) time.Duration {
	for ix, st := range ru.cf.streams() {
		if groups[ix] == group {
			return st.Timeout
		}
	}
	return 0
}

// load sends the requests while faults are injected, and returns how many were due but
// not sent.
func (ru *runner) load(ctx context.Context, start time.Time) (int, error) {
	refreshCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { ru.refreshEntries(refreshCtx) })
	wg.Go(func() { ru.ij.injectAll(ctx, start, DrawSchedule(ru.cf.Seed, ru.cf)) })
	var rates []float64
	for _, st := range ru.cf.streams() {
		rates = append(rates, st.Rate)
	}
	ars := load.Arrivals(ru.cf.Seed, ru.cf.Length, rates)
	dropped := load.Drive(ctx, ru.ts, start, ars, func(at load.Arrival, intended time.Time) { ru.send(ctx, at, intended) })
	stop()
	wg.Wait()
	return dropped, ctx.Err()
}

// refreshEntries updates the list of entry instances as callers do: it asks one control
// instance after another, and keeps the old list while none responds.
func (ru *runner) refreshEntries(ctx context.Context) {
	at := ru.lo.LookupAddresses()
	for nth := 0; ctx.Err() == nil; nth++ {
		dc := ru.cf.Tier.DataCentres[nth%len(ru.cf.Tier.DataCentres)]
		if list, _, err := ru.ca.EntryAddresses(ctx, at[nth%len(at)], dc); err == nil && len(list) > 0 {
			ru.entries.Store(&list)
		}
		_ = ru.ts.Sleep(ctx, lookupInterval)
	}
}

// send sends one request and records its outcome, with the latency from its intended
// start.
func (ru *runner) send(ctx context.Context, ar load.Arrival, intended time.Time) {
	group := groups[ar.Stream]
	list := *ru.entries.Load()
	rq := Request{
		ID: fmt.Sprintf("%s-%x", group, ar.Seed), Group: group, Path: "/" + group + "/" + strconv.FormatUint(ar.Seed, 16),
		Entry: list[ar.Seed%uint64(len(list))],
	}
	ru.st.recordLag(ru.ts.Now().Sub(intended))
	ru.ch.RequestSent(ru.ts.Now(), rq)
	res, err := ru.ca.Send(ctx, rq.Entry, emulate.Request{ID: rq.ID, Host: host, Path: rq.Path, Timeout: ru.timeout(group)})
	now := ru.ts.Now()
	if err == nil {
		ru.ch.RequestAnswered(now, rq.ID, res)
	}
	ru.st.record(group, res, err, now.Sub(intended), ru.cf.streams()[ar.Stream].Aim)
}

// finish waits for requests that may still start, and reads back what was acknowledged:
// once immediately, and again after all control instances were killed and restarted.
func (ru *runner) finish(ctx context.Context) {
	_ = ru.ts.Sleep(ctx, settleDelay)
	ru.ij.op.readBack(ctx)
	names := ru.lo.ControlNames()
	if err := errors.Join(concurrently(names, ru.lo.Kill), ru.ij.startInstances(names)); err != nil {
		ru.ij.problems = append(ru.ij.problems, fmt.Sprintf("restart of all control instances at the end: %v", err))
	}
	ru.ij.op.readBack(ctx)
}
