package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"balsamwinch.example/emulate"
	"balsamwinch.example/emulate/soak"
	"balsamwinch.example/timer"
)

// instanceCommand is the internal subcommand that soak starts for each instance.
const instanceCommand = "soak-instance"

// runInstance is the subcommand instanceCommand.
func runInstance(ctx context.Context, _ []string, _, errOut io.Writer) error {
	return emulate.ServeInstance(ctx, os.Stdin, logger(errOut, true))
}

// runSoak is the subcommand soak.
func runSoak(ctx context.Context, args []string, out, errOut io.Writer) error {
	fl := flag.NewFlagSet("soak", flag.ContinueOnError)
	asJSON := fl.Bool("json", false, "print JSON")
	seed := fl.Uint64("seed", 0, "`number` that seeds faults and arrivals, instead of the file's")
	length := fl.Duration("length", 0, "`duration` of the load, instead of the file's")
	logs := fl.String("logs", "", "`folder` for the logs of the instances; it must exist")
	if err := parse(fl, args, errOut, 1, "soak [FLAGS] FILE"); err != nil {
		return err
	}
	cf, err := soak.Read(fl.Arg(0))
	if err != nil {
		return err
	}
	if *seed != 0 {
		cf.Seed = *seed
	}
	if *length > 0 {
		if *length <= cf.Quiet {
			return &usageError{fmt.Sprintf("-length: want more than the file's Quiet, %v", cf.Quiet)}
		}
		cf.Length = *length
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	re, err := soak.Run(ctx, cf, soak.Program{Command: []string{program, instanceCommand}, LogFolder: *logs}, timer.New(), logger(errOut, false))
	if err != nil {
		return err
	}
	if err := printReport(out, re, *asJSON); err != nil {
		return err
	}
	switch {
	case re.NumViolations() > 0:
		return &verdictError{exitFailed, fmt.Sprintf("%d checks failed, see above; seed %d", re.NumViolations(), re.Seed)}
	case re.Dropped > 0 || len(re.Problems) > 0:
		return &verdictError{exitInvalid, "the load or the faults differed from the file, see above"}
	default:
		return nil
	}
}
