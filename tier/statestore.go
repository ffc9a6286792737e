package tier

import (
	"context"
	"errors"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/codec"
	"balsamwinch.example/feed"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/roster"
	"balsamwinch.example/timer"
	"balsamwinch.example/wal"
)

const (
	// Names of files in the data folder.
	serversFile     = "servers"
	entriesFile     = "entry-instances"
	rosterSizesFile = "chosen"
	// suspectsFile holds the requests under which servers crashed.
	suspectsFile = "suspects"
	// saveInterval is how often the state is checked for changes.
	saveInterval = 200 * time.Millisecond
	// maxMissedAfterStart is the number of announcements that a restored backend server
	// may miss after a start before it is dropped.
	maxMissedAfterStart = 2
	// entryTTL is how long an entry instance without a link stays in the file. When all
	// processes are killed, the links of entry instances may end before this process
	// does.
	entryTTL = time.Minute
)

// stateStore persists in the data folder what a control instance needs to serve right
// after a start: the backend servers that it and the other control instances receive
// announcements from, and the addresses of entry instances.
//
// When all instances lose power, no backend server would be known at the next start until
// it announces itself again. That takes one announcement interval, in which requests for
// shards without a server are rejected. Each server announces itself to a single control
// instance, so the instance that comes back first must also know the servers of the
// others, or most shards would lack a server until all are back. The saved state may be
// slightly stale: requests to a server that left in the last moments fail, and a server
// that now has another's address rejects them, since requests name the server that they
// are meant for. So saved servers are only assumed to run for the first seconds.
type stateStore struct {
	dir string
	pu  *feed.Publisher
	ps  *peerServers
	ro  *rosters
	qa  *quarantine.Tracker
	ts  *timer.Service
	lg  *zap.Logger
}

// restore loads the saved departures, backend servers, suspects and roster sizes, as far as
// there are any.
func (ss stateStore) restore(announcement time.Duration) {
	ss.restoreDepartures()
	var sizes []roster.SavedSize
	if ss.load(rosterSizesFile, &sizes) {
		ss.ro.restore(sizes)
	}
	ss.restoreSuspects()
	var ses []registry.Server
	if ss.load(serversFile, &ses) {
		ses = ss.pu.CheckRestored(serversFile, ses)
		ss.pu.Restore(ses, maxMissedAfterStart*announcement)
	}
}

// loadEntries returns the saved entry instances.
func (ss stateStore) loadEntries() []savedEntry {
	var saved []savedEntry
	ss.load(entriesFile, &saved)
	return saved
}

// invitees returns the saved entry instances in the order in which to invite them.
func (ss stateStore) invitees(dataCentre string) []feed.Invitee {
	return invitees(ss.loadEntries(), ss.ro.latest.Load().chosen, dataCentre)
}

// load decodes a file and reports whether it exists and is valid.
func (ss stateStore) load(name string, to any) bool {
	data, err := os.ReadFile(filepath.Join(ss.dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return false
	}
	if err == nil {
		err = codec.Unmarshal(data, to)
	}
	if err != nil {
		ss.lg.Warn("note-not-read", zap.String("Name", name), zap.Error(err))
	}
	return err == nil
}

// serve saves changes until the context ends. linkPort is the port at which entry
// instances accept invitations.
func (ss stateStore) serve(ctx context.Context, linkPort int) error {
	su := ss.ts.Subscribe(saveInterval)
	defer su.Stop()
	if err := wal.System().MakeDir(ss.dir); err != nil {
		ss.lg.Warn("folder-not-made", zap.String("Folder", ss.dir), zap.Error(err))
	}
	var saved [2]uint64
	suspects := ss.qa.Changed()
	chosen := ss.ro.savedSizes()
	el := newEntryList(ss.ts.Now(), ss.loadEntries())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-suspects:
			// Saved at once, since all instances may lose power in the next moment, but
			// at most once per interval, however many suspects are recorded.
			ss.saveSuspects()
			suspects = nil
			continue
		case <-su.C:
			suspects = ss.qa.Changed()
		}
		if ses, changes := ss.servers(saved); changes != saved {
			ss.save(serversFile, ses)
			saved = changes
		}
		if now := ss.ro.savedSizes(); !slices.Equal(now, chosen) {
			ss.save(rosterSizesFile, now)
			chosen = now
		}
		if el.update(ss.ts.Now(), ss.pu.LinkedEntries(), linkPort) {
			ss.save(entriesFile, el.entries())
		}
	}
}

// servers returns the backend servers that any control instance receives announcements
// from, and the versions of the two lists; no servers if the versions are the given ones.
func (ss stateStore) servers(saved [2]uint64) ([]registry.Server, [2]uint64) {
	ses, otherChanges := ss.ps.list()
	if changes := [2]uint64{ss.pu.ServersVersion(), otherChanges}; changes == saved {
		return nil, saved
	}
	own, ownChanges := ss.pu.Servers()
	at := make(map[string]int)
	for ix, se := range own {
		at[se.ID] = ix
	}
	for _, se := range ses {
		ix, ok := at[se.ID]
		switch {
		case !ok:
			own = append(own, se)
		case se.Born > own[ix].Born || se.Born == own[ix].Born && se.State > own[ix].State:
			own[ix] = se
		}
	}
	return own, [2]uint64{ownChanges, otherChanges}
}

// save replaces a file atomically: after a power loss, either the new or the old content
// is there. It reports whether the new content is on disk.
func (ss stateStore) save(name string, value any) bool {
	data, err := codec.Marshal(value)
	if err == nil {
		err = wal.WriteFileAtomic(wal.System(), ss.dir, name, data)
	}
	if err != nil {
		ss.lg.Warn("note-not-written", zap.String("Name", name), zap.Error(err))
	}
	return err == nil
}

// savedSuspects is the content of suspectsFile.
type savedSuspects struct {
	SavedAt int64               `cbor:"1,keyasint"` // wall-clock time of the save, in Unix milliseconds
	Records []quarantine.Record `cbor:"2,keyasint,omitempty"`
}

func (ss stateStore) saveSuspects() {
	now := ss.ts.Now()
	ss.save(suspectsFile, savedSuspects{SavedAt: now.UnixMilli(), Records: ss.qa.Records(now)})
}

// restoreSuspects merges the saved requests under which servers crashed. All instances
// that knew of them may have lost power at the same time, and such a request may be sent
// again.
func (ss stateStore) restoreSuspects() {
	var saved savedSuspects
	if !ss.load(suspectsFile, &saved) {
		return
	}
	now := ss.ts.Now()
	// If the clock was set back, the records keep the age that they were saved with.
	sinceSave := max(0, now.UnixMilli()-saved.SavedAt)
	for ix := range saved.Records {
		saved.Records[ix].AgeMillis = uint32(min(int64(saved.Records[ix].AgeMillis)+sinceSave, math.MaxUint32))
	}
	merged := ss.qa.Merge(now, saved.Records)
	ss.lg.Info("suspects-restored", zap.Int("Suspects", len(merged)))
}
