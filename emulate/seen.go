package emulate

import (
	"net/http"
	"time"
)

// SeenKind is a kind of what a backend server saw.
type ServerEventKind int

// What a backend server sees.
const (
	EventRequestReceived    ServerEventKind = iota + 1 // SeenArrived is a request that was read.
	EventRequestStarted                                // SeenRan is a request that was begun.
	EventRequestRejected                               // SeenNotRun is a request that was refused.
	EventDrainAcknowledged                             // SeenLeaving is control's word that it heard that the server leaves.
	EventConnectionAccepted                            // SeenAccepted is a connection within the limit.
	EventConnectionReset                               // SeenReset is a connection beyond the limit.
	EventServerCrashed                                 // SeenEnded is a request under which the server ended.
)

// Seen is one thing that a backend server saw. The last three fields are those of
// a request.
type ServerEvent struct {
	Kind     ServerEventKind
	At       time.Time
	Server   string
	Service  string
	Request  string // Request is the request's id.
	Path     string
	Expected string // Expected is the server that the request was meant for; empty if it doesn't say.
}

// note tells what was seen; rq is nil for what is no request.
func (se *Server) note(kind ServerEventKind, rq *http.Request) {
	if se.cf.OnEvent == nil {
		return
	}
	sn := ServerEvent{Kind: kind, At: se.ts.Now(), Server: se.cf.ID, Service: se.cf.Service}
	if rq != nil {
		sn.Request, sn.Path, sn.Expected = rq.Header.Get(headerRequestID), rq.URL.Path, rq.Header.Get(headerExpect)
	}
	se.cf.OnEvent(sn)
}
