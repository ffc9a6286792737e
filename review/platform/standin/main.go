// Command standin plays the cases below review/: it starts the programs of the deploy file as
// separate processes on loopback addresses, and stands in for the platform, the operator,
// leafs and clients.
//
// Usage: standin CASE FOLDER. It writes FOLDER/record.txt and exits with 1 if the rule of
// the case was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases holds the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(wo *world) (bool, error){
	"leave": playLeave,
	"power": playPower,
	"stop":  playStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rc, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitCannotRun
	}
	defer rc.close()
	wo, err := newWorld(rc, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rc.add("cannot run: %v", err)
		return exitCannotRun
	}
	defer wo.close()
	broken, err := cases[name](wo)
	switch {
	case err != nil:
		rc.add("cannot run: %v", err)
		return exitCannotRun
	case broken:
		rc.add("result: the rule was broken")
		return exitBroken
	}
	rc.add("result: the rule held")
	return exitHeld
}
