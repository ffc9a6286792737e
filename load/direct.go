package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"balsamwinch.example/backend"
	"balsamwinch.example/leaf"
	"balsamwinch.example/timer"
)

// directTimeout bounds one request of the director.
const directTimeout = 10 * time.Second

// Director brings faults about in a tier and reads what the backend servers
// counted.
type FaultInjector struct {
	hc    *http.Client
	ts    *timer.Service
	ti    Tier
	specs []ServerSpec

	mu     sync.Mutex
	active map[int]Misbehaviour // active holds the misbehaviours in force by their place in the phase.
	down   map[string]bool      // down holds the killed backend servers.
	buried map[string]leaf.Counts
	split  map[string]bool   // split holds the services whose second partition map is the newest.
	newest map[string]uint64 // newest is the newest index version of each service.
	killed int               // killed counts instance kills, to take instances in turn.
	gone   map[int]int       // gone maps the place of an instance's loss to the instance's number.
}

// NewDirector returns a director of the tier that was started for the experiment.
func NewFaultInjector(ts *timer.Service, ti Tier, ex Experiment) *FaultInjector {
	return &FaultInjector{
		hc:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: directTimeout},
		ts:     ts,
		ti:     ti,
		specs:  ex.Servers(),
		active: make(map[int]Misbehaviour),
		down:   make(map[string]bool),
		buried: make(map[string]leaf.Counts),
		split:  make(map[string]bool),
		newest: make(map[string]uint64),
		gone:   make(map[int]int),
	}
}

// Apply carries out a step of a phase's schedule.
func (di *FaultInjector) Apply(ctx context.Context, st Step) error {
	di.mu.Lock()
	defer di.mu.Unlock()
	switch fa := st.Fault.(type) {
	case Misbehaviour:
		return di.misbehave(ctx, st, fa)
	case Loss:
		return di.lose(ctx, fa.Target, st.Ends)
	case Publication:
		return di.publish(ctx, fa.Target, fa.Stagger)
	case Split:
		return di.repartition(ctx, fa)
	case InstanceLoss:
		return di.loseInstance(ctx, st, fa)
	default:
		return fmt.Errorf("unknown fault %T", fa)
	}
}

// Calm ends every fault that is still in force.
func (di *FaultInjector) ClearFaults(ctx context.Context) error {
	di.mu.Lock()
	defer di.mu.Unlock()
	for ix, mi := range maps.Clone(di.active) {
		if err := di.misbehave(ctx, Step{Index: ix, Ends: true}, mi); err != nil {
			return err
		}
	}
	if err := di.lose(ctx, Target{}, true); err != nil {
		return err
	}
	for ix := range maps.Clone(di.gone) {
		if err := di.loseInstance(ctx, Step{Index: ix, Ends: true}, InstanceLoss{}); err != nil {
			return err
		}
	}
	return nil
}

// misbehave gives each backend server that the fault concerns the sum of the
// misbehaviours in force.
func (di *FaultInjector) misbehave(ctx context.Context, st Step, mi Misbehaviour) error {
	if st.Ends {
		delete(di.active, st.Index)
	} else {
		di.active[st.Index] = mi
	}
	return di.each(ctx, mi.Target, func(ctx context.Context, sp ServerSpec, address string) error {
		return di.post(ctx, address, leaf.FaultsPath, di.faultsOf(sp), nil)
	})
}

func (di *FaultInjector) faultsOf(sp ServerSpec) leaf.Faults {
	var fa leaf.Faults
	for _, mi := range di.active {
		if mi.Target.Matches(sp) {
			fa = sumFaults(fa, mi.Faults)
		}
	}
	return fa
}

func sumFaults(aa, bb leaf.Faults) leaf.Faults {
	return leaf.Faults{
		SlowShare:  max(aa.SlowShare, bb.SlowShare),
		SlowFactor: max(aa.SlowFactor, bb.SlowFactor),
		Stuck:      aa.Stuck || bb.Stuck,
		Silent:     aa.Silent || bb.Silent,
		SilentHeld: aa.SilentHeld || bb.SilentHeld,
		Shed:       max(aa.Shed, bb.Shed),
		Crossed:    max(aa.Crossed, bb.Crossed),
		Doubled:    max(aa.Doubled, bb.Doubled),
		Cut:        max(aa.Cut, bb.Cut),
		Lost:       max(aa.Lost, bb.Lost),
		Lie:        aa.Lie || bb.Lie,
	}
}

func (di *FaultInjector) lose(ctx context.Context, ta Target, ends bool) error {
	for _, sp := range di.specs {
		if !ta.Matches(sp) || di.down[sp.Name] != ends {
			continue
		}
		ki, ok := di.ti.(Killer)
		if !ok {
			return fmt.Errorf("backend server %s can't be killed in this tier", sp.Name)
		}
		if err := di.killOrStart(ctx, ki, sp, ends); err != nil {
			return err
		}
	}
	return nil
}

func (di *FaultInjector) killOrStart(ctx context.Context, ki Killer, sp ServerSpec, start bool) error {
	if start {
		delete(di.down, sp.Name)
		if err := ki.StartLeaf(ctx, sp.Name); err != nil {
			return err
		}
		return di.catchUp(ctx, sp)
	}
	co, err := ki.KillLeaf(ctx, sp.Name)
	if err != nil {
		return err
	}
	di.down[sp.Name] = true
	di.buried[sp.Name] = sumCounts(di.buried[sp.Name], co)
	return nil
}

