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

// Limit for one request of the injector.
const injectorRequestTimeout = 10 * time.Second

// FaultInjector injects faults into a tier and reads the counters of the backend servers.
type FaultInjector struct {
	hc    *http.Client
	ts    *timer.Service
	ti    Tier
	specs []ServerSpec

	mu               sync.Mutex
	active           map[int]Misbehaviour // active misbehaviours, by index in the phase
	killed           map[string]bool      // killed backend servers
	countsBeforeKill map[string]leaf.Counts
	split            map[string]bool   // services that use the second partition map
	versions         map[string]uint64 // newest index version of each service
	numInstanceKills int               // number of instance kills, for round-robin
	killedInstances  map[int]int       // numbers of killed instances, by index of the fault in the phase
}

// NewFaultInjector returns an injector for the tier that was started for the experiment.
func NewFaultInjector(ts *timer.Service, ti Tier, ex Experiment) *FaultInjector {
	return &FaultInjector{
		hc:               &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: injectorRequestTimeout},
		ts:               ts,
		ti:               ti,
		specs:            ex.Servers(),
		active:           make(map[int]Misbehaviour),
		killed:           make(map[string]bool),
		countsBeforeKill: make(map[string]leaf.Counts),
		split:            make(map[string]bool),
		versions:         make(map[string]uint64),
		killedInstances:  make(map[int]int),
	}
}

// Apply applies a step of a phase's schedule.
func (fi *FaultInjector) Apply(ctx context.Context, st Step) error {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	switch fa := st.Fault.(type) {
	case Misbehaviour:
		return fi.setMisbehaviour(ctx, st, fa)
	case Loss:
		return fi.applyLoss(ctx, fa.Target, st.Ends)
	case Publication:
		return fi.publish(ctx, fa.Target, fa.Stagger)
	case Split:
		return fi.repartition(ctx, fa)
	case InstanceLoss:
		return fi.applyInstanceLoss(ctx, st, fa)
	default:
		return fmt.Errorf("unknown fault %T", fa)
	}
}

// ClearFaults ends every fault that is still active.
func (fi *FaultInjector) ClearFaults(ctx context.Context) error {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	for ix, mi := range maps.Clone(fi.active) {
		if err := fi.setMisbehaviour(ctx, Step{Index: ix, Ends: true}, mi); err != nil {
			return err
		}
	}
	if err := fi.applyLoss(ctx, Target{}, true); err != nil {
		return err
	}
	for ix := range maps.Clone(fi.killedInstances) {
		if err := fi.applyInstanceLoss(ctx, Step{Index: ix, Ends: true}, InstanceLoss{}); err != nil {
			return err
		}
	}
	return nil
}

// setMisbehaviour begins or ends a misbehaviour, and sends each backend server that it affects
// the combination of all active ones.
func (fi *FaultInjector) setMisbehaviour(ctx context.Context, st Step, mi Misbehaviour) error {
	if st.Ends {
		delete(fi.active, st.Index)
	} else {
		fi.active[st.Index] = mi
	}
	return fi.forEachServer(ctx, mi.Target, func(ctx context.Context, sp ServerSpec, address string) error {
		return fi.post(ctx, address, leaf.FaultsPath, fi.faultsOf(sp), nil)
	})
}

func (fi *FaultInjector) faultsOf(sp ServerSpec) leaf.Faults {
	var fa leaf.Faults
	for _, mi := range fi.active {
		if mi.Target.Matches(sp) {
			fa = combineFaults(fa, mi.Faults)
		}
	}
	return fa
}

