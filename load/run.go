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

// Bounds of a run.
const (
	readyTimeout = 60 * time.Second
	readyPause   = 50 * time.Millisecond
	maxExamples  = 20
)

// Runner runs one experiment on one tier.
type Runner struct {
	ex Experiment
	ti Tier
	cl *Client
	di *FaultInjector
	ts *timer.Service
	lg *zap.Logger

	cells  map[cellKey]*cell
	bills  map[cellKey]bill
	counts map[string]leaf.Counts // counts is what the backend servers had counted before the block.

	mu       sync.Mutex
	keys     map[string]bool // keys tells of each not-repeatable query whether the last word was "not run".
	breaches []Breach
	losses   []string
	dropped  int
	skipped  []string
}

// cellKey names a line of the report.
type cellKey struct {
	phase, arm int
	group      string
}

// bill is what the backend servers of a group counted.
type bill struct {
	requests, sheds, overLimit int
}

func (bi bill) plus(ot bill) bill {
	return bill{
		requests:  bi.requests + ot.requests,
		sheds:     bi.sheds + ot.sheds,
		overLimit: bi.overLimit + ot.overLimit,
	}
}

// NewRunner returns a runner. The tier's backend servers must be those of the
// experiment.
func NewRunner(ex Experiment, ti Tier, ts *timer.Service, lg *zap.Logger) *Runner {
	return &Runner{
		ex:    ex,
		ti:    ti,
		cl:    NewClient(ts, ti.Addresses()),
		di:    NewFaultInjector(ts, ti, ex),
		ts:    ts,
		lg:    lg,
		cells: make(map[cellKey]*cell),
		bills: make(map[cellKey]bill),
		keys:  make(map[string]bool),
	}
}

// Run brings the configuration in force, waits until every service answers, and
// runs the blocks of all phases. A fault that the tier can't bring about is
// named in the report.
func (ru *Runner) Run(ctx context.Context) (Report, error) {
	defer ru.cl.Close()
	re := Report{Experiment: ru.ex.Name, Seed: ru.ex.Seed, Started: ru.ts.Now(), Machine: machine()}
	files, err := ru.ex.Files()
	if err != nil {
		return re, err
	}
	if err := ru.ti.Apply(ctx, files); err != nil {
		return re, fmt.Errorf("apply of the configuration: %w", err)
	}
	if err := ru.awaitReady(ctx); err != nil {
		return re, err
	}
	if ru.counts, err = ru.di.Counts(ctx); err != nil {
		return re, err
	}
	for _, bl := range ru.ex.Blocks() {
		if err := ru.block(ctx, bl); err != nil {
			return re, fmt.Errorf("phase %s: %w", ru.ex.Phases[bl.Phase].Name, err)
		}
	}
	return ru.report(re), nil
}

func machine() Machine {
	ma := Machine{Processors: runtime.NumCPU(), GoVersion: runtime.Version()}
	if data, err := os.ReadFile("/proc/loadavg"); err == nil {
		ma.LoadBefore, _ = strconv.ParseFloat(strings.Fields(string(data))[0], 64)
	}
	return ma
}

