package fanout

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/once"
	"balsamwinch.example/result"
)

// How an outcome is recorded that could not be at first.
const (
	recordTries   = 20
	recordTimeout = 2 * time.Second
	recordPause   = 500 * time.Millisecond
	recordLeast   = 10 * time.Millisecond
)

// executeOnce runs a request that must not be repeated, if no other arrival of
// its key has. The intent is recorded before the first byte leaves, so that a
// second arrival, at whichever instance and after whichever crash, finds it.
// Consulted says that the record rules out that an earlier arrival ran.
func (rn *run) executeOnce() (an Answer, consulted bool) {
	in := once.Intent{
		Key:     rn.qu.Key,
		Digest:  digest(rn.qu),
		Service: rn.qu.Service,
		Attempt: rn.en.self + "." + rn.en.boot + "." + strconv.FormatUint(rn.en.seq.Add(1), 36),
	}
	ctx, cancel := context.WithDeadline(rn.ctx, rn.ru.AnswerDeadline)
	defer cancel()
	de, err := rn.en.on.Begin(ctx, in)
	if err != nil {
		// The intent may be recorded all the same. Nothing was sent, so the key
		// can be freed; the record takes that only from the attempt that was Fresh.
		an = refusal(result.NotRunNoControl, "the intent could not be recorded: "+err.Error(), retryMissing)
		rn.recordLater(in, an.Code, nil)
		return an, false
	}
	switch de.Status {
	case once.Fresh:
		an = rn.executeFresh()
		rn.record(in, &an)
		return an, true
	case once.Finished:
		return rn.recorded(de), true
	case once.KeyReused:
		return refusal(result.NotRunKeyReused, "the key was used before with another request", 0), true
	case once.Running:
		return refusal(result.OutcomeUnknown, "another arrival of the key is running or was lost", retryMissing), false
	case once.TooOld:
		return refusal(result.OutcomeUnknown, "the key is older than what is kept", 0), false
	case once.Full:
		return refusal(result.NotRunNoControl, "no room for another intent", retryMissing), false
	default:
		return refusal(result.NotRunNoControl, "unknown status "+strconv.Quote(string(de.Status)), 0), false
	}
}

// executeFresh runs the request unless recording its intent took so long that
// it may or need not be run any more.
func (rn *run) executeFresh() Answer {
	now := rn.en.ts.Now()
	switch {
	case !rn.stale && !rn.en.ce.Load().Leased(now) && !rn.se.ServeWithoutControl:
		return refusal(result.NotRunStale, "the lease from control has run out", retryMissing)
	case !now.Before(rn.ru.AnswerDeadline):
		return refusal(result.NotRunDeadline, "recording the intent took all the time", retryBusy)
	case rn.ctx.Err() != nil:
		return refusal(result.NotRunDeadline, "the caller went away", 0)
	default:
		return rn.execute()
	}
}

// recorded returns the answer that an earlier arrival gave.
func (rn *run) recorded(de once.Decision) Answer {
	var an Answer
	if len(de.Answer) == 0 || json.Unmarshal(de.Answer, &an) != nil {
		return rn.notKept(de.Code)
	}
	an.Code = de.Code
	an.Cost = Cost{}
	return an
}

// notKept returns the answer to a resend if only the code of the first answer is
// kept. It covers no shard, so it can't say Complete.
func (rn *run) notKept(co result.Code) Answer {
	an := Answer{Code: co, Snapshot: rn.plan.Snapshot, Covered: []string{}}
	if co != result.Complete && co != result.Partial && co != result.Incomplete {
		return an
	}
	an.Code = result.Incomplete
	an.Detail = "the request ran once with " + co.String() + "; its rows are no longer kept"
	for _, sh := range rn.plan.Shards {
		an.Missing = append(an.Missing, MissingShard{Shard: sh, Reason: NotKept})
	}
	return an
}

// record keeps the outcome before the answer is given, so that a caller who
// loses the answer gets it with a resend. If that takes too long the answer is
// given all the same, and the record is tried again behind it; until then a
// resend hears that the outcome is unknown.
func (rn *run) record(in once.Intent, an *Answer) {
	an.RequestID = rn.qu.RequestID
	an.Instance = rn.en.self
	an.Revision = rn.revision
	an.Stale = rn.stale
	body, err := json.Marshal(an)
	if err != nil {
		body = nil
	}
	now := rn.en.ts.Now()
	by := rn.recordBy
	if least := now.Add(recordLeast); by.Before(least) {
		by = least
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(rn.ctx), by)
	defer cancel()
	if rn.en.on.Finish(ctx, in, an.Code, body) != nil {
		rn.recordLater(in, an.Code, body)
	}
}

// recordLater records an outcome behind the answer.
func (rn *run) recordLater(in once.Intent, co result.Code, body []byte) {
	rn.live.Add(1)
	go func() {
		defer rn.leave()
		var err error
		for range recordTries {
			if err = rn.tryRecord(in, co, body); err == nil {
				return
			}
			_ = rn.en.ts.Sleep(context.Background(), recordPause)
		}
		rn.en.lg.Error("once.record.lost", zap.String("RequestID", rn.qu.RequestID), zap.String("Key", in.Key),
			zap.Stringer("Code", co), zap.Error(err))
	}()
}

func (rn *run) tryRecord(in once.Intent, co result.Code, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	return rn.en.on.Finish(ctx, in, co, body)
}

// digest tells requests apart that come under one key. Each part goes in with
// its length, so that no two requests run together into the same bytes.
func digest(qu *Query) string {
	ha := sha256.New()
	part := func(bs []byte) {
		_, _ = ha.Write(binary.AppendUvarint(nil, uint64(len(bs))))
		_, _ = ha.Write(bs)
	}
	part([]byte(qu.Service))
	shs := slices.Clone(qu.Shards)
	slices.Sort(shs)
	shs = slices.Compact(shs)
	part(binary.AppendUvarint(nil, uint64(len(shs))))
	for _, sh := range shs {
		part([]byte(sh))
	}
	part(qu.Body)
	return hex.EncodeToString(ha.Sum(nil))
}
