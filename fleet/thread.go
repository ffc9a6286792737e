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

// Intervals of a node's goroutine.
const (
	// maintenanceInterval is the time between two checks of members and voters, and between
	// two requests of an instance to be added.
	maintenanceInterval = 300 * time.Millisecond
	// seedInterval is the time between two lookups of the seeds.
	seedInterval = time.Second
	// memberTTL is the time for which an instance that is neither linked nor a voter is
	// remembered.
	memberTTL = 60 * time.Second
	// maxMaintenanceGap is the time without maintenance after which the silence of all
	// members is measured anew.
	maxMaintenanceGap = 3 * maintenanceInterval
	// pushRetryInterval is the time before a document is sent again to an instance that has
	// not reported that it has it.
	pushRetryInterval = time.Second
)

// thread is the state of a node's goroutine. Only that goroutine accesses the disk, the log
// and the voters; it publishes what others need.
type thread struct {
	nd  *Node
	ctx context.Context
	wg  sync.WaitGroup

	lastNow         time.Time // lastNow is the latest time that now returned.
	startedAt       time.Time
	wake            chan struct{}
	timer           *timer.Timeout
	timerAt         time.Time
	nextMaintenance time.Time

	lastMaintenance time.Time // lastMaintenance is when maintain last ran.

	vo            *voter // vo is nil while the disk is unusable.
	reopenAt      time.Time
	reopenBackoff time.Duration

	seeds            []string
	seedsAt          time.Time
	dialers          map[string]context.CancelFunc
	knownInstances   map[string]knownInstance
	members          []Member // members are those last passed to the observer.
	pushes           map[string]pushRecord
	persistedVersion uint64 // persistedVersion is the version of the persisted document.
	// persistedRevision is the revision of the persisted evacuations.
	persistedRevision uint64

	// State of Standing.
	leaderHeardAt time.Time // leaderHeardAt is when a message of the leader was processed; zero if none was.
	votingSince   time.Time // votingSince is Standing.Since.
	wasVoting     bool
	standingKnown bool      // standingKnown is set once a log was in use.
	lastWorkAt    time.Time // lastWorkAt is when the goroutine last began to work.

	leading          leadership
	pendingProposals []pendingProposal
	pendingReads     []pendingRead
	pendingOrders    []pendingOrder
	pendingResigns   []chan struct{}
}

// knownInstance is an instance that was linked or listed in a report.
type knownInstance struct {
	address  string
	lastSeen time.Time
}

// pushRecord is what was last sent to a non-member.
type pushRecord struct {
	start    uint64
	version  uint64 // version is that of the document.
	revision uint64 // revision is that of the evacuations.
	at       time.Time
}

func newThread(ctx context.Context, nd *Node) *thread {
	th := &thread{
		nd:             nd,
		ctx:            ctx,
		wake:           make(chan struct{}, 1),
		reopenBackoff:  minReopenBackoff,
		dialers:        make(map[string]context.CancelFunc),
		knownInstances: make(map[string]knownInstance),
		pushes:         make(map[string]pushRecord),
	}
	th.startedAt = th.now()
	th.nextMaintenance = th.startedAt
	th.reopenAt = th.startedAt
	th.timer = nd.ts.Timeout(0, th.timerFired)
	th.timerAt = th.startedAt
	return th
}

func (th *thread) timerFired() {
	select {
	case th.wake <- struct{}{}:
	default:
	}
}

// now returns a time later than the one before. The monotonic clock may stand still while
// the machine is suspended; a message sent before would then look like one sent after a
// read began.
func (th *thread) now() time.Time {
	now := th.nd.ts.Now()
	if !now.After(th.lastNow) {
		now = th.lastNow.Add(1)
	}
	th.lastNow = now
	return now
}

func (th *thread) run() error {
	for {
		if th.vo == nil && !th.now().Before(th.reopenAt) {
			th.openDisk()
		}
		th.processReports()
		th.completeRequests()
		th.publishReport()
		th.armTimer()
		if err := th.waitForEvent(); err != nil {
			return err
		}
	}
}

// waitForEvent waits for the next event and handles it.
func (th *thread) waitForEvent() error {
	th.nd.busySince.Store(0)
	select {
	case <-th.ctx.Done():
		return th.ctx.Err()
	case ev := <-th.nd.events:
		th.markBusy()
		th.handle(ev)
	case <-th.nd.linksChanged:
		th.markBusy()
	case <-th.wake:
		th.markBusy()
		th.timerAt = time.Time{}
		th.tick()
	}
	th.drainQueue()
	return nil
}

// markBusy records since when the goroutine has been busy.
func (th *thread) markBusy() {
	th.nd.busySince.Store(max(1, int64(th.nd.ts.Now().Sub(th.nd.createdAt))))
	th.noteSuspension()
}

// maxDrainedEvents bounds the queued events that are handled before the results are
// processed.
const maxDrainedEvents = 64