// catchUp gives a backend server that began anew the newest snapshot of its
// service.
func (di *FaultInjector) catchUp(ctx context.Context, sp ServerSpec) error {
	version := di.newest[sp.Label]
	if version == 0 {
		return nil
	}
	return di.each(ctx, Target{Service: sp.Service.Name}, func(ctx context.Context, ot ServerSpec, address string) error {
		if ot.Name != sp.Name {
			return nil
		}
		return di.post(ctx, address, leaf.PartitionsPath, di.snapshotOf(sp, version), nil)
	})
}

// snapshotOf returns what a backend server holds of an index version.
func (di *FaultInjector) snapshotOf(sp ServerSpec, version uint64) leaf.NewPartition {
	partition := uint64(wholeMap)
	if di.split[sp.Label] {
		partition = splitMap
	}
	return leaf.NewPartition{Partition: partition, Version: version, Shards: sp.Service.held(sp.Shard, partition)}
}

func (di *FaultInjector) loseInstance(ctx context.Context, st Step, il InstanceLoss) error {
	ki, ok := di.ti.(Killer)
	if !ok {
		return fmt.Errorf("instance %d can't be killed in this tier", il.Number)
	}
	if nu, dead := di.gone[st.Index]; dead {
		delete(di.gone, st.Index)
		if err := ki.StartInstance(ctx, nu); err != nil || st.Ends {
			return err
		}
	}
	if st.Ends {
		return nil
	}
	nu := il.Number
	if nu == 0 {
		nu = di.killed%len(di.ti.Addresses()) + 1
		di.killed++
	}
	di.gone[st.Index] = nu
	return ki.KillInstance(ctx, nu)
}

// publish gives every backend server the next index version of the partition
// map that its service has.
func (di *FaultInjector) publish(ctx context.Context, ta Target, stagger time.Duration) error {
	versions := di.next(ta)
	return di.each(ctx, ta, func(ctx context.Context, sp ServerSpec, address string) error {
		if err := di.stagger(ctx, stagger); err != nil {
			return err
		}
		return di.post(ctx, address, leaf.PartitionsPath, di.snapshotOf(sp, versions[sp.Label]), nil)
	})
}

// repartition changes each service to its other partition map, with a new index
// version.
func (di *FaultInjector) repartition(ctx context.Context, pa Split) error {
	changed := make(map[string]bool)
	for _, sp := range di.specs {
		if pa.Target.Matches(sp) && !changed[sp.Label] {
			changed[sp.Label] = true
			di.split[sp.Label] = !di.split[sp.Label]
		}
	}
	return di.publish(ctx, pa.Target, pa.Stagger)
}

// next raises the index version of each service that the target concerns.
func (di *FaultInjector) next(ta Target) map[string]uint64 {
	versions := make(map[string]uint64)
	for _, sp := range di.specs {
		if _, ok := versions[sp.Label]; ok || !ta.Matches(sp) {
			continue
		}
		di.newest[sp.Label] = max(1, di.newest[sp.Label]) + 1
		versions[sp.Label] = di.newest[sp.Label]
	}
	return versions
}

func (di *FaultInjector) stagger(ctx context.Context, most time.Duration) error {
	if most <= 0 {
		return nil
	}
	return di.ts.Sleep(ctx, rand.N(most))
}

// each calls fn for the backend servers that the target concerns and that run,
// all at once.
func (di *FaultInjector) each(ctx context.Context, ta Target, fn func(ctx context.Context, sp ServerSpec, address string) error) error {
	addresses := make(map[string]string)
	for _, ls := range di.ti.Leafs() {
		addresses[ls.Server] = ls.ControlAddress
	}
	gr, ctx := errgroup.WithContext(ctx)
	for _, sp := range di.specs {
		address, ok := addresses[sp.Name]
		if !ok || di.down[sp.Name] || !ta.Matches(sp) {
			continue
		}
		gr.Go(func() error { return fn(ctx, sp, address) })
	}
	return gr.Wait()
}

// Counts returns what each backend server has counted since it first started.
func (di *FaultInjector) Counts(ctx context.Context) (map[string]leaf.Counts, error) {
	di.mu.Lock()
	defer di.mu.Unlock()
	var mu sync.Mutex
	all := maps.Clone(di.buried)
	err := di.each(ctx, Target{}, func(ctx context.Context, sp ServerSpec, address string) error {
		var co leaf.Counts
		if err := di.exchange(ctx, http.MethodGet, "http://"+address+leaf.CountsPath, nil, &co); err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		all[sp.Name] = sumCounts(all[sp.Name], co)
		return nil
	})
	return all, err
}

// sumCounts adds what an experiment needs of two counts of one backend server.
func sumCounts(aa, bb leaf.Counts) leaf.Counts {
	sum := leaf.Counts{
		Requests:  aa.Requests + bb.Requests,
		OverLimit: aa.OverLimit + bb.OverLimit,
		Replies:   make(map[backend.ReplyCode]int),
		Executed:  make(map[string]int),
	}
	for _, co := range []leaf.Counts{aa, bb} {
		for code, nu := range co.Replies {
			sum.Replies[code] += nu
		}
		for key, nu := range co.Executed {
			sum.Executed[key] += nu
		}
	}
	return sum
}

func (di *FaultInjector) post(ctx context.Context, address, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return di.exchange(ctx, http.MethodPost, "http://"+address+path, data, out)
}

func (di *FaultInjector) exchange(ctx context.Context, method, target string, body []byte, out any) error {
	rq, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	rs, err := di.hc.Do(rq)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	switch {
	case err != nil:
		return err
	case rs.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: status %d: %s", target, rs.StatusCode, bytes.TrimSpace(data))
	case out == nil:
		return nil
	default:
		return json.Unmarshal(data, out)
	}
}
