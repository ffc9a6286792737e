package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwinch.example/load"
	"balsamwinch.example/timer"
)

// addressFlags holds the addresses of instances that run outside this process.
type addressFlags struct {
	callers, backends, operators string
}

func (af *addressFlags) register(fl *flag.FlagSet) {
	fl.StringVar(&af.callers, "callers", "", "callers' `addresses` of instances outside this process, separated by commas")
	fl.StringVar(&af.backends, "backends", "", "`addresses` at which these instances take announcements")
	fl.StringVar(&af.operators, "operators", "", "operators' `addresses` of these instances")
}

func splitAddresses(addresses string) []string {
	return strings.FieldsFunc(addresses, func(ch rune) bool { return ch == ',' })
}

// runExperiment is the subcommand run.
func runExperiment(ctx context.Context, args []string, out, errOut io.Writer) error {
	fl := flag.NewFlagSet("run", flag.ContinueOnError)
	asJSON := fl.Bool("json", false, "print JSON")
	verbose := fl.Bool("v", false, "print the log of the tier on standard error")
	var af addressFlags
	af.register(fl)
	if err := parse(fl, args, errOut, 1, "run [FLAGS] FILE"); err != nil {
		return err
	}
	ex, err := load.ReadExperiment(fl.Arg(0))
	if err != nil {
		return err
	}
	re, err := runExperimentOn(ctx, ex, af, logger(errOut, *verbose))
	if err != nil {
		return err
	}
	if err := printReport(out, re, *asJSON); err != nil {
		return err
	}
	return verdict(re)
}

// runExperimentOn runs the experiment on the instances of the flags, or on instances in this
// process if no address is given.
func runExperimentOn(ctx context.Context, ex load.Experiment, af addressFlags, lg *zap.Logger) (re load.Report, err error) {
	ts := timer.New()
	in, err := instances(ctx, ex, af, ts, lg)
	if err != nil {
		return re, err
	}
	ti, err := load.NewLocalTier(ex, in, ts, lg)
	if err != nil {
		_ = in.Close()
		return re, err
	}
	defer func() {
		if ce := ti.Close(); err == nil {
			err = ce
		}
	}()
	return load.NewRunner(ex, ti, ts, lg.Named("load")).Run(ctx)
}

func instances(ctx context.Context, ex load.Experiment, af addressFlags, ts *timer.Service, lg *zap.Logger) (load.Instances, error) {
	if af == (addressFlags{}) {
		return startInstances(ctx, ex, ts, lg)
	}
	ei := load.ExternalInstances{Callers: splitAddresses(af.callers), Backends: splitAddresses(af.backends), Operators: splitAddresses(af.operators)}
	if len(ei.Callers) == 0 || len(ei.Backends) == 0 || len(ei.Operators) == 0 {
		return nil, &usageError{"instances outside this process need -callers, -backends and -operators"}
	}
	return ei, nil
}

// logger returns a logger that writes JSON lines, from level error on, or from info if verbose.
func logger(wr io.Writer, verbose bool) *zap.Logger {
	level := zap.ErrorLevel
	if verbose {
		level = zap.InfoLevel
	}
	en := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(en, zapcore.Lock(zapcore.AddSync(wr)), level))
}

// tableWriter is a report that can be printed as a table.
type tableWriter interface{ WriteTable(out io.Writer) error }

func printReport(out io.Writer, re tableWriter, asJSON bool) error {
	if asJSON {
		return printJSON(out, re)
	}
	return re.WriteTable(out)
}

func printJSON(out io.Writer, va any) error {
	en := json.NewEncoder(out)
	en.SetIndent("", "  ")
	return en.Encode(va)
}

func verdict(re load.Report) error {
	switch {
	case !re.Promises.Kept():
		return &verdictError{exitBroken, "a promise was broken, see above"}
	case re.Dropped > 0 || len(re.Skipped) > 0:
		return &verdictError{exitInvalid, "the load or the faults differed from the file, see above"}
	default:
		return nil
	}
}

// writeFiles is the subcommand files.
func writeFiles(_ context.Context, args []string, _, errOut io.Writer) error {
	fl := flag.NewFlagSet("files", flag.ContinueOnError)
	folder := fl.String("out", "", "`folder` to write to; it must exist")
	if err := parse(fl, args, errOut, 1, "files -out FOLDER FILE"); err != nil {
		return err
	}
	if *folder == "" {
		return &usageError{"files needs -out"}
	}
	ex, err := load.ReadExperiment(fl.Arg(0))
	if err != nil {
		return err
	}
	files, err := ex.Files()
	if err != nil {
		return err
	}
	for _, fi := range files {
		if err := os.WriteFile(filepath.Join(*folder, fi.Name), fi.Content, 0o644); err != nil {
			return err
		}
	}
	return nil
}
