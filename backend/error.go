package backend

import "fmt"

// ErrorKind is the way in which a request to a backend server failed.
type ErrorKind string

// The kinds of failure of a request to a backend server.
const (
	// All connections of this instance's share are in use.
	NoConnection ErrorKind = "NoConnection"
	// No new connection could be opened.
	DialFailed ErrorKind = "DialFailed"
	// The connection ended before the complete reply arrived.
	Cut ErrorKind = "Cut"
	// The connection made no progress and was abandoned.
	Silent ErrorKind = "Silent"
	// The reply was not for this request.
	Crossed ErrorKind = "Crossed"
	// The context was cancelled.
	Cancelled ErrorKind = "Cancelled"
	// The context's deadline passed.
	Deadline ErrorKind = "Deadline"
	// The request could not be encoded or the reply could not be decoded.
	Malformed ErrorKind = "Malformed"
)

// Error is the failure of one request to a backend server.
type Error struct {
	Kind   ErrorKind
	Server string
	// Whether bytes of the request may have been sent. It is false only when
	// certainly none were, so that the backend server cannot have begun.
	Sent bool
	Err  error // cause, if any
}

// Error returns the server, the kind, whether bytes may have been sent and the
// cause in one line.
func (er *Error) Error() string {
	st := fmt.Sprintf("backend server %s: %s", er.Server, er.Kind)
	if !er.Sent {
		st += " (not sent)"
	}
	if er.Err != nil {
		st += ": " + er.Err.Error()
	}
	return st
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error {
	return er.Err
}
