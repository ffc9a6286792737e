// Command balsamleaf runs emulated backend servers for experiments and tests.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"balsamwinch.example/leaf"
	"balsamwinch.example/result"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

const usage = `balsamleaf: emulated backend servers

Usage:
  balsamleaf -settings FILE [-settings FILE ...] [flags]

Each settings file defines one backend server. Once a server listens, a line of JSON
with its addresses is printed; logs go to standard error. On SIGTERM each server
announces that it drains, finishes its requests, announces that it has left and
exits.

Flags:
`

const example = `
Example:
  balsamleaf -settings leaf.yaml -announce 127.0.0.1:7102

  leaf.yaml:
    Server: quote-desk-a1
    Service: quote-desk
    DataCentre: miraflores
    Address: 127.0.0.1:0
    ControlAddress: 127.0.0.1:0
    Announce: ["127.0.0.1:7102"]
    Shards: [a]
    Slots: 5
    ConnectionLimit: 40
    AcceptDelay: 6ms
    Latency: {Median: 8ms, Sigma: 0.4}

  curl -d '{"SlowShare": 0.01, "SlowFactor": 10}' http://CONTROLADDRESS/faults
  curl http://CONTROLADDRESS/counts

Exit codes:
  0  stopped as requested
  1  failed, for example because an address is in use
  2  invalid command line
  3  faults in a settings file
`

// started is the JSON line that is printed for each backend server.
type started struct {
	Server         string
	Address        string
	ControlAddress string
}

// options holds the values of the flags.
type options struct {
	files    []string
	announce []string
	level    string
	check    bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	op, err := parse(args, errOut)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(errOut, "balsamleaf:", err)
		return exitUsage
	}
	cfs, err := load(op)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitSettings
	}
	if op.check {
		files := "files"
		if len(cfs) == 1 {
			files = "file"
		}
		fmt.Fprintf(out, "%d settings %s without faults\n", len(cfs), files)
		return exitOK
	}
	lg, err := newLogger(op.level, errOut)
	if err != nil {
		fmt.Fprintln(errOut, "balsamleaf:", err)
		return exitUsage
	}
	if err := serve(ctx, cfs, out, lg); err != nil {
		lg.Error("leaf.failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

func parse(args []string, errOut io.Writer) (options, error) {
	var op options
	fl := flag.NewFlagSet("balsamleaf", flag.ContinueOnError)
	fl.SetOutput(errOut)
	fl.Usage = func() {
		fmt.Fprint(errOut, usage)
		fl.PrintDefaults()
		fmt.Fprint(errOut, example)
	}
	fl.Func("settings", "settings `FILE` of one backend server; may be given more than once", func(fi string) error {
		op.files = append(op.files, fi)
		return nil
	})
	fl.Func("announce", "`ADDRESSES` of instances to announce to, separated by commas, instead of those in the files", func(ads string) error {
		op.announce = strings.Split(ads, ",")
		for _, ad := range op.announce {
			if _, err := netip.ParseAddrPort(ad); err != nil {
				return fmt.Errorf("want IP addresses and ports: %w", err)
			}
		}
		return nil
	})
	fl.StringVar(&op.level, "log", "info", "log `LEVEL`: debug, info, warn or error")
	fl.BoolVar(&op.check, "check", false, "check the settings files and exit")
	if err := fl.Parse(args); err != nil {
		return op, err
	}
	if fl.NArg() > 0 {
		return op, fmt.Errorf("want only flags, got %q", fl.Arg(0))
	}
	if len(op.files) == 0 {
		return op, errors.New("want -settings FILE, got nothing; -help shows an example")
	}
	return op, nil
}

// load reads all settings files. The error lists the faults of all of them.
func load(op options) ([]leaf.Config, error) {
	var cfs []leaf.Config
	var faults settings.Faults
	for _, fi := range op.files {
		data, err := os.ReadFile(fi)
		if err != nil {
			return nil, &result.Error{Code: result.BadSettings, Op: "load settings", Err: err}
		}
		cf, fs := leaf.ParseConfig(fi, data)
		if len(op.announce) > 0 {
			cf.Announce = op.announce
		}
		cfs = append(cfs, cf)
		faults = append(faults, fs...)
	}
	return cfs, faults.Err()
}

func newLogger(level string, errOut io.Writer) (*zap.Logger, error) {
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	en := zap.NewProductionEncoderConfig()
	en.MessageKey = "event"
	en.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(en), zapcore.Lock(zapcore.AddSync(errOut)), lv)
	return zap.New(core), nil
}

// serve runs the backend servers until the context ends and all of them have left, or until
// one fails.
func serve(ctx context.Context, cfs []leaf.Config, out io.Writer, lg *zap.Logger) error {
	ts := timer.New()
	eg, ctx := errgroup.WithContext(ctx)
	for _, cf := range cfs {
		le, err := leaf.New(cf, ts, lg)
		if err != nil {
			return err
		}
		eg.Go(func() error { return le.Serve(ctx) })
		line := started{Server: cf.Server, Address: le.Address(), ControlAddress: le.ControlAddress()}
		if err := json.NewEncoder(out).Encode(line); err != nil {
			return err
		}
	}
	return eg.Wait()
}
