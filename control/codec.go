package control

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"balsamwinch.example/result"
)

// codecVersion is the version of encoded commands, outcomes and states.
const codecVersion = 1

// The numbers of commands and outcomes in their envelope. A number is never
// used again for another type.
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

// mustEncoding returns the deterministic encoding: all voters must write the
// same bytes for the same state, since the audit chain hashes them.
func mustEncoding() cbor.EncMode {
	op := cbor.CoreDetEncOptions()
	op.Time = cbor.TimeRFC3339NanoUTC
	em, err := op.EncMode()
	if err != nil {
		panic(err)
	}
	return em
}

// mustDecoding returns the strict decoding. A voter of an older version that
// skipped a field it doesn't know would reach another state than the others
// without anyone noticing; refused, it stops instead.
func mustDecoding() cbor.DecMode {
	dm, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		// A fault may quote a file that isn't UTF-8. Refused when read back, it
		// would keep every voter from starting.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return dm
}

// maxElements bounds arrays and maps of what is decoded.
const maxElements = 1 << 20

// Encode returns a command as it stands in the replicated log.
func Encode(cm Command) ([]byte, error) {
	switch cm := cm.(type) {
	case Change:
		return seal(numberChange, cm)
	case BeginIntent:
		return seal(numberBeginIntent, cm)
	case FinishIntent:
		return seal(numberFinishIntent, cm)
	default:
		return nil, codecError("encode a command", fmt.Errorf("unknown type %T", cm))
	}
}

// Decode returns the command that Encode gave. Its error is a *result.Error
// with the code DamagedState: the voter must stop, since it can't follow the log.
func Decode(data []byte) (Command, error) {
	en, err := unseal(data)
	if err != nil {
		return nil, err
	}
	switch en.Number {
	case numberChange:
		return open[Change](en)
	case numberBeginIntent:
		return open[BeginIntent](en)
	case numberFinishIntent:
		return open[FinishIntent](en)
	default:
		return nil, codecError("decode a command", fmt.Errorf("unknown number %d", en.Number))
	}
}

// EncodeOutcome returns an outcome as it travels in a ProposalReply.
func EncodeOutcome(oc Outcome) ([]byte, error) {
	switch oc := oc.(type) {
	case ChangeOutcome:
		return seal(numberChangeOutcome, oc)
	case IntentOutcome:
		return seal(numberIntentOutcome, oc)
	case Skipped:
		return seal(numberSkipped, oc)
	default:
		return nil, codecError("encode an outcome", fmt.Errorf("unknown type %T", oc))
	}
}

// DecodeOutcome returns the outcome that EncodeOutcome gave.
func DecodeOutcome(data []byte) (Outcome, error) {
	en, err := unseal(data)
	if err != nil {
		return nil, err
	}
	switch en.Number {
	case numberChangeOutcome:
		return open[ChangeOutcome](en)
	case numberIntentOutcome:
		return open[IntentOutcome](en)
	case numberSkipped:
		return open[Skipped](en)
	default:
		return nil, codecError("decode an outcome", fmt.Errorf("unknown number %d", en.Number))
	}
}

func seal(number uint64, val any) ([]byte, error) {
	body, err := encoding.Marshal(val)
	if err != nil {
		return nil, codecError("encode", err)
	}
	return encoding.Marshal(envelope{Version: codecVersion, Number: number, Body: body})
}

func unseal(data []byte) (envelope, error) {
	var en envelope
	if err := decoding.Unmarshal(data, &en); err != nil {
		return en, codecError("decode", err)
	}
	if en.Version != codecVersion {
		return en, codecError("decode", fmt.Errorf("want version %d, got %d", codecVersion, en.Version))
	}
	return en, nil
}

func open[T any](en envelope) (T, error) {
	var val T
	if err := decoding.Unmarshal(en.Body, &val); err != nil {
		return val, codecError("decode "+reflect.TypeFor[T]().Name(), err)
	}
	return val, nil
}

func codecError(op string, err error) error {
	return &result.Error{Code: result.DamagedState, Op: "control: " + op, Err: err}
}
