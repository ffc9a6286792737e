package peer

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"balsamwinch.example/result"
)

// Version is the version of the frames that this package writes and the only
// one that it reads.
const Version = 1

// FrameLimit is the size of the largest frame in bytes.
const MaxFrameBytes = 16 << 20

// The kinds that the package itself uses.
const (
	kindEmpty   Kind = 1 // kindEmpty is the reply of a handler that returned no message.
	kindFailure Kind = 2 // kindFailure carries the error of a handler.
)

// envelope is the frame around a message. Its first two fields never change
// their meaning, so that a later version can be told apart and answered.
type envelope struct {
	Version uint64          `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	Reply   bool            `cbor:"4,keyasint,omitempty"` // Reply says that the sender waits for a reply.
}

// failure is the body of kindFailure.
type failure struct {
	Kind   ErrorKind    `cbor:"1,keyasint"`
	Detail string       `cbor:"2,keyasint,omitempty"`
	Code   *result.Code `cbor:"3,keyasint,omitempty"`
	Op     string       `cbor:"4,keyasint,omitempty"`
}

// Codec translates messages of a closed set of types to frames and back. It is
// safe for concurrent use.
type Codec struct {
	en    cbor.EncMode
	de    cbor.DecMode
	types map[Kind]reflect.Type
}

// NewCodec returns a codec of the types of the given messages. Messages come
// out of it in the type that was given, value or pointer. It panics if two
// types have the same kind, which is a fault of the program.
func NewCodec(ms ...[]Message) *Codec {
	eo := cbor.CoreDetEncOptions()
	eo.Time = cbor.TimeRFC3339Nano
	en, err := eo.EncMode()
	if err != nil {
		panic(err)
	}
	de, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	co := &Codec{en: en, de: de, types: make(map[Kind]reflect.Type)}
	for _, list := range ms {
		for _, me := range list {
			if ot, ok := co.types[me.Kind()]; ok {
				panic(fmt.Sprintf("peer: kind %d is of both %T and %v", me.Kind(), me, ot))
			}
			co.types[me.Kind()] = reflect.TypeOf(me)
		}
	}
	return co
}

// Encode returns the frame of a message. It returns an *Error if the message is
// of no known type or too large.
func (co *Codec) Encode(ms Message) ([]byte, error) {
	return co.encode(ms, false)
}

// Decode returns the message in a frame. It returns an *Error of the kind
// WrongVersion or Malformed if the frame cannot be read.
func (co *Codec) Decode(frame []byte) (Message, error) {
	en, rest, err := co.open(frame)
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
	return co.seal(ms.Kind(), ms, reply)
}

func (co *Codec) seal(ki Kind, body any, reply bool) ([]byte, error) {
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

// open reads the first envelope of data and returns what follows it.
func (co *Codec) open(data []byte) (envelope, []byte, error) {
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

// sealReply returns the frame of what a handler returned.
func (co *Codec) sealReply(ms Message, err error) ([]byte, error) {
	switch {
	case err != nil:
		return co.seal(kindFailure, failureOf(err), false)
	case ms == nil:
		return co.seal(kindEmpty, nil, false)
	default:
		return co.encode(ms, false)
	}
}

// openReply returns the message or the error that a reply holds. A failure is
// read before the version is judged: it is how another version says so.
func (co *Codec) openReply(data []byte) (Message, error) {
	en, _, err := co.open(data)
	if en.Kind == kindFailure {
		var fa failure
		if err := co.de.Unmarshal(en.Body, &fa); err != nil {
			return nil, &Error{Kind: Malformed, Detail: "failure", Err: err}
		}
		return nil, fa.error()
	}
	if err != nil {
		return nil, err
	}
	if en.Kind == kindEmpty {
		return nil, nil
	}
	return co.message(en)
}

func failureOf(err error) failure {
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

func (fa failure) error() *Error {
	if fa.Code == nil {
		return &Error{Kind: fa.Kind, Detail: fa.Detail}
	}
	return &Error{Kind: fa.Kind, Err: &result.Error{Code: *fa.Code, Op: fa.Op, Detail: fa.Detail}}
}
