package instance

import (
	"balsamwinch.example/backend"
	"balsamwinch.example/limit"
	"balsamwinch.example/operator"
	"balsamwinch.example/view"
)

// viewChanged passes a new view on to the parts that keep something for each
// backend server. When the lease has run out, the connections are closed: control
// may give this instance's share of them to another one from then on, and the
// backend servers would see more than they allow.
//
// A view that only makes the lease longer, as one each renewal does, changes
// nothing for them.
func (in *Instance) viewChanged(vi *view.View) {
	if in.cl == nil {
		return
	}
	now := in.ts.Now()
	connected := vi.Leased(now) || servesWithoutControl(vi.Configuration)
	la := in.last
	if la != nil && now.Before(in.sweepAt) && in.connected == connected && same(la.Servers, vi.Servers) && same(la.Instances, vi.Instances) &&
		la.Configuration.Revision == vi.Configuration.Revision && la.GrantedDivisor == vi.GrantedDivisor {
		return
	}
	in.last, in.connected, in.sweepAt = vi, connected, now.Add(sweepPeriod)
	in.ta.Update(vi)
	if !connected {
		in.cl.SetTargets(nil)
		return
	}
	in.cl.SetTargets(in.targets(vi))
}

func servesWithoutControl(cfg operator.Configuration) bool {
	for _, se := range cfg.Services {
		if se.ServeWithoutControl {
			return true
		}
	}
	return false
}

func (in *Instance) targets(vi *view.View) map[string]backend.Target {
	tas := make(map[string]backend.Target, len(vi.Servers))
	for _, re := range vi.Servers {
		tas[re.Server] = backend.Target{
			Server:         re.Server,
			Address:        re.Address,
			Incarnation:    re.Incarnation,
			MaxConnections: limit.ConnectionsPerInstance(re.ConnectionLimit, vi.Divisor()),
		}
	}
	return tas
}
