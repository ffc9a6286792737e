package tier

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"balsamwinch.example/feed"
	"balsamwinch.example/registry"
	"balsamwinch.example/timer"
)

const (
	// memoryName and memoryTemporary are names in the data folder.
	memoryName      = "servers"
	memoryTemporary = "servers.new"
	// memoryPeriod is how often a change of the backend servers is looked for.
	memoryPeriod = 200 * time.Millisecond
	// memoryKeep is how many announcements a backend server may miss after a start
	// before it is no longer taken for one that still runs.
	memoryKeep = 2
)

// memory keeps the backend servers that a control instance hears in its data
// folder.
//
// When all instances lose power, nobody knows a backend server at the next start
// until it announces itself again, which takes one announcement period, and
// requests for shards without one are refused meanwhile. What was noted may be a
// little old: a server that has left in the last moments is asked in vain, and
// one whose address belongs to another refuses, since requests name whom they are
// for. So a note is only a guess for the first seconds.
type memory struct {
	dir string
	pu  *feed.Publisher
	ts  *timer.Service
	lg  *zap.Logger
}

// restore reads the note, if there is one.
func (me memory) restore(announcement time.Duration) {
	data, err := os.ReadFile(filepath.Join(me.dir, memoryName))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var ses []registry.Server
	if err == nil {
		err = cbor.Unmarshal(data, &ses)
	}
	if err != nil {
		me.lg.Warn("servers-not-restored", zap.Error(err))
		return
	}
	me.pu.Restore(ses, memoryKeep*announcement)
}

// serve notes changes until the context ends.
func (me memory) serve(ctx context.Context) error {
	su := me.ts.Subscribe(memoryPeriod)
	defer su.Stop()
	var noted uint64
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-su.C:
		}
		if me.pu.Changes() == noted {
			continue
		}
		ses, number := me.pu.Known()
		if err := me.write(ses); err != nil {
			me.lg.Warn("servers-not-noted", zap.Error(err))
		}
		noted = number
	}
}

// write replaces the note. It is synced before it takes its name, so that a
// power loss leaves this one or the one before.
func (me memory) write(ses []registry.Server) error {
	data, err := cbor.Marshal(ses)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(me.dir, 0o755); err != nil {
		return err
	}
	fi, err := os.Create(filepath.Join(me.dir, memoryTemporary))
	if err != nil {
		return err
	}
	_, err = fi.Write(data)
	if err := errors.Join(err, fi.Sync(), fi.Close()); err != nil {
		return err
	}
	return os.Rename(filepath.Join(me.dir, memoryTemporary), filepath.Join(me.dir, memoryName))
}
