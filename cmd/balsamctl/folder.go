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

// seenFile holds, in the operator's folder, what this operator last saw of the
// tier's files. The base of a change must come from here: were it asked of the
// tier when the change is sent, it would always be the newest revision, and the
// work of another operator who changed the file meanwhile would be overwritten
// unseen. The file belongs to one operator's copy of the folder, so it has no
// place in a shared repository.
const seenFile = ".balsamctl.json"

const (
	fileMode   = 0o644
	folderMode = 0o755
)

// seen is the content of seenFile.
type seen struct {
	Files map[string]seenVersion
	// Unanswered is a change that was sent and whose answer is not known. It
	// is sent again first, under its own change id: under a new one it would
	// conflict with itself if the tier had made it.
	Unanswered *operator.ChangeRequest `json:",omitempty"`
}

// seenVersion is a file as the operator last saw it on the tier.
type seenVersion struct {
	Revision uint64
	Hash     string // Hash is the SHA-256 of the content in hexadecimal.
}

func hash(data []byte) string {
	su := sha256.Sum256(data)
	return hex.EncodeToString(su[:])
}

func loadSeen(dir string) (seen, error) {
	se := seen{Files: make(map[string]seenVersion)}
	path := filepath.Join(dir, seenFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return se, nil
	}
	if err != nil {
		return se, err
	}
	if err := json.Unmarshal(data, &se); err != nil {
		return se, fmt.Errorf("%s is damaged; remove it and pull again: %w", path, err)
	}
	return se, nil
}

func (se seen) save(dir string) error {
	data, err := json.MarshalIndent(se, "", "  ")
	if err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, seenFile), data)
}

// writeFile replaces a file in one step, so that an interrupt leaves the old or
// the new content.
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

// changes lists what the folder changes against what was seen, by name.
func (se seen) changes(files []operator.File) []operator.FileChange {
	var chs []operator.FileChange
	here := make(map[string]bool)
	for _, fi := range files {
		here[fi.Name] = true
		was := se.Files[fi.Name]
		if was.Hash != hash(fi.Content) {
			chs = append(chs, operator.FileChange{Name: fi.Name, Base: was.Revision, Content: fi.Content})
		}
	}
	for na, was := range se.Files {
		if !here[na] {
			chs = append(chs, operator.FileChange{Name: na, Base: was.Revision, Delete: true})
		}
	}
	slices.SortFunc(chs, func(aa, bb operator.FileChange) int {
		return cmp.Compare(aa.Name, bb.Name)
	})
	return chs
}

// withChange returns what is seen after a change was made at a revision.
func (se seen) withChange(cr operator.ChangeRequest, revision uint64) seen {
	se = se.clone()
	se.Unanswered = nil
	for _, ch := range cr.Files {
		if ch.Delete {
			delete(se.Files, ch.Name)
			continue
		}
		se.Files[ch.Name] = seenVersion{Revision: revision, Hash: hash(ch.Content)}
	}
	return se
}

// withUnanswered returns what is seen while the answer to a change is awaited;
// nil means that none is.
func (se seen) withUnanswered(cr *operator.ChangeRequest) seen {
	se.Unanswered = cr
	return se
}

func (se seen) clone() seen {
	se.Files = maps.Clone(se.Files)
	return se
}
