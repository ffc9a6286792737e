package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FileSystem is the interface of a journal to the disk. Data written to a file is durable
// after File.Sync, and a file's name after SyncDir of its folder.
type FileSystem interface {
	// MakeDir creates a folder, which may exist, and syncs its name.
	MakeDir(dir string) error
	// ReadDir lists the names in a folder in ascending order.
	ReadDir(dir string) ([]string, error)
	// ReadFile reads a file; its error is fs.ErrNotExist if there is none.
	ReadFile(name string) ([]byte, error)
	// Create opens a file for writing and truncates it to zero bytes.
	Create(name string) (File, error)
	// Append truncates a file to a size and opens it for writing at its end.
	Append(name string, size int64) (File, error)
	// Rename renames a file and replaces an existing file with the new name.
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	// Lock opens a lock file. It fails if another process has the file open.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

// system is the FileSystem of the operating system.
type system struct{}

// System returns the file system of the operating system, which Open uses.
func System() FileSystem { return system{} }

const (
	filePermissions   = 0o600
	folderPermissions = 0o700
)

func (system) MakeDir(dir string) error {
	if err := os.MkdirAll(dir, folderPermissions); err != nil {
		return err
	}
	return system{}.SyncDir(filepath.Dir(filepath.Clean(dir)))
}

func (system) ReadDir(dir string) ([]string, error) {
	li, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(li))
	for i, it := range li {
		names[i] = it.Name()
	}
	return names, nil
}

func (system) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(name)
}

func (system) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermissions)
}

func (system) Append(name string, size int64) (File, error) {
	fi, err := os.OpenFile(name, os.O_WRONLY|os.O_APPEND, filePermissions)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(fi.Truncate(size), fi.Sync()); err != nil {
		return nil, errors.Join(err, fi.Close())
	}
	return fi, nil
}

func (system) Rename(from, to string) error {
	return os.Rename(from, to)
}

func (system) Remove(name string) error {
	return os.Remove(name)
}

func (system) SyncDir(dir string) error {
	fi, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(fi.Sync(), fi.Close())
}

func (system) Lock(name string) (io.Closer, error) {
	fi, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, err
	}
	// The kernel releases the lock when the process ends, however it ends.
	if err := syscall.Flock(int(fi.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(errors.New("another process has the folder open"), err, fi.Close())
	}
	return fi, nil
}
