package capacity

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/instance"
	"balsamwinch.example/operator"
	"balsamwinch.example/peer"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
)

const (
	voters = 3
	// tierTimeout bounds a trial with a tier.
	tierTimeout = 2 * time.Minute
	// tierLease is short because a leader waits for the length of a lease at its start. The
	// measured values depend only on the interval of the renewals.
	tierLease    = 2 * time.Second
	currentFiles = 27 // files in the larger current folder
)

// limitsFile allows more entries than any trial has, including those restarted.
var limitsFile = operator.File{Name: "limits.yaml", Content: []byte("Limits:\n  MaxEntries: 2000\n")}

// tier is a tier in this process whose instances communicate over the network. The first
// instances are voters and entries, the others only entries.
type tier struct {
	lo            *instance.Local
	ts            *timer.Service
	folder        string
	size          int
	baselineBytes float64 // live bytes before the tier was started
}

func startTier(ctx context.Context, size int) (*tier, error) {
	folder, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return nil, err
	}
	ti := &tier{ts: timer.New(), folder: folder, size: size, baselineBytes: liveBytes()}
	tm := settings.NewInstance().Timing
	tm.Lease = tierLease
	ti.lo, err = instance.StartLocal(instance.LocalConfig{
		Instances: size, ControlInstances: voters, Region: "local", DataCentres: []string{"a", "b", "c"}, Folder: folder, Timing: tm,
	}, ti.ts, zap.NewNop())
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, err
	}
	if err := ti.configure(ctx); err != nil {
		ti.close()
		return nil, err
	}
	return ti, nil
}

func (ti *tier) configure(ctx context.Context) error {
	if err := ti.lo.Wait(ctx, ti.isReady); err != nil {
		return err
	}
	fis := []operator.File{limitsFile}
	for ix := range currentFiles - 1 {
		fis = append(fis, serviceFile(ix, 100))
	}
	return ti.lo.Apply(ctx, "folder", fis)
}

// isReady reports whether an instance holds a lease and knows all instances.
func (ti *tier) isReady(in *instance.Instance) bool {
	vi := in.View()
	return vi.Leased(ti.ts.Now()) && len(vi.Instances) == ti.size
}

// close kills the instances, because a graceful stop would wait until address lists have
// expired.
func (ti *tier) close() {
	ti.kill(0)
	_ = os.RemoveAll(ti.folder)
}

// kill kills the instances from the given index on, all at the same time.
func (ti *tier) kill(from int) {
	var wg sync.WaitGroup
	for ix := from; ix < ti.size; ix++ {
		wg.Go(func() { _ = ti.lo.Kill(ix) })
	}
	wg.Wait()
}

// sample holds the counters of all instances at one time. The slices are indexed by instance.
type sample struct {
	when      time.Time
	processor time.Duration
	control   []peer.Traffic // includes messages of the replicated log
	member    []peer.Traffic
	dialled   []float64
}

func (ti *tier) takeSample() sample {
	sa := sample{when: time.Now(), processor: processorTime()}
	for _, in := range ti.lo.Instances() {
		co := in.Counters()
		sa.control = append(sa.control, co.Control)
		sa.member = append(sa.member, co.Member)
		sa.dialled = append(sa.dialled, float64(co.Dialled))
	}
	return sa
}

// flow is the sum of the traffic in both directions.
type flow struct {
	messages, bytes float64
}

func flowBetween(from, to peer.Traffic) flow {
	return flow{
		messages: float64(to.MessagesIn + to.MessagesOut - from.MessagesIn - from.MessagesOut),
		bytes:    float64(to.BytesIn + to.BytesOut - from.BytesIn - from.BytesOut),
	}
}

func (fl flow) plus(ot flow) flow {
	return flow{messages: fl.messages + ot.messages, bytes: fl.bytes + ot.bytes}
}

func (fl flow) times(factor float64) flow {
	return flow{messages: fl.messages * factor, bytes: fl.bytes * factor}
}

// usage is the difference of two samples.
type usage struct {
	seconds         float64
	processorMillis float64 // of the whole process
	control, member []flow  // by instance
	dialled         []float64
}

func (sa sample) usageUntil(later sample) usage {
	us := usage{seconds: later.when.Sub(sa.when).Seconds(), processorMillis: micros(later.processor-sa.processor) / 1000}
	for ix := range sa.control {
		us.control = append(us.control, flowBetween(sa.control[ix], later.control[ix]))
		us.member = append(us.member, flowBetween(sa.member[ix], later.member[ix]))
		us.dialled = append(us.dialled, later.dialled[ix]-sa.dialled[ix])
	}
	return us
}

// mean returns the mean of flows.
func mean(fls []flow) flow {
	var all flow
	for _, fl := range fls {
		all = all.plus(fl)
	}
	return all.times(1 / float64(len(fls)))
}

// leaderFlow returns the control flow of the voter with the most traffic, which is taken to be
// the leader.
func (us usage) leaderFlow() flow {
	return slices.MaxFunc(us.control[:voters], func(aa, bb flow) int { return int(aa.bytes - bb.bytes) })
}

// observe returns the usage during a window without changes.
func (ti *tier) observe(ctx context.Context, window time.Duration) (usage, error) {
	before := ti.takeSample()
	if err := ti.ts.Sleep(ctx, window); err != nil {
		return usage{}, err
	}
	return before.usageUntil(ti.takeSample()), nil
}

