package fleet

import (
	"errors"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/wal"
)

// faultyDisk is a disk that hangs or rejects writes on demand.
type faultyDisk struct {
	wal.FileSystem

	mu   sync.Mutex
	full bool
	hang chan struct{} // hang blocks syncs until it is closed; nil for none.
}

var errFull = errors.New("no space left on the disk")

func newFaultyDisk() *faultyDisk { return &faultyDisk{FileSystem: wal.System()} }

func (fd *faultyDisk) setFull(full bool) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	fd.full = full
}

// hangSyncs makes syncs hang until the returned function is called.
func (fd *faultyDisk) hangSyncs() (resume func()) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	hang := make(chan struct{})
	fd.hang = hang
	return sync.OnceFunc(func() { close(hang) })
}

func (fd *faultyDisk) checkSync() error {
	fd.mu.Lock()
	full, hang := fd.full, fd.hang
	fd.mu.Unlock()
	if hang != nil {
		<-hang
	}
	if full {
		return errFull
	}
	return nil
}

func (fd *faultyDisk) Create(name string) (wal.File, error) {
	fi, err := fd.FileSystem.Create(name)
	return faultyFile{fi, fd}, err
}

func (fd *faultyDisk) Append(name string, size int64) (wal.File, error) {
	fi, err := fd.FileSystem.Append(name, size)
	return faultyFile{fi, fd}, err
}

type faultyFile struct {
	wal.File
	fd *faultyDisk
}

// Write writes half of the data when the disk is full.
func (ff faultyFile) Write(data []byte) (int, error) {
	ff.fd.mu.Lock()
	full := ff.fd.full
	ff.fd.mu.Unlock()
	if full {
		count, err := ff.File.Write(data[:len(data)/2])
		return count, errors.Join(errFull, err)
	}
	return ff.File.Write(data)
}

func (ff faultyFile) Sync() error {
	if err := ff.fd.checkSync(); err != nil {
		return err
	}
	return ff.File.Sync()
}

// The disk of the leader or of a follower fills up. Proposals must still be acknowledged,
// also those sent to this instance, and it must vote again once there is space.
func TestFullDiskDoesNotBlockRequests(t *testing.T) {
	for _, leader := range []bool{false, true} {
		t.Run(map[bool]string{false: "Follower", true: "Leader"}[leader], func(t *testing.T) {
			gr := newFormedGroup(t, 1, 3, 0)
			in := gr.follower()
			if leader {
				in = gr.leader()
			}
			old := in.nd.Status().ID
			in.disk.setFull(true)
			in.mustPropose(1, "one")
			in.assertRead(1, "one")
			gr.await("the failed log is closed", func() bool { return in.nd.Status().Role == roleNoDisk })
			in.mustPropose(2, "two")
			in.disk.setFull(false)
			gr.awaitVoters(3)
			gr.awaitDocument(2, "two")
			gr.c.Assert(in.nd.Status().ID, qt.Equals, old)
		})
	}
}

// The disk of the leader or of a follower hangs in a sync, and the node's goroutine with
// it. The instance then neither leads nor follows, but must still forward requests.
func TestHangingDiskDoesNotBlockRequests(t *testing.T) {
	for _, leader := range []bool{false, true} {
		t.Run(map[bool]string{false: "Follower", true: "Leader"}[leader], func(t *testing.T) {
			gr := newFormedGroup(t, 1, 3, 0)
			in := gr.follower()
			if leader {
				in = gr.leader()
			}
			resume := in.disk.hangSyncs()
			t.Cleanup(resume)
			in.mustPropose(1, "one")
			in.assertRead(1, "one")
			for version := uint64(2); version < 200; version++ {
				in.mustPropose(version, "more")
			}
			in.assertRead(199, "more")
			resume()
			gr.awaitVoters(3)
			gr.awaitDocument(199, "more")
		})
	}
}

// Disks that reject writes from the start and accept them later must still get the marker
// of the first start, so that the group forms.
func TestFirstStartOnFullDisks(t *testing.T) {
	gr := newGroup(t, 1)
	for _, name := range []string{"a", "b", "c"} {
		gr.add(name).disk.setFull(true)
	}
	for _, in := range gr.all {
		in.setSeeds(gr.all...)
		in.run(true)
	}
	for _, in := range gr.all {
		gr.await("the disk is found full", func() bool { return in.nd.Status().Role == roleNoDisk })
		in.disk.setFull(false)
	}
	gr.awaitVoters(3)
	gr.all[0].mustPropose(1, "one")
}
