package emulate

import (
	"net/http"
	"time"
)

// ServerEventKind is the kind of a ServerEvent.
type ServerEventKind int

// The kinds of events at a backend server.
const (
	EventRequestReceived    ServerEventKind = iota + 1 // A request was read.
	EventRequestStarted                                // A request started to run.
	EventRequestRejected                               // A request was rejected without running.
	EventDrainAcknowledged                             // Control acknowledged that the server is draining.
	EventConnectionAccepted                            // A connection within the limit was accepted.
	EventConnectionReset                               // A connection beyond the limit was reset.
	EventServerCrashed                                 // The server crashed while it ran a request.
)

// ServerEvent is an event at a backend server. The last three fields are set for events
// of a request.
type ServerEvent struct {
	Kind     ServerEventKind
	At       time.Time
	Server   string
	Service  string
	Request  string // the request's ID
	Path     string
	Expected string // the server that the request was meant for; empty if it names none
}

// emit reports an event; rq is nil for an event without a request.
func (se *Server) emit(kind ServerEventKind, rq *http.Request) {
	if se.cf.OnEvent == nil {
		return
	}
	ev := ServerEvent{Kind: kind, At: se.ts.Now(), Server: se.cf.ID, Service: se.cf.Service}
	if rq != nil {
		ev.Request, ev.Path, ev.Expected = rq.Header.Get(headerRequestID), rq.URL.Path, rq.Header.Get(headerExpectServer)
	}
	se.cf.OnEvent(ev)
}
