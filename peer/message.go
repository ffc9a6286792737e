// Package peer carries messages between instances over QUIC with mutual TLS.
// It knows nothing of what the messages mean.
package peer

// Kind numbers a type of message on the wire. A number is never used again for
// another type.
type Kind uint16

// The ranges of kinds, by the package whose messages they are.
const (
	KindQuorum  Kind = 100
	KindControl Kind = 200
	KindMember  Kind = 300
	KindLink    Kind = 400
	KindFleet   Kind = 500
	KindFeed    Kind = 600
)

// Message is a typed message; its fields travel as CBOR.
type Message interface {
	Kind() Kind
}
