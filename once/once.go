// Package once defines how an entry instance records the intent of a
// not-repeatable request before it sends the first byte, so that the request
// runs at most once even if it is resent through other instances.
package once

import (
	"context"

	"balsamwinch.example/result"
)

// Intent is the record of a not-repeatable request.
type Intent struct {
	Key     string // caller's key, unique for each request that should run once
	Digest  string // SHA-256 of service, shards and body, in hexadecimal
	Service string
	// Attempt identifies this arrival of the request among all arrivals at all
	// instances, so that a Begin that is resent after its reply was lost returns
	// Fresh again.
	Attempt string
}

// Status tells what an earlier arrival with the same key left behind.
type Status string

// The statuses of an intent.
const (
	// Fresh means that the key was unknown: this arrival may run the request.
	Fresh Status = "Fresh"
	// Running means that another arrival may be running the request, so its outcome
	// is unknown.
	Running Status = "Running"
	// Finished means that the outcome is recorded.
	Finished Status = "Finished"
	// KeyReused means that the key belongs to a different request.
	KeyReused Status = "KeyReused"
	// TooOld means that the key's retention time has passed, so it is unknown
	// whether the request has run.
	TooOld Status = "TooOld"
	// Full means that no more intents can be kept for the retention time, so the
	// request must not be sent.
	Full Status = "Full"
)

// Decision is the answer to an intent.
type Decision struct {
	Status Status
	Code   result.Code // recorded result code if Finished
	Answer []byte      // recorded answer if Finished
}

// Recorder stores intents durably.
type Recorder interface {
	// Begin records the intent. After an error it is unknown whether the intent was
	// recorded, so the request must not be sent.
	Begin(ctx context.Context, in Intent) (Decision, error)
	// Finish records the outcome of a request for which Begin returned Fresh. A code
	// for "not run" frees the key.
	Finish(ctx context.Context, in Intent, code result.Code, answer []byte) error
}
