package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
)

// Evacuate returns the evacuations once a data centre is evacuated, or no longer is, and a
// majority of the voters has that synced to disk.
//
// An order that another one overtook is proposed again on the newer revision. So the context
// must end before the operator gives up: an order that outlives its operator could undo a
// later one.
//
// The error is a *result.Error: Invalid if the order can't be followed, ControlUnavailable
// if the outcome is unknown.
func (nd *Node) Evacuate(ctx context.Context, dataCentre string, evacuate bool) (evacuation.Set, error) {
	if err := evacuation.CheckName(dataCentre); err != nil {
		return evacuation.Set{}, err
	}
	or := evacuation.Change{DataCentre: dataCentre, Evacuate: evacuate, BaseRevision: nd.evacuations.Load().Revision}
	for {
		an, err := nd.ask(ctx, opEvacuate, func(request uint64) peer.Message {
			return EvacuationOrder{Request: request, Order: or}
		})
		switch {
		case err != nil:
			return evacuation.Set{}, err
		case an.Outcome == evacuation.InForce:
			return an.Evacuations, nil
		case an.Outcome == evacuation.Full:
			return an.Evacuations, &result.Error{Code: result.Invalid, Op: opEvacuate, Detail: "too many data centres are evacuated"}
		case ctx.Err() != nil:
			return evacuation.Set{}, &result.Error{Code: result.ControlUnavailable, Op: opEvacuate, Detail: "other orders came between", Err: ctx.Err()}
		}
		or.BaseRevision = an.Evacuations.Revision
	}
}

// Evacuations returns the newest evacuations known to be committed; others may know newer
// ones.
func (nd *Node) Evacuations() evacuation.Set { return *nd.evacuations.Load() }

// ordering is an order that waits until it is applied.
type ordering struct {
	id    uint64
	order evacuation.Change
	since time.Time
	reply func(Answer)
}

// order appends an order to the log.
func (th *thread) order(ms EvacuationOrder, reply func(Answer)) {
	switch {
	case !th.leads():
		th.refuse(reply, reasonNotLeader)
		return
	case len(th.proposals)+len(th.orders) >= inFlight:
		th.refuse(reply, reasonBusy)
		return
	}
	or := ordering{id: rand.Uint64(), order: ms.Order, since: th.now(), reply: reply}
	th.orders = append(th.orders, or)
	th.step(quorum.Propose{Now: th.now(), Data: command{Evacuation: &orderCommand{ID: or.id, Order: or.order}}.encode()})
}

// ordered answers who waits for an order that was applied, if that is known here.
func (th *thread) ordered(id uint64, outcome evacuation.Outcome) {
	at := slices.IndexFunc(th.orders, func(or ordering) bool { return or.id == id })
	if at < 0 {
		return
	}
	or := th.orders[at]
	th.orders = slices.Delete(th.orders, at, at+1)
	st := th.vo.sm.Evacuations
	th.nd.lg.Info("evacuation-committed", zap.String("DataCentre", or.order.DataCentre), zap.Bool("Evacuate", or.order.Evacuate),
		zap.Stringer("Outcome", outcome), zap.Uint64("Base", or.order.BaseRevision), zap.Uint64("Revision", st.Revision),
		zap.Strings("Evacuated", st.DataCentres), zap.Int64("Millis", th.now().Sub(or.since).Milliseconds()))
	or.reply(Answer{OK: true, Outcome: outcome, Evacuations: st})
}

// probeRevision has the others learn of committed evacuations now and not with the next
// heartbeat.
func (th *thread) probeRevision() {
	if st := th.vo.sm.Evacuations; st.Revision > th.leading.revision {
		th.leading.revision = st.Revision
		th.step(quorum.Probe{Now: th.now()})
	}
}

// learnEvacuations takes over committed evacuations and reports whether they are newer
// than those known.
func (th *thread) learnEvacuations(st evacuation.Set) bool {
	if st.Revision <= th.nd.evacuations.Load().Revision {
		return false
	}
	if st.Revision > th.revisionNoted {
		th.revisionNoted = st.Revision
		th.noteEvacuations(st)
	}
	th.nd.evacuations.Store(&st)
	th.nd.lg.Info("evacuations-learned", zap.Uint64("Revision", st.Revision), zap.Strings("Evacuated", st.DataCentres))
	th.nd.ob.EvacuationsCommitted(st)
	return true
}
