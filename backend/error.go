package backend

import "fmt"

// ErrorKind says in which way a request to a backend server failed.
type ErrorKind string

// The kinds of failure of a request to a backend server.
const (
	// NoConnection says that this instance's share of connections is in use.
	NoConnection ErrorKind = "NoConnection"
	// DialFailed says that no new connection could be opened.
	DialFailed ErrorKind = "DialFailed"
	// Cut says that the connection ended before the whole reply had come.
	Cut ErrorKind = "Cut"
	// Silent says that the connection made no progress and was abandoned.
	Silent ErrorKind = "Silent"
	// Crossed says that the reply was not for this request.
	Crossed ErrorKind = "Crossed"
	// Cancelled says that the context was cancelled.
	Cancelled ErrorKind = "Cancelled"
	// Deadline says that the context's deadline passed.
	Deadline ErrorKind = "Deadline"
	// Malformed says that the request or the reply could not be encoded or read.
	Malformed ErrorKind = "Malformed"
)

// Error is the failure of one request to a backend server.
type Error struct {
	Kind   ErrorKind
	Server string
	// Sent reports whether bytes of the request may have left. It is false only
	// when surely none did, so that the backend server cannot have begun.
	Sent bool
	Err  error // Err is the cause, if any.
}

// Error returns the server, the kind, whether bytes may have left and the cause
// in one line.
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
