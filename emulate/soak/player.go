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

// player plays the faults of a schedule.
type player struct {
	cf Settings
	lo *emulate.LocalTier
	ss *emulate.Servers
	fl *fleet
	op *operator
	ju *Checker
	ru *runner
	ts *timer.Service

	mu       sync.Mutex
	under    []Fault
	played   map[Kind]int
	turns    map[string]*sync.Mutex // turns are held by the fault of an entry instance, by name.
	problems []string               // problems are the faults that could not be played to their end.
}

// underWay names the faults that are under way.
func (pl *player) underWay() []string {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var out []string
	for _, fa := range pl.under {
		out = append(out, fa.String())
	}
	return out
}

// String names the fault, its target and its beginning.
func (fa Fault) String() string {
	return fmt.Sprintf("%s %d since %.1fs for %.1fs", fa.Kind, fa.Target, fa.At.Seconds(), fa.For.Seconds())
}

// playAll plays faults at their times since the start and returns once all are
// over.
func (pl *player) playAll(ctx context.Context, start time.Time, fas []Fault) {
	var wg sync.WaitGroup
	for _, fa := range fas {
		if pl.ts.Sleep(ctx, start.Add(fa.At).Sub(pl.ts.Now())) != nil {
			break
		}
		wg.Go(func() { pl.play(ctx, fa) })
	}
	wg.Wait()
}

func (pl *player) play(ctx context.Context, fa Fault) {
	pl.mu.Lock()
	pl.under = append(pl.under, fa)
	pl.mu.Unlock()
	err := pl.do(ctx, fa)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.under = slices.DeleteFunc(pl.under, func(ot Fault) bool { return ot == fa })
	pl.played[fa.Kind]++
	if err != nil {
		pl.problems = append(pl.problems, fmt.Sprintf("%v: %v", fa, err))
	}
}

// last sleeps for as long as a fault lasts.
func (pl *player) last(ctx context.Context, fa Fault) { _ = pl.ts.Sleep(ctx, fa.For) }

func (pl *player) do(ctx context.Context, fa Fault) error {
	switch fa.Kind.part() {
	case partControl:
		return pl.control(ctx, fa)
	case partEntry:
		return pl.entry(ctx, fa)
	case partShards:
		return pl.repartition(ctx)
	case partRequest:
		return pl.fatal(ctx, fa)
	case partOperator:
		return pl.operate(ctx, fa)
	case partDataCentre:
		return pl.evacuate(ctx, fa)
	}
	switch fa.Kind {
	case ServerCrash, ServiceCrash:
		return pl.crash(ctx, fa, func(position int, old *emulate.Server) error {
			return pl.fl.replace(position, old, old.Address())
		})
	case ServerAgain:
		return pl.crash(ctx, fa, pl.fl.again)
	case ServerReplace:
		return pl.replace(ctx, fa)
	case ServerDrain:
		old := pl.fl.at(fa.Target)
		return errors.Join(pl.fl.replace(fa.Target, old, ""), drain(ctx, old))
	default:
		pl.trouble(ctx, fa)
		return nil
	}
}

// control ends one control instance or all, and starts them again. A start goes on
// though the run ends: nothing is to be found halfway.
func (pl *player) control(ctx context.Context, fa Fault) error {
	names := pl.lo.ControlNames()
	if fa.Kind != ControlAll {
		names = names[fa.Target : fa.Target+1]
	}
	if fa.Kind == ControlHang {
		err := pl.lo.Hang(names[0])
		pl.last(ctx, fa)
		return errors.Join(err, pl.lo.Resume(names[0]))
	}
	end := pl.lo.Kill
	if fa.Kind == ControlStop {
		end = pl.lo.Stop
	}
	err := each(names, end)
	if fa.Kind == ControlLose {
		err = errors.Join(err, each(names, pl.lo.DeleteData))
	}
	pl.last(ctx, fa)
	err = errors.Join(err, pl.startAll(names))
	if fa.Kind == ControlAll {
		pl.op.readBack(ctx)
	}
	return err
}

// startAll starts instances.
func (pl *player) startAll(names []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callWithin)
	defer cancel()
	return each(names, func(name string) error { return pl.lo.Start(ctx, name) })
}

