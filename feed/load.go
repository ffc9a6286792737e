package feed

import "go.uber.org/zap"

// unknownLoad is what an entry instance is taken to carry that doesn't say it, as one of
// an earlier release: as much as it should. So none is held for idle for want of a word.
const unknownLoad = 1

// report takes in the load of an entry instance.
func (pu *Publisher) report(sb *subscriber, load float64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if _, ok := pu.live[sb.en.Name]; ok {
		pu.loads[sb.en.Name] = load
	}
}

// Load returns what an entry instance carries, as a part of what it should.
func (pu *Publisher) EntryLoad(name string) float64 {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if load, ok := pu.loads[name]; ok {
		return load
	}
	return unknownLoad
}

// SetSharers tells the entry instances how many of them share backend servers.
func (pu *Publisher) SetSharers(count int) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if count == pu.sharers {
		return
	}
	pu.sharers = count
	pu.pending.sharers = true
	pu.lo.info(now, "sharers-published", zap.Int("Sharers", count))
	pu.arm(now)
}

// SetLoad tells all control instances how much this entry instance carries, as a part of
// what it should. Those that come later are told with the first message.
func (su *Subscriber) SetLoad(load float64) {
	su.mu.Lock()
	defer su.mu.Unlock()
	su.reported = LoadReport{Load: float32(load)}
	for _, co := range su.conns {
		_ = co.Send(su.reported) // The end of the link is seen where it is read.
	}
}

// Sharers returns what SetSharers was called with last.
func (pu *Publisher) Sharers() int {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	return pu.sharers
}

// mostSharers returns the highest number of sharers that a connected control instance
// names, 0 if none does.
func (su *Subscriber) mostSharers() int {
	most := 0
	for _, so := range su.sources {
		if so.up.Load() {
			most = max(most, so.sharers)
		}
	}
	return most
}
