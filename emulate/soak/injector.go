package soak

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"balsamwinch.example/emulate"
	"balsamwinch.example/timer"
)

// injector injects the faults of a schedule.
type injector struct {
	cf Settings
	lo *emulate.LocalTier
	ss *emulate.Servers
	fl *fleet
	op *operator
	ch *Checker
	ru *runner
	ts *timer.Service

	mu         sync.Mutex
	active     []Fault
	injected   map[Kind]int
	entryLocks map[string]*sync.Mutex // held while an entry instance has a fault, by name
	problems   []string               // faults that could not be injected completely
}

// activeFaults names the faults that are active.
func (ij *injector) activeFaults() []string {
	ij.mu.Lock()
	defer ij.mu.Unlock()
	var out []string
	for _, fa := range ij.active {
		out = append(out, fa.String())
	}
	return out
}

// String returns the kind, target, start and duration of the fault.
func (fa Fault) String() string {
	return fmt.Sprintf("%s %d since %.1fs for %.1fs", fa.Kind, fa.Target, fa.At.Seconds(), fa.For.Seconds())
}

// injectAll injects faults at their times since the start and returns once all have
// ended.
func (ij *injector) injectAll(ctx context.Context, start time.Time, fas []Fault) {
	var wg sync.WaitGroup
	for _, fa := range fas {
		if ij.ts.Sleep(ctx, start.Add(fa.At).Sub(ij.ts.Now())) != nil {
			break
		}
		wg.Go(func() { ij.inject(ctx, fa) })
	}
	wg.Wait()
}

func (ij *injector) inject(ctx context.Context, fa Fault) {
	ij.mu.Lock()
	ij.active = append(ij.active, fa)
	ij.mu.Unlock()
	isControl := fa.Kind.component() == componentControl
	if isControl {
		ij.ch.ControlFault(ij.ts.Now(), true)
	}
	err := ij.apply(ctx, fa)
	if isControl {
		ij.ch.ControlFault(ij.ts.Now(), false)
	}
	ij.mu.Lock()
	defer ij.mu.Unlock()
	ij.active = slices.DeleteFunc(ij.active, func(other Fault) bool { return other == fa })
	ij.injected[fa.Kind]++
	if err != nil {
		ij.problems = append(ij.problems, fmt.Sprintf("%v: %v", fa, err))
	}
}

// waitOut sleeps for the duration of a fault.
func (ij *injector) waitOut(ctx context.Context, fa Fault) { _ = ij.ts.Sleep(ctx, fa.For) }

func (ij *injector) apply(ctx context.Context, fa Fault) error {
	switch fa.Kind.component() {
	case componentControl:
		return ij.controlFault(ctx, fa)
	case componentEntry:
		return ij.entryFault(ctx, fa)
	case componentShards:
		return ij.repartition(ctx)
	case componentRequest:
		return ij.queryOfDeath(ctx, fa)
	case componentOperator:
		return ij.operatorFault(ctx, fa)
	case componentDataCentre:
		return ij.evacuate(ctx, fa)
	case componentAnnouncer:
		return ij.announceInvalid(ctx, fa)
	}
	switch fa.Kind {
	case ServerCrash, ServiceCrash:
		return ij.crash(ctx, fa, func(position int, old *emulate.Server) error {
			return ij.fl.replace(position, old, old.Address())
		})
	case ServerAgain:
		return ij.crash(ctx, fa, ij.fl.restart)
	case ServerReplace:
		return ij.replace(ctx, fa)
	case ServerDrain:
		old := ij.fl.serverAt(fa.Target)
		return errors.Join(ij.fl.replace(fa.Target, old, ""), drain(ctx, old))
	default:
		ij.serverFault(ctx, fa)
		return nil
	}
}