// each does something with all names at once.
func each(names []string, do func(string) error) error {
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for ix, name := range names {
		wg.Go(func() { errs[ix] = do(name) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// turn returns what the fault of an entry instance holds until that has started again. On
// a loaded machine this takes longer than the schedule knows, and the next fault would end
// an instance that is still awaited.
func (pl *player) turn(name string) *sync.Mutex {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.turns[name] == nil {
		pl.turns[name] = new(sync.Mutex)
	}
	return pl.turns[name]
}

func (pl *player) entry(ctx context.Context, fa Fault) error {
	name := pl.lo.EntryNames()[fa.Target]
	turn := pl.turn(name)
	turn.Lock()
	defer turn.Unlock()
	end := pl.lo.Stop
	if fa.Kind == EntryKill {
		end = pl.lo.Kill
	}
	err := end(name)
	pl.last(ctx, fa)
	pl.ju.EntryStarted(pl.lo.CallerAddresses()[fa.Target])
	return errors.Join(err, pl.startAll([]string{name}))
}

// evacuate has a data centre evacuated for a while. It is withdrawn though the run ends:
// nothing is to be found halfway.
func (pl *player) evacuate(ctx context.Context, fa Fault) error {
	dc := pl.cf.Tier.DataCentres[fa.Target]
	err := pl.op.order(ctx, func(ctx context.Context) error { return pl.op.co.Evacuate(ctx, dc) })
	if err == nil {
		pl.ju.EvacuationAcknowledged(dc, pl.ts.Now())
	}
	pl.last(ctx, fa)
	pl.ju.EvacuationEnding(dc)
	return errors.Join(err, pl.op.order(context.Background(), func(ctx context.Context) error { return pl.op.co.WithdrawEvacuation(ctx, dc) }))
}

// crash ends servers at once, and has others come back in their positions.
func (pl *player) crash(ctx context.Context, fa Fault, back func(position int, old *emulate.Server) error) error {
	var errs []error
	var olds []*emulate.Server
	for _, position := range fa.targets(pl.cf) {
		old := pl.fl.at(position)
		olds = append(olds, old)
		errs = append(errs, pl.ss.Crash(old))
	}
	pl.last(ctx, fa)
	for ix, position := range fa.targets(pl.cf) {
		errs = append(errs, back(position, olds[ix]))
	}
	return errors.Join(errs...)
}

// replace ends a server at once and gives its address to one of another service
// for a while, as a platform does that places work anew.
func (pl *player) replace(ctx context.Context, fa Fault) error {
	old := pl.fl.at(fa.Target)
	if err := pl.ss.Crash(old); err != nil {
		return err
	}
	other := pl.fl.at((fa.Target + pl.cf.Servers.Replicas) % pl.cf.positions()).Service()
	se, err := pl.fl.start(other, old.Address(), fa.Target)
	err = errors.Join(err, pl.fl.replace(fa.Target, old, ""))
	pl.last(ctx, fa)
	if se != nil {
		err = errors.Join(err, pl.ss.Crash(se))
	}
	return err
}

// trouble makes servers suffer for a while.
func (pl *player) trouble(ctx context.Context, fa Fault) {
	var ses []*emulate.Server
	for _, position := range fa.targets(pl.cf) {
		se := pl.fl.at(position)
		ses = append(ses, se)
		if fa.Kind == ServerHalt {
			se.Halt(fa.For)
		}
		se.SetFaults(fa.trouble())
	}
	pl.last(ctx, fa)
	for _, se := range ses {
		se.SetFaults(emulate.Faults{})
	}
}

const (
	// slowLeast and slowMore bound how many times as long a slow server takes.
	slowLeast, slowMore = 3, 17
	// shareLeast and shareMore bound the share of the answers that are spoilt.
	shareLeast, shareMore = 0.1, 0.5
)

func (fa Fault) trouble() emulate.Faults {
	part := shareLeast + shareMore*fa.Value
	switch fa.Kind {
	case ServerSilent:
		return emulate.Faults{Silent: 1}
	case ServerSlow:
		return emulate.Faults{SlowFactor: slowLeast + slowMore*fa.Value}
	case ServiceShed:
		return emulate.Faults{Shed: 1}
	case ServerShed:
		return emulate.Faults{Shed: part}
	case ReplyTwice:
		return emulate.Faults{Duplicate: part}
	case ReplyLate:
		return emulate.Faults{Late: part}
	case ReplyCut:
		return emulate.Faults{Cut: part / 2, Truncate: part / 2, Garble: part / 2}
	case ReplyOther:
		return emulate.Faults{WrongRequest: part}
	default:
		return emulate.Faults{}
	}
}

// repartition starts the servers of new shards, has a version accepted that names
// them, and has the old ones leave once it must be in force everywhere.
func (pl *player) repartition(ctx context.Context) error {
	ses, err := pl.fl.next(ctx, pl.op.nextGeneration())
	if err != nil {
		return err
	}
	version, data := pl.op.write(true)
	old := pl.fl.swap(ses)
	if err := pl.op.send(ctx, version, data); err != nil {
		return err // Both generations stay, since either may be the one in force.
	}
	_ = pl.ts.Sleep(ctx, applyWithin)
	return drain(ctx, old...)
}

// nextGeneration returns the generation that a repartition makes.
func (op *operator) nextGeneration() int {
	op.mu.Lock()
	defer op.mu.Unlock()
	return op.generation + 1
}

// burst is how many configurations come in quick succession.
const burst = 4

// operate does what operators do wrong or in a hurry.
func (pl *player) operate(ctx context.Context, fa Fault) error {
	switch fa.Kind {
	case ConfigAgain:
		return pl.op.again(ctx)
	case ConfigInvalid:
		return pl.op.invalid(ctx)
	case ConfigTwo:
		return pl.two(ctx)
	}
	for range burst {
		version, data := pl.op.write(false)
		if err := pl.op.send(ctx, version, data); err != nil {
			return err
		}
	}
	return nil
}

// two has two operators send a version each at the same time.
func (pl *player) two(ctx context.Context) error {
	errs := make([]error, 2)
	var wg sync.WaitGroup
	for ix := range errs {
		version, data := pl.op.write(false)
		wg.Go(func() { errs[ix] = pl.op.send(ctx, version, data) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
