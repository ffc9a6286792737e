package control

import (
	"encoding/hex"
	"strings"
	"time"

	"balsamwinch.example/result"
)

// The bounds of the intents. All voters must use the same values.
//
// A request runs at most once as long as its key is recorded. In general a key
// includes no time, so an evicted key can't be told from a new one. Hence:
//   - An intent is never evicted within IntentRetention. If the table is full, new
//     requests are rejected (Full) and don't run.
//   - Later it is evicted only when its place is needed, the oldest first.
//   - A UUIDv7 key includes its creation time. If it may belong to an evicted
//     intent, it is TooOld permanently: such requests run at most once however late
//     a retry arrives.
//   - A request with any other key runs at most once if its last retry arrives
//     within IntentRetention of the first attempt.
const (
	IntentRetention = time.Hour
	// MaxIntents is the maximum number of recorded intents: 9 per second over
	// the retention.
	MaxIntents = 32768
	// ReservedIntentsPerService is the number of intents that each service of
	// the configuration may have even if MaxIntents is used up by others.
	ReservedIntentsPerService = 64
	// MaxAnswerBytes bounds one recorded answer. Of a larger answer only the
	// code is kept.
	MaxAnswerBytes = 16 << 10
	// MaxTotalAnswerBytes bounds all recorded answers together. Beyond it the
	// oldest answers are dropped and their codes kept.
	MaxTotalAnswerBytes = 4 << 20
	// MaxKeyBytes bounds keys, digests and the names of services and attempts.
	MaxKeyBytes = 200
	// MaxKeyClockSkew is how far the clock that created a UUIDv7 may be ahead.
	MaxKeyClockSkew = 5 * time.Minute
)

// intent is one recorded intent. Attempt and Instance are set only while it runs.
type intent struct {
	_             struct{} `cbor:",toarray"`
	Key           string
	Digest        string
	Service       string
	Instance      string
	Attempt       string
	BeginIndex    uint64 // log index of the BeginIntent
	BeginTime     int64  // state's clock at the BeginIntent, in nanoseconds since 1970
	Finished      bool
	Code          result.Code
	Answer        []byte
	AnswerDropped bool
}

// intents is the table of intents. It is immutable.
type intents struct {
	byKey        tree[string, intent]
	keysByIndex  tree[uint64, string] // BeginIndex to key
	numByService tree[string, int]    // service to its number of intents
	answerSizes  tree[uint64, int]    // BeginIndex to the size of the recorded answer
	answerBytes  int                  // sum of answerSizes
	// newestEvicted is the highest BeginTime of any evicted intent; 0 if none
	// was evicted.
	newestEvicted int64
}

// begin decides whether a request may run. known says whether the configuration has
// the service.
func (it intents) begin(index uint64, clock int64, bi BeginIntent, known bool) (intents, IntentOutcome) {
	if in, ok := it.byKey.get(bi.Key); ok {
		return it, in.duplicateOutcome(bi)
	}
	if bi.malformed() || uuidTime(bi.Key) > clock+int64(MaxKeyClockSkew) {
		return it, IntentOutcome{Status: Malformed, Code: result.NotRunBadRequest}
	}
	// If there was an intent of this key, it began no earlier than the time in
	// the key, apart from clock skew. If no intent from that time on was
	// evicted, the key is new. Otherwise its intent may be among those evicted.
	if ti := uuidTime(bi.Key); ti != 0 && it.newestEvicted != 0 && ti <= it.newestEvicted+int64(MaxKeyClockSkew) {
		return it, IntentOutcome{Status: TooOld, Code: result.OutcomeUnknown}
	}
	it = it.evict(clock)
	if it.byKey.len() >= MaxIntents {
		if used, _ := it.numByService.get(bi.Service); !known || used >= ReservedIntentsPerService {
			return it, IntentOutcome{Status: Full, Code: result.NotRunNoControl}
		}
	}
	it = it.with(intent{
		Key:        bi.Key,
		Digest:     bi.Digest,
		Service:    bi.Service,
		Instance:   bi.Instance,
		Attempt:    bi.Attempt,
		BeginIndex: index,
		BeginTime:  clock,
	})
	return it, IntentOutcome{Status: Fresh}
}

