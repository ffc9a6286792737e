package main

import (
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
)

func help(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		printOverview(out)
		return exitOK
	}
	cm, ok := lookup(args[0])
	if !ok {
		fmt.Fprintf(errOut, "balsamctl: no command %q; see balsamctl help\n", args[0])
		return exitUsage
	}
	cm.print(out, cm.flagSet(&options{}, out))
	return exitOK
}

func printOverview(wr io.Writer) {
	fmt.Fprint(wr, "Balsamctl is the operators' command of balsamwinch.\n\nUsage: balsamctl COMMAND [FLAGS] [ARGUMENTS]\n\n")
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	for _, cm := range commands() {
		fmt.Fprintf(tw, "  %s\t%s\n", cm.name, cm.summary)
	}
	tw.Flush()
	fmt.Fprint(wr, "\nbalsamctl help COMMAND shows details and an example.\n\n", exitCodes)
}

func (cm command) print(wr io.Writer, fl *flag.FlagSet) {
	fmt.Fprintf(wr, "Usage: balsamctl %s [FLAGS] %s\n\n%s\n%s\nExample:\n  %s\n\nFlags:\n", cm.name, cm.args, cm.summary, cm.help, cm.example)
	fl.SetOutput(wr)
	fl.PrintDefaults()
}
