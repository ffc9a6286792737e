package peer

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"balsamwinch.example/codec"
	"balsamwinch.example/result"
)

// Version is the version of the frames that this package writes, and the only one that it
// reads.
const Version = 1

// MaxFrameBytes is the maximum size of a frame in bytes.
const MaxFrameBytes = 16 << 20

// Kinds reserved for this package.
const (
	kindEmpty   Kind = 1 // the reply of a handler that returned no message
	kindFailure Kind = 2 // the error of a handler
)

// envelope is the frame around a message. The meaning of its first two fields never changes,
// so that a frame of a later version can be recognised and answered.
type envelope struct {
	Version uint64          `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	Reply   bool            `cbor:"4,keyasint,omitempty"` // whether the sender waits for a reply
}

// failure is the body of kindFailure.
type failure struct {
	Kind   ErrorKind    `cbor:"1,keyasint"`
	Detail string       `cbor:"2,keyasint,omitempty"`
	Code   *result.Code `cbor:"3,keyasint,omitempty"`
	Op     string       `cbor:"4,keyasint,omitempty"`
}

// Codec encodes and decodes messages of a fixed set of types. It is safe for concurrent use.
type Codec struct {
	en    cbor.EncMode
	de    cbor.DecMode
	types map[Kind]reflect.Type
}

// NewCodec returns a codec for the types of the given messages. Decode returns each type as it
// was given, as a value or a pointer. NewCodec panics if two types have the same kind, which
// is a programming error.
func NewCodec(ms ...[]Message) *Codec {
	eo := cbor.CoreDetEncOptions()
	eo.Time = cbor.TimeRFC3339Nano
	en, err := eo.EncMode()
	if err != nil {
		panic(err)
	}
	do := codec.Options()
	do.DupMapKey = cbor.DupMapKeyEnforcedAPF
	de, err := do.DecMode()
	if err != nil {
		panic(err)
	}
	co := &Codec{en: en, de: de, types: make(map[Kind]reflect.Type)}
	for _, list := range ms {
		for _, me := range list {
			if ot, ok := co.types[me.Kind()]; ok {
				panic(fmt.Sprintf("peer: kind %d is used by both %T and %v", me.Kind(), me, ot))
			}
			co.types[me.Kind()] = reflect.TypeOf(me)
		}
	}
	return co
}

// Encode returns the frame of a message. It returns an *Error if the type of the message is
// unknown or the message is too large.
func (co *Codec) Encode(ms Message) ([]byte, error) {
	return co.encode(ms, false)
}

// Decode returns the message in a frame. It returns an *Error of kind WrongVersion or
// Malformed if the frame cannot be read.
func (co *Codec) Decode(frame []byte) (Message, error) {
	en, rest, err := co.decodeEnvelope(frame)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		return nil, &Error{Kind: Malformed, Detail: fmt.Sprintf("%d bytes after the frame", len(rest))}
	}
	return co.message(en)
}

func (co *Codec) encode(ms Message, reply bool) ([]byte, error) {
	if co.types[ms.Kind()] != reflect.TypeOf(ms) {
		return nil, &Error{Kind: Malformed, Detail: fmt.Sprintf("type %T is not known to the codec", ms)}
	}
	return co.encodeEnvelope(ms.Kind(), ms, reply)
}

func (co *Codec) encodeEnvelope(ki Kind, body any, reply bool) ([]byte, error) {
	en := envelope{Version: Version, Kind: ki, Reply: reply}
	if body != nil {
		var err error
		if en.Body, err = co.en.Marshal(body); err != nil {
			return nil, &Error{Kind: Malformed, Detail: fmt.Sprintf("kind %d", ki), Err: err}
		}
	}
	frame, err := co.en.Marshal(en)
	if err != nil {
		return nil, &Error{Kind: Malformed, Detail: fmt.Sprintf("kind %d", ki), Err: err}
	}
	if len(frame) > MaxFrameBytes {
		return nil, &Error{Kind: TooLarge, Detail: fmt.Sprintf("kind %d: %d bytes, at most %d", ki, len(frame), MaxFrameBytes)}
	}
	return frame, nil
}

// decodeEnvelope decodes the first envelope in data and returns the remaining bytes.
func (co *Codec) decodeEnvelope(data []byte) (envelope, []byte, error) {
	var en envelope
	rest, err := co.de.UnmarshalFirst(data, &en)
	if err != nil {
		return en, nil, &Error{Kind: Malformed, Detail: "frame", Err: err}
	}
	if en.Version != Version {
		detail := fmt.Sprintf("frame of version %d, this instance speaks %d", en.Version, Version)
		return en, rest, &Error{Kind: WrongVersion, Detail: detail}
	}
	return en, rest, nil
}

func (co *Codec) message(en envelope) (Message, error) {
	ty, ok := co.types[en.Kind]
	if !ok {
		return nil, &Error{Kind: Malformed, Detail: fmt.Sprintf("kind %d is not known", en.Kind)}
	}
	el := ty
	if ty.Kind() == reflect.Pointer {
		el = ty.Elem()
	}
	pt := reflect.New(el)
	if err := co.de.Unmarshal(en.Body, pt.Interface()); err != nil {
		return nil, &Error{Kind: Malformed, Detail: fmt.Sprintf("kind %d", en.Kind), Err: err}
	}
	if ty.Kind() != reflect.Pointer {
		pt = pt.Elem()
	}
	return pt.Interface().(Message), nil
}

// encodeReply returns the frame of a handler's result.
func (co *Codec) encodeReply(ms Message, err error) ([]byte, error) {
	switch {
	case err != nil:
		return co.encodeEnvelope(kindFailure, newFailure(err), false)
	case ms == nil:
		return co.encodeEnvelope(kindEmpty, nil, false)
	default:
		return co.encode(ms, false)
	}
}

// decodeReply returns the message or the error in a reply. A failure is decoded even if the
// version differs, because a peer of another version reports the mismatch as a failure.
func (co *Codec) decodeReply(data []byte) (Message, error) {
	en, _, err := co.decodeEnvelope(data)
	if en.Kind == kindFailure {
		var fa failure
		if err := co.de.Unmarshal(en.Body, &fa); err != nil {
			return nil, &Error{Kind: Malformed, Detail: "failure", Err: err}
		}
		return nil, fa.toError()
	}
	if err != nil {
		return nil, err
	}
	if en.Kind == kindEmpty {
		return nil, nil
	}
	return co.message(en)
}

func newFailure(err error) failure {
	var re *result.Error
	var pe *Error
	switch {
	case errors.As(err, &re):
		return failure{Kind: Refused, Detail: re.Detail, Code: &re.Code, Op: re.Op}
	case errors.As(err, &pe):
		return failure{Kind: pe.Kind, Detail: err.Error()}
	default:
		return failure{Kind: Refused, Detail: err.Error()}
	}
}

func (fa failure) toError() *Error {
	if fa.Code == nil {
		return &Error{Kind: fa.Kind, Detail: fa.Detail}
	}
	return &Error{Kind: fa.Kind, Err: &result.Error{Code: *fa.Code, Op: fa.Op, Detail: fa.Detail}}
}
