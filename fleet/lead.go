package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
)

const (
	// maxInFlight bounds the proposals and evacuation orders together, and separately the
	// reads, that are pending at a leader.
	maxInFlight = 64
	// maxInFlightBytes bounds the bytes that are appended and not committed.
	maxInFlightBytes = 2 << 20
)

// The reasons for which a request is rejected.
const (
	reasonBusy      = "too many requests wait"
	reasonNotLeader = "the instance does not lead"
)

// pendingProposal is a proposal that waits for its commit.
type pendingProposal struct {
	version uint64
	bytes   int
	since   time.Time
	reply   func(Answer)
}

// pendingRead is a read that waits for confirmation by a majority.
type pendingRead struct {
	since time.Time // since is when the request arrived.
	held  uint64
	reply func(Answer)
}

func (th *thread) isLeader() bool {
	return th.vo != nil && th.vo.formed && th.vo.failed == nil && th.vo.st.Role() == quorum.Leader
}

// reject answers with a reason and the known leader, unless that is this instance.
func (th *thread) reject(reply func(Answer), reason string) {
	name := th.leaderName()
	if name == th.nd.cf.Name {
		name = ""
	}
	reply(Answer{Leader: name, Reason: reason})
}

func (th *thread) handleRequest(ev requestReceived) {
	switch ms := ev.ms.(type) {
	case Proposal:
		th.handleProposal(ms, ev.reply)
	case ReadRequest:
		th.handleRead(ms, ev.reply)
	case EvacuationRequest:
		th.handleOrder(ms, ev.reply)
	}
}

// handleProposal appends a document. A proposal of a version that is already appended waits
// for that entry; a version that is already committed is acknowledged by any instance.
func (th *thread) handleProposal(ms Proposal, reply func(Answer)) {
	switch {
	case ms.Version <= th.nd.newest.Load().Version:
		reply(Answer{OK: true})
		return
	case !th.isLeader():
		th.reject(reply, reasonNotLeader)
		return
	case len(th.pendingProposals)+len(th.pendingOrders) >= maxInFlight || th.leading.inFlightBytes > 0 && th.leading.inFlightBytes+len(ms.Data) > maxInFlightBytes:
		th.reject(reply, reasonBusy)
		return
	}
	now := th.now()
	th.pendingProposals = append(th.pendingProposals, pendingProposal{version: ms.Version, bytes: len(ms.Data), since: now, reply: reply})
	if ms.Version <= th.leading.proposedVersion {
		return
	}
	th.leading.proposedVersion = ms.Version
	th.leading.inFlightBytes += len(ms.Data)
	do := document{Version: ms.Version, Data: ms.Data}
	th.step(quorum.Propose{Now: now, Data: command{Document: &do}.encode()})
}

// handleRead records a read and asks the voters whether this instance still leads.
func (th *thread) handleRead(ms ReadRequest, reply func(Answer)) {
	switch {
	case !th.isLeader():
		th.reject(reply, reasonNotLeader)
	case len(th.pendingReads) >= maxInFlight:
		th.reject(reply, reasonBusy)
	default:
		th.pendingReads = append(th.pendingReads, pendingRead{since: th.now(), held: ms.Held, reply: reply})
		th.step(quorum.Probe{Now: th.now()})
	}
}

// completeRequests answers the requests that are complete and closes a disk that failed.
func (th *thread) completeRequests() {
	th.closeUnusable()
	if !th.isLeader() {
		th.completeResigns()
		return
	}
	vo := th.vo
	if vo.st.Commit() == vo.st.Last() {
		th.leading.inFlightBytes = 0
	}
	if do := vo.sm.Document; do.Version > th.leading.broadcastVersion {
		// The followers learn of the commit now instead of with the next heartbeat.
		th.leading.broadcastVersion = do.Version
		th.step(quorum.Probe{Now: th.now()})
	}
	th.broadcastRevision()
	now := th.now()
	th.pendingProposals = slices.DeleteFunc(th.pendingProposals, func(pr pendingProposal) bool {
		if pr.version > vo.sm.Document.Version {
			return false
		}
		th.nd.lg.Info("document-committed", zap.Uint64("Version", pr.version), zap.Int("Bytes", pr.bytes),
			zap.Int64("Millis", now.Sub(pr.since).Milliseconds()))
		pr.reply(Answer{OK: true})
		return true
	})
	th.completeReads()
}

// completeReads answers the reads that a majority has confirmed.
//
// A leader whose process was paused may have been replaced without knowing it; it would
// return a document older than one acknowledged since. Therefore a majority must have
// acknowledged a message that was sent after the read arrived, which shows that they
// followed no later leader by then. Also, an entry of the leader's own term must be
// applied, and with it all entries that earlier leaders acknowledged.
func (th *thread) completeReads() {
	vo := th.vo
	if !vo.st.CommittedInTerm() || vo.appliedIndex != vo.st.Commit() {
		return
	}
	contact := vo.st.LastQuorumContact()
	th.pendingReads = slices.DeleteFunc(th.pendingReads, func(rd pendingRead) bool {
		if !contact.After(rd.since) {
			return false
		}
		do := vo.sm.Document
		an := Answer{OK: true, Version: do.Version}
		if an.Same = do.Version == rd.held; !an.Same {
			an.Data = do.Data
		}
		rd.reply(an)
		return true
	})
}

