package tier

import (
	"context"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/registry"
	"balsamwinch.example/wal"
)

// departuresFile holds the backend servers that are Draining or have left.
const departuresFile = "departures"

// restoreDepartures loads the saved departures. It must be called before the saved servers
// are restored, which may be older and list a server that has left.
func (ss stateStore) restoreDepartures() {
	var ses []registry.Server
	if ss.load(departuresFile, &ses) {
		ses = ss.pu.CheckRestored(departuresFile, ses)
		ss.pu.Depart(ses, nil)
		ss.lg.Info("departures-restored", zap.Int("Servers", len(ses)))
	}
}

// serveDepartures saves the departures at once when they change, until the context ends. It
// is apart from serve, whose files are larger and not urgent. Departures that come while
// the disk is busy are saved together.
func (ss stateStore) serveDepartures(ctx context.Context) error {
	if err := wal.System().MakeDir(ss.dir); err != nil {
		ss.lg.Warn("folder-not-made", zap.String("Folder", ss.dir), zap.Error(err))
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ss.pu.DeparturesChanged():
		}
		for !ss.saveDepartures() {
			if err := ss.ts.Sleep(ctx, departuresRetryDelay); err != nil {
				return err
			}
		}
	}
}

// saveDepartures reports whether the departures are on disk.
func (ss stateStore) saveDepartures() bool {
	ses, number := ss.pu.Departing()
	if !ss.save(departuresFile, ses) {
		return false
	}
	ss.pu.SetStored(number)
	return true
}

// departuresRetryDelay is the delay after a failure to save the departures.
const departuresRetryDelay = 200 * time.Millisecond
