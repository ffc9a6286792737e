// Command balsamwinch runs one instance of the query tier, or a demo of a complete tier in one
// process.
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

	"balsamwinch.example/result"
)

// Exit codes, documented in docs/OPERATIONS.md.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

const usage = `balsamwinch: a query tier over many shards

Usage:
  balsamwinch run -settings FILE     run one instance until SIGTERM
  balsamwinch check -settings FILE   check a settings file
  balsamwinch platform               run one instance of the routed tier on the users' platform
  balsamwinch demo [-once]           run a complete tier with emulated backend servers
  balsamwinch demo -routed [-once]   the same for the routed tier
  balsamwinch help                   print this text

Example:
  balsamwinch run -settings examples/huaman/instances/entry-1.yaml
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
	var err error
	switch args[0] {
	case "run":
		err = runInstance(ctx, args[1:], out, errOut)
	case "check":
		err = checkSettings(args[1:], out, errOut)
	case "platform":
		err = runPlatform(ctx, args[1:], out, errOut)
	case "demo":
		err = demo(ctx, args[1:], out, errOut)
	case "help", "-h", "-help", "--help":
		fmt.Fprint(out, usage)
	default:
		fmt.Fprintf(errOut, "balsamwinch: no subcommand %q\n\n%s", args[0], usage)
		return exitUsage
	}
	return exitCode(err, errOut)
}

// usageError reports an invalid command line.
type usageError struct {
	detail string
}

// Error returns the detail.
func (ue *usageError) Error() string {
	return ue.detail
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	fmt.Fprintln(errOut, "balsamwinch:", err)
	var ue *usageError
	if errors.As(err, &ue) {
		return exitUsage
	}
	var re *result.Error
	if errors.As(err, &re) && (re.Code == result.BadSettings || re.Code == result.BadKey) {
		return exitSettings
	}
	return exitFailed
}