// rejectPending rejects all pending requests of an instance that no longer leads. Their
// proposals may or may not be committed; the requesters ask the next leader.
func (th *thread) rejectPending(reason string) {
	prs, rds, ors := th.pendingProposals, th.pendingReads, th.pendingOrders
	th.pendingProposals, th.pendingReads, th.pendingOrders = nil, nil, nil
	for _, pr := range prs {
		th.reject(pr.reply, reason)
	}
	for _, rd := range rds {
		th.reject(rd.reply, reason)
	}
	for _, or := range ors {
		th.reject(or.reply, reason)
	}
}

func (th *thread) resign(done chan struct{}) {
	vo := th.vo
	if !th.isLeader() {
		close(done)
	} else {
		th.pendingResigns = append(th.pendingResigns, done)
	}
	if vo != nil && vo.formed {
		th.nd.lg.Info("resigning", zap.String("Role", string(vo.st.Role())))
		th.step(quorum.Resign{Now: th.now()})
	}
}

// completeResigns completes resignations once another instance leads.
func (th *thread) completeResigns() {
	if len(th.pendingResigns) == 0 {
		return
	}
	if vo := th.vo; vo != nil && vo.formed && vo.st.Leader() == "" && vo.st.Voters().HasVoter(vo.id) && len(vo.st.Voters().Voters) > 1 {
		return
	}
	for _, done := range th.pendingResigns {
		close(done)
	}
	th.pendingResigns = nil
}

// pushToNonMembers sends committed state to all instances that don't receive the log.
func (th *thread) pushToNonMembers(ms peer.Message) {
	for _, pr := range th.nd.links.latestReports() {
		if !th.isMember(pr.report.ID) {
			th.pushTo(pr, ms)
		}
	}
}

// pushMissing sends committed state to instances that report an older version, in case an
// earlier message was lost.
func (th *thread) pushMissing(now time.Time, prs []peerReport) {
	if !th.isLeader() {
		return
	}
	do, st := th.vo.sm.Document, th.vo.sm.Evacuations
	for _, pr := range prs {
		if th.isMember(pr.report.ID) {
			continue
		}
		pu := th.pushes[pr.report.Name]
		retry := pu.start != pr.report.Start || now.Sub(pu.at) >= pushRetryInterval
		if pr.report.Version < do.Version && (retry || pu.version != do.Version) {
			th.pushTo(pr, Document(do))
		}
		if pr.report.Revision < st.Revision && (retry || pu.revision != st.Revision) {
			th.pushTo(pr, Evacuations{Set: st})
		}
	}
}

func (th *thread) pushTo(pr peerReport, ms peer.Message) {
	li := th.nd.links.find(pr.report.Name)
	if li == nil {
		return
	}
	pu := th.pushes[pr.report.Name]
	pu.start, pu.at = pr.report.Start, th.now()
	switch ms := ms.(type) {
	case Document:
		pu.version = ms.Version
	case Evacuations:
		pu.revision = ms.Set.Revision
	}
	th.pushes[pr.report.Name] = pu
	_ = li.co.Send(ms) // A lost message is sent again.
}

func (th *thread) isMember(id quorum.ID) bool {
	vs := th.vo.st.Voters()
	return vs.HasVoter(id) || vs.HasLearner(id)
}

// proposeAddresses adds missing addresses of voters and learners to the log, so that the
// members find each other after a restart.
func (th *thread) proposeAddresses(now time.Time) {
	if !th.isLeader() || !th.vo.st.CommittedInTerm() {
		return
	}
	for _, me := range th.linkedMembers() {
		th.proposeAddress(now, me)
	}
	th.proposeAddress(now, Member{Name: th.nd.cf.Name, Address: th.nd.cf.Address})
}

func (th *thread) proposeAddress(now time.Time, me Member) {
	vs := th.vo.st.Voters()
	of := func(id quorum.ID) bool { return instanceOf(id) == me.Name }
	if !slices.ContainsFunc(vs.Voters, of) && !slices.ContainsFunc(vs.Learners, of) {
		return
	}
	if th.vo.sm.address(me.Name) == me.Address || now.Sub(th.leading.addressProposedAt[me.Name]) < th.nd.cf.ElectionTimeout {
		return
	}
	th.leading.addressProposedAt[me.Name] = now
	th.step(quorum.Propose{Now: th.now(), Data: command{Member: &me}.encode()})
}
