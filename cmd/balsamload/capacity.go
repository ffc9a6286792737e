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
	// defaultWindow and quickWindow are how long a tier without changes is observed.
	defaultWindow = 2 * time.Second
	quickWindow   = time.Second
)

// runCapacity is the subcommand capacity.
func runCapacity(ctx context.Context, args []string, out, errOut io.Writer) error {
	fl := flag.NewFlagSet("capacity", flag.ContinueOnError)
	asJSON := fl.Bool("json", false, "print JSON with the values of all runs")
	runs := fl.Int("runs", 0, "number of runs of each size (default 3, 1 with -quick)")
	quick := fl.Bool("quick", false, "use smaller sizes and shorter times")
	role := fl.String("role", "", "run only measurements with rows of the `ROLE`, and print only these rows")
	sizes := fl.String("sizes", "", "use these `SIZES`, separated by commas, instead of those of each measurement")
	list := fl.Bool("list", false, "list the measurements and exit")
	if err := parse(fl, args, errOut, -1, "capacity [FLAGS] [NAME...]"); err != nil {
		return err
	}
	selected, err := selectMeasurements(fl.Args(), *role)
	if err != nil {
		return err
	}
	op, err := capacityOptions(*runs, *quick, *sizes)
	if err != nil {
		return err
	}
	if *list {
		for _, me := range selected {
			fmt.Fprintf(out, "%s\tsizes %v %s\trows of %s\n", me.Name, me.Sizes, me.SizeUnit, strings.Join(me.Roles(), ", "))
		}
		return nil
	}
	rows, err := runMeasurements(ctx, selected, op, *role)
	if err != nil {
		return err
	}
	if *asJSON {
		return capacity.WriteJSON(out, rows)
	}
	return capacity.WriteMarkdown(out, rows)
}

func capacityOptions(runs int, quick bool, sizes string) (capacity.Options, error) {
	op := capacity.Options{Runs: defaultRuns, Quick: quick, Window: defaultWindow}
	if quick {
		op.Runs, op.Window = 1, quickWindow
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

// selectMeasurements returns the measurements with the given names, or all if there are none,
// that have a row of the role. An empty role selects any.
func selectMeasurements(names []string, role string) ([]capacity.Measurement, error) {
	var selected []capacity.Measurement
	var known, roles []string
	for _, me := range capacity.Measurements() {
		known = append(known, me.Name)
		roles = append(roles, me.Roles()...)
		if (len(names) == 0 || slices.Contains(names, me.Name)) && (role == "" || slices.Contains(me.Roles(), role)) {
			selected = append(selected, me)
		}
	}
	for _, na := range names {
		if !slices.Contains(known, na) {
			return nil, &usageError{fmt.Sprintf("no measurement %q; want one of %s", na, strings.Join(known, ", "))}
		}
	}
	if role != "" && !slices.Contains(roles, role) {
		slices.Sort(roles)
		return nil, &usageError{fmt.Sprintf("no role %q; want one of %s", role, strings.Join(slices.Compact(roles), ", "))}
	}
	return selected, nil
}

func runMeasurements(ctx context.Context, mes []capacity.Measurement, op capacity.Options, role string) ([]capacity.Row, error) {
	var rows []capacity.Row
	for _, me := range mes {
		measured, err := me.Run(ctx, op)
		if err != nil {
			return nil, err
		}
		for _, ro := range measured {
			if role == "" || ro.Slope.Role == role {
				rows = append(rows, ro)
			}
		}
	}
	return rows, nil
}
