package wal

import (
	"errors"
	"path/filepath"
)

// temporarySuffix ends the name of a file that is not whole yet.
const temporarySuffix = ".new"

// Replace gives a file in a folder new content, by way of a temporary file that is synced
// before it takes the name. After a power loss at any point the file holds the old content
// or the new; once Replace has returned without an error, the new.
func WriteFileAtomic(fsys FileSystem, dir, name string, data []byte) error {
	path := filepath.Join(dir, name)
	fi, err := fsys.Create(path + temporarySuffix)
	if err != nil {
		return err
	}
	_, err = fi.Write(data)
	// Unsynced, the file could be empty after a crash though its new name is there.
	if err := errors.Join(err, fi.Sync(), fi.Close()); err != nil {
		return err
	}
	if err := fsys.Rename(path+temporarySuffix, path); err != nil {
		return err
	}
	return fsys.SyncDir(dir)
}