func (bi BeginIntent) malformed() bool {
	return bi.Key == "" || len(bi.Key) > MaxKeyBytes || len(bi.Digest) > MaxKeyBytes ||
		len(bi.Service) > MaxKeyBytes || len(bi.Instance) > MaxKeyBytes || len(bi.Attempt) > MaxKeyBytes
}

// duplicateOutcome returns the outcome of a BeginIntent for a key that is already
// recorded.
func (in intent) duplicateOutcome(bi BeginIntent) IntentOutcome {
	switch {
	case in.Digest != bi.Digest:
		// Answering with the recorded outcome would give a caller the answer to
		// a different request.
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
	return IntentOutcome{Status: Finished, Code: in.Code, Answer: in.Answer, AnswerDropped: in.AnswerDropped}
}

// finish records the result of a running intent.
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
		// A duplicated "not run" may arrive after a retry of the request has
		// begun at another instance. It would free the key while that attempt
		// runs, and a further retry would run the request again.
		return it, IntentOutcome{Status: AttemptNotFound, Code: result.OutcomeUnknown}
	case fi.Code.NotRun():
		return it.without(in), IntentOutcome{Status: Finished, Code: fi.Code}
	}
	in.Finished = true
	in.Attempt, in.Instance = "", ""
	in.Code = fi.Code
	in.Answer = fi.Answer
	if len(in.Answer) > MaxAnswerBytes {
		in.Answer, in.AnswerDropped = nil, true
	}
	return it.with(in).trimAnswers(), in.outcome()
}

// with returns the table with the intent added or replaced.
func (it intents) with(in intent) intents {
	if _, ok := it.byKey.get(in.Key); !ok {
		used, _ := it.numByService.get(in.Service)
		it.numByService = it.numByService.with(in.Service, used+1)
		it.keysByIndex = it.keysByIndex.with(in.BeginIndex, in.Key)
	}
	it.byKey = it.byKey.with(in.Key, in)
	if by := len(in.Answer); by > 0 {
		it.answerSizes = it.answerSizes.with(in.BeginIndex, by)
		it.answerBytes += by
	}
	return it
}

func (it intents) without(in intent) intents {
	it.byKey = it.byKey.without(in.Key)
	it.keysByIndex = it.keysByIndex.without(in.BeginIndex)
	if used, _ := it.numByService.get(in.Service); used > 1 {
		it.numByService = it.numByService.with(in.Service, used-1)
	} else {
		it.numByService = it.numByService.without(in.Service)
	}
	if by, ok := it.answerSizes.get(in.BeginIndex); ok {
		it.answerSizes = it.answerSizes.without(in.BeginIndex)
		it.answerBytes -= by
	}
	return it
}

// evict makes room for one intent by removing the oldest whose retention has
// passed.
func (it intents) evict(clock int64) intents {
	for it.byKey.len() >= MaxIntents {
		_, key, _ := it.keysByIndex.first()
		in, _ := it.byKey.get(key)
		if clock-in.BeginTime < int64(IntentRetention) {
			return it
		}
		it = it.without(in)
		it.newestEvicted = max(it.newestEvicted, in.BeginTime)
	}
	return it
}

// trimAnswers drops the oldest answers beyond MaxTotalAnswerBytes and keeps their
// codes.
func (it intents) trimAnswers() intents {
	for it.answerBytes > MaxTotalAnswerBytes {
		index, by, _ := it.answerSizes.first()
		key, _ := it.keysByIndex.get(index)
		in, _ := it.byKey.get(key)
		in.Answer, in.AnswerDropped = nil, true
		it.byKey = it.byKey.with(key, in)
		it.answerSizes = it.answerSizes.without(index)
		it.answerBytes -= by
	}
	return it
}

// uuidTime returns the time in a UUIDv7 in nanoseconds since 1970, or 0 for any
// other key.
func uuidTime(key string) int64 {
	const layout = "________-____-7___-____-____________"
	if len(key) != len(layout) {
		return 0
	}
	for i := range layout {
		if layout[i] != '_' && key[i] != layout[i] {
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
