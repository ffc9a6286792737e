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
	rounds = flag.Int("rounds", 10, "faults in TestFaults and TestOverlappingFaults")
	seed   = flag.Uint64("seed", 1, "seed of the faults in TestFaults and TestOverlappingFaults")
)

// traffic proposes and reads at all instances and checks what they answer.
type traffic struct {
	gr           *group
	acknowledged atomic.Uint64
	next         atomic.Uint64
	reads        atomic.Int64
	wg           sync.WaitGroup
	mu           sync.Mutex
	fault        string
}

func (tr *traffic) fail(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.fault == "" {
		tr.fault = fmt.Sprintf(format, args...)
	}
}

// propose proposes ever higher versions.
func (tr *traffic) propose(ctx context.Context, in *instance) {
	for ctx.Err() == nil {
		version := tr.next.Add(1)
		// A node whose process was stopped never answers; the next one is asked.
		one, cancel := context.WithTimeout(ctx, 10*testElection)
		err := in.node().Propose(one, version, fmt.Append(nil, "document ", version))
		cancel()
		if err != nil {
			continue
		}
		for was := tr.acknowledged.Load(); was < version && !tr.acknowledged.CompareAndSwap(was, version); {
			was = tr.acknowledged.Load()
		}
	}
}

// read demands that no read is older than what was acknowledged before it began.
func (tr *traffic) read(ctx context.Context, in *instance) {
	for ctx.Err() == nil {
		least := tr.acknowledged.Load()
		one, cancel := context.WithTimeout(ctx, 2*testElection)
		version, data, err := in.node().Read(one)
		cancel()
		if err != nil {
			continue
		}
		tr.reads.Add(1)
		if version < least || version > 0 && string(data) != fmt.Sprint("document ", version) {
			tr.fail("%s reads version %d (%q) after %d was acknowledged", in.name, version, data, least)
		}
	}
}

// startTraffic lets all instances propose and read until the returned function is
// called, which checks what was answered.
func (gr *group) startTraffic() (tr *traffic, stop func()) {
	tr = &traffic{gr: gr}
	ctx, cancel := context.WithCancel(gr.ctx)
	for _, in := range gr.all {
		tr.wg.Go(func() { tr.propose(ctx, in) })
		tr.wg.Go(func() { tr.read(ctx, in) })
	}
	return tr, func() {
		cancel()
		tr.wg.Wait()
		gr.c.Assert(tr.fault, qt.Equals, "")
		gr.c.Assert(tr.reads.Load() > 0, qt.IsTrue)
		for _, in := range gr.all {
			in.ob.mu.Lock()
			gr.c.Check(slices.IsSorted(in.ob.versions), qt.IsTrue)
			in.ob.mu.Unlock()
		}
	}
}

// goesOn waits until further documents are committed.
func (tr *traffic) goesOn(what string) {
	before := tr.acknowledged.Load()
	tr.gr.await("documents are committed while "+what, func() bool { return tr.acknowledged.Load() > before+20 })
}

// awaitCaughtUp waits until all voters run and hold what the leader has committed.
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
	faultCut
	faultFull
	faultHang
	faultDisk
	faultKinds
)

// begin makes an instance fail and returns what ends the fault.
func (in *instance) begin(kind int) (what string, end func()) {
	switch kind {
	case faultStop:
		in.stop()
		return "is stopped", func() { in.run(false) }
	case faultCut:
		in.gr.wi.isolate(in, in.gr.all)
		return "is cut off", in.gr.wi.heal
	case faultFull:
		in.disk.setRefuses(true)
		return "has a full disk", func() { in.disk.setRefuses(false) }
	case faultHang:
		return "has a disk that hangs", in.disk.stall()
	default:
		in.loseDisk()
		in.run(false)
		return "lost its disk", func() {}
	}
}

// Documents rise in quick succession while instances are stopped, cut off, lose
// their disks or their disks hang or refuse writes, one at a time. A read that
// begins after an acknowledgement must not be older than it, whoever gives it, and
// changes go on being acknowledged during each fault.
func TestFaults(t *testing.T) {
	gr := form(t, 1, 3, 2)
	tr, stop := gr.startTraffic()
	rd := rand.New(rand.NewPCG(*seed, 0))
	for range *rounds {
		gr.awaitCaughtUp()
		in := gr.leader()
		if in == nil || rd.IntN(3) == 0 {
			in = gr.all[rd.IntN(len(gr.all))]
		}
		what, end := in.begin(rd.IntN(faultKinds))
		gr.lg.Info("fault", zap.String("What", in.name+" "+what))
		tr.goesOn(in.name + " " + what)
		end()
	}
	tr.goesOn("all is well")
	stop()
}

// More instances fail at a time than are to be borne, but no more than one disk is
// lost. Nothing need be acknowledged then. Once all are back the group must go on,
// and at no time may a read be older than what was acknowledged before it.
func TestOverlappingFaults(t *testing.T) {
	gr := form(t, 1, 3, 2)
	tr, stop := gr.startTraffic()
	rd := rand.New(rand.NewPCG(*seed, 1))
	for range *rounds {
		gr.awaitCaughtUp()
		var ends []func()
		kinds := faultKinds
		for _, po := range rd.Perm(len(gr.all))[:1+rd.IntN(len(gr.all))] {
			in := gr.all[po]
			kind := rd.IntN(kinds)
			if kind == faultDisk {
				kinds = faultDisk // No more than one.
			}
			what, end := in.begin(kind)
			gr.lg.Info("fault", zap.String("What", in.name+" "+what))
			ends = append(ends, end)
			// The next one comes at any time, also in the midst of an election.
			_ = gr.ts.Sleep(gr.ctx, time.Duration(rd.IntN(int(2*testElection))))
		}
		_ = gr.ts.Sleep(gr.ctx, time.Duration(rd.IntN(int(6*testElection))))
		for _, end := range ends {
			end()
		}
		gr.lg.Info("all-back")
		tr.goesOn("all are back")
	}
	stop()
}
