package control

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"balsamwinch.example/codec"
	"balsamwinch.example/result"
)

// codecVersion is the version of encoded commands, outcomes and states.
const codecVersion = 1

// The type numbers of commands and outcomes in an envelope. A number is never
// reused for another type.
const (
	numberChange        = 1
	numberBeginIntent   = 2
	numberFinishIntent  = 3
	numberChangeOutcome = 101
	numberIntentOutcome = 102
	numberSkipped       = 103
)

// envelope carries a command or an outcome.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Number  uint64
	Body    cbor.RawMessage
}

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

// mustEncoding returns the deterministic encoding mode: all voters must write the
// same bytes for the same state, because the audit chain hashes them.
func mustEncoding() cbor.EncMode {
	op := cbor.CoreDetEncOptions()
	op.Time = cbor.TimeRFC3339NanoUTC
	em, err := op.EncMode()
	if err != nil {
		panic(err)
	}
	return em
}

// mustDecoding returns the strict decoding mode. If a voter of an older version
// ignored an unknown field, its state would silently diverge from that of the other
// voters. With an error it stops instead.
func mustDecoding() cbor.DecMode {
	do := codec.Options()
	do.DupMapKey = cbor.DupMapKeyEnforcedAPF
	do.ExtraReturnErrors = cbor.ExtraDecErrorUnknownField
	do.MaxArrayElements = maxElements
	do.MaxMapPairs = maxElements
	dm, err := do.DecMode()
	if err != nil {
		panic(err)
	}
	return dm
}

// maxElements bounds the length of each decoded array and map.
const maxElements = 1 << 20

// Encode encodes a command for the replicated log.
func Encode(cm Command) ([]byte, error) {
	switch cm := cm.(type) {
	case Change:
		return encodeEnvelope(numberChange, cm)
	case BeginIntent:
		return encodeEnvelope(numberBeginIntent, cm)
	case FinishIntent:
		return encodeEnvelope(numberFinishIntent, cm)
	default:
		return nil, codecError("encode a command", fmt.Errorf("unknown type %T", cm))
	}
}

// Decode decodes what Encode returned. Its error is a *result.Error with the code
// DamagedState: the voter must stop, because it can't apply the log.
func Decode(data []byte) (Command, error) {
	en, err := decodeEnvelope(data)
	if err != nil {
		return nil, err
	}
	switch en.Number {
	case numberChange:
		return decodeBody[Change](en)
	case numberBeginIntent:
		return decodeBody[BeginIntent](en)
	case numberFinishIntent:
		return decodeBody[FinishIntent](en)
	default:
		return nil, codecError("decode a command", fmt.Errorf("unknown number %d", en.Number))
	}
}

// EncodeOutcome encodes an outcome for a ProposalReply.
func EncodeOutcome(oc Outcome) ([]byte, error) {
	switch oc := oc.(type) {
	case ChangeOutcome:
		return encodeEnvelope(numberChangeOutcome, oc)
	case IntentOutcome:
		return encodeEnvelope(numberIntentOutcome, oc)
	case Skipped:
		return encodeEnvelope(numberSkipped, oc)
	default:
		return nil, codecError("encode an outcome", fmt.Errorf("unknown type %T", oc))
	}
}

// DecodeOutcome decodes what EncodeOutcome returned.
func DecodeOutcome(data []byte) (Outcome, error) {
	en, err := decodeEnvelope(data)
	if err != nil {
		return nil, err
	}
	switch en.Number {
	case numberChangeOutcome:
		return decodeBody[ChangeOutcome](en)
	case numberIntentOutcome:
		return decodeBody[IntentOutcome](en)
	case numberSkipped:
		return decodeBody[Skipped](en)
	default:
		return nil, codecError("decode an outcome", fmt.Errorf("unknown number %d", en.Number))
	}
}

func encodeEnvelope(number uint64, val any) ([]byte, error) {
	body, err := encoding.Marshal(val)
	if err != nil {
		return nil, codecError("encode", err)
	}
	return encoding.Marshal(envelope{Version: codecVersion, Number: number, Body: body})
}

func decodeEnvelope(data []byte) (envelope, error) {
	var en envelope
	if err := decoding.Unmarshal(data, &en); err != nil {
		return en, codecError("decode", err)
	}
	if en.Version != codecVersion {
		return en, codecError("decode", fmt.Errorf("want version %d, got %d", codecVersion, en.Version))
	}
	return en, nil
}

func decodeBody[T any](en envelope) (T, error) {
	var val T
	if err := decoding.Unmarshal(en.Body, &val); err != nil {
		return val, codecError("decode "+reflect.TypeFor[T]().Name(), err)
	}
	return val, nil
}

func codecError(op string, err error) error {
	return &result.Error{Code: result.DamagedState, Op: "control: " + op, Err: err}
}
