// Package peer carries messages between instances over QUIC with mutual TLS. It knows nothing
// of the messages' meaning.
package peer

// Kind identifies a message type on the wire. A number is never reused for another type.
type Kind uint16

// First kinds of the ranges, one for each package with messages.
const (
	KindQuorum  Kind = 100
	KindControl Kind = 200
	KindMember  Kind = 300
	KindLink    Kind = 400
	KindFleet   Kind = 500
	KindFeed    Kind = 600
)

// Message is a typed message, encoded as CBOR.
type Message interface {
	Kind() Kind
}
