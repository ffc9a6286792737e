package instance

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"balsamwinch.example/control"
	"balsamwinch.example/operator"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
	"balsamwinch.example/view"
)

// handleRenewal grants or refuses a lease. Only a leader that cannot have been replaced yet
// grants, so that two leaders never grant leases at the same time.
func (vo *voter) handleRenewal(rn control.Renewal) control.Grant {
	now := vo.th.ts.Now()
	gr := control.Grant{Term: vo.st.Term(), Leader: nameOf(vo.leader)}
	if !vo.leads(now) {
		gr.Reason = "not the leader"
		return gr
	}
	bo, ok, reason := vo.bo.WithRenewal(now, rn, maxEntries(vo.sm.Configuration()))
	vo.bo = bo
	gr.Granted = ok
	gr.Reason = reason
	gr.LeaseMillis = bo.LeaseMillis()
	gr.Revision = vo.sm.Revision()
	ro := vo.rosterAt(now)
	gr.Roster = ro.digest
	if ro.digest != rn.Roster {
		gr.Instances = ro.list
	}
	gr.Entries = bo.Divisor(rn.Instance)
	if gr.Revision > rn.InForce {
		gr.Newer = true
		gr.Names, gr.Files = changedSince(vo.sm.Files(), rn.InForce)
	}
	vo.resolveWaiting(now)
	return gr
}

// changedSince returns the names of all files, and the files that changed after the revision.
// Sending all files to every instance would cost their size times the number of instances for
// each change.
func changedSince(all []control.File, revision uint64) (names []string, changed []control.File) {
	for _, fi := range all {
		names = append(names, fi.Name)
		if fi.Revision > revision {
			changed = append(changed, fi)
		}
	}
	return names, changed
}

// roster is the list of lease holders and its digest.
type roster struct {
	at     time.Time
	list   []view.Instance
	digest uint64
}

// rosterAt returns the list of lease holders, which may be up to rosterTTL old. With many
// instances nearly every renewal would get the list that the instance already has, so it is
// neither built nor sent each time.
func (vo *voter) rosterAt(now time.Time) roster {
	if now.Sub(vo.roster.at) < rosterTTL {
		return vo.roster
	}
	vo.roster = roster{at: now, list: vo.bo.Instances(now)}
	data, err := cbor.Marshal(vo.roster.list)
	if err != nil {
		vo.th.lg.Error("roster-not-encoded", zap.Error(err))
		return vo.roster
	}
	vo.roster.digest = xxhash.Sum64(data)
	return vo.roster
}

// handleProposal appends a command, stamped with the leader's clock, to the log. The reply is
// sent once the command is applied, and for a change once it is in force.
func (vo *voter) handleProposal(ms control.Proposal, reply chan<- peer.Message) {
	now := vo.th.ts.Now()
	if !vo.leads(now) {
		reply <- control.ProposalReply{Code: result.NotLeader, Leader: vo.leaderHint()}
		return
	}
	cm, err := control.Decode(ms.Command)
	if err != nil {
		reply <- control.ProposalReply{Code: result.Invalid}
		return
	}
	data, err := control.Encode(withTimestamp(cm, now))
	if err != nil {
		reply <- control.ProposalReply{Code: result.Invalid}
		return
	}
	vo.lastTag++
	vo.proposed[vo.lastTag] = pendingProposal{reply: reply}
	vo.step(quorum.Propose{Now: now, Tag: vo.lastTag, Data: data})
}

// leaderHint names the leader to try next. It is empty if that is this voter, which cannot act
// as the leader yet.
func (vo *voter) leaderHint() string {
	if vo.leader == vo.id {
		return ""
	}
	return nameOf(vo.leader)
}

func withTimestamp(cm control.Command, now time.Time) control.Command {
	switch cm := cm.(type) {
	case control.Change:
		cm.When = now
		return cm
	case control.BeginIntent:
		cm.When = now
		return cm
	case control.FinishIntent:
		cm.When = now
		return cm
	default:
		return cm
	}
}

// handleFormation replies to a control instance that starts. If its disk is not the one that
// votes under its name, the leader starts to replace the old disk. It does not if the old disk
// was heard from recently: then two processes claim one name, and operators must decide.
func (vo *voter) handleFormation(from string, rq formationRequest) formationReply {
	rp := formationReply{ID: vo.id, Formed: vo.formed && vo.appliedIndex > 0}
	if !rp.Formed {
		return rp
	}
	rp.Voters = vo.st.VotersAt(vo.appliedIndex)
	now := vo.th.ts.Now()
	if nameOf(rq.ID) != from || !vo.leads(now) || includes(rp.Voters, rq.ID) {
		return rp
	}
	old, ok := findByName(rp.Voters.Voters, from)
	silenceTimeout := replaceAfterElectionTimeouts * vo.th.cf.Timing.Election
	if now.Sub(vo.lastReceived[old]) < silenceTimeout || now.Sub(vo.leaderSince) < silenceTimeout {
		return rp
	}
	if ok {
		vo.step(quorum.ChangeVoters{Now: now, Add: rq.ID})
	}
	return rp
}