// controlFault ends one control instance or all of them, and starts them again. It starts
// them even if the run ends, so that the final checks find a complete tier.
func (ij *injector) controlFault(ctx context.Context, fa Fault) error {
	names := ij.lo.ControlNames()
	if fa.Kind != ControlAll {
		names = names[fa.Target : fa.Target+1]
	}
	if fa.Kind == ControlHang {
		err := ij.lo.Hang(names[0])
		ij.waitOut(ctx, fa)
		return errors.Join(err, ij.lo.Resume(names[0]))
	}
	end := ij.lo.Kill
	if fa.Kind == ControlStop {
		end = ij.lo.Stop
	}
	serverEnded := make(chan error, 1)
	if fa.Kind == LeaveKill {
		end = func(name string) error { return ij.killAfterLeave(ctx, fa, name, serverEnded) }
	} else {
		close(serverEnded)
	}
	err := concurrently(names, end)
	if fa.Kind == ControlLose || fa.Kind == LeaveKill && fa.Value < 0.5 {
		err = errors.Join(err, concurrently(names, ij.lo.DeleteData))
	}
	ij.waitOut(ctx, fa)
	err = errors.Join(err, ij.startInstances(names))
	if fa.Kind == ControlAll {
		ij.op.readBack(ctx)
	}
	return errors.Join(err, <-serverEnded)
}

// killAfterLeave lets a backend server leave, and kills the control instance that it told as
// soon as that has answered. ended receives the result of the server's shutdown.
func (ij *injector) killAfterLeave(ctx context.Context, fa Fault, name string, ended chan<- error) error {
	position := int(fa.Value*float64(2*ij.cf.numPositions())) % ij.cf.numPositions()
	old := ij.fl.serverAt(position)
	replaceErr := ij.fl.replace(position, old, "")
	co := emulate.NewControlClient(ij.lo.ControlAddresses()[fa.Target : fa.Target+1])
	defer co.Close()
	_ = old.Leave(ctx, co) // Without an acknowledgement, nothing is promised.
	killErr := ij.lo.Kill(name)
	go func() { ended <- old.ShutDownAfterDelay(ctx) }()
	return errors.Join(replaceErr, killErr)
}

// startInstances starts instances.
func (ij *injector) startInstances(names []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	return concurrently(names, func(name string) error { return ij.lo.Start(ctx, name) })
}

