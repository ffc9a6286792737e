package feed

import (
	"go.uber.org/zap"

	"balsamwinch.example/evacuation"
)

// SetEvacuations publishes committed evacuations. It ignores a revision that is not
// higher than the current one.
func (pu *Publisher) SetEvacuations(st evacuation.Set) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if pu.evacuations != nil && st.Revision <= pu.evacuations.Revision {
		return
	}
	pu.evacuations = &st
	pu.pending.evacuations = true
	pu.lg.Info("evacuations-published", zap.Uint64("Revision", st.Revision), zap.Strings("Evacuated", st.DataCentres))
	pu.scheduleFlush(now)
}

// applyEvacuations handles the evacuations that a control instance sent. An instance that
// was disconnected may send an older revision than the others.
func (su *Subscriber) applyEvacuations(so *source, st *evacuation.Set) {
	if st == nil || st.Revision <= su.evacuationsRevision {
		return
	}
	su.evacuationsRevision = st.Revision
	su.lg.Info("evacuations-heard", zap.String("Control", so.name), zap.Uint64("Revision", st.Revision), zap.Strings("Evacuated", st.DataCentres))
	su.ob.EvacuationsChanged(*st)
}
