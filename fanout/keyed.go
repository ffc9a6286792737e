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

// Limits for recording an outcome and for retrying that in the background.
const (
	maxRecordAttempts   = 20
	recordTimeout       = 2 * time.Second
	recordRetryInterval = 500 * time.Millisecond
	minRecordTimeout    = 10 * time.Millisecond
)

// executeOnce runs a request that must not be repeated, unless another arrival
// of its key has run it. The intent is recorded before the first byte is sent,
// so that a second arrival finds it at any instance and after any crash.
// recordChecked reports whether the record rules out that an earlier arrival
// ran.
func (qr *queryRun) executeOnce() (an Answer, recordChecked bool) {
	in := once.Intent{
		Key:     qr.qu.Key,
		Digest:  digest(qr.qu),
		Service: qr.qu.Service,
		Attempt: qr.en.self + "." + qr.en.bootID + "." + strconv.FormatUint(qr.en.seq.Add(1), 36),
	}
	ctx, cancel := context.WithDeadline(qr.ctx, qr.pa.AnswerDeadline)
	defer cancel()
	de, err := qr.en.on.Begin(ctx, in)
	if err != nil {
		// The intent may have been recorded nevertheless. Nothing was sent, so the
		// key can be freed; the record accepts that only from the attempt that was
		// Fresh.
		an = refusal(result.NotRunNoControl, "the intent could not be recorded: "+err.Error(), retryAfterMissing)
		qr.recordInBackground(in, an.Code, nil)
		return an, false
	}
	switch de.Status {
	case once.Fresh:
		an = qr.executeIfValid()
		qr.record(in, &an)
		return an, true
	case once.Finished:
		return qr.recordedAnswer(de), true
	case once.KeyReused:
		return refusal(result.NotRunKeyReused, "the key was used before with another request", 0), true
	case once.Running:
		return refusal(result.OutcomeUnknown, "another arrival of the key is running or was lost", retryAfterMissing), false
	case once.TooOld:
		return refusal(result.OutcomeUnknown, "the key is older than what is kept", 0), false
	case once.Full:
		return refusal(result.NotRunNoControl, "no room for another intent", retryAfterMissing), false
	default:
		return refusal(result.NotRunNoControl, "unknown status "+strconv.Quote(string(de.Status)), 0), false
	}
}

// executeIfValid runs the request unless recording its intent took so long that
// it may no longer run or no longer needs to.
func (qr *queryRun) executeIfValid() Answer {
	now := qr.en.ts.Now()
	switch {
	case !qr.stale && !qr.en.ce.Load().Leased(now) && !qr.se.ServeWithoutControl:
		return refusal(result.NotRunStale, "the lease from control has run out", retryAfterMissing)
	case !now.Before(qr.pa.AnswerDeadline):
		return refusal(result.NotRunDeadline, "recording the intent took all the time", retryAfterBusy)
	case qr.ctx.Err() != nil:
		return refusal(result.NotRunDeadline, "the caller went away", 0)
	default:
		return qr.execute()
	}
}

// recordedAnswer returns the answer that an earlier arrival received.
func (qr *queryRun) recordedAnswer(de once.Decision) Answer {
	var an Answer
	if len(de.Answer) == 0 || json.Unmarshal(de.Answer, &an) != nil {
		return qr.rowsNotKept(de.Code)
	}
	an.Code = de.Code
	an.Cost = Cost{}
	return an
}

// rowsNotKept returns the answer to a resend if only the code of the first
// answer is kept. It covers no shard, so it cannot be Complete.
func (qr *queryRun) rowsNotKept(co result.Code) Answer {
	an := Answer{Code: co, Snapshot: qr.plan.Snapshot, Covered: []string{}}
	if co != result.Complete && co != result.Partial && co != result.Incomplete {
		return an
	}
	an.Code = result.Incomplete
	an.Detail = "the request ran once with " + co.String() + "; its rows are no longer kept"
	for _, sh := range qr.plan.Shards {
		an.Missing = append(an.Missing, MissingShard{Shard: sh, Reason: NotKept})
	}
	return an
}

// record stores the outcome before the answer is given, so that a caller who
// loses the answer receives it when it resends. If that takes too long, the
// answer is given anyway and recording is retried in the background. Until it
// succeeds, a resend gets an unknown outcome.
func (qr *queryRun) record(in once.Intent, an *Answer) {
	an.RequestID = qr.qu.RequestID
	an.Instance = qr.en.self
	an.Revision = qr.revision
	an.Stale = qr.stale
	body, err := json.Marshal(an)
	if err != nil {
		body = nil
	}
	now := qr.en.ts.Now()
	deadline := qr.recordDeadline
	if minDeadline := now.Add(minRecordTimeout); deadline.Before(minDeadline) {
		deadline = minDeadline
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(qr.ctx), deadline)
	defer cancel()
	if qr.en.on.Finish(ctx, in, an.Code, body) != nil {
		qr.recordInBackground(in, an.Code, body)
	}
}

// recordInBackground records an outcome after the answer was given.
func (qr *queryRun) recordInBackground(in once.Intent, co result.Code, body []byte) {
	qr.numGoroutines.Add(1)
	go func() {
		defer qr.goroutineDone()
		var err error
		for range maxRecordAttempts {
			if err = qr.tryRecord(in, co, body); err == nil {
				return
			}
			_ = qr.en.ts.Sleep(context.Background(), recordRetryInterval)
		}
		qr.en.lg.Error("once.record.lost", zap.String("RequestID", qr.qu.RequestID), zap.String("Key", in.Key),
			zap.Stringer("Code", co), zap.Error(err))
	}()
}

func (qr *queryRun) tryRecord(in once.Intent, co result.Code, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	return qr.en.on.Finish(ctx, in, co, body)
}

// digest distinguishes requests that use the same key. Each part is preceded by
// its length, so that different requests never produce the same byte sequence.
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
