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

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"balsamwinch.example/feed"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/roster"
	"balsamwinch.example/timer"
	"balsamwinch.example/wal"
)

const (
	// These are names in the data folder.
	serversName = "servers"
	entriesName = "entry-instances"
	chosenName  = "chosen"
	// suspectsName is the note of requests under which servers ended.
	suspectsName = "suspects"
	// memoryPeriod is how often a change is looked for.
	memoryPeriod = 200 * time.Millisecond
	// memoryKeep is how many announcements a backend server may miss after a start
	// before it is no longer taken for one that still runs.
	memoryKeep = 2
	// entryKeep is for how long an entry instance without a link is still noted. When
	// all processes are killed, the links end before this one does.
	entryKeep = time.Minute
)

// memory keeps in the data folder of a control instance what it needs to serve at once
// after a start: the backend servers that it and the other control instances hear, and
// where entry instances are.
//
// When all instances lose power, nobody knows a backend server at the next start
// until it announces itself again, which takes one announcement period, and
// requests for shards without one are refused meanwhile. Each announces itself to one
// control instance alone; so the one that is back first must know those of the others,
// too, or most shards lack a server until all are back. What was noted may be a
// little old: a server that has left in the last moments is asked in vain, and
// one whose address belongs to another refuses, since requests name whom they are
// for. So a note is only a guess for the first seconds.
type memory struct {
	dir string
	pu  *feed.Publisher
	ot  *others
	ro  *rosters
	qa  *quarantine.Tracker
	ts  *timer.Service
	lg  *zap.Logger
}

// restore reads the notes of backend servers, of requests under which they ended, and of
// how many entry instances callers were led to, if there are any.
func (me memory) restore(announcement time.Duration) {
	var nos []roster.SavedSize
	if me.read(chosenName, &nos) {
		me.ro.restore(nos)
	}
	me.restoreSuspects()
	var ses []registry.Server
	if me.read(serversName, &ses) {
		me.pu.Restore(ses, memoryKeep*announcement)
	}
}

// entries returns the noted entry instances.
func (me memory) entries() []notedEntry {
	var nes []notedEntry
	me.read(entriesName, &nes)
	return nes
}

// invitees returns the noted entry instances in the order in which they are invited.
func (me memory) invitees(dataCentre string) []feed.Invitee {
	return invitees(me.entries(), me.ro.decided.Load().chosen, dataCentre)
}

// read reads a note and reports whether there is one that can be read.
func (me memory) read(name string, to any) bool {
	data, err := os.ReadFile(filepath.Join(me.dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return false
	}
	if err == nil {
		err = cbor.Unmarshal(data, to)
	}
	if err != nil {
		me.lg.Warn("note-not-read", zap.String("Name", name), zap.Error(err))
	}
	return err == nil
}

// serve notes changes until the context ends. linkPort is the port at which entry
// instances take invitations.
func (me memory) serve(ctx context.Context, linkPort int) error {
	su := me.ts.Subscribe(memoryPeriod)
	defer su.Stop()
	if err := wal.System().MakeDir(me.dir); err != nil {
		me.lg.Warn("folder-not-made", zap.String("Folder", me.dir), zap.Error(err))
	}
	var noted [2]uint64
	suspects := me.qa.Changed()
	chosen := me.ro.note()
	el := newEntryList(me.ts.Now(), me.entries())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-suspects:
			// At once, since all instances may lose power in the next moment; but not again
			// before the next look, however many come.
			me.writeSuspects()
			suspects = nil
			continue
		case <-su.C:
			suspects = me.qa.Changed()
		}
		if ses, changes := me.servers(noted); changes != noted {
			me.write(serversName, ses)
			noted = changes
		}
		if now := me.ro.note(); !slices.Equal(now, chosen) {
			me.write(chosenName, now)
			chosen = now
		}
		if el.look(me.ts.Now(), me.pu.LinkedEntries(), linkPort) {
			me.write(entriesName, el.noted())
		}
	}
}

// servers returns the backend servers that any control instance hears, with the numbers
// of their changes; none if these are the given ones.
func (me memory) servers(noted [2]uint64) ([]registry.Server, [2]uint64) {
	ses, otherChanges := me.ot.list()
	if changes := [2]uint64{me.pu.ServersVersion(), otherChanges}; changes == noted {
		return nil, noted
	}
	own, ownChanges := me.pu.Servers()
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

// write replaces a note. A power loss leaves this one or the one before.
func (me memory) write(name string, value any) {
	data, err := cbor.Marshal(value)
	if err == nil {
		err = wal.WriteFileAtomic(wal.System(), me.dir, name, data)
	}
	if err != nil {
		me.lg.Warn("note-not-written", zap.String("Name", name), zap.Error(err))
	}
}

// notedSuspects is the note of requests under which servers ended.
type notedSuspects struct {
	At      int64               `cbor:"1,keyasint"` // At is the time of day at which it was written, in Unix milliseconds.
	Records []quarantine.Record `cbor:"2,keyasint,omitempty"`
}

func (me memory) writeSuspects() {
	now := me.ts.Now()
	me.write(suspectsName, notedSuspects{At: now.UnixMilli(), Records: me.qa.Records(now)})
}

// restoreSuspects takes in the note of requests under which servers ended. All that knew of
// them may have lost power at once, and the request comes again.
func (me memory) restoreSuspects() {
	var no notedSuspects
	if !me.read(suspectsName, &no) {
		return
	}
	now := me.ts.Now()
	// A clock that was set back makes them no younger than they were.
	down := max(0, now.UnixMilli()-no.At)
	for ix := range no.Records {
		no.Records[ix].AgeMillis = uint32(min(int64(no.Records[ix].AgeMillis)+down, math.MaxUint32))
	}
	news := me.qa.Merge(now, no.Records)
	me.lg.Info("suspects-restored", zap.Int("Suspects", len(news)))
}
