// Command balsamload puts an open-loop load on a tier and measures the answers. It runs an
// experiment file, sends a single query, or measures the slopes from which docs/CAPACITY.md
// extrapolates.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"balsamwinch.example/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // the run could not be started or finished, or a check of soak failed
	exitUsage    = 2
	exitSettings = 3 // the experiment file has faults
	exitBroken   = 4 // a promise was broken, or the answer is not complete
	exitInvalid  = 5 // the load or the faults differed from the file
)

const usage = `balsamload: load and measurements for balsamwinch

Usage:
  balsamload run [-json] [-callers A,B -backends A,B -operators A,B] FILE
        run an experiment file on a tier in this process, or on instances outside
        it, and print the measurements
  balsamload routed [-json] FILE
        run an experiment file of the routed tier in this process and print the
        measurements
  balsamload soak [-json] [-seed N] [-length TIME] [-logs FOLDER] FILE
        put the routed tier under load while faults are injected, check its promises
        and print the findings
  balsamload files -out FOLDER FILE
        write the operators' files of an experiment
  balsamload once -callers A,B [-json] SERVICE
        send one query and print its answer
  balsamload capacity [-quick] [-json] [-runs N] [-role ROLE] [-sizes A,B,C] [-list] [NAME...]
        measure slopes and print them as a table for docs/CAPACITY.md
  balsamload help
        print this text

"balsamload COMMAND -h" lists the flags of a command.

Examples:
  go run ./cmd/balsamload run experiments/huaman.yaml
  go run ./cmd/balsamload soak -seed 7 experiments/routed/soak.yaml
  go run ./cmd/balsamload once -callers 127.0.0.1:7101 -query '{"Ask":"curtains"}' archivo
  go run ./cmd/balsamload capacity -runs 5 caller/addresses

Exit codes:
  0  done; every promise was kept
  1  the run could not be started or finished, or a check of "soak" failed
  2  the command line is invalid
  3  the experiment file has faults, each with its line
  4  a promise was broken, or the answer of "once" is not complete
  5  the run is not valid: queries were not sent or faults not injected
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one subcommand and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(errOut, usage)
		return exitUsage
	}
	commands := map[string]func(context.Context, []string, io.Writer, io.Writer) error{
		"run":           runExperiment,
		"files":         writeFiles,
		"once":          askOnce,
		"capacity":      runCapacity,
		"routed":        runRouted,
		"soak":          runSoak,
		instanceCommand: runInstance,
	}
	switch name := args[0]; name {
	case "help", "-h", "-help", "--help":
		fmt.Fprint(out, usage)
		return exitOK
	default:
		do, ok := commands[name]
		if !ok {
			fmt.Fprintf(errOut, "balsamload: no subcommand %q\n\n%s", name, usage)
			return exitUsage
		}
		return exitCode(do(ctx, args[1:], out, errOut), errOut)
	}
}

// usageError reports an invalid command line.
type usageError struct {
	detail string
}

// Error returns the detail.
func (ue *usageError) Error() string {
	return ue.detail
}

// verdictError reports a run that finished with a bad result.
type verdictError struct {
	code   int
	detail string
}

// Error returns the detail.
func (ve *verdictError) Error() string {
	return ve.detail
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	fmt.Fprintln(errOut, "balsamload:", err)
	var ue *usageError
	var ve *verdictError
	var fs settings.Faults
	switch {
	case errors.As(err, &ue):
		return exitUsage
	case errors.As(err, &fs):
		return exitSettings
	case errors.As(err, &ve):
		return ve.code
	default:
		return exitFailed
	}
}

// parse parses the flags and checks the number of arguments, unless wanted is negative.
func parse(fl *flag.FlagSet, args []string, errOut io.Writer, wanted int, usage string) error {
	fl.SetOutput(errOut)
	fl.Usage = func() {
		fmt.Fprintf(errOut, "Usage: balsamload %s\n", usage)
		fl.PrintDefaults()
	}
	if err := fl.Parse(args); errors.Is(err, flag.ErrHelp) {
		return err
	} else if err != nil {
		return &usageError{err.Error()}
	}
	if wanted >= 0 && fl.NArg() != wanted {
		return &usageError{fmt.Sprintf("want %q, got %d arguments", usage, fl.NArg())}
	}
	return nil
}
