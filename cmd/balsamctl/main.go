// Command balsamctl is the operators' command-line tool. It checks, compares and applies a
// folder of configuration files, and shows and manages a running tier.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