func combineFaults(aa, bb leaf.Faults) leaf.Faults {
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

func (fi *FaultInjector) applyLoss(ctx context.Context, ta Target, ends bool) error {
	for _, sp := range fi.specs {
		if !ta.Matches(sp) || fi.killed[sp.Name] != ends {
			continue
		}
		ki, ok := fi.ti.(Killer)
		if !ok {
			return fmt.Errorf("backend server %s can't be killed in this tier", sp.Name)
		}
		if err := fi.killOrStartServer(ctx, ki, sp, ends); err != nil {
			return err
		}
	}
	return nil
}

func (fi *FaultInjector) killOrStartServer(ctx context.Context, ki Killer, sp ServerSpec, start bool) error {
	if start {
		delete(fi.killed, sp.Name)
		if err := ki.StartLeaf(ctx, sp.Name); err != nil {
			return err
		}
		return fi.restoreSnapshot(ctx, sp)
	}
	co, err := ki.KillLeaf(ctx, sp.Name)
	if err != nil {
		return err
	}
	fi.killed[sp.Name] = true
	fi.countsBeforeKill[sp.Name] = sumCounts(fi.countsBeforeKill[sp.Name], co)
	return nil
}

// restoreSnapshot gives a restarted backend server the newest snapshot of its service.
func (fi *FaultInjector) restoreSnapshot(ctx context.Context, sp ServerSpec) error {
	version := fi.versions[sp.Label]
	if version == 0 {
		return nil
	}
	return fi.forEachServer(ctx, Target{Service: sp.Service.Name}, func(ctx context.Context, ot ServerSpec, address string) error {
		if ot.Name != sp.Name {
			return nil
		}
		return fi.post(ctx, address, leaf.PartitionsPath, fi.snapshotOf(sp, version), nil)
	})
}

// snapshotOf returns what a backend server holds of an index version.
func (fi *FaultInjector) snapshotOf(sp ServerSpec, version uint64) leaf.NewPartition {
	partition := uint64(wholeMap)
	if fi.split[sp.Label] {
		partition = splitMap
	}
	return leaf.NewPartition{Partition: partition, Version: version, Shards: sp.Service.shardsHeld(sp.Shard, partition)}
}

func (fi *FaultInjector) applyInstanceLoss(ctx context.Context, st Step, il InstanceLoss) error {
	ki, ok := fi.ti.(Killer)
	if !ok {
		return fmt.Errorf("instance %d can't be killed in this tier", il.Number)
	}
	if nu, killed := fi.killedInstances[st.Index]; killed {
		delete(fi.killedInstances, st.Index)
		if err := ki.StartInstance(ctx, nu); err != nil || st.Ends {
			return err
		}
	}
	if st.Ends {
		return nil
	}
	nu := il.Number
	if nu == 0 {
		nu = fi.numInstanceKills%len(fi.ti.Addresses()) + 1
		fi.numInstanceKills++
	}
	fi.killedInstances[st.Index] = nu
	return ki.KillInstance(ctx, nu)
}

// publish gives every backend server the next index version of its service's current partition
// map.
func (fi *FaultInjector) publish(ctx context.Context, ta Target, stagger time.Duration) error {
	versions := fi.nextVersions(ta)
	return fi.forEachServer(ctx, ta, func(ctx context.Context, sp ServerSpec, address string) error {
		if err := fi.sleepStagger(ctx, stagger); err != nil {
			return err
		}
		return fi.post(ctx, address, leaf.PartitionsPath, fi.snapshotOf(sp, versions[sp.Label]), nil)
	})
}

// repartition switches each service to its other partition map, with a new index version.
func (fi *FaultInjector) repartition(ctx context.Context, fa Split) error {
	changed := make(map[string]bool)
	for _, sp := range fi.specs {
		if fa.Target.Matches(sp) && !changed[sp.Label] {
			changed[sp.Label] = true
			fi.split[sp.Label] = !fi.split[sp.Label]
		}
	}
	return fi.publish(ctx, fa.Target, fa.Stagger)
}

// nextVersions increments the index version of each service that the target selects.
func (fi *FaultInjector) nextVersions(ta Target) map[string]uint64 {
	versions := make(map[string]uint64)
	for _, sp := range fi.specs {
		if _, ok := versions[sp.Label]; ok || !ta.Matches(sp) {
			continue
		}
		fi.versions[sp.Label] = max(1, fi.versions[sp.Label]) + 1
		versions[sp.Label] = fi.versions[sp.Label]
	}
	return versions
}

func (fi *FaultInjector) sleepStagger(ctx context.Context, maxDelay time.Duration) error {
	if maxDelay <= 0 {
		return nil
	}
	return fi.ts.Sleep(ctx, rand.N(maxDelay))
}

// forEachServer calls fn concurrently for the running backend servers that the target selects.
func (fi *FaultInjector) forEachServer(ctx context.Context, ta Target, fn func(ctx context.Context, sp ServerSpec, address string) error) error {
	addresses := make(map[string]string)
	for _, ls := range fi.ti.Leafs() {
		addresses[ls.Server] = ls.ControlAddress
	}
	gr, ctx := errgroup.WithContext(ctx)
	for _, sp := range fi.specs {
		address, ok := addresses[sp.Name]
		if !ok || fi.killed[sp.Name] || !ta.Matches(sp) {
			continue
		}
		gr.Go(func() error { return fn(ctx, sp, address) })
	}
	return gr.Wait()
}

// Counts returns the counters of each backend server since its first start.
func (fi *FaultInjector) Counts(ctx context.Context) (map[string]leaf.Counts, error) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	var mu sync.Mutex
	all := maps.Clone(fi.countsBeforeKill)
	err := fi.forEachServer(ctx, Target{}, func(ctx context.Context, sp ServerSpec, address string) error {
		var co leaf.Counts
		if err := fi.exchange(ctx, http.MethodGet, "http://"+address+leaf.CountsPath, nil, &co); err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		all[sp.Name] = sumCounts(all[sp.Name], co)
		return nil
	})
	return all, err
}

// sumCounts adds two counts of one backend server, as far as an experiment uses them.
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

func (fi *FaultInjector) post(ctx context.Context, address, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return fi.exchange(ctx, http.MethodPost, "http://"+address+path, data, out)
}

func (fi *FaultInjector) exchange(ctx context.Context, method, target string, body []byte, out any) error {
	rq, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	rs, err := fi.hc.Do(rq)
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
