package instance

import (
	"slices"

	"balsamwinch.example/backend"
	"balsamwinch.example/member"
	"balsamwinch.example/view"
)

func (th *thread) announce(ev announced) {
	th.member(member.Announced{Now: th.ts.Now(), Record: ev.re})
	rp := backend.AnnounceReply{Instance: th.self.Name, RepeatMillis: renounce.Milliseconds()}
	for _, in := range th.nearest() {
		if !in.Draining && in.BackendAddress != "" {
			rp.Instances = append(rp.Instances, in.BackendAddress)
		}
	}
	ev.reply <- rp
}

// nearest returns the instances with those of the same data centre first.
func (th *thread) nearest() []view.Instance {
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

// member gives an event to the spread of records and sends what it asks for.
func (th *thread) member(ev member.Event) {
	me, acs := member.Step(th.me, ev)
	th.me = me
	th.look()
	for _, ac := range acs {
		switch ac := ac.(type) {
		case member.Send:
			th.send(ac.To, ac.Address, ac.Message)
		}
	}
}

// look takes over what is known of instances and backend servers, and asks for a
// new view only if that changed. Most events of the spread change nothing, and a
// view costs in proportion to all backend servers.
func (th *thread) look() {
	servers, instances := th.me.Servers(), th.me.Instances()
	if same(servers, th.servers) && same(instances, th.instances) {
		return
	}
	th.servers, th.instances = servers, instances
	th.dirty = true
}

// same reports whether two lists are one, as the spread gives them while nothing
// changed.
func same[T any](aa, bb []T) bool {
	if len(aa) != len(bb) {
		return false
	}
	return len(aa) == 0 || &aa[0] == &bb[0]
}
