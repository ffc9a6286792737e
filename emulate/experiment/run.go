package experiment

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"balsamwinch.example/emulate"
	"balsamwinch.example/load"
	"balsamwinch.example/timer"
)

// The groups of requests, which are also path segments.
const (
	groupMerged = "merged"
	groupPlain  = "plain"
)

// groups are in the order of the streams of arrivals.
var groups = [...]string{groupMerged, groupPlain}

const (
	readyWithin = time.Minute
	stopWithin  = 2 * time.Second
	// mostMicros and digits are the range of the histograms.
	mostMicros = int64(time.Minute / time.Microsecond)
	digits     = 3
	// mostExamples bounds the wrong answers that a report quotes.
	mostExamples = 5
)

// cell is what was measured of one group in one arm.
type cell struct {
	expect emulate.Expectation

	mu                      sync.Mutex
	due, whole, partial     int
	refused, failed, silent int
	wrong                   int
	covered, asked          int
	answered, lag           *hdrhistogram.Histogram
	turns                   []*hdrhistogram.Histogram
	examples                []string
}

func newCell(ex emulate.Expectation, turns int) *cell {
	ce := &cell{expect: ex, answered: newHistogram(), lag: newHistogram()}
	for range turns {
		ce.turns = append(ce.turns, newHistogram())
	}
	return ce
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, mostMicros, digits) }

// runner runs one experiment.
type runner struct {
	ex    Experiment
	ts    *timer.Service
	ca    *emulate.Caller
	ss    *emulate.Servers
	at    []string // at is where the entry instances are.
	cells map[string]map[string]*cell
}

// Run starts a tier and backend servers in this process, runs the experiment on
// them and returns what was measured.
func Run(ctx context.Context, ex Experiment, ts *timer.Service, lg *zap.Logger) (re Report, err error) {
	re = Report{Experiment: ex.Name, Seed: ex.Seed, Started: ts.Now(), Processors: runtime.NumCPU(), LoadBefore: loadAverage()}
	folder, err := os.MkdirTemp("", "balsamload-routed-")
	if err != nil {
		return re, err
	}
	defer os.RemoveAll(folder)
	ready, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	lo, err := emulate.StartLocalTier(ready, emulate.LocalConfig{
		Entries: ex.Tier.Entries, Controls: ex.Tier.Controls, DataCentres: ex.Tier.DataCentres, Folder: folder, StopTimeout: stopWithin,
	}, ts, lg)
	if err != nil {
		return re, err
	}
	defer func() { err = errors.Join(err, lo.Close()) }()
	ss, err := emulate.StartServers(ex.configs(), lo.ControlAddresses(), ts, lg)
	if err != nil {
		return re, err
	}
	defer ss.Close()
	if err := lo.Configure(ready, ex.Configuration()); err != nil {
		return re, err
	}
	ru := &runner{ex: ex, ts: ts, ca: emulate.NewCaller(), ss: ss, at: lo.CallerAddresses()}
	defer ru.ca.Close()
	ru.reset(0)
	if err := ru.await(ready); err != nil {
		return re, err
	}
	return ru.measure(ctx, re)
}

// measure loads the tier for the warm-up and then for the report.
func (ru *runner) measure(ctx context.Context, re Report) (Report, error) {
	warm := ru.ex.turns(ru.ex.Warmup)
	ru.reset(warm)
	if _, err := ru.turns(ctx, 0, warm); err != nil {
		return re, err
	}
	before := make(map[string]emulate.Counts)
	for _, ar := range ru.ex.Arms {
		before[ar.Name] = ru.ss.Counts(ar.Name)
	}
	over := ru.ss.RejectedConnections()
	ru.reset(ru.ex.Rounds())
	dropped, err := ru.turns(ctx, warm, ru.ex.Rounds())
	if err != nil {
		return re, err
	}
	re.Dropped, re.OverLimit = dropped, ru.ss.RejectedConnections()-over
	for _, ar := range ru.ex.Arms {
		re.add(ar, ru.cells[ar.Name], before[ar.Name], ru.ss.Counts(ar.Name))
	}
	return re, nil
}

