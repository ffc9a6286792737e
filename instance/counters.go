package instance

import "balsamwinch.example/peer"

// Counters returns the traffic with other instances since the start.
func (in *Instance) Counters() peer.Counters {
	return in.pe.Counters()
}
