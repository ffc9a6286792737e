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

// groups are in the order of the arrival streams.
var groups = [...]string{groupMerged, groupPlain}

const (
	readyTimeout = time.Minute
	stopTimeout  = 2 * time.Second
	// maxMicros and significantDigits are the range of the histograms.
	maxMicros         = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	// maxExamples bounds the wrong responses that a report quotes.
	maxExamples = 5
)

// recorder records the results of one group in one arm.
type recorder struct {
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

func newRecorder(ex emulate.Expectation, turns int) *recorder {
	rec := &recorder{expect: ex, answered: newHistogram(), lag: newHistogram()}
	for range turns {
		rec.turns = append(rec.turns, newHistogram())
	}
	return rec
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significantDigits) }

// runner runs one experiment.
type runner struct {
	ex        Experiment
	ts        *timer.Service
	ca        *emulate.Caller
	ss        *emulate.Servers
	entries   []string // addresses of the entry instances
	recorders map[string]map[string]*recorder
}

// Run starts a tier and backend servers in this process, runs the experiment on them and
// returns the results.
func Run(ctx context.Context, ex Experiment, ts *timer.Service, lg *zap.Logger) (re Report, err error) {
	re = Report{Experiment: ex.Name, Seed: ex.Seed, Started: ts.Now(), Processors: runtime.NumCPU(), LoadBefore: loadAverage()}
	folder, err := os.MkdirTemp("", "balsamload-routed-")
	if err != nil {
		return re, err
	}
	defer os.RemoveAll(folder)
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	lo, err := emulate.StartLocalTier(ready, emulate.LocalConfig{
		Entries: ex.Tier.Entries, Controls: ex.Tier.Controls, DataCentres: ex.Tier.DataCentres, Folder: folder, StopTimeout: stopTimeout,
	}, ts, lg)
	if err != nil {
		return re, err
	}
	defer func() { err = errors.Join(err, lo.Close()) }()
	ss, err := emulate.StartServers(ex.serverConfigs(), lo.ControlAddresses(), ts, lg)
	if err != nil {
		return re, err
	}
	defer ss.Close()
	if err := lo.Configure(ready, ex.Configuration()); err != nil {
		return re, err
	}
	ru := &runner{ex: ex, ts: ts, ca: emulate.NewCaller(), ss: ss, entries: lo.CallerAddresses()}
	defer ru.ca.Close()
	ru.reset(0)
	if err := ru.awaitReady(ready); err != nil {
		return re, err
	}
	return ru.measure(ctx, re)
}

// measure runs the warm-up load and then the measured load.
func (ru *runner) measure(ctx context.Context, re Report) (Report, error) {
	warmupRounds := ru.ex.roundsIn(ru.ex.Warmup)
	ru.reset(warmupRounds)
	if _, err := ru.runRounds(ctx, 0, warmupRounds); err != nil {
		return re, err
	}
	before := make(map[string]emulate.Counts)
	for _, ar := range ru.ex.Arms {
		before[ar.Name] = ru.ss.Counts(ar.Name)
	}
	rejectedBefore := ru.ss.RejectedConnections()
	ru.reset(ru.ex.Rounds())
	dropped, err := ru.runRounds(ctx, warmupRounds, ru.ex.Rounds())
	if err != nil {
		return re, err
	}
	re.Dropped, re.OverLimit = dropped, ru.ss.RejectedConnections()-rejectedBefore
	for _, ar := range ru.ex.Arms {
		re.add(ar, ru.recorders[ar.Name], before[ar.Name], ru.ss.Counts(ar.Name))
	}
	return re, nil
}

// reset discards all results.
func (ru *runner) reset(turns int) {
	ru.recorders = make(map[string]map[string]*recorder)
	for _, ar := range ru.ex.Arms {
		merged := emulate.Expectation{Services: ru.ex.shards(), Service: ru.ss.Service, Records: ru.ex.Servers.Records, TopK: ru.ex.Merged.TopK}
		plain := emulate.Expectation{Services: []string{plainService}, Service: ru.ss.Service, Records: ru.ex.Servers.Records}
		ru.recorders[ar.Name] = map[string]*recorder{groupMerged: newRecorder(merged, turns), groupPlain: newRecorder(plain, turns)}
	}
}

