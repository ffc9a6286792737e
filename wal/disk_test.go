package wal

import (
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
)

// disk is a FileSystem in memory that can fail and lose what was not synced.
type disk struct {
	names  map[string]*diskFile // names are those that a running process sees.
	synced map[string]*diskFile // synced are those that a crash leaves.
	fail   func(op, name string) error
}

type diskFile struct {
	di     *disk
	name   string
	data   []byte
	synced []byte
}

func newDisk() *disk {
	return &disk{names: make(map[string]*diskFile), synced: make(map[string]*diskFile)}
}

// crash returns the disk after a loss of power: of what was appended and not
// synced, torn decides what is left.
func (di *disk) crash(torn func(unsynced []byte) []byte) *disk {
	ne := newDisk()
	for na, fi := range di.synced {
		data := slices.Clone(fi.synced)
		if len(fi.data) > len(data) && slices.Equal(fi.data[:len(data)], data) {
			data = append(data, torn(fi.data[len(data):])...)
		}
		ne.names[na] = &diskFile{di: ne, name: na, data: data, synced: data}
	}
	ne.synced = maps.Clone(ne.names)
	return ne
}

func (di *disk) check(op, name string) error {
	if di.fail == nil {
		return nil
	}
	return di.fail(op, filepath.Base(name))
}

func (di *disk) MakeDir(string) error { return nil }

func (di *disk) ReadDir(string) ([]string, error) {
	var names []string
	for _, na := range slices.Sorted(maps.Keys(di.names)) {
		names = append(names, filepath.Base(na))
	}
	return names, nil
}

func (di *disk) ReadFile(name string) ([]byte, error) {
	fi, ok := di.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return fi.data, nil
}

func (di *disk) Create(name string) (File, error) {
	di.names[name] = &diskFile{di: di, name: name}
	return di.names[name], di.check("create", name)
}

func (di *disk) Append(name string, size int64) (File, error) {
	fi := di.names[name]
	fi.data = fi.data[:size:size]
	fi.synced = fi.data
	return fi, nil
}

func (di *disk) Rename(from, to string) error {
	if err := di.check("rename", to); err != nil {
		return err
	}
	di.names[to] = di.names[from]
	delete(di.names, from)
	return nil
}

func (di *disk) Remove(name string) error {
	delete(di.names, name)
	return nil
}

func (di *disk) SyncDir(dir string) error {
	if err := di.check("syncdir", dir); err != nil {
		return err
	}
	di.synced = maps.Clone(di.names)
	return nil
}

func (di *disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (fi *diskFile) Write(data []byte) (int, error) {
	if err := fi.di.check("write", fi.name); err != nil {
		fi.data = append(fi.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	fi.data = append(fi.data, data...)
	return len(data), nil
}

func (fi *diskFile) Sync() error {
	if err := fi.di.check("sync", fi.name); err != nil {
		return err
	}
	fi.synced = slices.Clone(fi.data)
	return nil
}

func (fi *diskFile) Close() error { return nil }