// tiers measures complete instances: their usage without changes, the cost of a configuration
// change, and the cost of a restart for the other instances.
func tiers() Measurement {
	return Measurement{
		Name: "instance/tiers", SizeUnit: "instances", Sizes: []int{6, 15, 30}, Quick: []int{5, 7, 9}, Target: TargetInstances,
		Columns: []Column{
			{"entry", "control, nothing changes", "messages a second", Constant},
			{"entry", "control, nothing changes", "bytes a second", Linear},
			{"entry", "membership, nothing changes", "messages a second", Constant},
			{"entry", "membership, nothing changes", "bytes a second", Constant},
			{"leader", "control and replicated log, nothing changes", "messages a second", Linear},
			{"leader", "control and replicated log, nothing changes", "bytes a second for each instance", Linear},
			{"instance", "nothing changes, all together: each is an entry, the base is the voters", "processor ms a second", Linear},
			{"instance", "whole instance without records, mean over all", "bytes held", Constant},
			{"entry", "a change of one file of 27, beyond quiet", "control bytes", Linear},
			{"instance", "a change of one file of 27, mean over all", "processor ms", Constant},
			{"leader", "a change, from sending to accepted everywhere", "ms at the median", Constant},
			{"leader", "a change, from sending to accepted everywhere", "ms at most", Constant},
			{"instance", "restart of an instance: membership at each other one, beyond quiet", "messages", Constant},
			{"instance", "restart of an instance: membership at each other one, beyond quiet", "bytes", Constant},
			{"instance", "restart of an instance: connections that others make again", "connections", Constant},
			{"instance", "restart of an instance until it serves", "seconds", Constant},
			{"instance", "restart of a third together: membership at each other one, for each of them", "bytes", Constant},
			{"instance", "restart of a third together until all serve", "seconds", Constant},
		},
		Take: takeTiers,
	}
}

func takeTiers(ctx context.Context, tr Trial) ([]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, tierTimeout)
	defer cancel()
	ti, err := startTier(ctx, tr.Size)
	if err != nil {
		return nil, err
	}
	defer ti.close()
	if _, err := ti.observe(ctx, tr.Window/2); err != nil {
		return nil, err
	}
	bytesHeld := liveBytes() - ti.baselineBytes
	quiet, err := ti.observe(ctx, tr.Window)
	if err != nil {
		return nil, err
	}
	each := 1 / quiet.seconds
	co, me, le := mean(quiet.control[voters:]).times(each), mean(quiet.member[voters:]).times(each), quiet.leaderFlow().times(each)
	vas := []float64{
		co.messages, co.bytes, me.messages, me.bytes, le.messages, le.bytes / float64(tr.Size),
		quiet.processorMillis * each, bytesHeld / float64(tr.Size),
	}
	changed, err := ti.change(ctx, quiet)
	if err != nil {
		return nil, err
	}
	one, err := ti.restart(ctx, quiet, 1)
	if err != nil {
		return nil, err
	}
	third := tr.Size / 3
	many, err := ti.restart(ctx, quiet, third)
	if err != nil {
		return nil, err
	}
	vas = append(vas, changed...)
	return append(vas, one.others.messages, one.others.bytes, one.dialled, one.seconds, many.others.bytes/float64(third), many.seconds), nil
}

// change changes one file several times and returns the cost per change.
func (ti *tier) change(ctx context.Context, quiet usage) ([]float64, error) {
	const changes = 10
	before := ti.takeSample()
	var took []float64
	for ix := range changes {
		start := time.Now()
		fi := serviceFile(ix, 200)
		if err := ti.lo.Apply(ctx, fmt.Sprintf("change-%d", ix), []operator.File{fi}); err != nil {
			return nil, err
		}
		took = append(took, micros(time.Since(start))/1000)
	}
	us := before.usageUntil(ti.takeSample())
	share := us.seconds / quiet.seconds
	entry := mean(us.control[voters:]).bytes - mean(quiet.control[voters:]).bytes*share
	processor := (us.processorMillis - quiet.processorMillis*share) / float64(ti.size)
	return []float64{entry / changes, processor / changes, quantileOf(took, 0.5), slices.Max(took)}, nil
}

// restartCost is the cost of a restart for the instances that were not restarted.
type restartCost struct {
	others  flow // mean traffic of an entry, without the quiet traffic
	dialled float64
	seconds float64 // time from the start until all instances are ready
}

// restart kills the last count instances without notice and starts them again.
func (ti *tier) restart(ctx context.Context, quiet usage, count int) (restartCost, error) {
	const settle = 500 * time.Millisecond
	before := ti.takeSample()
	stay := ti.size - count
	ti.kill(stay)
	start := time.Now()
	for ix := stay; ix < ti.size; ix++ {
		if err := ti.lo.Restart(ix); err != nil {
			return restartCost{}, err
		}
	}
	if err := ti.lo.Wait(ctx, ti.isReady); err != nil {
		return restartCost{}, err
	}
	rc := restartCost{seconds: time.Since(start).Seconds()}
	if err := ti.ts.Sleep(ctx, settle); err != nil {
		return rc, err
	}
	us := before.usageUntil(ti.takeSample())
	rc.others = mean(us.member[voters:stay]).plus(mean(quiet.member[voters:stay]).times(-us.seconds / quiet.seconds))
	for ix := range stay {
		rc.dialled += us.dialled[ix]
	}
	return rc, nil
}