// awaitReady waits until each entry instance sends complete responses.
func (ru *runner) awaitReady(ctx context.Context) error {
	for ix, address := range ru.entries {
		for _, ar := range ru.ex.Arms {
			for _, gr := range groups {
				req := ru.request(ar, gr, "ready", fmt.Sprintf("ready-%d-%s-%s", ix, ar.Name, gr))
				if _, err := ru.ca.AwaitComplete(ctx, ru.ts, address, req, ru.recorders[ar.Name][gr].expect); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (ru *runner) request(ar Arm, group, path, id string) emulate.Request {
	timeout := ru.ex.Merged.Timeout
	if group == groupPlain {
		timeout = ru.ex.Plain.Timeout
	}
	return emulate.Request{ID: id, Host: host, Path: "/" + ar.Name + "/" + group + "/" + path, Timeout: timeout}
}

// runRounds gives each arm a number of turns, in reverse order every other round, and
// returns how many requests were dropped.
func (ru *runner) runRounds(ctx context.Context, first, count int) (dropped int, err error) {
	arms := ru.ex.Arms
	for index := range count {
		round := first + index
		ars := load.Arrivals(ru.ex.Seed<<16+uint64(round), ru.ex.Block, []float64{ru.ex.Merged.Rate, ru.ex.Plain.Rate})
		for ix := range arms {
			ar := arms[ix]
			if round%2 == 1 {
				ar = arms[len(arms)-1-ix]
			}
			dropped += load.Drive(ctx, ru.ts, ru.ts.Now(), ars, func(at load.Arrival, intended time.Time) {
				ru.send(ctx, ar, round, index, at, intended)
			})
			if ctx.Err() != nil {
				return dropped, ctx.Err()
			}
		}
	}
	return dropped, nil
}

// send sends one request and records its outcome, with the latency from its intended
// start.
func (ru *runner) send(ctx context.Context, ar Arm, round, index int, at load.Arrival, intended time.Time) {
	group := groups[at.Stream]
	rec := ru.recorders[ar.Name][group]
	lag := ru.ts.Now().Sub(intended)
	req := ru.request(ar, group, strconv.FormatUint(at.Seed, 16), fmt.Sprintf("%s-%d-%x", ar.Name, round, at.Seed))
	res, err := ru.ca.Send(ctx, ru.entries[at.Seed%uint64(len(ru.entries))], req)
	rec.record(req, res, err, index, lag, ru.ts.Now().Sub(intended))
}

func (rec *recorder) record(req emulate.Request, res emulate.Response, err error, turn int, lag, took time.Duration) {
	var fault error
	if err == nil && res.Status == http.StatusOK {
		fault = rec.expect.Check(req, res)
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.due++
	rec.asked += len(rec.expect.Services)
	recordDuration(rec.lag, lag)
	switch {
	case err != nil:
		rec.silent++
		return
	case res.Status == http.StatusServiceUnavailable || res.Status == http.StatusTooManyRequests:
		rec.refused++
		return
	case res.Status != http.StatusOK:
		rec.failed++
		return
	case fault != nil:
		rec.wrong++
		if len(rec.examples) < maxExamples {
			rec.examples = append(rec.examples, fault.Error())
		}
		return
	case res.Missing > 0:
		rec.partial++
	default:
		rec.whole++
	}
	rec.covered += len(res.Stamps)
	recordDuration(rec.answered, took)
	recordDuration(rec.turns[turn], took)
}

func recordDuration(hi *hdrhistogram.Histogram, took time.Duration) {
	_ = hi.RecordValue(min(maxMicros, max(1, took.Microseconds()))) // A value in range is not an error.
}

// loadAverage returns the machine's load average over one minute; 0 if unknown.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	av, _ := strconv.ParseFloat(first, 64)
	return av
}
