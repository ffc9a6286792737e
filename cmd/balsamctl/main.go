// Command balsamctl is the operators' command: it checks, compares and applies
// a folder of configuration files, and shows and steers a running tier.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
