package feed

import (
	"go.uber.org/zap"

	"balsamwinch.example/evacuation"
)

// SetEvacuations takes in evacuations that are committed. A revision that is not higher
// than the one held changes nothing.
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
	pu.arm(now)
}

// evacuate takes in what a control instance says of evacuations. One that was away may
// know an older revision than the others.
func (su *Subscriber) evacuate(so *source, st *evacuation.Set) {
	if st == nil || st.Revision <= su.revision {
		return
	}
	su.revision = st.Revision
	su.lg.Info("evacuations-heard", zap.String("Control", so.name), zap.Uint64("Revision", st.Revision), zap.Strings("Evacuated", st.DataCentres))
	su.ob.EvacuationsChanged(*st)
}
