package gateway

import (
	"context"
	"math/rand/v2"
	"time"
)

// minLifetime and maxLifetime bound how long a caller's connection is used. Callers that
// moved away from an instance which was partitioned or stopped would otherwise stay at
// their new instance, although connections and retry budget are divided evenly among
// instances: of nine instances, one that serves three times its share would still have only
// a ninth of the connections and of the retry budget.
const (
	minLifetime = 6 * time.Second
	maxLifetime = 14 * time.Second
)

type lifetimeKey struct{}

// WithLifetime returns a context for a caller's connection accepted now. After a random
// time an answer closes the connection, and the caller chooses among all entry instances
// again.
func WithLifetime(ctx context.Context, now time.Time) context.Context {
	return context.WithValue(ctx, lifetimeKey{}, now.Add(minLifetime+rand.N(maxLifetime-minLifetime)))
}

// lifetimeExpired reports whether a connection has exceeded the lifetime set by
// WithLifetime.
func lifetimeExpired(ctx context.Context, now time.Time) bool {
	until, ok := ctx.Value(lifetimeKey{}).(time.Time)
	return ok && now.After(until)
}
