package load

import (
	"context"

	"balsamwinch.example/leaf"
	"balsamwinch.example/operator"
)

// Tier is a running tier.
type Tier interface {
	// Addresses are the callers' addresses of the instances, each an IP number
	// and a port.
	Addresses() []string
	// Apply brings the operators' files in force and returns once they are.
	Apply(ctx context.Context, files []operator.File) error
	// Leafs are the emulated backend servers. Their number and names stay.
	Leafs() []LeafServer
	// Close ends the tier.
	Close() error
}

// LeafServer is where an emulated backend server takes its directions.
type LeafServer struct {
	Server         string
	ControlAddress string
}

// Killer is a Tier whose parts can be killed and started again. Experiments
// with the faults Lost and KillInstance need one.
type Killer interface {
	// KillLeaf ends a backend server without a warning and returns what it had
	// counted, so that a request which it ran before isn't forgotten.
	KillLeaf(ctx context.Context, server string) (leaf.Counts, error)
	// StartLeaf starts a killed backend server again.
	StartLeaf(ctx context.Context, server string) error
	// KillInstance ends the instance of the number, from 1, without a warning.
	KillInstance(ctx context.Context, number int) error
	// StartInstance starts a killed instance again.
	StartInstance(ctx context.Context, number int) error
}
