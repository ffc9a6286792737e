package load

import (
	"context"

	"balsamwinch.example/leaf"
	"balsamwinch.example/operator"
)

// Tier is a running tier.
type Tier interface {
	// Addresses returns the instances' addresses for callers, each an IP address and a port.
	Addresses() []string
	// Apply applies the operators' files and returns once they are in effect.
	Apply(ctx context.Context, files []operator.File) error
	// Leafs returns the emulated backend servers. Their number and names do not change.
	Leafs() []LeafServer
	// Close stops the tier.
	Close() error
}

// LeafServer is an emulated backend server and the address of its control endpoint.
type LeafServer struct {
	Server         string
	ControlAddress string
}

// Killer is a Tier whose parts can be killed and restarted. Experiments with the faults Lost
// and KillInstance need one.
type Killer interface {
	// KillLeaf stops a backend server without a drain and returns its counters, so that the
	// requests which it has run still count.
	KillLeaf(ctx context.Context, server string) (leaf.Counts, error)
	// StartLeaf restarts a killed backend server.
	StartLeaf(ctx context.Context, server string) error
	// KillInstance kills the instance with the given number, counted from 1.
	KillInstance(ctx context.Context, number int) error
	// StartInstance restarts a killed instance.
	StartInstance(ctx context.Context, number int) error
}
