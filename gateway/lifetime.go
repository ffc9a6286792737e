package gateway

import (
	"context"
	"math/rand/v2"
	"time"
)

// leastLifetime and mostLifetime bound how long a caller's connection is used.
// Callers that fled from an instance which was cut off or stopped would otherwise
// stay where they went, with their share of what each instance may use: an
// instance that serves three times its part has a ninth of the connections and of
// the retry budget all the same.
const (
	leastLifetime = 6 * time.Second
	mostLifetime  = 14 * time.Second
)

type lifetimeKey struct{}

// WithLifetime returns the context of a caller's connection that was accepted now.
// After a random time its caller is asked to leave with an answer, and chooses
// among all entry instances again.
func WithLifetime(ctx context.Context, now time.Time) context.Context {
	return context.WithValue(ctx, lifetimeKey{}, now.Add(leastLifetime+rand.N(mostLifetime-leastLifetime)))
}

// outlived reports whether a connection has been used for long enough.
func outlived(ctx context.Context, now time.Time) bool {
	until, ok := ctx.Value(lifetimeKey{}).(time.Time)
	return ok && now.After(until)
}
