package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"

	"balsamwinch.example/result"
)

// ErrorKind is the kind of an Error.
type ErrorKind string

// Kinds of errors.
const (
	// Unreachable means that no connection could be established: the message was not sent.
	Unreachable ErrorKind = "Unreachable"
	// BadKey means that one side rejected the other's key or name: the message was not
	// handled. The cause is a *result.Error with the same code.
	BadKey ErrorKind = "BadKey"
	// Lost means that the connection broke; the message may have been handled.
	Lost ErrorKind = "Lost"
	// Silent means that nothing was received over the connection although it was in use; the
	// message may have been handled.
	Silent ErrorKind = "Silent"
	// TimedOut means that the deadline expired; the message may have been handled.
	TimedOut ErrorKind = "TimedOut"
	// Cancelled means that the context was cancelled; the message may have been handled.
	Cancelled ErrorKind = "Cancelled"
	// Closing means that the peer is stopping and did not handle the message.
	Closing ErrorKind = "Closing"
	// Refused means that the peer's handler returned an error. The cause is a *result.Error if
	// the handler returned one.
	Refused ErrorKind = "Refused"
	// WrongVersion means that the two sides use different versions.
	WrongVersion ErrorKind = "WrongVersion"
	// Malformed means that a frame could not be read or contains an unknown kind.
	Malformed ErrorKind = "Malformed"
	// TooLarge means that a message exceeds MaxFrameBytes.
	TooLarge ErrorKind = "TooLarge"
)

// Error is an error of a message to or from a peer.
type Error struct {
	Kind    ErrorKind
	Name    string // the peer's name; empty if any instance was meant
	Address string // the peer's address; empty if the error concerns no peer
	Detail  string
	Err     error // the cause; may be nil
}

// Error returns the peer, kind, detail and cause in one line.
func (er *Error) Error() string {
	st := "peer"
	if er.Name != "" {
		st += " " + er.Name
	}
	if er.Address != "" {
		st += " at " + er.Address
	}
	st += ": " + string(er.Kind)
	if er.Detail != "" {
		st += ": " + er.Detail
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

// kindOf returns the kind of an error of this package, or "".
func kindOf(err error) ErrorKind {
	var er *Error
	if errors.As(err, &er) {
		return er.Kind
	}
	return ""
}

// alertNoProtocol is the TLS alert of an endpoint that supports none of the application
// protocols offered.
const alertNoProtocol = 120

// cryptoErrorBase is the QUIC error code to which TLS alerts are added.
const cryptoErrorBase quic.TransportErrorCode = 0x100

// transportError converts an error of quic-go. fallback is the kind of errors that concern the
// connection itself.
func transportError(ctx context.Context, err error, fallback ErrorKind) *Error {
	var own *Error
	if errors.As(err, &own) {
		return own
	}
	var se *quic.StreamError
	var te *quic.TransportError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Error{Kind: TimedOut, Err: err}
	case ctx.Err() != nil:
		return &Error{Kind: Cancelled, Err: err}
	case errors.As(err, &se) && se.ErrorCode == streamClosing:
		return &Error{Kind: Closing}
	case errors.As(err, &te) && te.ErrorCode == cryptoErrorBase+alertNoProtocol:
		return &Error{Kind: WrongVersion, Err: err}
	case errors.As(err, &te) && te.ErrorCode.IsCryptoError():
		detail := "this instance's key or name was rejected"
		if !te.Remote {
			detail = "the peer's key or name is invalid: " + describeCertificate(err)
		}
		return &Error{Kind: BadKey, Err: &result.Error{Code: result.BadKey, Op: "peer.handshake", Detail: detail, Err: err}}
	default:
		return &Error{Kind: fallback, Err: err}
	}
}

// describeCertificate describes the certificate whose verification failed.
func describeCertificate(err error) string {
	var ve *tls.CertificateVerificationError
	if !errors.As(err, &ve) || len(ve.UnverifiedCertificates) == 0 {
		return "no readable certificate"
	}
	return fmt.Sprintf("certificate for %q", ve.UnverifiedCertificates[0].Subject.CommonName)
}
