package replica

import (
	"time"

	"balsamwinch.example/registry"
)

// Known is what is known of a server.
type Known struct {
	// Slowness and Failures are the finding of all entry instances, as in outlier.Finding;
	// both are 0 if there is none.
	Slowness, Failures float64
	// Ejected is set while this instance sends the server nothing but a probe in flight.
	Ejected bool
	// Gone is set if the server isn't listed as ready, or another one has its address.
	Gone bool
}

// Known returns what is known of the server with the given id.
func (ba *Balancer) Known(now time.Time, id string) Known {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	at := ba.at(now)
	se := ba.servers[id]
	if se == nil || se.replaced || se.record.State != registry.Ready {
		return Known{Gone: true}
	}
	kn := Known{Ejected: se.health(at) == ejected}
	if at < se.findingUntil {
		kn.Slowness, kn.Failures = float64(se.finding.Slowness), float64(se.finding.Failures)
	}
	return kn
}
