package fleet

import (
	"errors"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/wal"
)

// faultyDisk is a disk that hangs or refuses writes on demand.
type faultyDisk struct {
	wal.FileSystem

	mu      sync.Mutex
	refuses bool
	hang    chan struct{} // hang holds up syncs until it is closed, if not nil.
}

var errFull = errors.New("no space left on the disk")

func newFaultyDisk() *faultyDisk { return &faultyDisk{FileSystem: wal.System()} }

func (fd *faultyDisk) setRefuses(refuses bool) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	fd.refuses = refuses
}

// stall makes syncs hang until the returned function is called.
func (fd *faultyDisk) stall() (resume func()) {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	hang := make(chan struct{})
	fd.hang = hang
	return sync.OnceFunc(func() { close(hang) })
}

func (fd *faultyDisk) wait() error {
	fd.mu.Lock()
	refuses, hang := fd.refuses, fd.hang
	fd.mu.Unlock()
	if hang != nil {
		<-hang
	}
	if refuses {
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
	refuses := ff.fd.refuses
	ff.fd.mu.Unlock()
	if refuses {
		count, err := ff.File.Write(data[:len(data)/2])
		return count, errors.Join(errFull, err)
	}
	return ff.File.Write(data)
}

func (ff faultyFile) Sync() error {
	if err := ff.fd.wait(); err != nil {
		return err
	}
	return ff.File.Sync()
}

// The disk of one instance fills up, of the leader or of a follower. Changes go on
// being acknowledged, also those that this instance is asked for, and it is a
// voter again once there is room.
func TestDiskFull(t *testing.T) {
	for _, leader := range []bool{false, true} {
		t.Run(map[bool]string{false: "Follower", true: "Leader"}[leader], func(t *testing.T) {
			gr := form(t, 1, 3, 0)
			in := gr.follower()
			if leader {
				in = gr.leader()
			}
			old := in.nd.Status().ID
			in.disk.setRefuses(true)
			in.propose(1, "one")
			in.reads(1, "one")
			gr.await("the log is given up", func() bool { return in.nd.Status().Role == roleNoDisk })
			in.propose(2, "two")
			in.disk.setRefuses(false)
			gr.awaitVoters(3)
			gr.awaitDocument(2, "two")
			gr.c.Assert(in.nd.Status().ID, qt.Equals, old)
		})
	}
}

// The disk of one instance hangs in a sync. The node's goroutine hangs with it, so
// that it neither leads nor follows; requests to the instance are passed on.
func TestDiskHangs(t *testing.T) {
	for _, leader := range []bool{false, true} {
		t.Run(map[bool]string{false: "Follower", true: "Leader"}[leader], func(t *testing.T) {
			gr := form(t, 1, 3, 0)
			in := gr.follower()
			if leader {
				in = gr.leader()
			}
			resume := in.disk.stall()
			t.Cleanup(resume)
			in.propose(1, "one")
			in.reads(1, "one")
			for version := uint64(2); version < 200; version++ {
				in.propose(version, "more")
			}
			in.reads(199, "more")
			resume()
			gr.awaitVoters(3)
			gr.awaitDocument(199, "more")
		})
	}
}

// The disk refuses writes from the first moment on, and takes them later. The
// mark of the first start is made then.
func TestDiskFullAtFirstStart(t *testing.T) {
	gr := newGroup(t, 1)
	for _, name := range []string{"a", "b", "c"} {
		gr.add(name).disk.setRefuses(true)
	}
	for _, in := range gr.all {
		in.seed(gr.all...)
		in.run(true)
	}
	for _, in := range gr.all {
		gr.await("the disk is found full", func() bool { return in.nd.Status().Role == roleNoDisk })
		in.disk.setRefuses(false)
	}
	gr.awaitVoters(3)
	gr.all[0].propose(1, "one")
}
