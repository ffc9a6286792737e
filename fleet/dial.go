package fleet

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/link"
	"balsamwinch.example/peer"
)

// Backoff between two dials of an address.
const (
	minDialBackoff = 100 * time.Millisecond
	maxDialBackoff = time.Second
)

// maintainLink keeps a link to an address until the context ends. It doesn't dial while the
// instance there has a link to this one.
func (nd *Node) maintainLink(ctx context.Context, address string) {
	backoff := minDialBackoff
	for ctx.Err() == nil {
		if linked, changed := nd.links.isLinked(address); linked {
			backoff = minDialBackoff
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if nd.dial(ctx, address) {
			backoff = minDialBackoff
		}
		if nd.ts.Sleep(ctx, nd.jitter(backoff)) != nil {
			return
		}
		backoff = min(2*backoff, maxDialBackoff)
	}
}

// dial opens a link and serves it until it ends. It reports whether the link was
// established.
func (nd *Node) dial(ctx context.Context, address string) bool {
	co, err := link.Dial(ctx, address, nd.cf.Link)
	if err != nil {
		return false
	}
	defer co.Close()
	stop := context.AfterFunc(ctx, co.Close)
	defer stop()
	if co.Send(Join{Report: *nd.report.Load()}) != nil {
		return false
	}
	re, err := receiveReport(co)
	if err != nil || re.Name == nd.cf.Name || re.Name == "" {
		return false
	}
	nd.serve(&peerLink{co: co, name: re.Name, start: re.Start, outgoing: true}, re)
	return true
}

// receiveReport waits for the report of the other end. Messages of the replicated log that
// arrive before it are dropped; the log tolerates their loss.
func receiveReport(co *link.Conn) (Report, error) {
	for {
		ms, err := co.Receive()
		if err != nil {
			return Report{}, err
		}
		switch ms := ms.(type) {
		case JoinReply:
			return ms.Report, nil
		case ReportUpdate:
			return ms.Report, nil
		}
	}
}

// Handle serves a link that another control instance opened, and whose first message is
// Join, until the link or the context ends.
func (nd *Node) Handle(ctx context.Context, co *link.Conn, first peer.Message) {
	stop := context.AfterFunc(ctx, co.Close)
	defer stop()
	defer co.Close()
	jo, ok := first.(Join)
	switch {
	case !ok || jo.Report.Name == "":
	case jo.Report.Name == nd.cf.Name:
		// The instance has dialled itself, or two instances share a name. The dialling end
		// learns that from the reply and closes the link.
		_ = co.Send(JoinReply{Report: *nd.report.Load()})
		_, _ = co.Receive()
	default:
		nd.serve(&peerLink{co: co, name: jo.Report.Name, start: jo.Report.Start}, jo.Report)
	}
}

// serve receives from a link until it ends.
func (nd *Node) serve(li *peerLink, re Report) {
	duplicate := nd.links.add(li, re, nd.ts.Now())
	nd.lg.Info("line-opened", zap.String("Instance", li.name), zap.Bool("Outgoing", li.outgoing))
	err := nd.receive(li, duplicate)
	nd.links.remove(li)
	nd.resendReport(li.name)
	nd.lg.Info("line-ended", zap.String("Instance", li.name), zap.Bool("Outgoing", li.outgoing), zap.Error(err))
	nd.wake()
}

// resendReport sends the report again to an instance if one of its links has ended and
// another is open: the report may have been lost with the ended link.
func (nd *Node) resendReport(name string) {
	if ot := nd.links.find(name); ot != nil {
		_ = ot.co.Send(ReportUpdate{Report: *nd.report.Load()}) // If the link has ended, its receiver notices.
	}
}

var errDuplicateLink = errors.New("another link is open")

func (nd *Node) receive(li, duplicate *peerLink) error {
	// The report is read after the link was added, so that a concurrent change is either
	// part of it or sent over the link.
	if !li.outgoing {
		if err := li.co.Send(JoinReply{Report: *nd.report.Load()}); err != nil {
			return err
		}
	} else if err := li.co.Send(ReportUpdate{Report: *nd.report.Load()}); err != nil {
		return err
	}
	if duplicate == li {
		return errDuplicateLink
	}
	if duplicate != nil {
		duplicate.co.Close()
	}
	nd.wake()
	for {
		ms, err := li.co.Receive()
		if err != nil {
			return err
		}
		nd.dispatch(li, ms)
	}
}

// dispatch hands a message to the component that handles it. It never waits for the node's
// goroutine, which may hang in a write to its disk.
func (nd *Node) dispatch(li *peerLink, ms peer.Message) {
	switch ms := ms.(type) {
	case ReportUpdate:
		nd.links.updateReport(li, ms.Report, nd.ts.Now())
		nd.wake()
	case Envelope:
		nd.enqueue(envelopeReceived{from: li.name, ms: ms}, len(ms.Frame))
	case Document:
		nd.enqueue(documentReceived{do: &document{Version: ms.Version, Data: ms.Data}}, len(ms.Data))
	case Proposal:
		nd.dispatchRequest(li, ms.Request, ms, len(ms.Data))
	case ReadRequest:
		nd.dispatchRequest(li, ms.Request, ms, 0)
	case EvacuationRequest:
		nd.dispatchRequest(li, ms.Request, ms, len(ms.Order.DataCentre))
	case Evacuations:
		nd.enqueue(evacuationsReceived{set: ms.Set}, 0)
	case Answer:
		nd.pending.deliver(ms)
	}
}

// dispatchRequest passes a request to the node's goroutine and sends the answer back.
func (nd *Node) dispatchRequest(li *peerLink, request uint64, ms peer.Message, size int) {
	reply := func(an Answer) {
		an.Request = request
		_ = li.co.Send(an) // If the link has ended, the requester notices that itself.
	}
	if !nd.enqueue(requestReceived{ms: ms, reply: reply}, size) {
		reply(Answer{Reason: reasonBusy})
	}
}

// wake makes the node's goroutine process changed links and reports.
func (nd *Node) wake() {
	select {
	case nd.linksChanged <- struct{}{}:
	default:
	}
}

// enqueue adds an event to the queue of the node's goroutine unless the queue is full. It
// reports whether it did.
func (nd *Node) enqueue(ev event, size int) bool {
	if size > 0 && nd.queuedBytes.Load()+int64(size) > maxQueuedBytes && nd.queuedBytes.Load() > 0 {
		return false
	}
	nd.queuedBytes.Add(int64(size))
	select {
	case nd.events <- sizedEvent{event: ev, size: size}:
		return true
	default:
		nd.queuedBytes.Add(-int64(size))
		return false
	}
}
