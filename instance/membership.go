package instance

import (
	"slices"

	"balsamwinch.example/backend"
	"balsamwinch.example/member"
	"balsamwinch.example/view"
)

func (th *thread) handleAnnouncement(ev serverAnnounced) {
	th.stepMember(member.Announced{Now: th.ts.Now(), Record: ev.re})
	rp := backend.AnnounceReply{Instance: th.self.Name, RepeatMillis: announceInterval.Milliseconds()}
	for _, in := range th.instancesByDistance() {
		if !in.Draining && in.BackendAddress != "" {
			rp.Instances = append(rp.Instances, in.BackendAddress)
		}
	}
	ev.reply <- rp
}

// instancesByDistance returns the instances, the nearest first: those in the same data centre,
// then those in the same region.
func (th *thread) instancesByDistance() []view.Instance {
	ins := slices.Clone(th.instances)
	slices.SortStableFunc(ins, func(aa, bb view.Instance) int {
		return distance(th.self, aa) - distance(th.self, bb)
	})
	return ins
}

func distance(from, to view.Instance) int {
	switch {
	case from.DataCentre == to.DataCentre:
		return 0
	case from.Region == to.Region:
		return 1
	default:
		return 2
	}
}

// stepMember passes an event to the membership protocol and sends the messages that it
// returns.
func (th *thread) stepMember(ev member.Event) {
	me, acs := member.Step(th.me, ev)
	th.me = me
	th.refreshMembers()
	for _, ac := range acs {
		switch ac := ac.(type) {
		case member.Send:
			th.send(ac.To, ac.Address, ac.Message)
		}
	}
}

// refreshMembers takes over the lists of instances and backend servers, and marks the view as
// outdated only if they changed. Most membership events change nothing, and building a view
// costs in proportion to the number of backend servers.
func (th *thread) refreshMembers() {
	servers, instances := th.me.Servers(), th.me.Instances()
	if sameSlice(servers, th.servers) && sameSlice(instances, th.instances) {
		return
	}
	th.servers, th.instances = servers, instances
	th.dirty = true
}

// sameSlice reports whether two slices share the same array. Package member returns the same
// slice as long as nothing has changed.
func sameSlice[T any](aa, bb []T) bool {
	if len(aa) != len(bb) {
		return false
	}
	return len(aa) == 0 || &aa[0] == &bb[0]
}
