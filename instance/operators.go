package instance

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"balsamwinch.example/control"
	"balsamwinch.example/fanout"
	"balsamwinch.example/member"
	"balsamwinch.example/operator"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
	"balsamwinch.example/settings"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/view"
)

// threadStatus is the status of the control thread.
type threadStatus struct {
	control   control.StatusReply
	leads     bool
	leader    string
	conflicts []member.AddressConflict
}

func (th *thread) status() threadStatus {
	ss := threadStatus{leader: th.leader, conflicts: th.me.AddressConflicts()}
	if th.vo != nil {
		ss.control = th.vo.status()
		ss.leads = th.vo.leads(th.ts.Now())
	}
	return ss
}

// Change commits a change and waits until it is in force.
func (in *Instance) Change(ctx context.Context, cr operator.ChangeRequest) (operator.ChangeReply, error) {
	cm := control.Change{ChangeID: cr.ChangeID, Author: cr.Author}
	for _, fc := range cr.Files {
		cm.Files = append(cm.Files, control.FileChange(fc))
	}
	oc, err := in.lc.propose(ctx, proposeTimeout, cm)
	if err != nil {
		return operator.ChangeReply{}, err
	}
	co, ok := oc.(control.ChangeOutcome)
	if !ok {
		return operator.ChangeReply{}, &result.Error{Code: result.ControlUnavailable, Op: "change", Detail: "unexpected outcome"}
	}
	cp := operator.ChangeReply{Code: co.Code, Revision: co.Revision, Faults: co.Faults}
	if co.Conflict != nil {
		cf := operator.Conflict(*co.Conflict)
		cp.Conflict = &cf
	}
	if co.Code == result.Pending {
		cp.WaitingFor = in.leaderStatus(ctx).WaitingFor
	}
	return cp, nil
}

// leaderStatus asks the leader for its status, and returns an empty one if no leader replies
// in time.
func (in *Instance) leaderStatus(ctx context.Context) control.StatusReply {
	var rp control.StatusReply
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = in.lc.call(ctx, callTimeout, control.StatusRequest{}, func(ms peer.Message) (string, bool) {
		got, ok := ms.(control.StatusReply)
		if !ok || got.Role != string(quorum.Leader) {
			return got.Leader, false
		}
		rp = got
		return "", true
	})
	return rp
}

// Files lists the accepted files.
func (in *Instance) Files(ctx context.Context) (operator.FilesReply, error) {
	var fr operator.FilesReply
	err := in.lc.call(ctx, callTimeout, filesRequest{}, func(ms peer.Message) (string, bool) {
		rp, ok := ms.(filesReply)
		if !ok || !rp.OK {
			return rp.Leader, false
		}
		fr.Revision = rp.Revision
		for _, fi := range rp.Files {
			fr.Files = append(fr.Files, operator.StoredFile{
				Name: fi.Name, Content: fi.Content, Revision: fi.Revision, Author: fi.Author, ChangeID: fi.ChangeID,
			})
		}
		return "", true
	})
	return fr, err
}

// Status describes the tier as this instance sees it.
func (in *Instance) Status(ctx context.Context) (operator.Status, error) {
	vi := in.ce.Load()
	ss := in.threadStatus()
	ls := in.leaderStatus(ctx)
	st := operator.Status{
		Instance:  in.cf.Name,
		Leader:    ls.Leader,
		Term:      ls.Term,
		Revision:  vi.Configuration.Revision,
		Voters:    in.voters(ls.Voters, ls.Learners),
		Instances: instances(vi, ls.Holders, in.ts.Now()),
		Services:  services(vi),
		Servers:   in.servers(vi),
	}
	if st.Leader == "" {
		st.Leader = ss.leader
	}
	return st, nil
}

func (in *Instance) voters(voters, learners []string) []operator.VoterStatus {
	var vs []operator.VoterStatus
	for _, id := range voters {
		name := nameOf(quorum.ID(id))
		vs = append(vs, operator.VoterStatus{ID: id, Name: name, Address: in.peerAddress(name)})
	}
	for _, id := range learners {
		name := nameOf(quorum.ID(id))
		vs = append(vs, operator.VoterStatus{ID: id, Name: name, Address: in.peerAddress(name), Learner: true})
	}
	return vs
}

