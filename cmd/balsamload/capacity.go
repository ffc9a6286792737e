package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"balsamwinch.example/caller"
	"balsamwinch.example/load"
	"balsamwinch.example/view"
)

const defaultRuns = 3

// measures are the slopes that can be measured; a new one is added here.
func measures() []load.Measure {
	return []load.Measure{
		{
			Role: "caller", Kind: "addresses", Unit: "bytes of an address list",
			Sizes: []float64{9, 90, 890}, Target: 890,
			Take: addressListBytes,
		},
	}
}

// addressListBytes returns the size of the list that a caller keeps when the
// given number of instances serve it.
func addressListBytes(_ context.Context, size float64) (float64, error) {
	vi := &view.View{}
	for ix := range int(size) {
		vi.Instances = append(vi.Instances, view.Instance{
			Name:          fmt.Sprintf("entry-%03d", ix),
			Entry:         true,
			CallerAddress: fmt.Sprintf("10.20.%d.%d:7101", ix/250, ix%250),
		})
	}
	var ad caller.Addresses
	for _, in := range caller.Choose(vi, "", "", 0) {
		ad.Addresses = append(ad.Addresses, in.CallerAddress)
	}
	data, err := json.Marshal(ad)
	return float64(len(data)), err
}

// measure is the subcommand capacity.
func measure(ctx context.Context, args []string, out, errOut io.Writer) error {
	fl := flag.NewFlagSet("capacity", flag.ContinueOnError)
	asJSON := fl.Bool("json", false, "print JSON")
	runs := fl.Int("runs", defaultRuns, "how often each size is measured")
	names := fl.Bool("list", false, "list the names of the slopes and stop")
	if err := parse(fl, args, errOut, -1, "capacity [FLAGS] [NAME...]"); err != nil {
		return err
	}
	chosen, err := choose(fl.Args())
	if err != nil {
		return err
	}
	if *runs < 1 {
		return &usageError{"-runs must be at least 1"}
	}
	if *names {
		for _, me := range chosen {
			fmt.Fprintf(out, "%s\t%s\n", me.Name(), me.Unit)
		}
		return nil
	}
	rows, err := take(ctx, chosen, *runs)
	if err != nil {
		return err
	}
	if *asJSON {
		return printJSON(out, rows)
	}
	return load.WriteMarkdown(out, rows)
}

// choose returns the measures of the given names, or all.
func choose(names []string) ([]load.Measure, error) {
	var chosen []load.Measure
	var known []string
	for _, me := range measures() {
		known = append(known, me.Name())
		if len(names) == 0 || slices.Contains(names, me.Name()) {
			chosen = append(chosen, me)
		}
	}
	for _, na := range names {
		if !slices.Contains(known, na) {
			return nil, &usageError{fmt.Sprintf("no slope %q; want one of %s", na, strings.Join(known, ", "))}
		}
	}
	return chosen, nil
}

func take(ctx context.Context, mes []load.Measure, runs int) ([]load.Row, error) {
	var rows []load.Row
	for _, me := range mes {
		sl, err := me.Run(ctx, runs, fmt.Sprintf("go run ./cmd/balsamload capacity -runs %d %s", runs, me.Name()))
		if err != nil {
			return nil, err
		}
		rows = append(rows, load.NewRow(sl, me.Target))
	}
	return rows, nil
}
