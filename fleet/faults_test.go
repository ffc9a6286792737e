package fleet

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

var (
	rounds = flag.Int("rounds", 10, "number of faults in TestRequestsSucceedDuringFaults and TestRecoveryFromOverlappingFaults")
	seed   = flag.Uint64("seed", 1, "seed of the faults in TestRequestsSucceedDuringFaults and TestRecoveryFromOverlappingFaults")
)

// workload proposes and reads at all instances and checks their answers.
type workload struct {
	gr           *group
	acknowledged atomic.Uint64
	next         atomic.Uint64
	reads        atomic.Int64
	wg           sync.WaitGroup
	mu           sync.Mutex
	failure      string
}

func (wl *workload) fail(format string, args ...any) {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	if wl.failure == "" {
		wl.failure = fmt.Sprintf(format, args...)
	}
}

// propose proposes increasing versions.
func (wl *workload) propose(ctx context.Context, in *instance) {
	for ctx.Err() == nil {
		version := wl.next.Add(1)
		// A stopped process never answers; its successor is asked next.
		attemptCtx, cancel := context.WithTimeout(ctx, 10*testElectionTimeout)
		err := in.node().Propose(attemptCtx, version, fmt.Append(nil, "document ", version))
		cancel()
		if err != nil {
			continue
		}
		for was := wl.acknowledged.Load(); was < version && !wl.acknowledged.CompareAndSwap(was, version); {
			was = wl.acknowledged.Load()
		}
	}
}

// read checks that no read is older than a version acknowledged before it began.
func (wl *workload) read(ctx context.Context, in *instance) {
	for ctx.Err() == nil {
		least := wl.acknowledged.Load()
		attemptCtx, cancel := context.WithTimeout(ctx, 2*testElectionTimeout)
		version, data, err := in.node().Read(attemptCtx)
		cancel()
		if err != nil {
			continue
		}
		wl.reads.Add(1)
		if version < least || version > 0 && string(data) != fmt.Sprint("document ", version) {
			wl.fail("%s reads version %d (%q) after %d was acknowledged", in.name, version, data, least)
		}
	}
}

// startWorkload makes all instances propose and read until the returned function is called,
// which then checks the answers.
func (gr *group) startWorkload() (wl *workload, stop func()) {
	wl = &workload{gr: gr}
	ctx, cancel := context.WithCancel(gr.ctx)
	for _, in := range gr.all {
		wl.wg.Go(func() { wl.propose(ctx, in) })
		wl.wg.Go(func() { wl.read(ctx, in) })
	}
	return wl, func() {
		cancel()
		wl.wg.Wait()
		gr.c.Assert(wl.failure, qt.Equals, "")
		gr.c.Assert(wl.reads.Load() > 0, qt.IsTrue)
		for _, in := range gr.all {
			in.ob.mu.Lock()
			gr.c.Check(slices.IsSorted(in.ob.versions), qt.IsTrue)
			in.ob.mu.Unlock()
		}
	}
}

// awaitProgress waits until further documents are committed.
func (wl *workload) awaitProgress(what string) {
	before := wl.acknowledged.Load()
	wl.gr.await("documents are committed while "+what, func() bool { return wl.acknowledged.Load() > before+20 })
}

// awaitCaughtUp waits until all voters run and have committed what the leader has.
func (gr *group) awaitCaughtUp() {
	gr.awaitVoters(3)
	var commit uint64
	gr.await("the leader commits", func() bool {
		le := gr.leader()
		if le != nil {
			commit = le.nd.Status().Commit
		}
		return le != nil
	})
	gr.await("all voters have caught up", func() bool {
		ins := gr.votersRunning()
		return len(ins) == 3 && !slices.ContainsFunc(ins, func(in *instance) bool {
			st := in.nd.Status()
			return st.Commit < commit || st.Role != "Follower" && st.Role != "Leader"
		})
	})
}

// The kinds of faults.
const (
	faultStop = iota
	faultIsolate
	faultDiskFull
	faultDiskHang
	faultDiskLost
	numFaultKinds
)

// injectFault makes an instance fail and returns a function that ends the fault.
func (in *instance) injectFault(kind int) (what string, end func()) {
	switch kind {
	case faultStop:
		in.stop()
		return "is stopped", func() { in.run(false) }
	case faultIsolate:
		in.gr.network.isolate(in, in.gr.all)
		return "is cut off", in.gr.network.heal
	case faultDiskFull:
		in.disk.setFull(true)
		return "has a full disk", func() { in.disk.setFull(false) }
	case faultDiskHang:
		return "has a disk that hangs", in.disk.hangSyncs()
	default:
		in.loseDisk()
		in.run(false)
		return "lost its disk", func() {}
	}
}

// Documents are proposed continuously while one instance at a time is stopped or isolated,
// loses its disk, or has a disk that hangs or is full. No instance may answer a read with a
// version older than one acknowledged before the read, and proposals must still be
// acknowledged during each fault.
func TestRequestsSucceedDuringFaults(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 2)
	wl, stop := gr.startWorkload()
	rd := rand.New(rand.NewPCG(*seed, 0))
	for range *rounds {
		gr.awaitCaughtUp()
		in := gr.leader()
		if in == nil || rd.IntN(3) == 0 {
			in = gr.all[rd.IntN(len(gr.all))]
		}
		what, end := in.injectFault(rd.IntN(numFaultKinds))
		gr.lg.Info("fault", zap.String("What", in.name+" "+what))
		wl.awaitProgress(in.name + " " + what)
		end()
	}
	wl.awaitProgress("no fault is active")
	stop()
}

// More instances fail at a time than the group tolerates, but at most one disk is lost.
// Proposals may fail meanwhile. Once all instances are back the group must commit proposals
// again, and at no time may a read be older than a version acknowledged before it.
func TestRecoveryFromOverlappingFaults(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 2)
	wl, stop := gr.startWorkload()
	rd := rand.New(rand.NewPCG(*seed, 1))
	for range *rounds {
		gr.awaitCaughtUp()
		var ends []func()
		kinds := numFaultKinds
		for _, po := range rd.Perm(len(gr.all))[:1+rd.IntN(len(gr.all))] {
			in := gr.all[po]
			kind := rd.IntN(kinds)
			if kind == faultDiskLost {
				kinds = faultDiskLost // At most one disk is lost.
			}
			what, end := in.injectFault(kind)
			gr.lg.Info("fault", zap.String("What", in.name+" "+what))
			ends = append(ends, end)
			// The next fault starts at any time, also during an election.
			_ = gr.ts.Sleep(gr.ctx, time.Duration(rd.IntN(int(2*testElectionTimeout))))
		}
		_ = gr.ts.Sleep(gr.ctx, time.Duration(rd.IntN(int(6*testElectionTimeout))))
		for _, end := range ends {
			end()
		}
		gr.lg.Info("all-back")
		wl.awaitProgress("all are back")
	}
	stop()
}
