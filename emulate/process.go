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

// running is one life of an instance.
type running struct {
	stop func() // stop makes it stop gracefully.
	kill func() // kill ends it at once; nil if that can't be done.
	// signal sends a signal to its process; nil if it has none of its own.
	signal func(os.Signal) error
	done   chan struct{} // done is closed when it has ended.
	err    error         // err is how it ended; to be read after done.
}

// runHere runs an instance in this process.
func runHere(se tier.Settings, lg *zap.Logger) *running {
	ctx, stop := context.WithCancel(context.Background())
	ru := &running{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(ru.done)
		ru.err = tier.Run(ctx, se, nil, Dialect{}, lg.Named(se.Name))
	}()
	return ru
}

// runProcess runs an instance in a process of its own, which gets the settings at
// its standard input and stops when that ends.
func runProcess(se tier.Settings, program []string, logs string) (*running, error) {
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
	ru := &running{done: make(chan struct{})}
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
	sent := gob.NewEncoder(in).Encode(se)
	go func() {
		defer close(ru.done)
		err := cm.Wait()
		if len(killed) == 0 {
			ru.err = errors.Join(sent, err)
		}
	}()
	return ru, nil
}

// ServeInstance runs the instance whose settings a Local with a Program writes to
// in. It stops gracefully when in or the context ends: whoever started it can't
// leave it behind.
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
