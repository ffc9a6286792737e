package feed

import "balsamwinch.example/registry"

// receiveDepartures passes on the servers of a message that are Draining or Gone.
func (su *Subscriber) receiveDepartures(ses []registry.Server) {
	if su.cf.Departed == nil {
		return
	}
	var departed []registry.Server
	for _, se := range ses {
		if se.State != registry.Ready {
			departed = append(departed, se)
		}
	}
	if len(departed) > 0 {
		su.cf.Departed(departed)
	}
}

// changedServers returns the servers of changes that aren't drops.
func changedServers(chs []registry.Change) []registry.Server {
	var ses []registry.Server
	for _, ch := range chs {
		if !ch.Dropped {
			ses = append(ses, ch.Server)
		}
	}
	return ses
}
