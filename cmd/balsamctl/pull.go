package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"balsamwinch.example/operator"
	"balsamwinch.example/result"
)

// The values of the flag -take.
const (
	takeMine   = "mine"
	takeTheirs = "theirs"
)

var pullCommand = command{
	name:    "pull",
	args:    "DIR",
	minArgs: 1,
	maxArgs: 1,
	summary: "Fetch the accepted files of a tier into a folder.",
	help: `
Files that were not edited here are brought up to date; edited ones are kept. A
file that was edited here and changed by another operator as well is left alone
and named. After looking at both, -take mine keeps the content here, which the
next apply sends over the other operator's, and -take theirs replaces it.
`,
	example: "balsamctl pull -instances 10.1.1.11:7003 configuration",
	remote:  true,
	flags: func(fl *flag.FlagSet, op *options) {
		fl.StringVar(&op.take, "take", "", "`side` to take of files changed on both: mine or theirs")
	},
	do: pull,
}

// pulled is the JSON form of what pull did.
type pulled struct {
	Revision uint64
	Written  []string
	Removed  []string
	Kept     []string // Kept are files that were edited here.
	Clashes  []string // Clashes are files that both sides changed.
}

func pull(ctx context.Context, in *invocation) error {
	if in.take != "" && in.take != takeMine && in.take != takeTheirs {
		return &usageError{fmt.Sprintf("-take: want %s or %s, got %q", takeMine, takeTheirs, in.take)}
	}
	cl, err := in.client()
	if err != nil {
		return err
	}
	tier, err := cl.Files(ctx)
	if err != nil {
		return err
	}
	dir := in.args[0]
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return err
	}
	pu, err := newPuller(dir, tier, in.take)
	if err != nil {
		return err
	}
	if err := pu.run(); err != nil {
		return err
	}
	return in.reportPull(pu.done)
}

func (in *invocation) reportPull(pd pulled) error {
	err := in.print(pd, func(wr io.Writer) {
		fmt.Fprintf(wr, "revision %d\n", pd.Revision)
		for _, it := range []struct {
			what  string
			names []string
		}{{"written", pd.Written}, {"removed", pd.Removed}, {"kept, edited here", pd.Kept}} {
			if len(it.names) > 0 {
				fmt.Fprintf(wr, "%s: %s\n", it.what, strings.Join(it.names, ", "))
			}
		}
	})
	if err == nil && len(pd.Clashes) > 0 {
		de := "edited here and changed by another operator: " + strings.Join(pd.Clashes, ", ") + "; give -take"
		return &result.Error{Code: result.Conflict, Op: "pull", Detail: de}
	}
	return err
}

// puller brings a folder up to date.
type puller struct {
	dir  string
	take string
	seen seen
	here map[string][]byte
	tier map[string]operator.StoredFile
	done pulled
}

func newPuller(dir string, tier operator.FilesReply, take string) (*puller, error) {
	files, err := operator.ReadFolder(dir)
	if err != nil {
		return nil, err
	}
	se, err := loadSeen(dir)
	if err != nil {
		return nil, err
	}
	pu := &puller{
		dir:  dir,
		take: take,
		seen: se,
		here: make(map[string][]byte),
		tier: make(map[string]operator.StoredFile),
		done: pulled{Revision: tier.Revision},
	}
	for _, fi := range files {
		pu.here[fi.Name] = fi.Content
	}
	for _, sf := range tier.Files {
		if filepath.Base(sf.Name) != sf.Name {
			return nil, fmt.Errorf("the tier names a file %q outside the folder", sf.Name)
		}
		pu.tier[sf.Name] = sf
		pu.answered(sf)
	}
	return pu, nil
}

// answered clears the change whose answer was lost if the file shows that the
// tier made it.
func (pu *puller) answered(sf operator.StoredFile) {
	if un := pu.seen.Unanswered; un != nil && un.ChangeID == sf.ChangeID {
		pu.seen = pu.seen.withChange(*un, sf.Revision)
	}
}

func (pu *puller) run() error {
	all := make(map[string]bool)
	for _, ks := range [][]string{
		slices.Collect(maps.Keys(pu.here)),
		slices.Collect(maps.Keys(pu.tier)),
		slices.Collect(maps.Keys(pu.seen.Files)),
	} {
		for _, na := range ks {
			all[na] = true
		}
	}
	for _, na := range slices.Sorted(maps.Keys(all)) {
		if err := pu.file(na); err != nil {
			return err
		}
	}
	return pu.seen.save(pu.dir)
}

func (pu *puller) file(na string) error {
	data, isHere := pu.here[na]
	sf, isThere := pu.tier[na]
	was, wasSeen := pu.seen.Files[na]
	edited := isHere != wasSeen || isHere && hash(data) != was.Hash
	changed := isThere != wasSeen || isThere && sf.Revision != was.Revision
	same := isHere == isThere && bytes.Equal(data, sf.Content)
	switch {
	case same:
		pu.see(na)
	case !edited && !changed:
	case !edited || changed && pu.take == takeTheirs:
		return pu.fetch(na)
	case !changed:
		pu.done.Kept = append(pu.done.Kept, na)
	case pu.take == takeMine:
		pu.see(na)
		pu.done.Kept = append(pu.done.Kept, na)
	default:
		pu.done.Clashes = append(pu.done.Clashes, na)
	}
	return nil
}

// see records that the operator has seen the tier's version of the file.
func (pu *puller) see(na string) {
	sf, ok := pu.tier[na]
	if !ok {
		delete(pu.seen.Files, na)
		return
	}
	pu.seen.Files[na] = seenVersion{Revision: sf.Revision, Hash: hash(sf.Content)}
}

// fetch makes the file here the same as the tier's.
func (pu *puller) fetch(na string) error {
	path := filepath.Join(pu.dir, na)
	sf, ok := pu.tier[na]
	pu.see(na)
	if !ok {
		pu.done.Removed = append(pu.done.Removed, na)
		return os.Remove(path)
	}
	pu.done.Written = append(pu.done.Written, na)
	return writeFile(path, sf.Content)
}
