package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
)

const (
	// inFlight bounds the proposals, and the reads, that wait at a leader.
	inFlight = 64
	// inFlightBytes bounds what is appended and not committed.
	inFlightBytes = 2 << 20
)

// The reasons why a request is not served.
const (
	reasonBusy      = "too many requests wait"
	reasonNotLeader = "the instance does not lead"
)

// proposing is a proposal that waits for its commit.
type proposing struct {
	version uint64
	bytes   int
	since   time.Time
	reply   func(Answer)
}

// reading is a read that waits to be confirmed.
type reading struct {
	since time.Time // since is when it came.
	held  uint64
	reply func(Answer)
}

func (th *thread) leads() bool {
	return th.vo != nil && th.vo.formed && th.vo.failed == nil && th.vo.st.Role() == quorum.Leader
}

// refuse answers with whom to ask instead, unless that is this instance.
func (th *thread) refuse(reply func(Answer), reason string) {
	name := th.leaderName()
	if name == th.nd.cf.Name {
		name = ""
	}
	reply(Answer{Leader: name, Reason: reason})
}

func (th *thread) demanded(ev demanded) {
	switch ms := ev.ms.(type) {
	case Proposal:
		th.proposal(ms, ev.reply)
	case ReadRequest:
		th.reading(ms, ev.reply)
	case EvacuationOrder:
		th.order(ms, ev.reply)
	}
}

// proposal appends a document. One whose version is appended already waits for
// that; a version that is committed already is answered by any instance.
func (th *thread) proposal(ms Proposal, reply func(Answer)) {
	switch {
	case ms.Version <= th.nd.newest.Load().Version:
		reply(Answer{OK: true})
		return
	case !th.leads():
		th.refuse(reply, reasonNotLeader)
		return
	case len(th.proposals)+len(th.orders) >= inFlight || th.leading.flight > 0 && th.leading.flight+len(ms.Data) > inFlightBytes:
		th.refuse(reply, reasonBusy)
		return
	}
	now := th.now()
	th.proposals = append(th.proposals, proposing{version: ms.Version, bytes: len(ms.Data), since: now, reply: reply})
	if ms.Version <= th.leading.proposed {
		return
	}
	th.leading.proposed = ms.Version
	th.leading.flight += len(ms.Data)
	do := document{Version: ms.Version, Data: ms.Data}
	th.step(quorum.Propose{Now: now, Data: command{Document: &do}.encode()})
}

// reading notes a read and asks the voters whether this instance still leads.
func (th *thread) reading(ms ReadRequest, reply func(Answer)) {
	switch {
	case !th.leads():
		th.refuse(reply, reasonNotLeader)
	case len(th.reads) >= inFlight:
		th.refuse(reply, reasonBusy)
	default:
		th.reads = append(th.reads, reading{since: th.now(), held: ms.Held, reply: reply})
		th.step(quorum.Probe{Now: th.now()})
	}
}

// settle answers those whose wait is over, and sees to a disk that failed.
func (th *thread) settle() {
	th.drop()
	if !th.leads() {
		th.settleResigns()
		return
	}
	vo := th.vo
	if vo.st.Commit() == vo.st.Last() {
		th.leading.flight = 0
	}
	if do := vo.sm.Document; do.Version > th.leading.told {
		// The others learn of the commit now and not with the next heartbeat.
		th.leading.told = do.Version
		th.step(quorum.Probe{Now: th.now()})
	}
	th.probeRevision()
	now := th.now()
	th.proposals = slices.DeleteFunc(th.proposals, func(pr proposing) bool {
		if pr.version > vo.sm.Document.Version {
			return false
		}
		th.nd.lg.Info("document-committed", zap.Uint64("Version", pr.version), zap.Int("Bytes", pr.bytes),
			zap.Int64("Millis", now.Sub(pr.since).Milliseconds()))
		pr.reply(Answer{OK: true})
		return true
	})
	th.settleReads()
}

