package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/leaf"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

// Limits of a run.
const (
	readyTimeout      = 60 * time.Second
	readyPollInterval = 50 * time.Millisecond
	maxExamples       = 20
)

// Runner runs one experiment on one tier.
type Runner struct {
	ex Experiment
	ti Tier
	cl *Client
	fi *FaultInjector
	ts *timer.Service
	lg *zap.Logger

	cells        map[cellKey]*cell
	serverCounts map[cellKey]serverCounts
	counts       map[string]leaf.Counts // counters of the backend servers before the block

	mu          sync.Mutex
	notRunByKey map[string]bool // whether the final result of a non-repeatable query was "not run", by its key
	breaches    []Breach
	losses      []string
	dropped     int
	skipped     []string
}

// cellKey identifies a line of the report.
type cellKey struct {
	phase, arm int
	group      string
}

// serverCounts are counts of the backend servers of a group.
type serverCounts struct {
	requests, sheds, overLimit int
}

func (sc serverCounts) add(ot serverCounts) serverCounts {
	return serverCounts{
		requests:  sc.requests + ot.requests,
		sheds:     sc.sheds + ot.sheds,
		overLimit: sc.overLimit + ot.overLimit,
	}
}

// NewRunner returns a runner. The tier's backend servers must be those of the experiment.
func NewRunner(ex Experiment, ti Tier, ts *timer.Service, lg *zap.Logger) *Runner {
	return &Runner{
		ex:           ex,
		ti:           ti,
		cl:           NewClient(ts, ti.Addresses()),
		fi:           NewFaultInjector(ts, ti, ex),
		ts:           ts,
		lg:           lg,
		cells:        make(map[cellKey]*cell),
		serverCounts: make(map[cellKey]serverCounts),
		notRunByKey:  make(map[string]bool),
	}
}

// Run applies the configuration, waits until every service answers, and runs the blocks of all
// phases. The report lists faults that could not be injected.
func (ru *Runner) Run(ctx context.Context) (Report, error) {
	defer ru.cl.Close()
	re := Report{Experiment: ru.ex.Name, Seed: ru.ex.Seed, Started: ru.ts.Now(), Machine: describeMachine()}
	files, err := ru.ex.Files()
	if err != nil {
		return re, err
	}
	if err := ru.ti.Apply(ctx, files); err != nil {
		return re, fmt.Errorf("applying the configuration: %w", err)
	}
	if err := ru.awaitReady(ctx); err != nil {
		return re, err
	}
	if ru.counts, err = ru.fi.Counts(ctx); err != nil {
		return re, err
	}
	for _, bl := range ru.ex.Blocks() {
		if err := ru.runBlock(ctx, bl); err != nil {
			return re, fmt.Errorf("phase %s: %w", ru.ex.Phases[bl.Phase].Name, err)
		}
	}
	return ru.report(re), nil
}

func describeMachine() Machine {
	ma := Machine{Processors: runtime.NumCPU(), GoVersion: runtime.Version()}
	if data, err := os.ReadFile("/proc/loadavg"); err == nil {
		ma.LoadBefore, _ = strconv.ParseFloat(strings.Fields(string(data))[0], 64)
	}
	return ma
}

