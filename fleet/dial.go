package fleet

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/link"
	"balsamwinch.example/peer"
)

// Pauses between two dials of an address.
const (
	firstPause = 100 * time.Millisecond
	lastPause  = time.Second
)

// keep holds a link to an address until the context ends, unless the instance
// there holds one to this instance.
func (nd *Node) keep(ctx context.Context, address string) {
	pause := firstPause
	for ctx.Err() == nil {
		if linked, changed := nd.li.linked(address); linked {
			pause = firstPause
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if nd.dial(ctx, address) {
			pause = firstPause
		}
		if nd.ts.Sleep(ctx, nd.jitter(pause)) != nil {
			return
		}
		pause = min(2*pause, lastPause)
	}
}

// dial opens a link and serves it until it ends. It reports whether there was
// one.
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
	re, err := greeting(co)
	if err != nil || re.Name == nd.cf.Name || re.Name == "" {
		return false
	}
	nd.serve(&line{co: co, name: re.Name, start: re.Start, outgoing: true}, re)
	return true
}

// greeting waits for the report of the other end. Messages of its log that
// overtake it are dropped, which they may be.
func greeting(co *link.Conn) (Report, error) {
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

// Handle serves a link that another control instance opened, whose first message
// is Join, until it or the context ends.
func (nd *Node) Handle(ctx context.Context, co *link.Conn, first peer.Message) {
	stop := context.AfterFunc(ctx, co.Close)
	defer stop()
	defer co.Close()
	jo, ok := first.(Join)
	switch {
	case !ok || jo.Report.Name == "":
	case jo.Report.Name == nd.cf.Name:
		// The dialler has dialled itself, or two instances have one name. It learns
		// that from the answer and closes the link.
		_ = co.Send(JoinReply{Report: *nd.report.Load()})
		_, _ = co.Receive()
	default:
		nd.serve(&line{co: co, name: jo.Report.Name, start: jo.Report.Start}, jo.Report)
	}
}

// serve reads a line until it ends.
func (nd *Node) serve(li *line, re Report) {
	superfluous := nd.li.add(li, re, nd.ts.Now())
	nd.lg.Info("line-opened", zap.String("Instance", li.name), zap.Bool("Outgoing", li.outgoing))
	err := nd.receive(li, superfluous)
	nd.li.remove(li)
	nd.tellAgain(li.name)
	nd.lg.Info("line-ended", zap.String("Instance", li.name), zap.Bool("Outgoing", li.outgoing), zap.Error(err))
	nd.poke()
}

// tellAgain repeats the report to an instance of which a line has ended, if there is
// another line to it: the report may have gone to the one that ended.
func (nd *Node) tellAgain(name string) {
	if ot := nd.li.find(name); ot != nil {
		_ = ot.co.Send(ReportUpdate{Report: *nd.report.Load()}) // The end of a line is seen where it is read.
	}
}

var errSuperfluous = errors.New("another line is open")

func (nd *Node) receive(li, superfluous *line) error {
	// The report is read after the line was noted: a change that comes between is
	// either in it or sent to the line.
	if !li.outgoing {
		if err := li.co.Send(JoinReply{Report: *nd.report.Load()}); err != nil {
			return err
		}
	} else if err := li.co.Send(ReportUpdate{Report: *nd.report.Load()}); err != nil {
		return err
	}
	if superfluous == li {
		return errSuperfluous
	}
	if superfluous != nil {
		superfluous.co.Close()
	}
	nd.poke()
	for {
		ms, err := li.co.Receive()
		if err != nil {
			return err
		}
		nd.received(li, ms)
	}
}

// received hands a message to the part that it belongs to. It never waits for
// the node's goroutine, which may hang in a write to its disk.
func (nd *Node) received(li *line, ms peer.Message) {
	switch ms := ms.(type) {
	case ReportUpdate:
		nd.li.note(li, ms.Report, nd.ts.Now())
		nd.poke()
	case Envelope:
		nd.post(routed{from: li.name, ms: ms}, len(ms.Frame))
	case Document:
		nd.post(learned{do: &document{Version: ms.Version, Data: ms.Data}}, len(ms.Data))
	case Proposal:
		nd.demand(li, ms.Request, ms, len(ms.Data))
	case ReadRequest:
		nd.demand(li, ms.Request, ms, 0)
	case EvacuationOrder:
		nd.demand(li, ms.Request, ms, len(ms.Order.DataCentre))
	case Evacuations:
		nd.post(toldEvacuations{set: ms.Set}, 0)
	case Answer:
		nd.ca.resolve(ms)
	}
}

// demand passes a request to the node's goroutine and its answer back.
func (nd *Node) demand(li *line, request uint64, ms peer.Message, size int) {
	reply := func(an Answer) {
		an.Request = request
		_ = li.co.Send(an) // A link that has ended tells the asker by itself.
	}
	if !nd.post(demanded{ms: ms, reply: reply}, size) {
		reply(Answer{Reason: reasonBusy})
	}
}

// poke makes the node's goroutine look at the lines and reports.
func (nd *Node) poke() {
	select {
	case nd.nudge <- struct{}{}:
	default:
	}
}

// post hands an event to the node's goroutine unless too much waits already. It
// reports whether it did.
func (nd *Node) post(ev event, size int) bool {
	if size > 0 && nd.queued.Load()+int64(size) > eventBytes && nd.queued.Load() > 0 {
		return false
	}
	nd.queued.Add(int64(size))
	select {
	case nd.events <- sized{event: ev, size: size}:
		return true
	default:
		nd.queued.Add(-int64(size))
		return false
	}
}