// drainQueue handles events that are already queued.
func (th *thread) drainQueue() {
	for range maxDrainedEvents {
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
	case sizedEvent:
		th.nd.queuedBytes.Add(-int64(ev.size))
		th.handle(ev.event)
	case envelopeReceived:
		th.handleEnvelope(ev)
	case documentReceived:
		th.learnDocument(ev.do)
	case evacuationsReceived:
		th.learnEvacuations(ev.set)
	case requestReceived:
		th.handleRequest(ev)
	case resignRequested:
		th.resign(ev.done)
	}
}

// tick handles expired timers.
func (th *thread) tick() {
	now := th.now()
	if vo := th.vo; vo != nil && vo.formed {
		if at, ok := vo.st.NextTick(); ok && !now.Before(at) {
			th.step(quorum.Tick{Now: now})
		}
	}
	if !now.Before(th.nextMaintenance) {
		th.nextMaintenance = now.Add(maintenanceInterval)
		th.maintain(now)
	}
}

// armTimer sets the timer to the next due time.
func (th *thread) armTimer() {
	at := th.nextMaintenance
	if vo := th.vo; vo != nil && vo.formed {
		if due, ok := vo.st.NextTick(); ok && due.Before(at) {
			at = due
		}
	} else if vo == nil && th.reopenAt.Before(at) {
		at = th.reopenAt
	}
	if !th.timerAt.IsZero() && !at.Before(th.timerAt) {
		return // The timer fires earlier and is then set again.
	}
	th.timerAt = at
	th.timer.Reset(max(0, at.Sub(th.nd.ts.Now())))
}

// maintain performs the periodic work.
func (th *thread) maintain(now time.Time) {
	if now.Sub(th.seedsAt) >= seedInterval || th.seedsAt.IsZero() {
		th.seedsAt = now
		th.seeds = th.nd.cf.Seeds()
	}
	th.expireMembers(now)
	if now.Sub(th.lastMaintenance) >= maxMaintenanceGap {
		// This instance heard nobody during a gap of its own.
		th.leading.since = now
	}
	th.lastMaintenance = now
	th.manageVoters(now)
	th.proposeAddresses(now)
	if vo := th.vo; vo != nil && vo.formed {
		switch vo.st.Role() {
		case quorum.Outsider:
			th.requestMembership()
		case quorum.Uncleared:
			th.requestClearance()
		}
	}
}

// processReports handles changed links and the reports of the others.
func (th *thread) processReports() {
	now := th.now()
	prs := th.nd.links.latestReports()
	th.rememberMembers(now, prs)
	th.formGroup(now, prs)
	th.updateDialers()
	th.pushMissing(now, prs)
}

// publishReport sends the report of this instance to the others if it changed.
func (th *thread) publishReport() {
	th.publishStanding()
	th.nd.status.Store(th.status())
	re := th.currentReport()
	was := th.nd.report.Load()
	if re.equivalent(*was) {
		return
	}
	re.Sequence = th.nd.reportSequence.Add(1)
	th.nd.report.Store(&re)
	for _, li := range th.nd.links.newestPerInstance() {
		_ = li.co.Send(ReportUpdate{Report: re})
	}
}

// currentReport returns the report of this instance without a sequence number.
func (th *thread) currentReport() Report {
	re := Report{
		Start:    th.nd.start,
		Name:     th.nd.cf.Name,
		Address:  th.nd.cf.Address,
		Version:  th.nd.newest.Load().Version,
		Members:  th.linkedMembers(),
		Revision: th.nd.evacuations.Load().Revision,
	}
	vo := th.vo
	if vo == nil {
		return re
	}
	re.ID = vo.id
	re.Fresh = !vo.formed
	if re.Fresh {
		re.First = vo.firstSeeds
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

// equivalent reports whether two reports need no update between them. Version and Revision
// are ignored: members learn them from the log, and non-members repeat their reports.
func (re Report) equivalent(ot Report) bool {
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

// learnDocument adopts a committed document if it is newer than the known one.
func (th *thread) learnDocument(do *document) {
	if do.Version <= th.nd.newest.Load().Version {
		return
	}
	if do.Version > th.persistedVersion {
		th.persistedVersion = do.Version
		th.persistDocument(do)
	}
	th.nd.newest.Store(do)
	th.nd.lg.Info("document-learned", zap.Uint64("Version", do.Version), zap.Int("Bytes", len(do.Data)))
	th.nd.ob.DocumentCommitted(do.Version, do.Data)
}

// close releases the thread's resources.
func (th *thread) close() {
	th.timer.Stop()
	for _, stop := range th.dialers {
		stop()
	}
	th.wg.Wait()
	if th.vo != nil {
		if err := th.vo.jo.Close(); err != nil {
			th.nd.lg.Warn("folder-not-closed", zap.Error(err))
		}
		th.vo = nil
	}
	th.rejectPending("the instance stops")
	for len(th.nd.events) > 0 {
		th.handle(<-th.nd.events)
	}
	for _, done := range th.pendingResigns {
		close(done)
	}
}
