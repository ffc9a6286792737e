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
	BackendAddresses() []string // addresses that accept announcements
	OperatorAddresses() []string
	// Kill kills the instance with the given number, counted from 1.
	Kill(ctx context.Context, number int) error
	// Start restarts a killed instance with its data folder.
	Start(ctx context.Context, number int) error
	Close() error
}

// ExternalInstances are instances that this process did not start and can't kill or restart.
type ExternalInstances struct {
	Callers   []string
	Backends  []string
	Operators []string
}

var errExternalInstances = errors.New("the instances are external and can't be killed or started")

// CallerAddresses returns the addresses for callers.
func (ei ExternalInstances) CallerAddresses() []string { return ei.Callers }

// BackendAddresses returns the addresses for announcements.
func (ei ExternalInstances) BackendAddresses() []string { return ei.Backends }

// OperatorAddresses returns the addresses for operators.
func (ei ExternalInstances) OperatorAddresses() []string { return ei.Operators }

// Kill always returns an error.
func (ExternalInstances) Kill(context.Context, int) error { return errExternalInstances }

// Start always returns an error.
func (ExternalInstances) Start(context.Context, int) error { return errExternalInstances }

// Close does nothing.
func (ExternalInstances) Close() error { return nil }

// LocalTier is a Tier and Killer that runs instances and emulated backend servers in this
// process.
type LocalTier struct {
	in Instances
	ls *Leafs
}

// NewLocalTier starts the backend servers of the experiment for the given instances.
func NewLocalTier(ex Experiment, in Instances, ts *timer.Service, lg *zap.Logger) (*LocalTier, error) {
	ls, err := StartLeafs(ex, in.BackendAddresses(), ts, lg)
	if err != nil {
		return nil, err
	}
	return &LocalTier{in: in, ls: ls}, nil
}

// Addresses returns the instances' addresses for callers.
func (lt *LocalTier) Addresses() []string { return lt.in.CallerAddresses() }

// Leafs returns the running backend servers.
func (lt *LocalTier) Leafs() []LeafServer { return lt.ls.Servers() }

// Apply sends the files as one change and returns once it is in effect. Files of the same name
// are replaced; others stay.
func (lt *LocalTier) Apply(ctx context.Context, files []operator.File) error {
	cl := operator.NewClient(lt.in.OperatorAddresses())
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

// KillLeaf stops a backend server without a drain and returns its counters.
func (lt *LocalTier) KillLeaf(_ context.Context, server string) (leaf.Counts, error) {
	return lt.ls.Kill(server)
}

// StartLeaf restarts a killed backend server.
func (lt *LocalTier) StartLeaf(_ context.Context, server string) error {
	return lt.ls.Start(server)
}

// KillInstance kills an instance.
func (lt *LocalTier) KillInstance(ctx context.Context, number int) error {
	return lt.in.Kill(ctx, number)
}

// StartInstance restarts a killed instance.
func (lt *LocalTier) StartInstance(ctx context.Context, number int) error {
	return lt.in.Start(ctx, number)
}

// Close stops the backend servers and then the instances.
func (lt *LocalTier) Close() error {
	lt.ls.Close()
	return lt.in.Close()
}
