package instance

import (
	"balsamwinch.example/backend"
	"balsamwinch.example/limit"
	"balsamwinch.example/operator"
	"balsamwinch.example/view"
)

// viewChanged passes a new view to the components that keep state for each backend server.
// When the lease has expired, all connections to backend servers are closed: control may then
// give this instance's share of the connections to another instance, and the backend servers
// would get more than they allow.
//
// A view that only extends the lease, as after each renewal, is skipped. Once per sweepInterval
// it is passed on nevertheless, so that idle connections are closed.
func (in *Instance) viewChanged(vi *view.View) {
	if in.cl == nil {
		return
	}
	now := in.ts.Now()
	connected := vi.Leased(now) || servesWithoutControl(vi.Configuration)
	la := in.lastView
	if la != nil && now.Before(in.nextSweep) && in.connected == connected && sameSlice(la.Servers, vi.Servers) && sameSlice(la.Instances, vi.Instances) &&
		la.Configuration.Revision == vi.Configuration.Revision && la.GrantedDivisor == vi.GrantedDivisor {
		return
	}
	in.lastView, in.connected, in.nextSweep = vi, connected, now.Add(sweepInterval)
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
