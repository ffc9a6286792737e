package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/quorum"
	"balsamwinch.example/timer"
)

// Periods of a node's goroutine.
const (
	// housePeriod is the time between two looks at members and voters, and two
	// requests of an instance to be added.
	housePeriod = 300 * time.Millisecond
	// seedPeriod is the time between two looks at the seeds.
	seedPeriod = time.Second
	// memberMemory is how long an instance that is neither linked nor a voter is
	// remembered.
	memberMemory = 60 * time.Second
	// gap is after how long without a look at the voters the silence of all is
	// counted anew.
	gap = 3 * housePeriod
	// pushPeriod is the time before a document is sent again to an instance that
	// has not said that it holds it.
	pushPeriod = time.Second
)

// thread is what a node's goroutine works on. It alone touches the disk, the log
// and the voters, and publishes what others need.
type thread struct {
	nd  *Node
	ctx context.Context
	wg  sync.WaitGroup

	last    time.Time // last is the latest time that was used.
	started time.Time
	wake    chan struct{}
	alarm   *timer.Timeout
	alarmAt time.Time
	houseAt time.Time

	housedAt time.Time // housedAt is when the house was last done.

	vo       *voter // vo is nil while the disk is out of use.
	reopenAt time.Time
	pause    time.Duration

	seeds   []string
	seedsAt time.Time
	dials   map[string]context.CancelFunc
	book    map[string]remembered
	members []Member // members are those that the observer was told.
	pushed  map[string]push
	noted   uint64 // noted is the version of the document in the note.
	// revisionNoted is the revision of the evacuations in their note.
	revisionNoted uint64

	leading   leadership
	proposals []proposing
	reads     []reading
	orders    []ordering
	resigns   []chan struct{}
}

// remembered is an instance that was linked or told of.
type remembered struct {
	address string
	seen    time.Time
}

// push is what was sent last to an instance that doesn't vote.
type push struct {
	start    uint64
	version  uint64 // version is that of the document.
	revision uint64 // revision is that of the evacuations.
	at       time.Time
}

func newThread(ctx context.Context, nd *Node) *thread {
	th := &thread{
		nd:     nd,
		ctx:    ctx,
		wake:   make(chan struct{}, 1),
		pause:  firstReopen,
		dials:  make(map[string]context.CancelFunc),
		book:   make(map[string]remembered),
		pushed: make(map[string]push),
	}
	th.started = th.now()
	th.houseAt = th.started
	th.reopenAt = th.started
	th.alarm = nd.ts.Timeout(0, th.ring)
	th.alarmAt = th.started
	return th
}

func (th *thread) ring() {
	select {
	case th.wake <- struct{}{}:
	default:
	}
}

// now returns a time later than the one before. A machine's steady clock may
// stand still while it is suspended; a message sent before would then look like
// one sent after a read began.
func (th *thread) now() time.Time {
	now := th.nd.ts.Now()
	if !now.After(th.last) {
		now = th.last.Add(1)
	}
	th.last = now
	return now
}

func (th *thread) run() error {
	for {
		if th.vo == nil && !th.now().Before(th.reopenAt) {
			th.open()
		}
		th.attend()
		th.settle()
		th.publish()
		th.arm()
		if err := th.await(); err != nil {
			return err
		}
	}
}

// await handles the next thing that happens.
func (th *thread) await() error {
	th.nd.busy.Store(0)
	select {
	case <-th.ctx.Done():
		return th.ctx.Err()
	case ev := <-th.nd.events:
		th.work()
		th.handle(ev)
	case <-th.nd.nudge:
		th.work()
	case <-th.wake:
		th.work()
		th.alarmAt = time.Time{}
		th.tick()
	}
	th.drain()
	return nil
}

// work notes since when the goroutine has not waited for something to do.
func (th *thread) work() {
	th.nd.busy.Store(max(1, int64(th.nd.ts.Now().Sub(th.nd.born))))
}

// drainEvents is how many waiting events are handled before the rest is seen to.
const drainEvents = 64

// drain handles events that wait already.
func (th *thread) drain() {
	for range drainEvents {
		select {
		case ev := <-th.nd.events:
			th.handle(ev)
		default:
			return
		}
	}
}

func (th *thread) handle(ev event) {
	switch ev := ev.(type) {
	case sized:
		th.nd.queued.Add(-int64(ev.size))
		th.handle(ev.event)
	case routed:
		th.routed(ev)
	case learned:
		th.learn(ev.do)
	case toldEvacuations:
		th.learnEvacuations(ev.set)
	case demanded:
		th.demanded(ev)
	case resigning:
		th.resign(ev.done)
	}
}

// tick does what is due.
func (th *thread) tick() {
	now := th.now()
	if vo := th.vo; vo != nil && vo.formed {
		if at, ok := vo.st.NextTick(); ok && !now.Before(at) {
			th.step(quorum.Tick{Now: now})
		}
	}
	if !now.Before(th.houseAt) {
		th.houseAt = now.Add(housePeriod)
		th.house(now)
	}
}

