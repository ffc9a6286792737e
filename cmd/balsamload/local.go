package main

import (
	"context"
	"errors"
	"os"

	"go.uber.org/zap"

	"balsamwinch.example/instance"
	"balsamwinch.example/load"
	"balsamwinch.example/timer"
)

// localInstances runs instances in this process, with their data in a temporary folder.
type localInstances struct {
	lo     *instance.Local
	folder string
}

// startInstances starts the instances that the experiment specifies.
func startInstances(_ context.Context, ex load.Experiment, ts *timer.Service, lg *zap.Logger) (load.Instances, error) {
	folder, err := os.MkdirTemp("", "balsamload-")
	if err != nil {
		return nil, err
	}
	lo, err := instance.StartLocal(instance.LocalConfig{
		Instances:        ex.Tier.Instances,
		ControlInstances: ex.Tier.Voters,
		Region:           "local",
		DataCentres:      ex.Tier.DataCentres,
		Folder:           folder,
	}, ts, lg)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	return &localInstances{lo: lo, folder: folder}, nil
}

// CallerAddresses returns the addresses at which the instances serve callers.
func (li *localInstances) CallerAddresses() []string { return li.lo.Addresses("Caller") }

// BackendAddresses returns the addresses at which the instances take announcements.
func (li *localInstances) BackendAddresses() []string { return li.lo.Addresses("Backend") }

// OperatorAddresses returns the addresses at which the instances serve operators.
func (li *localInstances) OperatorAddresses() []string { return li.lo.Addresses("Operator") }

// Kill stops an instance without notifying the others.
func (li *localInstances) Kill(_ context.Context, number int) error { return li.lo.Kill(number - 1) }

// Start restarts a killed instance from the data on its disk.
func (li *localInstances) Start(_ context.Context, number int) error {
	return li.lo.Restart(number - 1)
}

// Close stops the instances and removes their data.
func (li *localInstances) Close() error {
	return errors.Join(li.lo.Close(), os.RemoveAll(li.folder))
}
