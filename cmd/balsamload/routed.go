package main

import (
	"context"
	"flag"
	"io"

	"balsamwinch.example/emulate/experiment"
	"balsamwinch.example/timer"
)

// runRouted is the subcommand routed.
func runRouted(ctx context.Context, args []string, out, errOut io.Writer) error {
	fl := flag.NewFlagSet("routed", flag.ContinueOnError)
	asJSON := fl.Bool("json", false, "print JSON")
	verbose := fl.Bool("v", false, "print the log of the tier on standard error")
	if err := parse(fl, args, errOut, 1, "routed [FLAGS] FILE"); err != nil {
		return err
	}
	ex, err := experiment.Read(fl.Arg(0))
	if err != nil {
		return err
	}
	re, err := experiment.Run(ctx, ex, timer.New(), logger(errOut, *verbose))
	if err != nil {
		return err
	}
	if err := printReport(out, re, *asJSON); err != nil {
		return err
	}
	switch {
	case re.Wrong() > 0:
		return &verdictError{exitBroken, "an answer was wrong, see above"}
	case re.Dropped > 0:
		return &verdictError{exitInvalid, "the load differed from the file, see above"}
	default:
		return nil
	}
}
