package instance

import (
	"context"
	"crypto/rand"

	"balsamwinch.example/control"
	"balsamwinch.example/once"
	"balsamwinch.example/result"
)

// recorder stores intents in the replicated log.
type recorder struct {
	name string
	lc   *leaderClient
}

// newAttemptID returns an identifier for one arrival of a request. The first Begin of an
// arrival creates it, and Finish must use the same one.
func (re *recorder) newAttemptID() string {
	return re.name + "/" + rand.Text()
}

// Begin records the intent of a request that is not repeatable.
func (re *recorder) Begin(ctx context.Context, in once.Intent) (once.Decision, error) {
	at := in.Attempt
	if at == "" {
		at = re.newAttemptID()
	}
	oc, err := re.lc.propose(ctx, intentTimeout, control.BeginIntent{
		Key:      in.Key,
		Digest:   in.Digest,
		Service:  in.Service,
		Instance: re.name,
		Attempt:  at,
	})
	if err != nil {
		return once.Decision{}, err
	}
	io, ok := oc.(control.IntentOutcome)
	if !ok {
		return once.Decision{}, &result.Error{Code: result.NotRunNoControl, Op: "record intent", Detail: "unexpected outcome"}
	}
	return once.Decision{Status: io.Status, Code: io.Code, Answer: io.Answer}, nil
}

// Finish records the outcome of a request that is not repeatable.
func (re *recorder) Finish(ctx context.Context, in once.Intent, code result.Code, answer []byte) error {
	_, err := re.lc.propose(ctx, intentTimeout, control.FinishIntent{
		Key:     in.Key,
		Digest:  in.Digest,
		Attempt: in.Attempt,
		Code:    code,
		Answer:  answer,
	})
	return err
}