// awaitReady asks every service of every arm until its answer is complete.
func (ru *Runner) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ix, sm := range ru.ex.Streams(Phase{}) {
		for _, ar := range ru.ex.Arms {
			if err := ru.awaitService(ctx, ru.call(sm, ar, "ready-"+strconv.Itoa(ix), 0)); err != nil {
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
		if ru.ts.Sleep(ctx, readyPause) != nil {
			return fmt.Errorf("service %s is not ready: %s", ca.Service, describe(at))
		}
	}
}

// describe says in one line what came back.
func describe(at Attempt) string {
	if at.Err != nil {
		return at.Err.Error()
	}
	return fmt.Sprintf("%s from %s: %s", at.Answer.Code, at.Answer.Instance, at.Answer.Detail)
}

// call returns a query to a service.
func (ru *Runner) call(sm Stream, ar Arm, id string, seed uint64) Call {
	query, err := json.Marshal(struct{ Ask string }{id})
	if err != nil {
		panic(fmt.Sprintf("load: a query of a text: %v", err))
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

// block loads one arm for one turn and books what it cost.
func (ru *Runner) block(ctx context.Context, bl Block) error {
	ph, ar := ru.ex.Phases[bl.Phase], ru.ex.Arms[bl.Arm]
	ru.lg.Info("load.block", zap.String("Phase", ph.Name), zap.String("Arm", ar.Name), zap.Int("Turn", bl.Number))
	streams := ru.ex.Streams(ph)
	rates := make([]float64, len(streams))
	for ix, sm := range streams {
		rates[ix] = sm.Rate
		ru.cell(bl, sm.Service.Name)
	}
	ars := Arrivals(bl.seed(ru.ex), bl.Length, rates)
	faults, stop := context.WithCancel(ctx)
	defer stop()
	sts, err := ru.first(ctx, ph.Schedule(bl.Length))
	if err != nil {
		return err
	}
	start := ru.ts.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		ru.follow(faults, start, sts)
	}()
	ru.dropped += Drive(ctx, ru.ts, start, ars, func(ar Arrival, intended time.Time) {
		ru.one(ctx, bl, streams[ar.Stream], ar, intended)
	})
	stop()
	<-done
	return ru.close(ctx, bl, streams)
}

// first carries out the steps that are due before the first query, and returns
// the others.
func (ru *Runner) first(ctx context.Context, sts []Step) ([]Step, error) {
	for len(sts) > 0 && sts[0].At == 0 {
		if err := ru.di.Apply(ctx, sts[0]); err != nil {
			return nil, err
		}
		sts = sts[1:]
	}
	return sts, nil
}

func (ru *Runner) follow(ctx context.Context, start time.Time, sts []Step) {
	for _, st := range sts {
		if ru.ts.Sleep(ctx, start.Add(st.At).Sub(ru.ts.Now())) != nil {
			return
		}
		// A step that has begun is carried out whole, also when the block ends.
		if err := ru.di.Apply(context.WithoutCancel(ctx), st); err != nil {
			ru.skip(fmt.Sprintf("%T at %s: %v", st.Fault, st.At, err))
		}
	}
}

func (ru *Runner) skip(what string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if len(ru.skipped) < maxExamples {
		ru.skipped = append(ru.skipped, what)
	}
}

// one puts one query and counts what came back.
func (ru *Runner) one(ctx context.Context, bl Block, sm Stream, ar Arrival, intended time.Time) {
	arm := ru.ex.Arms[bl.Arm]
	id := fmt.Sprintf("%s-%d-%d-%016x", arm.Name, bl.Phase, bl.Number, ar.Seed)
	sa := sample{call: ru.call(sm, arm, id, ar.Seed), service: sm.Service, intended: intended, sent: ru.ts.Now()}
	sa.outcome = ru.cl.Do(ctx, sa.call)
	sa.done = ru.ts.Now()
	for _, at := range sa.outcome.Attempts {
		if at.Err == nil {
			sa.breaches = append(sa.breaches, Check(sa.call, at)...)
		}
	}
	ru.cell(bl, sm.Service.Name).add(sa, bl.Number, ru.ex.Grace)
	ru.note(sa)
}

// note keeps the key of a not-repeatable query for the count at the end, and
// examples of broken promises and lost answers.
func (ru *Runner) note(sa sample) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if sa.call.Key != "" {
		word := sa.outcome.Word
		ru.keys[sa.call.Key] = word.Err == nil && word.Answer.Code.NotRun()
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

// close ends the block's faults, lets the tier settle and books what the
// backend servers counted since the block before.
func (ru *Runner) close(ctx context.Context, bl Block, streams []Stream) error {
	if err := ru.di.ClearFaults(ctx); err != nil {
		return err
	}
	if err := ru.ts.Sleep(ctx, ru.ex.Settle); err != nil {
		return err
	}
	counts, err := ru.di.Counts(ctx)
	if err != nil {
		return err
	}
	for _, sp := range ru.ex.Servers() {
		ke := cellKey{phase: bl.Phase, arm: bl.Arm, group: sp.Service.Name}
		ru.bills[ke] = ru.bills[ke].plus(spent(ru.counts[sp.Name], counts[sp.Name]))
	}
	ru.counts = counts
	groups := make(map[string]bool)
	for _, sm := range streams {
		if !groups[sm.Service.Name] {
			groups[sm.Service.Name] = true
			ru.cell(bl, sm.Service.Name).loaded += bl.Length
		}
	}
	return nil
}

// spent returns what was counted between two counts.
func spent(before, after leaf.Counts) bill {
	return bill{
		requests:  after.Requests - before.Requests,
		sheds:     after.Replies[backend.ReplyShed] - before.Replies[backend.ReplyShed],
		overLimit: after.OverLimit - before.OverLimit,
	}
}

// report gathers the lines of all phases but the warm-up.
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
	re.Promises = ru.promises()
	return re
}

func (ru *Runner) lines(pi, ai int, ph Phase, ar Arm) []Line {
	var lis []Line
	var ces []*cell
	var sum bill
	for _, se := range ru.ex.Services {
		ke := cellKey{phase: pi, arm: ai, group: se.Name}
		li := ru.cells[ke].line(ph.Name, ar.Name, se.Name, ru.bills[ke])
		if ph.Surge.Service == se.Name {
			li.Capacity = se.Capacity() * float64(se.Count)
		}
		lis = append(lis, li)
		ces = append(ces, ru.cells[ke])
		sum = sum.plus(ru.bills[ke])
	}
	if len(lis) > 1 {
		lis = append(lis, merged(ces).line(ph.Name, ar.Name, AllGroups, sum))
	}
	return lis
}

// promises sums over the whole run, the warm-up included.
func (ru *Runner) promises() Promises {
	var pr Promises
	for _, ce := range ru.cells {
		pr.MixedAnswers += ce.breaches[Mixed]
		pr.WrongAnswers += ce.breaches[WrongAnswer]
		pr.FalseCoverage += ce.breaches[FalseCoverage]
	}
	for _, bi := range ru.bills {
		pr.OverLimit += bi.overLimit
	}
	return judge(pr, ru.ex.Servers(), ru.counts, ru.keys)
}

// judge compares the tier's word on each key with what the backend servers ran,
// and adds what it finds. A key may run once on each shard, whichever replica
// takes it.
func judge(pr Promises, specs []ServerSpec, counts map[string]leaf.Counts, keys map[string]bool) Promises {
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
	pr.Keys, pr.Ran, pr.RanTwice = len(keys), len(ran), len(twice)
	for key, notRun := range keys {
		if notRun && ran[key] {
			pr.NotRunRan++
		}
	}
	return pr
}