func instances(vi *view.View, hos []control.Holder, now time.Time) []operator.InstanceStatus {
	var out []operator.InstanceStatus
	for _, ot := range vi.Instances {
		is := operator.InstanceStatus{
			Name:       ot.Name,
			Region:     ot.Region,
			DataCentre: ot.DataCentre,
			Draining:   ot.Draining,
			Addresses: settings.Addresses{
				Caller: ot.CallerAddress, Backend: ot.BackendAddress, Operator: ot.OperatorAddress, Peer: ot.PeerAddress,
			},
		}
		if ot.Entry {
			is.Roles = append(is.Roles, settings.Entry)
		}
		ix := slices.IndexFunc(hos, func(ho control.Holder) bool { return ho.Instance.Name == ot.Name })
		if ix >= 0 {
			is.InForce = hos[ix].InForce
			is.LeaseMillis = max(0, hos[ix].Until.Sub(now).Milliseconds())
		}
		out = append(out, is)
	}
	return out
}

// services returns, for each service, the snapshot that a query would pin and the shards that
// no server announces.
func services(vi *view.View) []operator.ServiceStatus {
	var out []operator.ServiceStatus
	for name, se := range vi.Configuration.Services {
		hos, pas := fanout.PlanInputs(se, vi.Servers)
		cv, _ := snapshot.Choose(pas, hos, nil)
		ss := operator.ServiceStatus{Name: name, Policy: se.Policy, Snapshot: cv.Snapshot, Shards: len(cv.Shards)}
		for _, sh := range cv.Shards {
			if slices.ContainsFunc(hos, func(ho snapshot.Holder) bool { return ho.Shard == sh && ho.Snapshot == cv.Snapshot }) {
				ss.Covered++
				continue
			}
			ss.Unannounced = append(ss.Unannounced, sh)
		}
		if len(cv.Shards) == 0 && len(se.Partitions) > 0 {
			ss.Unannounced = se.Partitions[len(se.Partitions)-1].Shards
			ss.Shards = len(ss.Unannounced)
		}
		out = append(out, ss)
	}
	slices.SortFunc(out, func(aa, bb operator.ServiceStatus) int { return strings.Compare(aa.Name, bb.Name) })
	return out
}

func (in *Instance) servers(vi *view.View) []operator.ServerStatus {
	var out []operator.ServerStatus
	for _, re := range vi.Servers {
		sv, _ := in.ta.Server(in.ts.Now(), re.Server)
		running, held := sv.InFlight()
		out = append(out, operator.ServerStatus{
			InFlight:    running + held,
			SetAside:    string(sv.Reason()),
			Name:        re.Server,
			Service:     re.Service,
			Address:     re.Address,
			DataCentre:  re.DataCentre,
			State:       string(re.State),
			Incarnation: re.Incarnation,
			Slots:       re.Slots,
			Connections: in.cl.Stats(re.Server).Open,
		})
	}
	return out
}

// Audit returns the leader's audit entries, starting at the given number.
func (in *Instance) Audit(ctx context.Context, from uint64) (operator.AuditReply, error) {
	var ar operator.AuditReply
	err := in.lc.call(ctx, callTimeout, control.AuditRequest{From: from, Limit: maxAuditEntries}, func(ms peer.Message) (string, bool) {
		rp, ok := ms.(control.AuditReply)
		if !ok || !rp.OK {
			return rp.Leader, false
		}
		ar.Entries = nil
		for _, en := range rp.Entries {
			ar.Entries = append(ar.Entries, auditEntry(en))
		}
		ar.More = len(rp.Entries) > 0 && rp.Entries[len(rp.Entries)-1].Number < rp.Head.Number
		return "", true
	})
	return ar, err
}

func auditEntry(en control.AuditEntry) operator.AuditEntry {
	oe := operator.AuditEntry{
		Number: en.Number, When: en.When, Author: en.Author, ChangeID: en.ChangeID, Code: en.Code,
		Revision: en.Revision, Detail: en.Detail, Previous: en.Previous, Hash: en.Hash,
	}
	for _, fi := range en.Files {
		oe.Files = append(oe.Files, operator.AuditFile(fi))
	}
	return oe
}

// Explain returns what this instance knows of a subject: a backend server, a service, a
// change, a request or the leader.
func (in *Instance) Explain(ctx context.Context, subject string) (operator.Explanation, error) {
	ex := operator.Explanation{Subject: subject}
	vi := in.ce.Load()
	ex.Lines = append(ex.Lines, in.explainLeader(ctx, subject)...)
	ex.Lines = append(ex.Lines, in.explainServer(vi, subject)...)
	ex.Lines = append(ex.Lines, explainService(vi, subject)...)
	ex.Lines = append(ex.Lines, in.explainChange(ctx, subject)...)
	ex.Lines = append(ex.Lines, in.explainRequest(subject)...)
	if len(ex.Lines) == 0 {
		ex.Lines = []string{"nothing is known of it here: want a backend server, a service, a change id, a request id or \"leader\""}
	}
	return ex, nil
}

