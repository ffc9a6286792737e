package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"

	"balsamwinch.example/result"
)

// ErrorKind says what went wrong with a message.
type ErrorKind string

// The kinds of errors.
const (
	// Unreachable says that no connection could be made: the message was not sent.
	Unreachable ErrorKind = "Unreachable"
	// BadKey says that one side did not accept the other's key or name: the
	// message was not handled. The cause is a *result.Error of the same code.
	BadKey ErrorKind = "BadKey"
	// Lost says that the connection broke; the message may have been handled.
	Lost ErrorKind = "Lost"
	// Silent says that nothing came back over the connection although it was
	// used; the message may have been handled.
	Silent ErrorKind = "Silent"
	// TimedOut says that the deadline passed; the message may have been handled.
	TimedOut ErrorKind = "TimedOut"
	// Cancelled says that the caller gave up; the message may have been handled.
	Cancelled ErrorKind = "Cancelled"
	// Closing says that the peer is stopping and did not handle the message.
	Closing ErrorKind = "Closing"
	// Refused says that the peer's handler returned an error. The cause is a
	// *result.Error if the handler gave one.
	Refused ErrorKind = "Refused"
	// WrongVersion says that the two sides speak different versions.
	WrongVersion ErrorKind = "WrongVersion"
	// Malformed says that a frame could not be read or holds an unknown kind.
	Malformed ErrorKind = "Malformed"
	// TooLarge says that a message does not fit in FrameLimit.
	TooLarge ErrorKind = "TooLarge"
)

// Error is an error of a message to or from a peer.
type Error struct {
	Kind    ErrorKind
	Name    string // Name is the peer's name; empty if any instance was meant.
	Address string // Address is the peer's address; empty where no peer is concerned.
	Detail  string
	Err     error // Err is the cause, if any.
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

// alertNoProtocol is the TLS alert of an endpoint that speaks none of the
// application protocols offered to it.
const alertNoProtocol = 120

// cryptoErrors is the QUIC error code to which TLS alerts are added.
const cryptoErrors quic.TransportErrorCode = 0x100

// transportError returns the error for what quic-go returned. fallback is the
// kind of an error that is about the connection as such.
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
	case errors.As(err, &te) && te.ErrorCode == cryptoErrors+alertNoProtocol:
		return &Error{Kind: WrongVersion, Err: err}
	case errors.As(err, &te) && te.ErrorCode.IsCryptoError():
		detail := "this instance's key or name was refused"
		if !te.Remote {
			detail = "the key or name shown is wrong: " + shownName(err)
		}
		return &Error{Kind: BadKey, Err: &result.Error{Code: result.BadKey, Op: "peer.handshake", Detail: detail, Err: err}}
	default:
		return &Error{Kind: fallback, Err: err}
	}
}

// shownName describes the certificate that failed to be verified.
func shownName(err error) string {
	var ve *tls.CertificateVerificationError
	if !errors.As(err, &ve) || len(ve.UnverifiedCertificates) == 0 {
		return "no certificate that could be read"
	}
	return fmt.Sprintf("certificate of %q", ve.UnverifiedCertificates[0].Subject.CommonName)
}
