package control

import (
	"encoding/hex"
	"strings"
	"time"

	"balsamwinch.example/result"
)

// The bounds of the intents. All voters must have the same ones.
//
// A request runs at most once as long as its key is known. Keys carry no time
// in general, so one that was forgotten can't be told from a new one. Hence:
//   - An intent is never forgotten within IntentRetention. If there is no room,
//     new requests are refused (Full) and do not run.
//   - After that it is forgotten only when its room is needed, the oldest first.
//   - A key that is a UUID of version 7 states when it was made. If it may
//     belong to a forgotten intent it is TooOld for good: such requests run at
//     most once however late a resend comes.
//   - Any other key runs at most once if the last resend comes within
//     IntentRetention of the first arrival.
const (
	IntentRetention = time.Hour
	// MaxIntents is how many intents are kept: 9 a second within the retention.
	MaxIntents = 32768
	// ServiceIntents is how many places each service of the configuration has
	// even when the others have used up MaxIntents.
	ReservedIntentsPerService = 64
	// MaxAnswerBytes bounds one recorded answer; a larger one is dropped and
	// only its code is kept.
	MaxAnswerBytes = 16 << 10
	// MaxAnswersBytes bounds all recorded answers; the oldest are dropped and
	// their codes kept.
	MaxTotalAnswerBytes = 4 << 20
	// MaxKeyBytes bounds keys, digests and the names of services and attempts.
	MaxKeyBytes = 200
	// KeySkew is how far the clock that made a UUID of version 7 may be ahead.
	MaxKeyClockSkew = 5 * time.Minute
)

// intent is one kept intent. While it runs it has an Attempt.
type intent struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Digest   string
	Service  string
	Instance string
	Attempt  string
	Begun    uint64 // Begun is the index of the command.
	When     int64  // When is the state's clock then.
	Finished bool
	Code     result.Code
	Answer   []byte
	Dropped  bool
}

// intents is the table of intents. It is immutable.
type intents struct {
	byKey    tree[string, intent]
	order    tree[uint64, string] // order gives the keys by Begun.
	services tree[string, int]    // services counts the intents of each service.
	answers  tree[uint64, int]    // answers gives the sizes of the kept answers by Begun.
	bytes    int                  // bytes is the sum of answers.
	// horizon is the time of the newest intent that was forgotten.
	horizon int64
}

// begin decides whether a request may run. The service is known if the
// configuration names it.
func (it intents) begin(index uint64, clock int64, bi BeginIntent, known bool) (intents, IntentOutcome) {
	if in, ok := it.byKey.get(bi.Key); ok {
		return it, in.repeated(bi)
	}
	if bi.malformed() || keyTime(bi.Key) > clock+int64(MaxKeyClockSkew) {
		return it, IntentOutcome{Status: Malformed, Code: result.NotRunBadRequest}
	}
	// The intent of this key, if there was one, began at its stated time or
	// later, give or take the skew. If all that began then are still kept, the
	// key is new; if some were forgotten, this may be one of them.
	if ti := keyTime(bi.Key); ti != 0 && it.horizon != 0 && ti <= it.horizon+int64(MaxKeyClockSkew) {
		return it, IntentOutcome{Status: TooOld, Code: result.OutcomeUnknown}
	}
	it = it.forget(clock)
	if it.byKey.len() >= MaxIntents {
		if used, _ := it.services.get(bi.Service); !known || used >= ReservedIntentsPerService {
			return it, IntentOutcome{Status: Full, Code: result.NotRunNoControl}
		}
	}
	it = it.with(intent{
		Key:      bi.Key,
		Digest:   bi.Digest,
		Service:  bi.Service,
		Instance: bi.Instance,
		Attempt:  bi.Attempt,
		Begun:    index,
		When:     clock,
	})
	return it, IntentOutcome{Status: Fresh}
}

func (bi BeginIntent) malformed() bool {
	return bi.Key == "" || len(bi.Key) > MaxKeyBytes || len(bi.Digest) > MaxKeyBytes ||
		len(bi.Service) > MaxKeyBytes || len(bi.Instance) > MaxKeyBytes || len(bi.Attempt) > MaxKeyBytes
}

