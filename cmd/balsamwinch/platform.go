package main

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"balsamwinch.example/platform"
	"balsamwinch.example/result"
	"balsamwinch.example/tier"
	"balsamwinch.example/timer"
	"balsamwinch.example/trail"
)

// runPlatform runs one instance of the routed tier on the users' platform, which passes the
// path of the settings file in an environment variable.
func runPlatform(ctx context.Context, args []string, out, errOut io.Writer) error {
	fl := flag.NewFlagSet("platform", flag.ContinueOnError)
	fl.SetOutput(errOut)
	file := fl.String("settings", os.Getenv(platform.SettingsVariable), "settings `file`")
	if err := fl.Parse(args); err != nil {
		return asUsageError(err)
	}
	data, err := os.ReadFile(*file)
	if err != nil {
		return &result.Error{Code: result.BadSettings, Op: "read settings", Detail: *file, Err: err}
	}
	se, err := tier.Parse(*file, data)
	if err != nil {
		return err
	}
	ts := timer.New()
	lg, tw := trail.New(out, trail.Config{Instance: se.Name}, ts)
	defer func() { _ = tw.Close() }() // Lines that the reader doesn't take in time are lost; nothing is left to report that to.
	// The instance must survive the end of the log's reader. By default, a write to a closed
	// pipe at standard output ends the process.
	signal.Ignore(syscall.SIGPIPE)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	changes := make(chan tier.Settings)
	go tier.Watch(ctx, ts, *file, reload, changes, lg)
	return tier.Run(ctx, se, changes, platform.Dialect{}, lg, tw.WriteMetrics)
}
