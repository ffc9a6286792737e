package upstream

import (
	"errors"
	"fmt"
)

// Errors in Result.Err that callers may check for with errors.Is.
var (
	// ErrSuperseded is the cause that callers cancel a context with when another request
	// has made this one superfluous.
	ErrSuperseded = errors.New("superseded by another request")
	// ErrUnreachable means that no connection to the server could be opened.
	ErrUnreachable = errors.New("server is unreachable")
	// ErrInvalidRequest means that the request isn't valid HTTP and can't be sent to any
	// server.
	ErrInvalidRequest = errors.New("request is not valid HTTP")
	// ErrInvalidTarget means that the target's ID can't be written into the head of a request.
	ErrInvalidTarget = errors.New("ID of the server is not valid in a header")
	// ErrConnectionLimit means that all connections that the target allows are in use.
	ErrConnectionLimit = errors.New("all connections are in use")
	// ErrClosed means that the client was closed.
	ErrClosed = errors.New("client is closed")
	// ErrDeadline means that the request's deadline passed.
	ErrDeadline = errors.New("deadline passed")
)

// errStillUnreachable means that no connection is dialed for a request, because the
// pending dials of other requests reach the server's limit and the last dial timed out.
var errStillUnreachable = fmt.Errorf("%w: the last dial timed out, and all allowed connections are being dialed", ErrUnreachable)

// errors of a reply or a connection
var (
	errNotHTTP               = errors.New("reply is not HTTP")
	errWrongRequestID        = errors.New("reply is to another request")
	errMissingRequestID      = errors.New("reply has no request ID")
	errTooManyInterimReplies = errors.New("too many interim replies")
	errHeadTooLong           = errors.New("head of the reply is too long")
	errBodyTooLong           = errors.New("body of the reply is too long")
	errBodyMemory            = errors.New("no memory left for the body of the reply")
	errBytesBeforeRequest    = errors.New("bytes came before the request")
	errBytesAfterReply       = errors.New("bytes came after the reply")
	errClosedWhileIdle       = errors.New("connection ended while idle")
)

// Error is the error of an exchange with a server.
type Error struct {
	Server  string
	Address string
	Err     error
}

// Error returns the server, its address and the cause.
func (er *Error) Error() string {
	return "server " + er.Server + " at " + er.Address + ": " + er.Err.Error()
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }
