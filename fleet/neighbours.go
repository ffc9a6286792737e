package fleet

import (
	"context"
	"slices"
	"time"

	"balsamwinch.example/quorum"
)

// remember notes who is there, and who they say is there.
func (th *thread) remember(now time.Time, pas []partner) {
	for _, pa := range pas {
		for _, me := range pa.report.Members {
			if re, ok := th.book[me.Name]; !ok || re.address == me.Address {
				th.book[me.Name] = remembered{address: me.Address, seen: now}
			}
		}
	}
	for _, pa := range pas {
		th.book[pa.report.Name] = remembered{address: pa.report.Address, seen: now}
	}
	delete(th.book, th.nd.cf.Name)
	mes := th.known()
	if slices.Equal(mes, th.members) {
		return
	}
	th.members = mes
	th.nd.ob.MembersChanged(slices.Clone(mes))
}

// forget drops those that nobody has been linked with for long.
func (th *thread) forget(now time.Time) {
	for name, re := range th.book {
		if now.Sub(re.seen) >= memberMemory {
			delete(th.book, name)
		}
	}
}

// known returns this instance, the voters and those remembered, by name.
func (th *thread) known() []Member {
	mes := []Member{{Name: th.nd.cf.Name, Address: th.nd.cf.Address}}
	for name, re := range th.book {
		mes = append(mes, Member{Name: name, Address: re.address})
	}
	for _, me := range th.stated() {
		if _, ok := th.book[me.Name]; !ok && me.Name != th.nd.cf.Name {
			mes = append(mes, me)
		}
	}
	slices.SortFunc(mes, compareMembers)
	return mes
}

// stated returns the voters and learners that the log names with an address.
func (th *thread) stated() []Member {
	if th.vo == nil || !th.vo.formed {
		return nil
	}
	return th.vo.sm.Members
}

// call keeps a dialler for each seed and known member, and ends those of others.
func (th *thread) call() {
	wanted := make(map[string]bool)
	for _, address := range th.seeds {
		wanted[address] = true
	}
	for _, me := range th.members {
		wanted[me.Address] = true
	}
	delete(wanted, th.nd.cf.Address)
	delete(wanted, "")
	for address, stop := range th.dials {
		if !wanted[address] {
			stop()
			delete(th.dials, address)
		}
	}
	for address := range wanted {
		if _, ok := th.dials[address]; ok {
			continue
		}
		ctx, stop := context.WithCancel(th.ctx)
		th.dials[address] = stop
		th.wg.Go(func() { th.nd.keep(ctx, address) })
	}
}

// greet asks all partners that the voter set on the disk lacks whether this
// instance may take part. While it was down, all that the set names may have been
// replaced, and nobody would answer it for ever.
func (th *thread) greet() {
	for _, pa := range th.nd.li.known() {
		if id := pa.report.ID; id != "" && !th.inSet(id) {
			th.step(quorum.RequestClearance{Now: th.now(), To: id})
		}
	}
}

// petition repeats the report to those who may add this instance to the voters
// and send it documents: the leader if it is known, else all.
func (th *thread) petition() {
	re := th.reporting()
	re.Sequence = th.nd.sequence.Add(1)
	th.nd.report.Store(&re)
	if li := th.nd.li.find(th.leaderName()); li != nil {
		_ = li.co.Send(ReportUpdate{Report: re})
		return
	}
	for _, li := range th.nd.li.each() {
		_ = li.co.Send(ReportUpdate{Report: re})
	}
}

// linked returns the partners and the voters. Those that are only remembered are
// left out: two instances would remind each other of a third for ever.
func (th *thread) linked() []Member {
	mes := slices.Clone(th.stated())
	for _, pa := range th.nd.li.known() {
		me := Member{Name: pa.report.Name, Address: pa.report.Address}
		mes = slices.DeleteFunc(mes, func(ot Member) bool { return ot.Name == me.Name })
		mes = append(mes, me)
	}
	slices.SortFunc(mes, compareMembers)
	return mes
}

// leaderName returns the name of the leader as far as is known, or "".
func (th *thread) leaderName() string {
	if vo := th.vo; vo != nil && vo.formed && vo.st.Leader() != "" {
		return nameOf(vo.st.Leader())
	}
	return leading(th.nd.li.known())
}
