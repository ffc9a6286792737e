package main

import (
	"context"
	"fmt"
	"io"
	"slices"

	"balsamwinch.example/operator"
)

var diffCommand = command{
	name:    "diff",
	args:    "[OLD-DIR] DIR",
	minArgs: 1,
	maxArgs: 2,
	summary: "Show what applying a folder would change.",
	help: `
One folder is compared with the accepted configuration of a tier. Two folders are
compared with each other, and nothing is sent. Lines begin with + for an added
value, - for a removed one and ~ for a changed one.
`,
	example: "balsamctl diff -instances 10.1.1.11:7003,10.1.2.11:7003 configuration",
	remote:  true,
	do:      diff,
}

// difference is the JSON form of a diff.
type difference struct {
	Files []string // files that apply would send
	Lines []string
	// Outdated lists files that another operator changed since they were pulled.
	Outdated []string
}

func diff(ctx context.Context, in *invocation) error {
	var di difference
	var err error
	if len(in.args) == 2 {
		di, err = diffFolders(in.args[0], in.args[1])
	} else {
		di, err = diffTier(ctx, in, in.args[0])
	}
	if err != nil {
		return err
	}
	return in.print(di, func(wr io.Writer) {
		for _, li := range di.Lines {
			fmt.Fprintln(wr, li)
		}
		for _, na := range di.Outdated {
			fmt.Fprintf(wr, "%s was changed by another operator: apply would be refused; pull first\n", na)
		}
	})
}

func diffFolders(olderDir, newerDir string) (difference, error) {
	_, older, err := loadFolder(olderDir)
	if err != nil {
		return difference{}, fmt.Errorf("%s: %w", olderDir, err)
	}
	_, newer, err := loadFolder(newerDir)
	if err != nil {
		return difference{}, fmt.Errorf("%s: %w", newerDir, err)
	}
	return difference{Lines: operator.Diff(older, newer)}, nil
}

func diffTier(ctx context.Context, in *invocation, dir string) (difference, error) {
	files, err := operator.ReadFolder(dir)
	if err != nil {
		return difference{}, err
	}
	ls, err := loadState(dir)
	if err != nil {
		return difference{}, err
	}
	cl, err := in.client()
	if err != nil {
		return difference{}, err
	}
	tier, err := cl.Files(ctx)
	if err != nil {
		return difference{}, err
	}
	chs := ls.changes(files)
	older, _ := operator.Merge(filesOf(tier))
	newer, fs := operator.Merge(overlay(filesOf(tier), chs))
	di := difference{Lines: operator.Diff(older, newer)}
	for _, ch := range chs {
		di.Files = append(di.Files, ch.Name)
		if revisionOf(tier, ch.Name) != ch.Base {
			di.Outdated = append(di.Outdated, ch.Name)
		}
	}
	return di, fs.Err()
}

func filesOf(tier operator.FilesReply) []operator.File {
	var files []operator.File
	for _, sf := range tier.Files {
		files = append(files, operator.File{Name: sf.Name, Content: sf.Content})
	}
	return files
}

func revisionOf(tier operator.FilesReply, na string) uint64 {
	for _, sf := range tier.Files {
		if sf.Name == na {
			return sf.Revision
		}
	}
	return 0
}

// overlay returns the files with the changes applied.
func overlay(files []operator.File, chs []operator.FileChange) []operator.File {
	files = slices.Clone(files)
	for _, ch := range chs {
		files = slices.DeleteFunc(files, func(fi operator.File) bool { return fi.Name == ch.Name })
		if !ch.Delete {
			files = append(files, operator.File{Name: ch.Name, Content: ch.Content})
		}
	}
	return files
}
