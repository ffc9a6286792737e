// Package once defines how an entry records the intent of a not-repeatable
// request before the first byte of it leaves, so that the request runs at most
// once through whichever instance a resend arrives.
package once

import (
	"context"

	"balsamwinch.example/result"
)

// Intent is what is recorded of a not-repeatable request.
type Intent struct {
	Key     string // Key is the caller's key, unique for each request it wants run once.
	Digest  string // Digest is the SHA-256 of service, shards and body, in hexadecimal.
	Service string
	// Attempt names this arrival of the request, unique among all arrivals at all
	// instances, so that a Begin which is resent after a lost reply is Fresh again.
	Attempt string
}

// Status says what an earlier arrival of the key left behind.
type Status string

// The statuses of an intent.
const (
	// Fresh means that the key was not known: this arrival may run the request.
	Fresh Status = "Fresh"
	// Running means that another arrival may be running it: the outcome is unknown.
	Running Status = "Running"
	// Finished means that the outcome is recorded.
	Finished Status = "Finished"
	// KeyReused means that the key belongs to another request.
	KeyReused Status = "KeyReused"
	// TooOld means that the key's retention has passed, so nothing can be promised.
	TooOld Status = "TooOld"
	// Full means that there is no room for another intent within the retention,
	// so the request must not be sent.
	Full Status = "Full"
)

// Decision is the answer to an intent.
type Decision struct {
	Status Status
	Code   result.Code // Code is the recorded outcome when Finished.
	Answer []byte      // Answer is the recorded answer when Finished.
}

// Recorder keeps intents durably.
type Recorder interface {
	// Begin records the intent. An error means that it is not known whether the
	// intent was recorded, so the request must not be sent.
	Begin(ctx context.Context, in Intent) (Decision, error)
	// Finish records the outcome of a request that Begin called Fresh. The code
	// may be one that says "not run", which frees the key.
	Finish(ctx context.Context, in Intent, code result.Code, answer []byte) error
}
