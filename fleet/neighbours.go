package fleet

import (
	"context"
	"slices"
	"time"

	"balsamwinch.example/quorum"
)

// rememberMembers records the linked instances and those listed in their reports.
func (th *thread) rememberMembers(now time.Time, prs []peerReport) {
	for _, pr := range prs {
		for _, me := range pr.report.Members {
			if re, ok := th.knownInstances[me.Name]; !ok || re.address == me.Address {
				th.knownInstances[me.Name] = knownInstance{address: me.Address, lastSeen: now}
			}
		}
	}
	for _, pr := range prs {
		th.knownInstances[pr.report.Name] = knownInstance{address: pr.report.Address, lastSeen: now}
	}
	delete(th.knownInstances, th.nd.cf.Name)
	mes := th.knownMembers()
	if slices.Equal(mes, th.members) {
		return
	}
	th.members = mes
	th.nd.ob.MembersChanged(slices.Clone(mes))
}

// expireMembers removes instances that nobody has been linked with for memberTTL.
func (th *thread) expireMembers(now time.Time) {
	for name, re := range th.knownInstances {
		if now.Sub(re.lastSeen) >= memberTTL {
			delete(th.knownInstances, name)
		}
	}
}

// knownMembers returns this instance, the voters and the remembered instances, by name.
func (th *thread) knownMembers() []Member {
	mes := []Member{{Name: th.nd.cf.Name, Address: th.nd.cf.Address}}
	for name, re := range th.knownInstances {
		mes = append(mes, Member{Name: name, Address: re.address})
	}
	for _, me := range th.loggedMembers() {
		if _, ok := th.knownInstances[me.Name]; !ok && me.Name != th.nd.cf.Name {
			mes = append(mes, me)
		}
	}
	slices.SortFunc(mes, compareMembers)
	return mes
}

// loggedMembers returns the voters and learners whose addresses are in the log.
func (th *thread) loggedMembers() []Member {
	if th.vo == nil || !th.vo.formed {
		return nil
	}
	return th.vo.sm.Members
}

// updateDialers keeps a dialler for each seed and known member, and stops all others.
func (th *thread) updateDialers() {
	targets := make(map[string]bool)
	for _, address := range th.seeds {
		targets[address] = true
	}
	for _, me := range th.members {
		targets[me.Address] = true
	}
	delete(targets, th.nd.cf.Address)
	delete(targets, "")
	for address, stop := range th.dialers {
		if !targets[address] {
			stop()
			delete(th.dialers, address)
		}
	}
	for address := range targets {
		if _, ok := th.dialers[address]; ok {
			continue
		}
		ctx, stop := context.WithCancel(th.ctx)
		th.dialers[address] = stop
		th.wg.Go(func() { th.nd.maintainLink(ctx, address) })
	}
}

// requestClearance asks all linked instances that are not in the voter set on the disk
// whether this instance may vote. While it was down, all members of that set may have been
// replaced, and it would wait for their answers for ever.
func (th *thread) requestClearance() {
	for _, pr := range th.nd.links.latestReports() {
		if id := pr.report.ID; id != "" && !th.isMember(id) {
			th.step(quorum.RequestClearance{Now: th.now(), To: id})
		}
	}
}

// requestMembership repeats the report to the instances that may add this one to the voters
// and send it documents: to the leader if it is known, else to all.
func (th *thread) requestMembership() {
	re := th.currentReport()
	re.Sequence = th.nd.reportSequence.Add(1)
	th.nd.report.Store(&re)
	if li := th.nd.links.find(th.leaderName()); li != nil {
		_ = li.co.Send(ReportUpdate{Report: re})
		return
	}
	for _, li := range th.nd.links.newestPerInstance() {
		_ = li.co.Send(ReportUpdate{Report: re})
	}
}

// linkedMembers returns the voters and the linked instances. Instances that are only
// remembered are left out: two instances would keep reminding each other of a third for
// ever.
func (th *thread) linkedMembers() []Member {
	mes := slices.Clone(th.loggedMembers())
	for _, pr := range th.nd.links.latestReports() {
		me := Member{Name: pr.report.Name, Address: pr.report.Address}
		mes = slices.DeleteFunc(mes, func(ot Member) bool { return ot.Name == me.Name })
		mes = append(mes, me)
	}
	slices.SortFunc(mes, compareMembers)
	return mes
}

// leaderName returns the name of the known leader, or "".
func (th *thread) leaderName() string {
	if vo := th.vo; vo != nil && vo.formed && vo.st.Leader() != "" {
		return instanceOf(vo.st.Leader())
	}
	return newestLeader(th.nd.links.latestReports())
}
