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
	readyWithin = time.Minute
	// lookUpEvery is how often callers ask which entry instances to use.
	lookUpEvery = 500 * time.Millisecond
	// afterwards is how long is waited after the load for what backend servers may
	// still begin of it.
	afterwards = time.Second
)

// Program says how instances are run.
type Program struct {
	Command   []string // Command calls emulate.ServeInstance with its standard input.
	LogFolder string   // Logs is a folder for the instances' logs; empty: nowhere.
}

// streams returns the streams in the order of groups.
func (cf Settings) streams() []experiment.Stream {
	return []experiment.Stream{cf.Merged, cf.Plain, cf.Once}
}

// runner runs one soak.
type runner struct {
	cf Settings
	ts *timer.Service
	lo *emulate.LocalTier
	ca *emulate.Caller
	ju *Checker
	pl *player
	st *figures
	at atomic.Pointer[[]string] // at is where callers send requests.
}

// Run starts a tier and backend servers, loads them while the faults of the seed
// are played, and returns what was found.
func Run(ctx context.Context, cf Settings, pr Program, ts *timer.Service, lg *zap.Logger) (re Report, err error) {
	folder, err := os.MkdirTemp("", "balsamload-soak-")
	if err != nil {
		return re, err
	}
	defer os.RemoveAll(folder)
	ready, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	lo, err := emulate.StartLocalTier(ready, emulate.LocalConfig{
		Entries: cf.Tier.Entries, Controls: cf.Tier.Controls, DataCentres: cf.Tier.DataCentres, Folder: folder,
		StopTimeout: stopWithin, Program: pr.Command, LogFolder: pr.LogFolder,
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
	if err := ru.form(ready); err != nil {
		return re, err
	}
	re = Report{Soak: cf.Name, Seed: cf.Seed, Started: ts.Now(), Processors: runtime.GOMAXPROCS(0), Length: cf.Length}
	ru.ju.Start(re.Started)
	dropped, err := ru.load(ctx, re.Started)
	if err != nil {
		return re, err
	}
	ru.finish(ctx)
	re.Dropped = dropped
	ru.report(&re)
	return re, nil
}

func newRunner(cf Settings, lo *emulate.LocalTier, ss *emulate.Servers, co *emulate.ControlClient, ts *timer.Service) *runner {
	pl := &player{cf: cf, lo: lo, ss: ss, ts: ts, played: make(map[Kind]int), turns: make(map[string]*sync.Mutex)}
	ju := NewChecker(cf, pl.underWay)
	pl.ju = ju
	pl.fl = &fleet{cf: cf, ss: ss, ju: ju, ts: ts, network: anyNetwork()}
	pl.op = &operator{cf: cf, ju: ju, ts: ts, co: co}
	pl.ru = &runner{cf: cf, ts: ts, lo: lo, ca: emulate.NewCaller(), ju: ju, pl: pl, st: newFigures()}
	return pl.ru
}

// form starts the backend servers, has the first configuration accepted and waits
// until each entry instance gives whole answers of every group.
func (ru *runner) form(ctx context.Context) error {
	if err := ru.pl.fl.fill(); err != nil {
		return err
	}
	version, data := ru.pl.op.write(false)
	if err := ru.pl.op.send(ctx, version, data); err != nil {
		return err
	}
	la := ru.cf.layout(version, 0)
	for ix, address := range ru.lo.CallerAddresses() {
		ru.ju.EntryStarted(address)
		for _, gr := range groups {
			ex := emulate.Expectation{Services: la.of(gr), Service: ru.pl.ss.Service, Records: ru.cf.Servers.Records}
			if gr == groupMerged {
				ex.TopK = ru.cf.Merged.TopK
			}
			qu := emulate.Request{ID: fmt.Sprintf("ready-%d-%s", ix, gr), Host: host, Path: "/" + gr + "/ready", Timeout: ru.timeout(gr)}
			if _, err := ru.ca.AwaitComplete(ctx, ru.ts, address, qu, ex); err != nil {
				return err
			}
		}
	}
	list := ru.lo.CallerAddresses()
	ru.at.Store(&list)
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

// load sends the requests while the faults are played, and returns how many were
// due but not sent.
func (ru *runner) load(ctx context.Context, start time.Time) (int, error) {
	look, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { ru.lookUp(look) })
	wg.Go(func() { ru.pl.playAll(ctx, start, DrawSchedule(ru.cf.Seed, ru.cf)) })
	var rates []float64
	for _, st := range ru.cf.streams() {
		rates = append(rates, st.Rate)
	}
	ars := load.Arrivals(ru.cf.Seed, ru.cf.Length, rates)
	dropped := load.Drive(ctx, ru.ts, start, ars, func(at load.Arrival, intended time.Time) { ru.fire(ctx, at, intended) })
	stop()
	wg.Wait()
	return dropped, ctx.Err()
}

// lookUp keeps the list of entry instances as callers do: from one control
// instance after the other, and the old list while none answers.
func (ru *runner) lookUp(ctx context.Context) {
	at := ru.lo.LookupAddresses()
	for nth := 0; ctx.Err() == nil; nth++ {
		dc := ru.cf.Tier.DataCentres[nth%len(ru.cf.Tier.DataCentres)]
		if list, _, err := ru.ca.EntryAddresses(ctx, at[nth%len(at)], dc); err == nil && len(list) > 0 {
			ru.at.Store(&list)
		}
		_ = ru.ts.Sleep(ctx, lookUpEvery)
	}
}

// fire sends one request and notes what came of it, counted from its intended
// start.
func (ru *runner) fire(ctx context.Context, ar load.Arrival, intended time.Time) {
	group := groups[ar.Stream]
	list := *ru.at.Load()
	rq := Request{
		ID: fmt.Sprintf("%s-%x", group, ar.Seed), Group: group, Path: "/" + group + "/" + strconv.FormatUint(ar.Seed, 16),
		Entry: list[ar.Seed%uint64(len(list))],
	}
	ru.st.sent(ru.ts.Now().Sub(intended))
	ru.ju.RequestSent(rq)
	an, err := ru.ca.Send(ctx, rq.Entry, emulate.Request{ID: rq.ID, Host: host, Path: rq.Path, Timeout: ru.timeout(group)})
	now := ru.ts.Now()
	if err == nil {
		ru.ju.RequestAnswered(now, rq.ID, an)
	}
	ru.st.note(group, an, err, now.Sub(intended), ru.cf.streams()[ar.Stream].Aim)
}

// finish waits for what may still begin, and reads back what was acknowledged:
// once, and once more after all control instances were killed and started again.
func (ru *runner) finish(ctx context.Context) {
	_ = ru.ts.Sleep(ctx, afterwards)
	ru.pl.op.readBack(ctx)
	names := ru.lo.ControlNames()
	if err := errors.Join(each(names, ru.lo.Kill), ru.pl.startAll(names)); err != nil {
		ru.pl.problems = append(ru.pl.problems, fmt.Sprintf("the restart of all at the end: %v", err))
	}
	ru.pl.op.readBack(ctx)
}
