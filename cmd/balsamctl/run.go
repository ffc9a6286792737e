package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"balsamwinch.example/control"
	"balsamwinch.example/operator"
	"balsamwinch.example/result"
	"balsamwinch.example/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitFaults   = 4
	exitPending  = 5
	exitAudit    = 6
)

const exitCodes = `Exit codes:
  0  done
  1  failed, for example because no instance could be reached
  2  invalid command line
  3  conflict: another operator changed a file first
  4  faults in settings or configuration
  5  pending: committed, but not yet in force on every serving instance
  6  the hash chain of the audit trail is broken
`

// Environment variables with defaults for flags.
const (
	envInstances = "BALSAMCTL_INSTANCES"
	envAuthor    = "BALSAMCTL_AUTHOR"
)

const defaultTimeout = 30 * time.Second

// command is one subcommand.
type command struct {
	name    string
	args    string // arguments after the flags, for the usage line
	minArgs int
	maxArgs int // -1 for any number
	summary string
	help    string
	example string
	remote  bool // whether the command connects to a tier
	flags   func(fl *flag.FlagSet, op *options)
	do      func(ctx context.Context, in *invocation) error
}

// options holds the values of the flags of all subcommands.
type options struct {
	json      bool
	instances string
	timeout   time.Duration
	author    string
	changeID  string
	wait      bool
	forget    bool
	take      string
	from      uint64
	content   bool
	name      string
	request   string
	logs      []string
}

// invocation is one call of a subcommand.
type invocation struct {
	options
	args    []string
	out     io.Writer
	printed bool // whether the result was already printed; with -json only one value may be printed
}

func commands() []command {
	return []command{
		checkCommand, diffCommand, pullCommand, applyCommand, statusCommand, membersCommand,
		auditCommand, explainCommand, drainCommand, votersCommand, keysCommand,
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

// run executes the command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		printOverview(errOut)
		return exitUsage
	}
	if na := strings.TrimLeft(args[0], "-"); na == "help" || na == "h" {
		return help(args[1:], out, errOut)
	}
	cm, ok := lookup(args[0])
	if !ok {
		fmt.Fprintf(errOut, "balsamctl: no command %q; see balsamctl help\n", args[0])
		return exitUsage
	}
	in := &invocation{out: out}
	fl := cm.flagSet(&in.options, errOut)
	if err := fl.Parse(args[1:]); errors.Is(err, flag.ErrHelp) {
		return exitOK
	} else if err != nil {
		return exitUsage
	}
	in.args = fl.Args()
	return in.finish(cm.call(in), errOut)
}

func lookup(na string) (command, bool) {
	for _, cm := range commands() {
		if cm.name == na {
			return cm, true
		}
	}
	return command{}, false
}

func (cm command) flagSet(op *options, errOut io.Writer) *flag.FlagSet {
	fl := flag.NewFlagSet("balsamctl "+cm.name, flag.ContinueOnError)
	fl.SetOutput(errOut)
	fl.Usage = func() { cm.print(errOut, fl) }
	fl.BoolVar(&op.json, "json", false, "print JSON")
	if cm.remote {
		fl.StringVar(&op.instances, "instances", os.Getenv(envInstances), "operators' `addresses` of instances, separated by commas ($"+envInstances+")")
		fl.DurationVar(&op.timeout, "timeout", defaultTimeout, "how long to try")
	}
	if cm.flags != nil {
		cm.flags(fl, op)
	}
	return fl
}

func authorFlag(fl *flag.FlagSet, op *options) {
	au := os.Getenv(envAuthor)
	if au == "" {
		au = os.Getenv("USER")
	}
	fl.StringVar(&op.author, "author", au, "`name` for the audit trail ($"+envAuthor+", $USER)")
}

func (cm command) call(in *invocation) error {
	if n := len(in.args); n < cm.minArgs || cm.maxArgs >= 0 && n > cm.maxArgs {
		return &usageError{fmt.Sprintf("want the arguments %q, got %d", cm.args, n)}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if in.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, in.timeout)
		defer cancel()
	}
	return cm.do(ctx, in)
}

// client returns a client for the instances of the tier.
func (in *invocation) client() (*operator.Client, error) {
	if in.instances == "" {
		return nil, &usageError{"no instances: give -instances or set " + envInstances}
	}
	return operator.NewClient(strings.Split(in.instances, ",")), nil
}

// finish prints an error and returns the exit code.
func (in *invocation) finish(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	co, de := classify(err)
	if in.json && !in.printed {
		_ = in.printJSON(de)
	}
	printError(errOut, err, de.Faults)
	return co
}

// printError prints each fault on its own line, beginning with the file name.
func printError(wr io.Writer, err error, fs settings.Faults) {
	if len(fs) == 0 {
		fmt.Fprintf(wr, "balsamctl: %v\n", err)
		return
	}
	head := strings.TrimSuffix(err.Error(), fs.Error())
	fmt.Fprintf(wr, "balsamctl: %sfaults: %d\n%v\n", head, len(fs), fs)
}

// failure is the JSON form of an error.
type failure struct {
	Exit   int
	Code   result.Code `json:",omitempty"`
	Name   string      `json:",omitempty"` // name of Code
	Detail string
	Faults settings.Faults `json:",omitempty"`
}

func classify(err error) (int, failure) {
	fa := failure{Exit: exitFailed, Detail: err.Error()}
	var ue *usageError
	var re *result.Error
	var ae *control.AuditError
	if errors.As(err, &re) {
		fa.Code, fa.Name = re.Code, re.Code.String()
	}
	switch {
	case errors.As(err, &ue):
		fa.Exit = exitUsage
	case errors.As(err, &fa.Faults):
		fa.Exit = exitFaults
	case errors.As(err, &ae):
		fa.Exit = exitAudit
	case fa.Code == result.Conflict:
		fa.Exit = exitConflict
	case fa.Code == result.Invalid || fa.Code == result.BadSettings:
		fa.Exit = exitFaults
	case fa.Code == result.Pending:
		fa.Exit = exitPending
	}
	return fa.Exit, fa
}

// print writes the value as JSON, or calls printText if -json is not set.
func (in *invocation) print(va any, printText func(wr io.Writer)) error {
	if in.json {
		return in.printJSON(va)
	}
	printText(in.out)
	return nil
}

func (in *invocation) printJSON(va any) error {
	in.printed = true
	en := json.NewEncoder(in.out)
	en.SetIndent("", "  ")
	return en.Encode(va)
}
