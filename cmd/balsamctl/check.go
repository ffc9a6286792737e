package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"balsamwinch.example/operator"
	"balsamwinch.example/settings"
)

var checkCommand = command{
	name:    "check",
	args:    "DIR|FILE",
	minArgs: 1,
	maxArgs: 1,
	summary: "Check a folder of configuration, or the settings file of an instance.",
	help: `
For a folder, it prints the merged configuration and the file and line of each
value. All faults are listed at once. Nothing is sent.
`,
	example: "balsamctl check examples/huaman/configuration",
	do:      check,
}

func check(_ context.Context, in *invocation) error {
	path := in.args[0]
	if fi, err := os.Stat(path); err != nil {
		return err
	} else if !fi.IsDir() {
		return checkSettings(in, path)
	}
	files, cf, err := loadFolder(path)
	if err != nil {
		return err
	}
	vs := operator.Values(cf, files)
	return in.print(vs, func(wr io.Writer) {
		tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
		for _, va := range vs {
			or := va.Origin
			if or == "" {
				or = "default"
			}
			fmt.Fprintf(tw, "%s:\t%s\t%s\n", va.Path, va.Text, or)
		}
		tw.Flush()
	})
}

func checkSettings(in *invocation, path string) error {
	st, err := settings.LoadInstance(path)
	if err != nil {
		return err
	}
	return in.print(st, func(wr io.Writer) {
		fmt.Fprintf(wr, "%s: valid settings of instance %s, roles %v\n", path, st.Name, st.Roles)
	})
}

// loadFolder reads, merges and validates the files of a folder.
func loadFolder(dir string) ([]operator.File, operator.Configuration, error) {
	files, err := operator.ReadFolder(dir)
	if err != nil {
		return nil, operator.Configuration{}, err
	}
	cf, fs := operator.Merge(files)
	return files, cf, fs.Err()
}
