package wal

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The disk fails at one step of an atomic write, and power is lost. If the file were
// written in place or renamed before it is synced, it could be empty or torn at the next
// start; without a sync of the folder, the old content could return after a successful
// write.
func TestWriteFileAtomicSurvivesPowerLoss(t *testing.T) {
	c := qt.New(t)
	errDisk := errors.New("the disk fails")
	for good := range 10 {
		di := newMemoryDisk()
		c.Assert(WriteFileAtomic(di, "data", "note", []byte("old")), qt.IsNil)
		steps := 0
		di.injectFailure = func(string, string) error {
			if steps++; steps > good {
				return errDisk
			}
			return nil
		}
		err := WriteFileAtomic(di, "data", "note", []byte("new"))
		left := di.crash(func(unsynced []byte) []byte { return unsynced[:len(unsynced)/2] })
		got, readErr := left.ReadFile("data/note")
		c.Assert(readErr, qt.IsNil)
		if err == nil {
			c.Assert(string(got), qt.Equals, "new")
			c.Assert(good, qt.Equals, 5) // Create, write, sync, rename, and the sync of the folder.
			return
		}
		c.Assert(err, qt.ErrorIs, errDisk)
		c.Assert(string(got) == "old" || string(got) == "new", qt.IsTrue, qt.Commentf("%q after %d steps", got, good))
	}
	t.Fatal("the write never succeeds")
}
