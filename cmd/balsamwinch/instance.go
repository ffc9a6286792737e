package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwinch.example/instance"
	"balsamwinch.example/keys"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
)

// started is the JSON line that an instance prints on standard output once it listens.
type started struct {
	Instance string
	Caller   string `json:",omitempty"`
	Backend  string `json:",omitempty"`
	Operator string `json:",omitempty"`
	Peer     string
}

// loadSettings parses the command line of a subcommand that takes a settings
// file, and reads the file.
func loadSettings(name string, args []string, errOut io.Writer) (settings.Instance, error) {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	path := fs.String("settings", "", "the instance's settings `FILE` (YAML)")
	if err := fs.Parse(args); err != nil {
		return settings.Instance{}, asUsageError(err)
	}
	if *path == "" || fs.NArg() > 0 {
		return settings.Instance{}, &usageError{detail: "want -settings FILE and nothing else"}
	}
	return settings.LoadInstance(*path)
}

func asUsageError(err error) error {
	if err == flag.ErrHelp {
		return err
	}
	return &usageError{detail: err.Error()}
}

func runInstance(ctx context.Context, args []string, out, errOut io.Writer) error {
	cf, err := loadSettings("run", args, errOut)
	if err != nil {
		return err
	}
	tl, err := keys.Load(cf.Keys.Authority, cf.Keys.Certificate, cf.Keys.Key)
	if err != nil {
		return err
	}
	lg := newLogger(errOut, cf.Log.Level)
	in, err := instance.New(cf, tl, timer.New(), lg)
	if err != nil {
		return err
	}
	printStarted(out, cf.Name, in)
	return in.Serve(ctx)
}

func printStarted(out io.Writer, name string, in *instance.Instance) {
	_ = json.NewEncoder(out).Encode(started{
		Instance: name,
		Caller:   in.Address("Caller"),
		Backend:  in.Address("Backend"),
		Operator: in.Address("Operator"),
		Peer:     in.Address("Peer"),
	})
}

func checkSettings(args []string, out, errOut io.Writer) error {
	cf, err := loadSettings("check", args, errOut)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: settings are valid; roles %v in data centre %s\n", cf.Name, cf.Roles, cf.DataCentre)
	return nil
}

// newLogger returns a logger that writes JSON lines. An unknown level means info.
func newLogger(out io.Writer, level string) *zap.Logger {
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		lv = zapcore.InfoLevel
	}
	ec := zap.NewProductionEncoderConfig()
	ec.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	ec.TimeKey = "Time"
	ec.LevelKey = "Level"
	ec.MessageKey = "Event"
	ec.StacktraceKey = "Stack"
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(ec), zapcore.Lock(zapcore.AddSync(out)), lv))
}
