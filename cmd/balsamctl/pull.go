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
Files that were not edited locally are updated; edited ones are kept. A file that
was edited locally and also changed by another operator is left alone and listed.
After comparing both, -take mine keeps the local content, with which the next apply
overwrites the other operator's, and -take theirs replaces it.
`,
	example: "balsamctl pull -instances 10.1.1.11:7003 configuration",
	remote:  true,
	flags: func(fl *flag.FlagSet, op *options) {
		fl.StringVar(&op.take, "take", "", "`side` to keep for files changed on both: mine or theirs")
	},
	do: pull,
}

// pullReport is the JSON form of the result of pull.
type pullReport struct {
	Revision uint64
	Written  []string
	Removed  []string
	Kept     []string // files that were only edited in the folder
	Clashes  []string // files that were changed on both sides
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
	return in.reportPull(pu.report)
}

func (in *invocation) reportPull(pr pullReport) error {
	err := in.print(pr, func(wr io.Writer) {
		fmt.Fprintf(wr, "revision %d\n", pr.Revision)
		for _, it := range []struct {
			what  string
			names []string
		}{{"written", pr.Written}, {"removed", pr.Removed}, {"kept, edited locally", pr.Kept}} {
			if len(it.names) > 0 {
				fmt.Fprintf(wr, "%s: %s\n", it.what, strings.Join(it.names, ", "))
			}
		}
	})
	if err == nil && len(pr.Clashes) > 0 {
		de := "edited locally and changed by another operator: " + strings.Join(pr.Clashes, ", ") + "; give -take"
		return &result.Error{Code: result.Conflict, Op: "pull", Detail: de}
	}
	return err
}

// puller updates a folder to the files of the tier.
type puller struct {
	dir    string
	take   string
	state  localState
	local  map[string][]byte
	remote map[string]operator.StoredFile
	report pullReport
}

func newPuller(dir string, tier operator.FilesReply, take string) (*puller, error) {
	files, err := operator.ReadFolder(dir)
	if err != nil {
		return nil, err
	}
	ls, err := loadState(dir)
	if err != nil {
		return nil, err
	}
	pu := &puller{
		dir:    dir,
		take:   take,
		state:  ls,
		local:  make(map[string][]byte),
		remote: make(map[string]operator.StoredFile),
		report: pullReport{Revision: tier.Revision},
	}
	for _, fi := range files {
		pu.local[fi.Name] = fi.Content
	}
	for _, sf := range tier.Files {
		if filepath.Base(sf.Name) != sf.Name {
			return nil, fmt.Errorf("the tier lists the file %q, which is outside the folder", sf.Name)
		}
		pu.remote[sf.Name] = sf
		pu.resolveUnanswered(sf)
	}
	return pu, nil
}

// resolveUnanswered clears the unanswered change if the file shows that the tier made it.
func (pu *puller) resolveUnanswered(sf operator.StoredFile) {
	if un := pu.state.Unanswered; un != nil && un.ChangeID == sf.ChangeID {
		pu.state = pu.state.withChange(*un, sf.Revision)
	}
}

func (pu *puller) run() error {
	all := make(map[string]bool)
	for _, ks := range [][]string{
		slices.Collect(maps.Keys(pu.local)),
		slices.Collect(maps.Keys(pu.remote)),
		slices.Collect(maps.Keys(pu.state.Files)),
	} {
		for _, na := range ks {
			all[na] = true
		}
	}
	for _, na := range slices.Sorted(maps.Keys(all)) {
		if err := pu.syncFile(na); err != nil {
			return err
		}
	}
	return pu.state.save(pu.dir)
}

func (pu *puller) syncFile(na string) error {
	data, isLocal := pu.local[na]
	sf, isRemote := pu.remote[na]
	was, wasSeen := pu.state.Files[na]
	edited := isLocal != wasSeen || isLocal && hash(data) != was.Hash
	changed := isRemote != wasSeen || isRemote && sf.Revision != was.Revision
	same := isLocal == isRemote && bytes.Equal(data, sf.Content)
	switch {
	case same:
		pu.markSeen(na)
	case !edited && !changed:
	case !edited || changed && pu.take == takeTheirs:
		return pu.fetch(na)
	case !changed:
		pu.report.Kept = append(pu.report.Kept, na)
	case pu.take == takeMine:
		pu.markSeen(na)
		pu.report.Kept = append(pu.report.Kept, na)
	default:
		pu.report.Clashes = append(pu.report.Clashes, na)
	}
	return nil
}

// markSeen records the tier's version of the file as seen.
func (pu *puller) markSeen(na string) {
	sf, ok := pu.remote[na]
	if !ok {
		delete(pu.state.Files, na)
		return
	}
	pu.state.Files[na] = fileVersion{Revision: sf.Revision, Hash: hash(sf.Content)}
}

// fetch replaces the local file by the tier's, or removes it if the tier has none.
func (pu *puller) fetch(na string) error {
	path := filepath.Join(pu.dir, na)
	sf, ok := pu.remote[na]
	pu.markSeen(na)
	if !ok {
		pu.report.Removed = append(pu.report.Removed, na)
		return os.Remove(path)
	}
	pu.report.Written = append(pu.report.Written, na)
	return writeFile(path, sf.Content)
}
