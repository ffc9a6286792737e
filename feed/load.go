package feed

import "go.uber.org/zap"

// defaultLoad is the load assumed for an entry instance that reports none, as an earlier
// release does: exactly its share. It keeps such an instance from being taken for idle.
const defaultLoad = 1

// setEntryLoad records the load of an entry instance.
func (pu *Publisher) setEntryLoad(sb *subscriber, load float64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if _, ok := pu.liveEntries[sb.en.Name]; ok {
		pu.loads[sb.en.Name] = load
	}
}

// EntryLoad returns the load of an entry instance, as a fraction of its share.
func (pu *Publisher) EntryLoad(name string) float64 {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if load, ok := pu.loads[name]; ok {
		return load
	}
	return defaultLoad
}

// SetSharers publishes how many entry instances share the backend servers.
func (pu *Publisher) SetSharers(count int) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if count == pu.sharers {
		return
	}
	pu.sharers = count
	pu.pending.sharers = true
	pu.ll.info(now, "sharers-published", zap.Int("Sharers", count))
	pu.scheduleFlush(now)
}

// SetLoad reports the load of this entry instance to all control instances, as a fraction
// of its share. Control instances that connect later get it with the first message.
func (su *Subscriber) SetLoad(load float64) {
	su.mu.Lock()
	defer su.mu.Unlock()
	su.load = LoadReport{Load: float32(load)}
	for _, co := range su.conns {
		_ = co.Send(su.load) // Reading from the link reports its end.
	}
}

// Sharers returns the count of the last SetSharers.
func (pu *Publisher) Sharers() int {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	return pu.sharers
}

// maxSharers returns the highest number of sharers that a connected control instance
// gave, or 0 if none did.
func (su *Subscriber) maxSharers() int {
	count := 0
	for _, so := range su.sources {
		if so.connected.Load() {
			count = max(count, so.sharers)
		}
	}
	return count
}
