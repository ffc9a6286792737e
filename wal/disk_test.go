package wal

import (
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
)

// memoryDisk is a FileSystem in memory that can fail and lose unsynced writes.
type memoryDisk struct {
	visible       map[string]*memoryFile // visible are the files that a running process sees.
	synced        map[string]*memoryFile // synced are the files that a crash leaves.
	injectFailure func(op, name string) error
}

type memoryFile struct {
	di     *memoryDisk
	name   string
	data   []byte
	synced []byte
}

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{visible: make(map[string]*memoryFile), synced: make(map[string]*memoryFile)}
}

// crash returns the disk after a power loss; torn returns the part that is left of the data
// that was appended and not synced.
func (di *memoryDisk) crash(torn func(unsynced []byte) []byte) *memoryDisk {
	cr := newMemoryDisk()
	for na, fi := range di.synced {
		data := slices.Clone(fi.synced)
		if len(fi.data) > len(data) && slices.Equal(fi.data[:len(data)], data) {
			data = append(data, torn(fi.data[len(data):])...)
		}
		cr.visible[na] = &memoryFile{di: cr, name: na, data: data, synced: data}
	}
	cr.synced = maps.Clone(cr.visible)
	return cr
}

func (di *memoryDisk) failure(op, name string) error {
	if di.injectFailure == nil {
		return nil
	}
	return di.injectFailure(op, filepath.Base(name))
}

func (di *memoryDisk) MakeDir(string) error { return nil }

func (di *memoryDisk) ReadDir(string) ([]string, error) {
	var names []string
	for _, na := range slices.Sorted(maps.Keys(di.visible)) {
		names = append(names, filepath.Base(na))
	}
	return names, nil
}

func (di *memoryDisk) ReadFile(name string) ([]byte, error) {
	fi, ok := di.visible[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return fi.data, nil
}

func (di *memoryDisk) Create(name string) (File, error) {
	di.visible[name] = &memoryFile{di: di, name: name}
	return di.visible[name], di.failure("create", name)
}

func (di *memoryDisk) Append(name string, size int64) (File, error) {
	fi := di.visible[name]
	fi.data = fi.data[:size:size]
	fi.synced = fi.data
	return fi, nil
}

func (di *memoryDisk) Rename(from, to string) error {
	if err := di.failure("rename", to); err != nil {
		return err
	}
	di.visible[to] = di.visible[from]
	delete(di.visible, from)
	return nil
}

func (di *memoryDisk) Remove(name string) error {
	delete(di.visible, name)
	return nil
}

func (di *memoryDisk) SyncDir(dir string) error {
	if err := di.failure("syncdir", dir); err != nil {
		return err
	}
	di.synced = maps.Clone(di.visible)
	return nil
}

func (di *memoryDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (fi *memoryFile) Write(data []byte) (int, error) {
	if err := fi.di.failure("write", fi.name); err != nil {
		fi.data = append(fi.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	fi.data = append(fi.data, data...)
	return len(data), nil
}

func (fi *memoryFile) Sync() error {
	if err := fi.di.failure("sync", fi.name); err != nil {
		return err
	}
	fi.synced = slices.Clone(fi.data)
	return nil
}

func (fi *memoryFile) Close() error { return nil }