func includes(vs quorum.VoterSet, id quorum.ID) bool {
	return vs.HasVoter(id) || vs.HasLearner(id)
}

func findByName(ids []quorum.ID, name string) (quorum.ID, bool) {
	for _, id := range ids {
		if nameOf(id) == name {
			return id, true
		}
	}
	return "", false
}

// removeReplaced removes a lost disk whose replacement is a voter. A replacement becomes a
// voter only once it has caught up, so that the state is still on a majority if a second
// instance fails right after the repair.
func (vo *voter) removeReplaced(now time.Time) {
	if !vo.leads(now) {
		return
	}
	if old, ok := replacedVoter(vo.st.VotersAt(vo.appliedIndex)); ok {
		vo.step(quorum.ChangeVoters{Now: now, Remove: old})
	}
}

// replacedVoter returns a lost disk whose replacement is a voter: of two voters of one instance
// the earlier in the list. Another disk of an instance is added only to replace a lost one, and
// each disk is appended to the list when it becomes a voter.
//
// The voter set in the log thus records the replacement, and each later leader finishes it,
// also if a program of an earlier release led in between. If it were kept in the leader's memory,
// it would be forgotten with the loss of leadership, and the lost disk would stay a voter.
func replacedVoter(vs quorum.VoterSet) (quorum.ID, bool) {
	for po, old := range vs.Voters {
		if _, ok := findByName(vs.Voters[po+1:], nameOf(old)); ok {
			return old, true
		}
	}
	return "", false
}

func (vo *voter) status() control.StatusReply {
	now := vo.th.ts.Now()
	rp := control.StatusReply{
		Instance:  vo.th.self.Name,
		Role:      string(vo.role),
		Leader:    nameOf(vo.leader),
		Applied:   vo.appliedIndex,
		Revision:  vo.sm.Revision(),
		AuditHead: vo.sm.AuditHead(),
		Intents:   vo.sm.Intents(),
	}
	if !vo.formed {
		return rp
	}
	rp.Term = vo.st.Term()
	rp.Commit = vo.st.Commit()
	if !vo.leaderSince.IsZero() {
		rp.LeaderSinceMillis = now.Sub(vo.leaderSince).Milliseconds()
	}
	vs := vo.st.Voters()
	rp.Voters = idStrings(vs.Voters)
	rp.Learners = idStrings(vs.Learners)
	if vo.leads(now) {
		rp.Holders = vo.bo.Holders(now)
		_, rp.WaitingFor = vo.bo.InForce(now, rp.Revision)
	}
	return rp
}

func idStrings(ids []quorum.ID) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, string(id))
	}
	return out
}

// audit returns audit entries. Only the leader does: another voter may not have received a
// change whose operator already has the reply.
func (vo *voter) audit(rq control.AuditRequest) control.AuditReply {
	if !vo.leads(vo.th.ts.Now()) {
		return control.AuditReply{Leader: vo.leaderHint()}
	}
	limit := rq.Limit
	if limit <= 0 || limit > maxAuditEntries {
		limit = maxAuditEntries
	}
	ens := vo.sm.Audit(rq.From)
	return control.AuditReply{
		OK:      true,
		Entries: ens[:min(len(ens), limit)],
		Base:    vo.sm.AuditBase(),
		Head:    vo.sm.AuditHead(),
	}
}

// files returns the accepted files. Only the leader does: another voter may not have received
// the newest change, and its operator would base an edit on old content.
func (vo *voter) files() filesReply {
	if !vo.leads(vo.th.ts.Now()) {
		return filesReply{Leader: vo.leaderHint()}
	}
	return filesReply{OK: true, Revision: vo.sm.Revision(), Files: vo.sm.Files()}
}

func (vo *voter) changeVoters(ms votersRequest) votersReply {
	now := vo.th.ts.Now()
	if !vo.leads(now) {
		return votersReply{Leader: vo.leaderHint()}
	}
	vs := vo.st.Voters()
	rp := votersReply{OK: true, Voters: vs}
	switch ms.Request.Action {
	case operator.RemoveVoter:
		id, ok := findByName(append(vs.Voters, vs.Learners...), ms.Request.Name)
		if !ok {
			rp.Detail = "already removed"
			return rp
		}
		vo.step(quorum.ChangeVoters{Now: now, Remove: id})
		rp.Detail = "removal proposed"
	default:
		rp.Detail = "a control instance that starts with another disk asks to be added by itself"
	}
	rp.Voters = vo.st.Voters()
	return rp
}
