package main

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"balsamwinch.example/operator"
)

// stateFile is the file in the operator's folder that records the versions of the tier's files
// that this operator last saw. The base of a change must come from here. If the tier were
// asked when the change is sent, the base would always be the newest revision, and the work of
// another operator who changed the file in the meantime would be overwritten unnoticed. The
// file belongs to one operator's copy of the folder, so it must not be put into a shared
// repository.
const stateFile = ".balsamctl.json"

const (
	fileMode   = 0o644
	folderMode = 0o755
)

// localState is the content of stateFile.
type localState struct {
	Files map[string]fileVersion
	// Unanswered is a change that was sent and whose answer is not known. The next apply sends
	// it again first, under its own change id: under a new one it would conflict with itself
	// if the tier had already made it.
	Unanswered *operator.ChangeRequest `json:",omitempty"`
}

// fileVersion is the version of a file that the operator last saw on the tier.
type fileVersion struct {
	Revision uint64
	Hash     string // SHA-256 of the content in hexadecimal
}

func hash(data []byte) string {
	su := sha256.Sum256(data)
	return hex.EncodeToString(su[:])
}

func loadState(dir string) (localState, error) {
	ls := localState{Files: make(map[string]fileVersion)}
	path := filepath.Join(dir, stateFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return ls, nil
	}
	if err != nil {
		return ls, err
	}
	if err := json.Unmarshal(data, &ls); err != nil {
		return ls, fmt.Errorf("%s is damaged; remove it and pull again: %w", path, err)
	}
	return ls, nil
}

func (ls localState) save(dir string) error {
	data, err := json.MarshalIndent(ls, "", "  ")
	if err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, stateFile), data)
}

// writeFile replaces a file atomically, so that an interruption leaves either the old or the
// new content.
func writeFile(path string, data []byte) error {
	fi, err := os.CreateTemp(filepath.Dir(path), ".balsamctl-*")
	if err != nil {
		return err
	}
	defer os.Remove(fi.Name())
	_, err = fi.Write(data)
	err = errors.Join(err, fi.Chmod(fileMode), fi.Sync(), fi.Close())
	if err != nil {
		return err
	}
	return os.Rename(fi.Name(), path)
}

// changes returns the differences between the folder and the recorded versions, sorted by file
// name.
func (ls localState) changes(files []operator.File) []operator.FileChange {
	var chs []operator.FileChange
	local := make(map[string]bool)
	for _, fi := range files {
		local[fi.Name] = true
		was := ls.Files[fi.Name]
		if was.Hash != hash(fi.Content) {
			chs = append(chs, operator.FileChange{Name: fi.Name, Base: was.Revision, Content: fi.Content})
		}
	}
	for na, was := range ls.Files {
		if !local[na] {
			chs = append(chs, operator.FileChange{Name: na, Base: was.Revision, Delete: true})
		}
	}
	slices.SortFunc(chs, func(aa, bb operator.FileChange) int {
		return cmp.Compare(aa.Name, bb.Name)
	})
	return chs
}

// withChange returns the state after the tier made the change at the given revision.
func (ls localState) withChange(cr operator.ChangeRequest, revision uint64) localState {
	ls = ls.clone()
	ls.Unanswered = nil
	for _, ch := range cr.Files {
		if ch.Delete {
			delete(ls.Files, ch.Name)
			continue
		}
		ls.Files[ch.Name] = fileVersion{Revision: revision, Hash: hash(ch.Content)}
	}
	return ls
}

// withUnanswered returns the state with the change recorded as unanswered; nil clears it.
func (ls localState) withUnanswered(cr *operator.ChangeRequest) localState {
	ls.Unanswered = cr
	return ls
}

func (ls localState) clone() localState {
	ls.Files = maps.Clone(ls.Files)
	return ls
}
