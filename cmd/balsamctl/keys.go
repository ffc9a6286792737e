package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"

	"balsamwinch.example/keys"
)

var keysCommand = command{
	name:    "keys",
	args:    "DIR NAME=IP[,IP]...",
	minArgs: 2,
	maxArgs: -1,
	summary: "Create keys with which instances authenticate each other.",
	help: `
It writes a certificate and a key for each instance to DIR, signed by the
certificate authority in DIR, which is created if it doesn't exist. Existing files
are never overwritten. These keys are for evaluation only: whoever holds the
authority's key can join the tier.
`,
	example: "balsamctl keys keys entry-1=10.1.1.11 entry-2=10.1.1.12",
	do:      makeKeys,
}

// keyFiles is the JSON form of the files written for one instance.
type keyFiles struct {
	Name        string
	Authority   string
	Certificate string
	Key         string
}

func makeKeys(_ context.Context, in *invocation) error {
	var ss []keys.Subject
	for _, ar := range in.args[1:] {
		su, err := parseSubject(ar)
		if err != nil {
			return err
		}
		ss = append(ss, su)
	}
	dir := in.args[0]
	if err := keys.Write(dir, ss...); err != nil {
		return err
	}
	var kfs []keyFiles
	for _, su := range ss {
		kfs = append(kfs, keyFiles{
			Name:        su.Name,
			Authority:   filepath.Join(dir, keys.AuthorityFile),
			Certificate: filepath.Join(dir, keys.CertificateFile(su.Name)),
			Key:         filepath.Join(dir, keys.KeyFile(su.Name)),
		})
	}
	return in.print(kfs, func(wr io.Writer) {
		for _, kf := range kfs {
			fmt.Fprintf(wr, "%s: %s, %s\n", kf.Name, kf.Certificate, kf.Key)
		}
		fmt.Fprintf(wr, "authority: %s\n", kfs[0].Authority)
	})
}

func parseSubject(ar string) (keys.Subject, error) {
	na, li, ok := strings.Cut(ar, "=")
	if !ok {
		return keys.Subject{}, &usageError{fmt.Sprintf("want NAME=IP, got %q", ar)}
	}
	su := keys.Subject{Name: na}
	for _, te := range strings.Split(li, ",") {
		ip := net.ParseIP(te)
		if ip == nil {
			return keys.Subject{}, &usageError{fmt.Sprintf("want an IP address for %s, got %q", na, te)}
		}
		su.IPs = append(su.IPs, ip)
	}
	return su, nil
}
