package instance

import "balsamwinch.example/peer"

// Counters returns the traffic with other instances since this instance started.
func (in *Instance) Counters() peer.Counters {
	return in.pe.Counters()
}