// reset begins to measure anew.
func (ru *runner) reset(turns int) {
	ru.cells = make(map[string]map[string]*cell)
	for _, ar := range ru.ex.Arms {
		merged := emulate.Expectation{Services: ru.ex.shards(), Service: ru.ss.Service, Records: ru.ex.Servers.Records, TopK: ru.ex.Merged.TopK}
		plain := emulate.Expectation{Services: []string{plainName}, Service: ru.ss.Service, Records: ru.ex.Servers.Records}
		ru.cells[ar.Name] = map[string]*cell{groupMerged: newCell(merged, turns), groupPlain: newCell(plain, turns)}
	}
}

// await waits until each entry instance gives whole answers.
func (ru *runner) await(ctx context.Context) error {
	for ix, address := range ru.at {
		for _, ar := range ru.ex.Arms {
			for _, gr := range groups {
				qu := ru.question(ar, gr, "ready", fmt.Sprintf("ready-%d-%s-%s", ix, ar.Name, gr))
				if _, err := ru.ca.AwaitComplete(ctx, ru.ts, address, qu, ru.cells[ar.Name][gr].expect); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (ru *runner) question(ar Arm, group, path, id string) emulate.Request {
	timeout := ru.ex.Merged.Timeout
	if group == groupPlain {
		timeout = ru.ex.Plain.Timeout
	}
	return emulate.Request{ID: id, Host: host, Path: "/" + ar.Name + "/" + group + "/" + path, Timeout: timeout}
}

// turns gives each arm its turn a number of times, every other time in the
// opposite order, and returns how many requests were dropped.
func (ru *runner) turns(ctx context.Context, first, count int) (dropped int, err error) {
	arms := ru.ex.Arms
	for nth := range count {
		turn := first + nth
		ars := load.Arrivals(ru.ex.Seed<<16+uint64(turn), ru.ex.Block, []float64{ru.ex.Merged.Rate, ru.ex.Plain.Rate})
		for ix := range arms {
			ar := arms[ix]
			if turn%2 == 1 {
				ar = arms[len(arms)-1-ix]
			}
			dropped += load.Drive(ctx, ru.ts, ru.ts.Now(), ars, func(at load.Arrival, intended time.Time) {
				ru.fire(ctx, ar, turn, nth, at, intended)
			})
			if ctx.Err() != nil {
				return dropped, ctx.Err()
			}
		}
	}
	return dropped, nil
}

// fire sends one request and notes what came of it, counted from its intended
// start.
func (ru *runner) fire(ctx context.Context, ar Arm, turn, nth int, at load.Arrival, intended time.Time) {
	group := groups[at.Stream]
	ce := ru.cells[ar.Name][group]
	lag := ru.ts.Now().Sub(intended)
	qu := ru.question(ar, group, strconv.FormatUint(at.Seed, 16), fmt.Sprintf("%s-%d-%x", ar.Name, turn, at.Seed))
	an, err := ru.ca.Send(ctx, ru.at[at.Seed%uint64(len(ru.at))], qu)
	ce.note(qu, an, err, nth, lag, ru.ts.Now().Sub(intended))
}

func (ce *cell) note(qu emulate.Request, an emulate.Response, err error, turn int, lag, took time.Duration) {
	var fault error
	if err == nil && an.Status == http.StatusOK {
		fault = ce.expect.Check(qu, an)
	}
	ce.mu.Lock()
	defer ce.mu.Unlock()
	ce.due++
	ce.asked += len(ce.expect.Services)
	record(ce.lag, lag)
	switch {
	case err != nil:
		ce.silent++
		return
	case an.Status == http.StatusServiceUnavailable || an.Status == http.StatusTooManyRequests:
		ce.refused++
		return
	case an.Status != http.StatusOK:
		ce.failed++
		return
	case fault != nil:
		ce.wrong++
		if len(ce.examples) < mostExamples {
			ce.examples = append(ce.examples, fault.Error())
		}
		return
	case an.Missing > 0:
		ce.partial++
	default:
		ce.whole++
	}
	ce.covered += len(an.Stamps)
	record(ce.answered, took)
	record(ce.turns[turn], took)
}

func record(hi *hdrhistogram.Histogram, took time.Duration) {
	_ = hi.RecordValue(min(mostMicros, max(1, took.Microseconds()))) // A value in range is no error.
}

// loadAverage returns the machine's load average of one minute; 0 where it is not
// known.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	av, _ := strconv.ParseFloat(first, 64)
	return av
}
