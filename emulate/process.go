package emulate

import (
	"context"
	"encoding/gob"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"

	"go.uber.org/zap"

	"balsamwinch.example/result"
	"balsamwinch.example/tier"
)

// instanceRun is one run of an instance, from its start to its exit.
type instanceRun struct {
	stop func() // requests a graceful stop
	kill func() // ends it at once; nil if it runs in this process
	// signal sends a signal to its process; nil if it runs in this process.
	signal func(os.Signal) error
	done   chan struct{} // closed when it has exited
	err    error         // error that it exited with; valid after done
}

// runInProcess runs an instance in this process.
func runInProcess(se tier.Settings, lg *zap.Logger) *instanceRun {
	ctx, stop := context.WithCancel(context.Background())
	ru := &instanceRun{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(ru.done)
		ru.err = tier.Run(ctx, se, nil, Dialect{}, lg.Named(se.Name))
	}()
	return ru
}

// runSubprocess runs an instance in a process of its own, which reads the settings from
// its standard input and stops when that is closed.
func runSubprocess(se tier.Settings, program []string, logs string) (*instanceRun, error) {
	cm := exec.Command(program[0], program[1:]...)
	in, err := cm.StdinPipe()
	if err != nil {
		return nil, err
	}
	var fi *os.File
	if logs != "" {
		if fi, err = os.OpenFile(filepath.Join(logs, se.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return nil, err
		}
		defer fi.Close()
		cm.Stderr = fi
	}
	if err := cm.Start(); err != nil {
		return nil, err
	}
	ru := &instanceRun{done: make(chan struct{})}
	killed := make(chan struct{}, 1)
	ru.stop = func() { _ = in.Close() }
	ru.kill = func() {
		select {
		case killed <- struct{}{}:
		default:
		}
		_ = cm.Process.Kill()
	}
	ru.signal = cm.Process.Signal
	encodeErr := gob.NewEncoder(in).Encode(se)
	go func() {
		defer close(ru.done)
		err := cm.Wait()
		if len(killed) == 0 {
			ru.err = errors.Join(encodeErr, err)
		}
	}()
	return ru, nil
}

// ServeInstance runs the instance whose settings a LocalTier with a Program writes to in.
// It stops gracefully when in or the context ends, so the instance doesn't outlive the
// process that started it.
func ServeInstance(ctx context.Context, in io.Reader, lg *zap.Logger) error {
	var se tier.Settings
	if err := gob.NewDecoder(in).Decode(&se); err != nil {
		return &result.Error{Code: result.BadSettings, Op: "read settings", Err: err}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		_, _ = io.Copy(io.Discard, in)
		stop()
	}()
	return tier.Run(ctx, se, nil, Dialect{}, lg.Named(se.Name))
}