// repeated decides a second arrival of a key.
func (in intent) repeated(bi BeginIntent) IntentOutcome {
	switch {
	case in.Digest != bi.Digest:
		// Answering with the recorded outcome would give a caller the answer to
		// another request.
		return IntentOutcome{Status: KeyReused, Code: result.NotRunKeyReused}
	case in.Finished:
		return in.outcome()
	case in.Attempt != "" && in.Attempt == bi.Attempt:
		return IntentOutcome{Status: Fresh}
	default:
		return IntentOutcome{Status: Running, Code: result.OutcomeUnknown}
	}
}

func (in intent) outcome() IntentOutcome {
	return IntentOutcome{Status: Finished, Code: in.Code, Answer: in.Answer, AnswerDropped: in.Dropped}
}

// finish records an outcome.
func (it intents) finish(fi FinishIntent) (intents, IntentOutcome) {
	in, ok := it.byKey.get(fi.Key)
	switch {
	case !ok:
		return it, IntentOutcome{Status: AttemptNotFound, Code: result.OutcomeUnknown}
	case in.Digest != fi.Digest:
		return it, IntentOutcome{Status: KeyReused, Code: result.NotRunKeyReused}
	case in.Finished:
		return it, in.outcome()
	case in.Attempt != fi.Attempt:
		// A "not run" that was sent twice may arrive after a resend of the
		// request has begun at another instance. It would free the key while
		// that one runs, and a further resend would run it again.
		return it, IntentOutcome{Status: AttemptNotFound, Code: result.OutcomeUnknown}
	case fi.Code.NotRun():
		return it.without(in), IntentOutcome{Status: Finished, Code: fi.Code}
	}
	in.Finished = true
	in.Attempt, in.Instance = "", ""
	in.Code = fi.Code
	in.Answer = fi.Answer
	if len(in.Answer) > MaxAnswerBytes {
		in.Answer, in.Dropped = nil, true
	}
	return it.with(in).bounded(), in.outcome()
}

// with returns the table with the intent added or replaced.
func (it intents) with(in intent) intents {
	if _, ok := it.byKey.get(in.Key); !ok {
		used, _ := it.services.get(in.Service)
		it.services = it.services.with(in.Service, used+1)
		it.order = it.order.with(in.Begun, in.Key)
	}
	it.byKey = it.byKey.with(in.Key, in)
	if by := len(in.Answer); by > 0 {
		it.answers = it.answers.with(in.Begun, by)
		it.bytes += by
	}
	return it
}

func (it intents) without(in intent) intents {
	it.byKey = it.byKey.without(in.Key)
	it.order = it.order.without(in.Begun)
	if used, _ := it.services.get(in.Service); used > 1 {
		it.services = it.services.with(in.Service, used-1)
	} else {
		it.services = it.services.without(in.Service)
	}
	if by, ok := it.answers.get(in.Begun); ok {
		it.answers = it.answers.without(in.Begun)
		it.bytes -= by
	}
	return it
}

// forget makes room for one intent among those whose retention has passed.
func (it intents) forget(clock int64) intents {
	for it.byKey.len() >= MaxIntents {
		_, key, _ := it.order.first()
		in, _ := it.byKey.get(key)
		if clock-in.When < int64(IntentRetention) {
			return it
		}
		it = it.without(in)
		it.horizon = max(it.horizon, in.When)
	}
	return it
}

// bounded drops the oldest answers beyond the bound; their codes stay.
func (it intents) bounded() intents {
	for it.bytes > MaxTotalAnswerBytes {
		begun, by, _ := it.answers.first()
		key, _ := it.order.get(begun)
		in, _ := it.byKey.get(key)
		in.Answer, in.Dropped = nil, true
		it.byKey = it.byKey.with(key, in)
		it.answers = it.answers.without(begun)
		it.bytes -= by
	}
	return it
}

// keyTime returns the time that a UUID of version 7 states, in nanoseconds since
// 1970, and 0 for any other key.
func keyTime(key string) int64 {
	const dashes = "________-____-7___-____-____________"
	if len(key) != len(dashes) {
		return 0
	}
	for i := range dashes {
		if dashes[i] != '_' && key[i] != dashes[i] {
			return 0
		}
	}
	data, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(data) != 16 || data[8]>>6 != 2 {
		return 0
	}
	var ms int64
	for _, by := range data[:6] {
		ms = ms<<8 | int64(by)
	}
	return ms * int64(time.Millisecond)
}
