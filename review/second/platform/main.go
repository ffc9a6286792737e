// Command second runs the cases of the second independent review. It starts the instances of
// a small deployment as separate processes, and plays the leafs, the operator and the clients
// itself, as the users' pages describe them.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is returned by a case that saw the rule broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(*world) error{
	"other-writer":   otherWriter,
	"stray-draining": strayDraining,
	"first-start":    firstStart,
}

func main() {
	name := flag.String("case", "", "the case to run")
	program := flag.String("program", "target/balsamwinch", "the program of the instances")
	template := flag.String("template", "deploy/settings.yaml", "the template of the settings")
	out := flag.String("record", "record.txt", "the file for the record")
	flag.Parse()
	os.Exit(run(*name, *program, *template, *out))
}

func run(name, program, template, out string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "second-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	wo := &world{
		rec: rec, dir: dir, program: program, template: template,
		trouble: os.Getenv("TROUBLE") != "0",
	}
	wo.rec.note("case %s, trouble %v", name, wo.trouble)
	defer wo.stop()
	err = wo.prepare()
	if err == nil {
		err = play(wo)
	}
	wo.keepLogs(filepath.Join(filepath.Dir(out), "logs"))
	switch {
	case err == nil:
		wo.rec.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		wo.rec.note("result: %v", err)
		return exitBroken
	default:
		wo.rec.note("result: the case could not run: %v", err)
		return exitNotRun
	}
}
