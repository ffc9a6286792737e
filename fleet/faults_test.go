package fleet

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

var (
	rounds = flag.Int("rounds", 10, "faults in TestFaults")
	seed   = flag.Uint64("seed", 1, "seed of the faults in TestFaults")
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

// Documents rise in quick succession while instances are stopped, cut off, lose
// their disks or their disks hang or refuse writes, one at a time. A read that
// begins after an acknowledgement must not be older than it, whoever gives it, and
// changes go on being acknowledged during each fault.
func TestFaults(t *testing.T) {
	gr := form(t, 1, 3, 2)
	tr := &traffic{gr: gr}
	ctx, cancel := context.WithCancel(gr.ctx)
	defer cancel()
	for _, in := range gr.all {
		tr.wg.Go(func() { tr.propose(ctx, in) })
		tr.wg.Go(func() { tr.read(ctx, in) })
	}
	goesOn := func(what string) {
		before := tr.acknowledged.Load()
		gr.await("documents are committed while "+what, func() bool { return tr.acknowledged.Load() > before+20 })
	}
	rd := rand.New(rand.NewPCG(*seed, 0))
	for range *rounds {
		gr.awaitVoters(3)
		in := gr.leader()
		if in == nil || rd.IntN(3) == 0 {
			in = gr.all[rd.IntN(len(gr.all))]
		}
		kind := rd.IntN(5)
		what := in.name + " " + []string{"is stopped", "loses its disk", "is cut off", "has a full disk", "has a disk that hangs"}[kind]
		gr.lg.Info("fault", zap.String("What", what))
		switch kind {
		case 0:
			in.stop()
			goesOn(what)
			in.run(false)
		case 1:
			in.loseDisk()
			in.run(false)
			goesOn(what)
		case 2:
			gr.wi.isolate(in, gr.all)
			goesOn(what)
			gr.wi.heal()
		case 3:
			in.disk.setRefuses(true)
			goesOn(what)
			in.disk.setRefuses(false)
		case 4:
			resume := in.disk.stall()
			goesOn(what)
			resume()
		}
	}
	goesOn("all is well")
	cancel()
	tr.wg.Wait()
	gr.c.Assert(tr.fault, qt.Equals, "")
	gr.c.Assert(tr.reads.Load() > 0, qt.IsTrue)
	for _, in := range gr.all {
		in.ob.mu.Lock()
		last := uint64(0)
		for _, ve := range in.ob.versions {
			gr.c.Check(ve > last, qt.IsTrue)
			last = ve
		}
		in.ob.mu.Unlock()
	}
}
