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

// Evacuate marks a data centre as evacuated, or ends its evacuation, and returns the
// resulting evacuations once a majority of the voters has synced them to disk.
//
// A change that conflicts with a concurrent one is proposed again on the newer revision.
// The context must end before the operator gives up: a change that outlives its operator
// could undo a later one.
//
// The error is a *result.Error: Invalid if the change can't be applied, ControlUnavailable
// if the outcome is unknown.
func (nd *Node) Evacuate(ctx context.Context, dataCentre string, evacuate bool) (evacuation.Set, error) {
	if err := evacuation.CheckName(dataCentre); err != nil {
		return evacuation.Set{}, err
	}
	or := evacuation.Change{DataCentre: dataCentre, Evacuate: evacuate, BaseRevision: nd.evacuations.Load().Revision}
	for {
		an, err := nd.askLeader(ctx, opEvacuate, func(request uint64) peer.Message {
			return EvacuationRequest{Request: request, Order: or}
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

// Evacuations returns the newest evacuations that this node knows to be committed; other
// nodes may know newer ones.
func (nd *Node) Evacuations() evacuation.Set { return *nd.evacuations.Load() }

// pendingOrder is an evacuation order that waits until it is applied.
type pendingOrder struct {
	id    uint64
	order evacuation.Change
	since time.Time
	reply func(Answer)
}

// handleOrder proposes an evacuation order.
func (th *thread) handleOrder(ms EvacuationRequest, reply func(Answer)) {
	switch {
	case !th.isLeader():
		th.reject(reply, reasonNotLeader)
		return
	case len(th.pendingProposals)+len(th.pendingOrders) >= maxInFlight:
		th.reject(reply, reasonBusy)
		return
	}
	or := pendingOrder{id: rand.Uint64(), order: ms.Order, since: th.now(), reply: reply}
	th.pendingOrders = append(th.pendingOrders, or)
	th.step(quorum.Propose{Now: th.now(), Data: command{Evacuation: &orderCommand{ID: or.id, Order: or.order}}.encode()})
}

// completeOrder answers the request for an order that was applied, if it waits at this
// instance.
func (th *thread) completeOrder(id uint64, outcome evacuation.Outcome) {
	at := slices.IndexFunc(th.pendingOrders, func(or pendingOrder) bool { return or.id == id })
	if at < 0 {
		return
	}
	or := th.pendingOrders[at]
	th.pendingOrders = slices.Delete(th.pendingOrders, at, at+1)
	st := th.vo.sm.Evacuations
	th.nd.lg.Info("evacuation-committed", zap.String("DataCentre", or.order.DataCentre), zap.Bool("Evacuate", or.order.Evacuate),
		zap.Stringer("Outcome", outcome), zap.Uint64("Base", or.order.BaseRevision), zap.Uint64("Revision", st.Revision),
		zap.Strings("Evacuated", st.DataCentres), zap.Int64("Millis", th.now().Sub(or.since).Milliseconds()))
	or.reply(Answer{OK: true, Outcome: outcome, Evacuations: st})
}

// broadcastRevision sends a heartbeat at once, so that the followers learn of newly
// committed evacuations without waiting for the next one.
func (th *thread) broadcastRevision() {
	if st := th.vo.sm.Evacuations; st.Revision > th.leading.broadcastRevision {
		th.leading.broadcastRevision = st.Revision
		th.step(quorum.Probe{Now: th.now()})
	}
}

// learnEvacuations adopts committed evacuations and reports whether they are newer than the
// known ones.
func (th *thread) learnEvacuations(st evacuation.Set) bool {
	if st.Revision <= th.nd.evacuations.Load().Revision {
		return false
	}
	if st.Revision > th.persistedRevision {
		th.persistedRevision = st.Revision
		th.persistEvacuations(st)
	}
	th.nd.evacuations.Store(&st)
	th.nd.lg.Info("evacuations-learned", zap.Uint64("Revision", st.Revision), zap.Strings("Evacuated", st.DataCentres))
	th.nd.ob.EvacuationsCommitted(st)
	return true
}
