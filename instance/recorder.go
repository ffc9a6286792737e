package instance

import (
	"context"
	"crypto/rand"

	"balsamwinch.example/control"
	"balsamwinch.example/once"
	"balsamwinch.example/result"
)

// recorder keeps intents in the replicated log.
type recorder struct {
	name string
	la   *leaderAsker
}

// attemptOf names an arrival: the first call of Begin for it makes the name, and
// Finish must give the same one.
func (re *recorder) attemptOf() string {
	return re.name + "/" + rand.Text()
}

// Begin records the intent of a not-repeatable request.
func (re *recorder) Begin(ctx context.Context, in once.Intent) (once.Decision, error) {
	at := in.Attempt
	if at == "" {
		at = re.attemptOf()
	}
	oc, err := re.la.propose(ctx, intentTimeout, control.BeginIntent{
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

// Finish records the outcome of a not-repeatable request.
func (re *recorder) Finish(ctx context.Context, in once.Intent, code result.Code, answer []byte) error {
	_, err := re.la.propose(ctx, intentTimeout, control.FinishIntent{
		Key:     in.Key,
		Digest:  in.Digest,
		Attempt: in.Attempt,
		Code:    code,
		Answer:  answer,
	})
	return err
}
