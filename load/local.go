package load

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"balsamwinch.example/leaf"
	"balsamwinch.example/operator"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

// Instances are the instances of a tier, without its backend servers.
type Instances interface {
	CallerAddresses() []string
	BackendAddresses() []string // BackendAddresses take announcements.
	OperatorAddresses() []string
	// Kill ends the instance of the number, from 1, without a warning.
	Kill(ctx context.Context, number int) error
	// Start starts a killed instance again with its data folder.
	Start(ctx context.Context, number int) error
	Close() error
}

// Running are instances that run elsewhere. They can't be killed or started.
type ExternalInstances struct {
	Callers   []string
	Backends  []string
	Operators []string
}

var errElsewhere = errors.New("the instances run elsewhere and are not killed or started from here")

// CallerAddresses returns the addresses for callers.
func (rg ExternalInstances) CallerAddresses() []string { return rg.Callers }

// BackendAddresses returns the addresses for announcements.
func (rg ExternalInstances) BackendAddresses() []string { return rg.Backends }

// OperatorAddresses returns the addresses for operators.
func (rg ExternalInstances) OperatorAddresses() []string { return rg.Operators }

// Kill fails.
func (ExternalInstances) Kill(context.Context, int) error { return errElsewhere }

// Start fails.
func (ExternalInstances) Start(context.Context, int) error { return errElsewhere }

// Close leaves the instances as they are.
func (ExternalInstances) Close() error { return nil }

// Local is a Tier and Killer of instances and of emulated backend servers in
// this process.
type LocalTier struct {
	in Instances
	ls *Leafs
}

// NewLocal starts the backend servers of the experiment beside the instances.
func NewLocalTier(ex Experiment, in Instances, ts *timer.Service, lg *zap.Logger) (*LocalTier, error) {
	ls, err := StartLeafs(ex, in.BackendAddresses(), ts, lg)
	if err != nil {
		return nil, err
	}
	return &LocalTier{in: in, ls: ls}, nil
}

// Addresses returns the callers' addresses of the instances.
func (lo *LocalTier) Addresses() []string { return lo.in.CallerAddresses() }

// Leafs returns the backend servers that run.
func (lo *LocalTier) Leafs() []LeafServer { return lo.ls.Servers() }

// Apply sends the files as one change and returns once it is in force. Files of
// the same name are replaced; others stay.
func (lo *LocalTier) Apply(ctx context.Context, files []operator.File) error {
	cl := operator.NewClient(lo.in.OperatorAddresses())
	stored, err := cl.Files(ctx)
	if err != nil {
		return err
	}
	base := make(map[string]uint64)
	for _, sf := range stored.Files {
		base[sf.Name] = sf.Revision
	}
	cr := operator.ChangeRequest{ChangeID: "balsamload-" + rand.Text(), Author: "balsamload"}
	for _, fi := range files {
		cr.Files = append(cr.Files, operator.FileChange{Name: fi.Name, Base: base[fi.Name], Content: fi.Content})
	}
	re, err := cl.ChangeAndWait(ctx, cr)
	if err != nil {
		return err
	}
	if re.Code != result.Accepted {
		return &result.Error{Code: re.Code, Op: "apply", Detail: fmt.Sprint(re.Faults, re.Conflict, re.WaitingFor)}
	}
	return nil
}

// KillLeaf ends a backend server without a warning.
func (lo *LocalTier) KillLeaf(_ context.Context, server string) (leaf.Counts, error) {
	return lo.ls.Kill(server)
}

// StartLeaf starts a killed backend server again.
func (lo *LocalTier) StartLeaf(_ context.Context, server string) error {
	return lo.ls.Start(server)
}

// KillInstance ends an instance without a warning.
func (lo *LocalTier) KillInstance(ctx context.Context, number int) error {
	return lo.in.Kill(ctx, number)
}

// StartInstance starts a killed instance again.
func (lo *LocalTier) StartInstance(ctx context.Context, number int) error {
	return lo.in.Start(ctx, number)
}

// Close ends the backend servers and then the instances.
func (lo *LocalTier) Close() error {
	lo.ls.Close()
	return lo.in.Close()
}
