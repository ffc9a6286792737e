package upstream

import (
	"errors"
	"fmt"
)

// Errors that callers may look for with errors.Is in Result.Err.
var (
	// ErrSuperseded is the cause with which a caller cancels the context of a
	// request that another one made superfluous.
	ErrSuperseded = errors.New("superseded by another request")
	// ErrUnreachable means that no connection to the server could be opened.
	ErrUnreachable = errors.New("server is unreachable")
	// ErrRequest means that the request can't be written as it is. No server
	// would take it.
	ErrInvalidRequest = errors.New("request is not valid HTTP")
	// ErrLimit means that all connections that the target allows are in use.
	ErrConnectionLimit = errors.New("all connections are in use")
	// ErrClosed means that the client was closed.
	ErrClosed = errors.New("client is closed")
	// ErrDeadline means that the request's deadline passed.
	ErrDeadline = errors.New("deadline passed")
)

// errStillUnreachable is the error of a request for which no connection is tried,
// since those that others wait for are the last that the server allows.
var errStillUnreachable = fmt.Errorf("%w: connections are being opened, and the last one never was", ErrUnreachable)

// What can be wrong with a reply or a connection.
var (
	errNotHTTP   = errors.New("reply is not HTTP")
	errRequestID = errors.New("reply is to another request")
	errNoID      = errors.New("reply names no request")
	errInterim   = errors.New("too many interim replies")
	errLongHead  = errors.New("head of the reply is too long")
	errLongBody  = errors.New("body of the reply is too long")
	errEarly     = errors.New("bytes came before the request")
	errExtra     = errors.New("bytes came after the reply")
	errEnded     = errors.New("connection ended while idle")
)

// Error says what went wrong in an exchange with a server.
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