// arm sets the alarm to when something is next due.
func (th *thread) arm() {
	at := th.houseAt
	if vo := th.vo; vo != nil && vo.formed {
		if due, ok := vo.st.NextTick(); ok && due.Before(at) {
			at = due
		}
	} else if vo == nil && th.reopenAt.Before(at) {
		at = th.reopenAt
	}
	if !th.alarmAt.IsZero() && !at.Before(th.alarmAt) {
		return // It rings earlier, and is set again then.
	}
	th.alarmAt = at
	th.alarm.Reset(max(0, at.Sub(th.nd.ts.Now())))
}

// house does what is done now and then.
func (th *thread) house(now time.Time) {
	if now.Sub(th.seedsAt) >= seedPeriod || th.seedsAt.IsZero() {
		th.seedsAt = now
		th.seeds = th.nd.cf.Seeds()
	}
	th.forget(now)
	if now.Sub(th.housedAt) >= gap {
		// Nobody could be heard during a gap of this instance's own.
		th.leading.since = now
	}
	th.housedAt = now
	th.manage(now)
	th.name(now)
	if vo := th.vo; vo != nil && vo.formed {
		switch vo.st.Role() {
		case quorum.Outsider:
			th.petition()
		case quorum.Uncleared:
			th.greet()
		}
	}
}

// attend looks at the lines and what the others report.
func (th *thread) attend() {
	now := th.now()
	pas := th.nd.li.known()
	th.remember(now, pas)
	th.form(now, pas)
	th.call()
	th.pushState(now, pas)
}

// publish tells others of this instance if something changed.
func (th *thread) publish() {
	th.nd.status.Store(th.status())
	re := th.reporting()
	was := th.nd.report.Load()
	if re.same(*was) {
		return
	}
	re.Sequence = th.nd.sequence.Add(1)
	th.nd.report.Store(&re)
	for _, li := range th.nd.li.each() {
		_ = li.co.Send(ReportUpdate{Report: re})
	}
}

// reporting returns the report of this instance without its number.
func (th *thread) reporting() Report {
	re := Report{
		Start:    th.nd.start,
		Name:     th.nd.cf.Name,
		Address:  th.nd.cf.Address,
		Version:  th.nd.newest.Load().Version,
		Members:  th.linked(),
		Revision: th.nd.evacuations.Load().Revision,
	}
	vo := th.vo
	if vo == nil {
		return re
	}
	re.ID = vo.id
	re.Fresh = !vo.formed
	if re.Fresh {
		re.First = vo.first
		return re
	}
	re.Outsider = vo.st.Role() == quorum.Outsider
	re.Leading = vo.st.Role() == quorum.Leader
	if re.Leading {
		re.Term = vo.st.Term()
	}
	re.Formation = vo.sm.Formation
	return re
}

// same reports whether two reports say the same. Version and Revision alone don't count:
// those that vote learn it from the log, and the others repeat their report.
func (re Report) same(ot Report) bool {
	return re.ID == ot.ID && re.Fresh == ot.Fresh && slices.Equal(re.First, ot.First) &&
		re.Outsider == ot.Outsider && re.Leading == ot.Leading && re.Term == ot.Term &&
		slices.Equal(re.Members, ot.Members) && (re.Formation == nil) == (ot.Formation == nil)
}

func (th *thread) status() *Status {
	st := &Status{
		Name:    th.nd.cf.Name,
		Role:    roleNoDisk,
		Leader:  th.leaderName(),
		Version: th.nd.newest.Load().Version,
		Members: th.members,
	}
	vo := th.vo
	if vo == nil {
		return st
	}
	st.ID = string(vo.id)
	if !vo.formed {
		st.Role = roleUnformed
		return st
	}
	st.Role = string(vo.st.Role())
	st.Term = vo.st.Term()
	st.Commit = vo.st.Commit()
	vs := vo.st.VotersAt(vo.appliedIndex)
	st.Voters, st.Learners = vs.Voters, vs.Learners
	return st
}

// learn takes over a committed document if it is newer than the one known.
func (th *thread) learn(do *document) {
	if do.Version <= th.nd.newest.Load().Version {
		return
	}
	if do.Version > th.noted {
		th.noted = do.Version
		th.note(do)
	}
	th.nd.newest.Store(do)
	th.nd.lg.Info("document-learned", zap.Uint64("Version", do.Version), zap.Int("Bytes", len(do.Data)))
	th.nd.ob.DocumentCommitted(do.Version, do.Data)
}

// close ends what belongs to the thread.
func (th *thread) close() {
	th.alarm.Stop()
	for _, stop := range th.dials {
		stop()
	}
	th.wg.Wait()
	if th.vo != nil {
		if err := th.vo.jo.Close(); err != nil {
			th.nd.lg.Warn("folder-not-closed", zap.Error(err))
		}
		th.vo = nil
	}
	th.abandon("the instance stops")
	for len(th.nd.events) > 0 {
		th.handle(<-th.nd.events)
	}
	for _, done := range th.resigns {
		close(done)
	}
}