// concurrently calls a function for each name concurrently and joins the errors.
func concurrently(names []string, do func(string) error) error {
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for ix, name := range names {
		wg.Go(func() { errs[ix] = do(name) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// entryLock returns the lock that a fault of an entry instance holds until the instance
// has started again. On a loaded machine a start takes longer than the schedule assumes,
// and the next fault would end an instance that is still starting.
func (ij *injector) entryLock(name string) *sync.Mutex {
	ij.mu.Lock()
	defer ij.mu.Unlock()
	if ij.entryLocks[name] == nil {
		ij.entryLocks[name] = new(sync.Mutex)
	}
	return ij.entryLocks[name]
}

func (ij *injector) entryFault(ctx context.Context, fa Fault) error {
	name := ij.lo.EntryNames()[fa.Target]
	lock := ij.entryLock(name)
	lock.Lock()
	defer lock.Unlock()
	end := ij.lo.Stop
	if fa.Kind == EntryKill {
		end = ij.lo.Kill
	}
	err := end(name)
	ij.waitOut(ctx, fa)
	ij.ch.EntryStarted(ij.lo.CallerAddresses()[fa.Target])
	return errors.Join(err, ij.startInstances([]string{name}))
}

// evacuate evacuates a data centre for a while. It withdraws the evacuation even if the
// run ends, so that none is left behind.
func (ij *injector) evacuate(ctx context.Context, fa Fault) error {
	dc := ij.cf.Tier.DataCentres[fa.Target]
	err := ij.op.retryUntilAcknowledged(ctx, func(ctx context.Context) error { return ij.op.co.Evacuate(ctx, dc) })
	if err == nil {
		ij.ch.EvacuationAcknowledged(dc, ij.ts.Now())
	}
	ij.waitOut(ctx, fa)
	ij.ch.EvacuationEnding(dc)
	return errors.Join(err, ij.op.retryUntilAcknowledged(context.Background(), func(ctx context.Context) error { return ij.op.co.WithdrawEvacuation(ctx, dc) }))
}

// crash ends servers at once, and calls restore for their positions after the fault.
func (ij *injector) crash(ctx context.Context, fa Fault, restore func(position int, old *emulate.Server) error) error {
	var errs []error
	var olds []*emulate.Server
	for _, position := range fa.targets(ij.cf) {
		old := ij.fl.serverAt(position)
		olds = append(olds, old)
		errs = append(errs, ij.ss.Crash(old))
	}
	ij.waitOut(ctx, fa)
	for ix, position := range fa.targets(ij.cf) {
		errs = append(errs, restore(position, olds[ix]))
	}
	return errors.Join(errs...)
}

// replace ends a server at once and gives its address to a server of another service for
// a while, as a platform does that reschedules workloads.
func (ij *injector) replace(ctx context.Context, fa Fault) error {
	old := ij.fl.serverAt(fa.Target)
	if err := ij.ss.Crash(old); err != nil {
		return err
	}
	other := ij.fl.serverAt((fa.Target + ij.cf.Servers.Replicas) % ij.cf.numPositions()).Service()
	se, err := ij.fl.start(other, old.Address(), fa.Target)
	err = errors.Join(err, ij.fl.replace(fa.Target, old, ""))
	ij.waitOut(ctx, fa)
	if se != nil {
		err = errors.Join(err, ij.ss.Crash(se))
	}
	return err
}

// serverFault sets the faults of servers for a while.
func (ij *injector) serverFault(ctx context.Context, fa Fault) {
	var ses []*emulate.Server
	for _, position := range fa.targets(ij.cf) {
		se := ij.fl.serverAt(position)
		ses = append(ses, se)
		if fa.Kind == ServerHalt {
			se.Halt(fa.For)
		}
		se.SetFaults(fa.serverFaults())
	}
	ij.waitOut(ctx, fa)
	for _, se := range ses {
		se.SetFaults(emulate.Faults{})
	}
}

const (
	// minSlowFactor and slowFactorRange bound the factor by which a slow server is
	// slower.
	minSlowFactor, slowFactorRange = 3, 17
	// minFaultRatio and faultRatioRange bound the fraction of faulty responses.
	minFaultRatio, faultRatioRange = 0.1, 0.5
)

func (fa Fault) serverFaults() emulate.Faults {
	ratio := minFaultRatio + faultRatioRange*fa.Value
	switch fa.Kind {
	case ServerSilent:
		return emulate.Faults{Silent: 1}
	case ServerSlow:
		return emulate.Faults{SlowFactor: minSlowFactor + slowFactorRange*fa.Value}
	case ServiceShed:
		return emulate.Faults{Shed: 1}
	case ServerShed:
		return emulate.Faults{Shed: ratio}
	case ReplyTwice:
		return emulate.Faults{Duplicate: ratio}
	case ReplyLate:
		return emulate.Faults{Late: ratio}
	case ReplyCut:
		return emulate.Faults{Cut: ratio / 2, Truncate: ratio / 2, Garble: ratio / 2}
	case ReplyOther:
		return emulate.Faults{WrongRequest: ratio}
	default:
		return emulate.Faults{}
	}
}

// repartition starts the servers of new shards, sends a version that names them, and
// drains the old servers once that version must be in force everywhere.
func (ij *injector) repartition(ctx context.Context) error {
	ses, err := ij.fl.startGeneration(ctx, ij.op.nextGeneration())
	if err != nil {
		return err
	}
	version, data := ij.op.newVersion(true)
	old := ij.fl.swap(ses)
	if err := ij.op.send(ctx, version, data); err != nil {
		return err // Both generations stay, since either may be the one in force.
	}
	_ = ij.ts.Sleep(ctx, applyDelay)
	return drain(ctx, old...)
}

// nextGeneration returns the generation that a repartition creates.
func (op *operator) nextGeneration() int {
	op.mu.Lock()
	defer op.mu.Unlock()
	return op.generation + 1
}

// burstSize is the number of configurations that are sent in quick succession.
const burstSize = 4

// operatorFault sends configurations in the faulty or hasty ways of operators.
func (ij *injector) operatorFault(ctx context.Context, fa Fault) error {
	switch fa.Kind {
	case ConfigAgain:
		return ij.op.resendLatest(ctx)
	case ConfigInvalid:
		return ij.op.sendInvalid(ctx)
	case ConfigTwo:
		return ij.sendTwoConcurrently(ctx)
	}
	for range burstSize {
		version, data := ij.op.newVersion(false)
		if err := ij.op.send(ctx, version, data); err != nil {
			return err
		}
	}
	return nil
}

// sendTwoConcurrently has two operators send different versions concurrently.
func (ij *injector) sendTwoConcurrently(ctx context.Context) error {
	errs := make([]error, 2)
	var wg sync.WaitGroup
	for ix := range errs {
		version, data := ij.op.newVersion(false)
		wg.Go(func() { errs[ix] = ij.op.send(ctx, version, data) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