func (in *Instance) explainLeader(ctx context.Context, subject string) []string {
	if subject != "leader" {
		return nil
	}
	ls := in.leaderStatus(ctx)
	if ls.Leader == "" {
		return []string{"no leader answered: fewer than a majority of the voters reach each other, or an election is running"}
	}
	since := time.Duration(ls.LeaderSinceMillis) * time.Millisecond
	return []string{
		fmt.Sprintf("%s leads in term %d for %s", ls.Leader, ls.Term, since),
		fmt.Sprintf("voters %s, learners %s", strings.Join(ls.Voters, " "), strings.Join(ls.Learners, " ")),
		fmt.Sprintf("revision %d, waiting for %d instances", ls.Revision, len(ls.WaitingFor)),
	}
}

func (in *Instance) explainServer(vi *view.View, subject string) []string {
	var out []string
	for _, re := range vi.Servers {
		if re.Server != subject {
			continue
		}
		out = append(out, fmt.Sprintf("announced as %s, incarnation %d, %d slots, %d holdings", re.State, re.Incarnation, re.Slots, len(re.Holdings)))
		for name, se := range vi.Configuration.Services {
			if slices.Contains(se.Exclude, subject) {
				out = append(out, "service "+name+" excludes it")
			}
		}
		st := in.cl.Stats(subject)
		out = append(out, fmt.Sprintf("%d connections open, %d abandoned as silent, %d closed after a crossed reply", st.Open, st.Silent, st.Mismatched))
		if sv, ok := in.ta.Server(in.ts.Now(), subject); ok {
			running, held := sv.InFlight()
			out = append(out, fmt.Sprintf("used as %s %s: %d requests in flight, %d given up but not proved stopped, at most %.1f, latency %s",
				sv.State(), sv.Reason(), running, held, sv.Limit(), sv.Latency()))
		}
	}
	for _, cf := range in.threadStatus().conflicts {
		if cf.Loser == subject {
			out = append(out, fmt.Sprintf("gets no work: %s claims the same address %s later", cf.Winner, cf.Address))
		}
	}
	return out
}

func explainService(vi *view.View, subject string) []string {
	for _, ss := range services(vi) {
		if ss.Name != subject {
			continue
		}
		out := []string{fmt.Sprintf("a query would pin snapshot %s: %d of %d shards announced", ss.Snapshot, ss.Covered, ss.Shards)}
		for _, sh := range ss.Unannounced {
			out = append(out, "no selected backend server announces shard "+sh)
		}
		return out
	}
	return nil
}

func (in *Instance) explainChange(ctx context.Context, subject string) []string {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out []string
	for from := uint64(0); ; {
		ar, err := in.Audit(ctx, from)
		if err != nil || len(ar.Entries) == 0 {
			return out
		}
		for _, en := range ar.Entries {
			if en.ChangeID == subject {
				out = append(out, fmt.Sprintf("change %d by %s at %s: %s, revision %d %s", en.Number, en.Author, en.When.Format(time.RFC3339), en.Code, en.Revision, en.Detail))
			}
			from = en.Number + 1
		}
		if !ar.More {
			return out
		}
	}
}

func (in *Instance) explainRequest(subject string) []string {
	var out []string
	for _, an := range in.en.RecentIncomplete() {
		if an.RequestID != subject {
			continue
		}
		out = append(out, fmt.Sprintf("answered %s from snapshot %s: %d shards covered, %d missing %s", an.Code, an.Snapshot, len(an.Covered), len(an.Missing), an.Detail))
		for _, mi := range an.Missing {
			out = append(out, fmt.Sprintf("shard %s is missing: %s", mi.Shard, mi.Reason))
		}
	}
	return out
}

// Drain starts a graceful stop of this instance.
func (in *Instance) Drain(_ context.Context, dr operator.DrainRequest) (operator.DrainReply, error) {
	if dr.Instance != "" && dr.Instance != in.cf.Name {
		return operator.DrainReply{}, &result.Error{
			Code: result.Invalid, Op: "drain", Detail: fmt.Sprintf("want %s, this is %s", dr.Instance, in.cf.Name),
		}
	}
	in.Stop()
	return operator.DrainReply{Instance: in.cf.Name, StopsWithinMillis: in.drainTimeout().Milliseconds()}, nil
}

// ChangeVoters changes the set of voters.
func (in *Instance) ChangeVoters(ctx context.Context, vr operator.VotersRequest) (operator.VotersReply, error) {
	var out operator.VotersReply
	err := in.lc.call(ctx, callTimeout, votersRequest{Request: vr}, func(ms peer.Message) (string, bool) {
		rp, ok := ms.(votersReply)
		if !ok || !rp.OK {
			return rp.Leader, false
		}
		out.Detail = rp.Detail
		out.Voters = in.voters(idStrings(rp.Voters.Voters), idStrings(rp.Voters.Learners))
		return "", true
	})
	return out, err
}