// settleReads answers the reads that a majority has confirmed.
//
// A leader that was frozen may have been replaced and not know it: it would show
// a document older than one that was acknowledged since. So a majority must have
// acknowledged something that was sent after the read came; none of it followed
// a later leader then. And an entry of the own term must be applied, and with it
// all that earlier leaders have acknowledged.
func (th *thread) settleReads() {
	vo := th.vo
	if !vo.st.CommittedInTerm() || vo.appliedIndex != vo.st.Commit() {
		return
	}
	contact := vo.st.LastQuorumContact()
	th.reads = slices.DeleteFunc(th.reads, func(rd reading) bool {
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

// abandon answers all who wait at an instance that no longer leads: what they
// proposed may or may not be committed, and they ask the next leader.
func (th *thread) abandon(reason string) {
	prs, rds, ors := th.proposals, th.reads, th.orders
	th.proposals, th.reads, th.orders = nil, nil, nil
	for _, pr := range prs {
		th.refuse(pr.reply, reason)
	}
	for _, rd := range rds {
		th.refuse(rd.reply, reason)
	}
	for _, or := range ors {
		th.refuse(or.reply, reason)
	}
}

func (th *thread) resign(done chan struct{}) {
	vo := th.vo
	if !th.leads() {
		close(done)
	} else {
		th.resigns = append(th.resigns, done)
	}
	if vo != nil && vo.formed {
		th.nd.lg.Info("resigning", zap.String("Role", string(vo.st.Role())))
		th.step(quorum.Resign{Now: th.now()})
	}
}

// settleResigns answers those who wait for another leader.
func (th *thread) settleResigns() {
	if len(th.resigns) == 0 {
		return
	}
	if vo := th.vo; vo != nil && vo.formed && vo.st.Leader() == "" && vo.st.Voters().HasVoter(vo.id) && len(vo.st.Voters().Voters) > 1 {
		return
	}
	for _, done := range th.resigns {
		close(done)
	}
	th.resigns = nil
}

// tellOutsiders sends what is committed to all that don't learn it from the log.
func (th *thread) tellOutsiders(ms peer.Message) {
	for _, pa := range th.nd.li.known() {
		if !th.inSet(pa.report.ID) {
			th.tell(pa, ms)
		}
	}
}

// pushState sends what is committed to those that report something older, in case an
// earlier message was lost.
func (th *thread) pushState(now time.Time, pas []partner) {
	if !th.leads() {
		return
	}
	do, st := th.vo.sm.Document, th.vo.sm.Evacuations
	for _, pa := range pas {
		if th.inSet(pa.report.ID) {
			continue
		}
		pu := th.pushed[pa.report.Name]
		again := pu.start != pa.report.Start || now.Sub(pu.at) >= pushPeriod
		if pa.report.Version < do.Version && (again || pu.version != do.Version) {
			th.tell(pa, Document(do))
		}
		if pa.report.Revision < st.Revision && (again || pu.revision != st.Revision) {
			th.tell(pa, Evacuations{Set: st})
		}
	}
}

func (th *thread) tell(pa partner, ms peer.Message) {
	li := th.nd.li.find(pa.report.Name)
	if li == nil {
		return
	}
	pu := th.pushed[pa.report.Name]
	pu.start, pu.at = pa.report.Start, th.now()
	switch ms := ms.(type) {
	case Document:
		pu.version = ms.Version
	case Evacuations:
		pu.revision = ms.Set.Revision
	}
	th.pushed[pa.report.Name] = pu
	_ = li.co.Send(ms) // It is sent again if it is lost.
}

func (th *thread) inSet(id quorum.ID) bool {
	vs := th.vo.st.Voters()
	return vs.HasVoter(id) || vs.HasLearner(id)
}

// name puts the addresses of voters and learners into the log where it lacks
// them, so that all know each other after a restart.
func (th *thread) name(now time.Time) {
	if !th.leads() || !th.vo.st.CommittedInTerm() {
		return
	}
	for _, me := range th.linked() {
		th.nameOne(now, me)
	}
	th.nameOne(now, Member{Name: th.nd.cf.Name, Address: th.nd.cf.Address})
}

func (th *thread) nameOne(now time.Time, me Member) {
	vs := th.vo.st.Voters()
	of := func(id quorum.ID) bool { return nameOf(id) == me.Name }
	if !slices.ContainsFunc(vs.Voters, of) && !slices.ContainsFunc(vs.Learners, of) {
		return
	}
	if th.vo.sm.address(me.Name) == me.Address || now.Sub(th.leading.named[me.Name]) < th.nd.cf.ElectionTimeout {
		return
	}
	th.leading.named[me.Name] = now
	th.step(quorum.Propose{Now: th.now(), Data: command{Member: &me}.encode()})
}