// awaitReady queries every service of every arm until its answer is complete.
func (ru *Runner) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ix, sm := range ru.ex.Streams(Phase{}) {
		for _, ar := range ru.ex.Arms {
			if err := ru.awaitService(ctx, ru.newCall(sm, ar, "ready-"+strconv.Itoa(ix), 0)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (ru *Runner) awaitService(ctx context.Context, ca Call) error {
	ca.Key = ""
	for {
		at := ru.cl.Do(ctx, ca).Word
		if at.Err == nil && at.Answer.Code == result.Complete {
			return nil
		}
		if ru.ts.Sleep(ctx, readyPollInterval) != nil {
			return fmt.Errorf("service %s is not ready: %s", ca.Service, describe(at))
		}
	}
}

// describe returns the result of an attempt in one line.
func describe(at Attempt) string {
	if at.Err != nil {
		return at.Err.Error()
	}
	return fmt.Sprintf("%s from %s: %s", at.Answer.Code, at.Answer.Instance, at.Answer.Detail)
}

// newCall returns a query to a service.
func (ru *Runner) newCall(sm Stream, ar Arm, id string, seed uint64) Call {
	query, err := json.Marshal(struct{ Ask string }{id})
	if err != nil {
		panic(fmt.Sprintf("load: encoding a query: %v", err))
	}
	rd := rand.New(rand.NewPCG(seed, 0))
	ca := Call{
		Service:    serviceName(sm.Label, ar),
		RequestID:  id,
		Deadline:   sm.Service.Deadline,
		Query:      query,
		Start:      int(rd.Uint32()),
		Duplicated: rd.Float64() < sm.Service.DuplicateShare,
		Partitions: Partitions{
			wholeMap: sm.Service.Shards(wholeMap),
			splitMap: sm.Service.Shards(splitMap),
		},
	}
	if sm.Service.NotRepeatable {
		ca.Key = "key-" + id
	}
	return ca
}

// runBlock loads one arm for one block and records the results.
func (ru *Runner) runBlock(ctx context.Context, bl Block) error {
	ph, ar := ru.ex.Phases[bl.Phase], ru.ex.Arms[bl.Arm]
	ru.lg.Info("load.block", zap.String("Phase", ph.Name), zap.String("Arm", ar.Name), zap.Int("Turn", bl.Number))
	streams := ru.ex.Streams(ph)
	rates := make([]float64, len(streams))
	for ix, sm := range streams {
		rates[ix] = sm.Rate
		ru.cell(bl, sm.Service.Name)
	}
	ars := Arrivals(bl.seed(ru.ex), bl.Length, rates)
	faultCtx, stop := context.WithCancel(ctx)
	defer stop()
	sts, err := ru.applyInitialSteps(ctx, ph.Schedule(bl.Length))
	if err != nil {
		return err
	}
	start := ru.ts.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		ru.applySteps(faultCtx, start, sts)
	}()
	ru.dropped += Drive(ctx, ru.ts, start, ars, func(ar Arrival, intended time.Time) {
		ru.runQuery(ctx, bl, streams[ar.Stream], ar, intended)
	})
	stop()
	<-done
	return ru.finishBlock(ctx, bl, streams)
}

// applyInitialSteps applies the steps that are due before the first query, and returns the
// others.
func (ru *Runner) applyInitialSteps(ctx context.Context, sts []Step) ([]Step, error) {
	for len(sts) > 0 && sts[0].At == 0 {
		if err := ru.fi.Apply(ctx, sts[0]); err != nil {
			return nil, err
		}
		sts = sts[1:]
	}
	return sts, nil
}

func (ru *Runner) applySteps(ctx context.Context, start time.Time, sts []Step) {
	for _, st := range sts {
		if ru.ts.Sleep(ctx, start.Add(st.At).Sub(ru.ts.Now())) != nil {
			return
		}
		// A step that has begun is completed even if the block ends.
		if err := ru.fi.Apply(context.WithoutCancel(ctx), st); err != nil {
			ru.addSkipped(fmt.Sprintf("%T at %s: %v", st.Fault, st.At, err))
		}
	}
}

func (ru *Runner) addSkipped(what string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if len(ru.skipped) < maxExamples {
		ru.skipped = append(ru.skipped, what)
	}
}

// runQuery sends one query and records its result.
func (ru *Runner) runQuery(ctx context.Context, bl Block, sm Stream, ar Arrival, intended time.Time) {
	arm := ru.ex.Arms[bl.Arm]
	id := fmt.Sprintf("%s-%d-%d-%016x", arm.Name, bl.Phase, bl.Number, ar.Seed)
	sa := sample{call: ru.newCall(sm, arm, id, ar.Seed), service: sm.Service, intended: intended, sent: ru.ts.Now()}
	sa.outcome = ru.cl.Do(ctx, sa.call)
	sa.done = ru.ts.Now()
	for _, at := range sa.outcome.Attempts {
		if at.Err == nil {
			sa.breaches = append(sa.breaches, Check(sa.call, at)...)
		}
	}
	ru.cell(bl, sm.Service.Name).add(sa, bl.Number, ru.ex.Grace)
	ru.addResult(sa)
}

// addResult records the key of a non-repeatable query for the check at the end, and examples
// of broken promises and lost answers.
func (ru *Runner) addResult(sa sample) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if sa.call.Key != "" {
		final := sa.outcome.Word
		ru.notRunByKey[sa.call.Key] = final.Err == nil && final.Answer.Code.NotRun()
	}
	if er := sa.outcome.Word.Err; er != nil && len(ru.losses) < maxExamples {
		ru.losses = append(ru.losses, fmt.Sprintf("%s after %s: %v", sa.call.RequestID, sa.latency(), er))
	}
	if len(ru.breaches) < maxExamples {
		ru.breaches = append(ru.breaches, sa.breaches...)
	}
}

func (ru *Runner) cell(bl Block, group string) *cell {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ke := cellKey{phase: bl.Phase, arm: bl.Arm, group: group}
	ce := ru.cells[ke]
	if ce == nil {
		ce = newCell()
		ru.cells[ke] = ce
	}
	return ce
}

// finishBlock clears the block's faults, waits for Settle and records what the backend servers
// have counted since the previous block.
func (ru *Runner) finishBlock(ctx context.Context, bl Block, streams []Stream) error {
	if err := ru.fi.ClearFaults(ctx); err != nil {
		return err
	}
	if err := ru.ts.Sleep(ctx, ru.ex.Settle); err != nil {
		return err
	}
	counts, err := ru.fi.Counts(ctx)
	if err != nil {
		return err
	}
	for _, sp := range ru.ex.Servers() {
		ke := cellKey{phase: bl.Phase, arm: bl.Arm, group: sp.Service.Name}
		ru.serverCounts[ke] = ru.serverCounts[ke].add(countsBetween(ru.counts[sp.Name], counts[sp.Name]))
	}
	ru.counts = counts
	groups := make(map[string]bool)
	for _, sm := range streams {
		if !groups[sm.Service.Name] {
			groups[sm.Service.Name] = true
			ru.cell(bl, sm.Service.Name).loadTime += bl.Length
		}
	}
	return nil
}

// countsBetween returns what was counted between two readings of the counters.
func countsBetween(before, after leaf.Counts) serverCounts {
	return serverCounts{
		requests:  after.Requests - before.Requests,
		sheds:     after.Replies[backend.ReplyShed] - before.Replies[backend.ReplyShed],
		overLimit: after.OverLimit - before.OverLimit,
	}
}

// report adds the lines of all phases except the warm-up.
func (ru *Runner) report(re Report) Report {
	for pi, ph := range ru.ex.Phases {
		if ph.Warmup {
			continue
		}
		for ai, ar := range ru.ex.Arms {
			re.Lines = append(re.Lines, ru.lines(pi, ai, ph, ar)...)
		}
	}
	re.Ratios = ru.ex.ratios(re.Lines)
	re.Breaches = ru.breaches
	re.Losses = ru.losses
	re.Dropped = ru.dropped
	re.Skipped = ru.skipped
	re.Promises = ru.sumPromises()
	return re
}

func (ru *Runner) lines(pi, ai int, ph Phase, ar Arm) []Line {
	var lis []Line
	var ces []*cell
	var total serverCounts
	for _, se := range ru.ex.Services {
		ke := cellKey{phase: pi, arm: ai, group: se.Name}
		li := ru.cells[ke].line(ph.Name, ar.Name, se.Name, ru.serverCounts[ke])
		if ph.Surge.Service == se.Name {
			li.Capacity = se.Capacity() * float64(se.Count)
		}
		lis = append(lis, li)
		ces = append(ces, ru.cells[ke])
		total = total.add(ru.serverCounts[ke])
	}
	if len(lis) > 1 {
		lis = append(lis, mergeCells(ces).line(ph.Name, ar.Name, AllGroups, total))
	}
	return lis
}

// sumPromises sums over the whole run, including the warm-up.
func (ru *Runner) sumPromises() Promises {
	var pr Promises
	for _, ce := range ru.cells {
		pr.MixedAnswers += ce.breaches[Mixed]
		pr.WrongAnswers += ce.breaches[WrongAnswer]
		pr.FalseCoverage += ce.breaches[FalseCoverage]
	}
	for _, sc := range ru.serverCounts {
		pr.OverLimit += sc.overLimit
	}
	return checkExecutions(pr, ru.ex.Servers(), ru.counts, ru.notRunByKey)
}

// checkExecutions compares the final result of each key with the executions counted by the
// backend servers, and adds the differences. A key may run once on each shard, on any replica.
func checkExecutions(pr Promises, specs []ServerSpec, counts map[string]leaf.Counts, notRunByKey map[string]bool) Promises {
	type place struct {
		key   string
		shard int
	}
	runs := make(map[place]int)
	ran := make(map[string]bool)
	twice := make(map[string]bool)
	for _, sp := range specs {
		for key, nu := range counts[sp.Name].Executed {
			pl := place{key: key, shard: sp.Shard}
			runs[pl] += nu
			ran[key] = true
			if runs[pl] > 1 {
				twice[key] = true
			}
		}
	}
	pr.Keys, pr.Ran, pr.RanTwice = len(notRunByKey), len(ran), len(twice)
	for key, notRun := range notRunByKey {
		if notRun && ran[key] {
			pr.NotRunRan++
		}
	}
	return pr
}
