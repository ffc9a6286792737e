package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"balsamwinch.example/capacity"
)

const (
	defaultRuns = 3
	// watchTime and quickTime are how long something that goes on by itself is
	// watched.
	watchTime = 2 * time.Second
	quickTime = time.Second
)

// measure is the subcommand capacity.
func measure(ctx context.Context, args []string, out, errOut io.Writer) error {
	fl := flag.NewFlagSet("capacity", flag.ContinueOnError)
	asJSON := fl.Bool("json", false, "print JSON with the values of all runs")
	runs := fl.Int("runs", 0, "how often each size is measured (default 3, 1 with -quick)")
	quick := fl.Bool("quick", false, "take smaller sizes and shorter times")
	role := fl.String("role", "", "measure only what has a row of the `ROLE`, and print these rows")
	sizes := fl.String("sizes", "", "take these `SIZES`, separated by commas, in place of each measure's own")
	names := fl.Bool("list", false, "list the names of the measures and stop")
	if err := parse(fl, args, errOut, -1, "capacity [FLAGS] [NAME...]"); err != nil {
		return err
	}
	chosen, err := choose(fl.Args(), *role)
	if err != nil {
		return err
	}
	op, err := options(*runs, *quick, *sizes)
	if err != nil {
		return err
	}
	if *names {
		for _, me := range chosen {
			fmt.Fprintf(out, "%s\tsizes %v %s\trows of %s\n", me.Name, me.Sizes, me.SizeUnit, strings.Join(me.Roles(), ", "))
		}
		return nil
	}
	rows, err := take(ctx, chosen, op, *role)
	if err != nil {
		return err
	}
	if *asJSON {
		return capacity.WriteJSON(out, rows)
	}
	return capacity.WriteMarkdown(out, rows)
}

func options(runs int, quick bool, sizes string) (capacity.Options, error) {
	op := capacity.Options{Runs: defaultRuns, Quick: quick, Window: watchTime}
	if quick {
		op.Runs, op.Window = 1, quickTime
	}
	switch {
	case runs < 0:
		return op, &usageError{"-runs must not be negative"}
	case runs > 0:
		op.Runs = runs
	}
	if sizes == "" {
		return op, nil
	}
	for _, te := range strings.Split(sizes, ",") {
		size, err := strconv.Atoi(te)
		if err != nil || size < 1 {
			return op, &usageError{fmt.Sprintf("-sizes: want whole numbers above 0, got %q", te)}
		}
		op.Sizes = append(op.Sizes, size)
	}
	return op, nil
}

// choose returns the measures of the given names, or all, that have a row of
// the role, or of any.
func choose(names []string, role string) ([]capacity.Measurement, error) {
	var chosen []capacity.Measurement
	var known, roles []string
	for _, me := range capacity.Measurements() {
		known = append(known, me.Name)
		roles = append(roles, me.Roles()...)
		if (len(names) == 0 || slices.Contains(names, me.Name)) && (role == "" || slices.Contains(me.Roles(), role)) {
			chosen = append(chosen, me)
		}
	}
	for _, na := range names {
		if !slices.Contains(known, na) {
			return nil, &usageError{fmt.Sprintf("no measure %q; want one of %s", na, strings.Join(known, ", "))}
		}
	}
	if role != "" && !slices.Contains(roles, role) {
		slices.Sort(roles)
		return nil, &usageError{fmt.Sprintf("no role %q; want one of %s", role, strings.Join(slices.Compact(roles), ", "))}
	}
	return chosen, nil
}

func take(ctx context.Context, mes []capacity.Measurement, op capacity.Options, role string) ([]capacity.Row, error) {
	var rows []capacity.Row
	for _, me := range mes {
		taken, err := me.Run(ctx, op)
		if err != nil {
			return nil, err
		}
		for _, ro := range taken {
			if role == "" || ro.Slope.Role == role {
				rows = append(rows, ro)
			}
		}
	}
	return rows, nil
}
