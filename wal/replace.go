package wal

import (
	"errors"
	"path/filepath"
)

// temporarySuffix is the suffix of a file that is not complete yet.
const temporarySuffix = ".new"

// WriteFileAtomic replaces the content of a file in a folder. It writes a temporary file,
// syncs it and renames it. After a power loss at any point the file holds either the old or
// the new content; once WriteFileAtomic has returned without an error, the new content.
func WriteFileAtomic(fsys FileSystem, dir, name string, data []byte) error {
	path := filepath.Join(dir, name)
	fi, err := fsys.Create(path + temporarySuffix)
	if err != nil {
		return err
	}
	_, err = fi.Write(data)
	// Without the sync, the file could be empty after a crash although it has been renamed.
	if err := errors.Join(err, fi.Sync(), fi.Close()); err != nil {
		return err
	}
	if err := fsys.Rename(path+temporarySuffix, path); err != nil {
		return err
	}
	return fsys.SyncDir(dir)
}
