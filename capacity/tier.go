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
	// tierLease shortens the start, at which a leader waits for a lease's length.
	// What is measured depends on the renewals alone.
	tierLease = 2 * time.Second
	tierFiles = 27 // tierFiles is the size of the larger folder of today.
)

// limitsFile admits more instances than any trial has, restarted ones included.
var limitsFile = operator.File{Name: "limits.yaml", Content: []byte("Limits:\n  MaxEntries: 2000\n")}

// tier is a tier in this process whose instances speak over the network. The
// first of them are voters and entries, the others only entries.
type tier struct {
	lo     *instance.Local
	ts     *timer.Service
	folder string
	size   int
	held   float64 // held is what was held before the tier was started.
}

func startTier(ctx context.Context, size int) (*tier, error) {
	folder, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return nil, err
	}
	ti := &tier{ts: timer.New(), folder: folder, size: size, held: held()}
	tm := settings.NewInstance().Timing
	tm.Lease = tierLease
	ti.lo, err = instance.StartLocal(instance.LocalConfig{
		Instances: size, ControlInstances: voters, Region: "local", DataCentres: []string{"a", "b", "c"}, Folder: folder, Timing: tm,
	}, ti.ts, zap.NewNop())
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, err
	}
	if err := ti.form(ctx); err != nil {
		ti.close()
		return nil, err
	}
	return ti, nil
}

func (ti *tier) form(ctx context.Context) error {
	if err := ti.lo.Wait(ctx, ti.serves); err != nil {
		return err
	}
	fis := []operator.File{limitsFile}
	for ix := range tierFiles - 1 {
		fis = append(fis, serviceFile(ix, 100))
	}
	return ti.lo.Apply(ctx, "folder", fis)
}

// serves reports whether an instance holds a lease and knows all the others.
func (ti *tier) serves(in *instance.Instance) bool {
	vi := in.View()
	return vi.Leased(ti.ts.Now()) && len(vi.Instances) == ti.size
}

// close kills the instances: a graceful stop would wait for address lists.
func (ti *tier) close() {
	ti.kill(0)
	_ = os.RemoveAll(ti.folder)
}

// kill kills the instances from the given index on, together.
func (ti *tier) kill(from int) {
	var wg sync.WaitGroup
	for ix := from; ix < ti.size; ix++ {
		wg.Go(func() { _ = ti.lo.Kill(ix) })
	}
	wg.Wait()
}

// reading is what instances have sent and received, by instance, and spent.
type reading struct {
	when      time.Time
	processor time.Duration
	control   []peer.Traffic // control holds the messages of the replicated log as well.
	member    []peer.Traffic
	dialled   []float64
}

func (ti *tier) read() reading {
	rd := reading{when: time.Now(), processor: processorTime()}
	for _, in := range ti.lo.Instances() {
		co := in.Counters()
		rd.control = append(rd.control, co.Control)
		rd.member = append(rd.member, co.Member)
		rd.dialled = append(rd.dialled, float64(co.Dialled))
	}
	return rd
}

// flow is traffic in both directions.
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

// spending is what happened between two readings.
type spending struct {
	seconds         float64
	processorMillis float64 // processorMillis is that of the whole process.
	control, member []flow  // control and member are by instance.
	dialled         []float64
}

func (rd reading) until(la reading) spending {
	sp := spending{seconds: la.when.Sub(rd.when).Seconds(), processorMillis: micros(la.processor-rd.processor) / 1000}
	for ix := range rd.control {
		sp.control = append(sp.control, flowBetween(rd.control[ix], la.control[ix]))
		sp.member = append(sp.member, flowBetween(rd.member[ix], la.member[ix]))
		sp.dialled = append(sp.dialled, la.dialled[ix]-rd.dialled[ix])
	}
	return sp
}

// mean returns the mean of flows.
func mean(fls []flow) flow {
	var all flow
	for _, fl := range fls {
		all = all.plus(fl)
	}
	return all.times(1 / float64(len(fls)))
}

// leader returns the control flow of the busiest voter.
func (sp spending) leader() flow {
	return slices.MaxFunc(sp.control[:voters], func(aa, bb flow) int { return int(aa.bytes - bb.bytes) })
}

// watch lets a time pass in which nothing is done to the tier.
func (ti *tier) watch(ctx context.Context, window time.Duration) (spending, error) {
	before := ti.read()
	if err := ti.ts.Sleep(ctx, window); err != nil {
		return spending{}, err
	}
	return before.until(ti.read()), nil
}

// tiers measures whole instances: what they spend while nothing changes, what a
// change of the configuration takes, and what a restart costs the others.
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
		Sample: takeTiers,
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
	if _, err := ti.watch(ctx, tr.Window/2); err != nil {
		return nil, err
	}
	bytesHeld := held() - ti.held
	quiet, err := ti.watch(ctx, tr.Window)
	if err != nil {
		return nil, err
	}
	each := 1 / quiet.seconds
	co, me, le := mean(quiet.control[voters:]).times(each), mean(quiet.member[voters:]).times(each), quiet.leader().times(each)
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

// change changes one file several times and returns what one change costs.
func (ti *tier) change(ctx context.Context, quiet spending) ([]float64, error) {
	const changes = 10
	before := ti.read()
	var took []float64
	for ix := range changes {
		start := time.Now()
		fi := serviceFile(ix, 200)
		if err := ti.lo.Apply(ctx, fmt.Sprintf("change-%d", ix), []operator.File{fi}); err != nil {
			return nil, err
		}
		took = append(took, micros(time.Since(start))/1000)
	}
	sp := before.until(ti.read())
	share := sp.seconds / quiet.seconds
	entry := mean(sp.control[voters:]).bytes - mean(quiet.control[voters:]).bytes*share
	processor := (sp.processorMillis - quiet.processorMillis*share) / float64(ti.size)
	return []float64{entry / changes, processor / changes, quantileOf(took, 0.5), slices.Max(took)}, nil
}

// restartCost is what a restart cost those that were not restarted.
type restartCost struct {
	others  flow // others is what each entry among them sent and received beyond quiet.
	dialled float64
	seconds float64 // seconds is how long it took from the start until all served.
}

// restart kills the last instances without a warning and starts them again.
func (ti *tier) restart(ctx context.Context, quiet spending, count int) (restartCost, error) {
	const settle = 500 * time.Millisecond
	before := ti.read()
	stay := ti.size - count
	ti.kill(stay)
	began := time.Now()
	for ix := stay; ix < ti.size; ix++ {
		if err := ti.lo.Restart(ix); err != nil {
			return restartCost{}, err
		}
	}
	if err := ti.lo.Wait(ctx, ti.serves); err != nil {
		return restartCost{}, err
	}
	rc := restartCost{seconds: time.Since(began).Seconds()}
	if err := ti.ts.Sleep(ctx, settle); err != nil {
		return rc, err
	}
	sp := before.until(ti.read())
	rc.others = mean(sp.member[voters:stay]).plus(mean(quiet.member[voters:stay]).times(-sp.seconds / quiet.seconds))
	for ix := range stay {
		rc.dialled += sp.dialled[ix]
	}
	return rc, nil
}
