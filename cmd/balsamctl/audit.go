package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"balsamwinch.example/control"
	"balsamwinch.example/operator"
)

// shortHashLength is how many digits of a hash the text output shows.
const shortHashLength = 12

var auditCommand = command{
	name:    "audit",
	summary: "Print the audit trail and verify its chain of hashes.",
	help: `
Each accepted or refused change is shown with its author, time, change id and, for
each file, the hashes before and after. If the chain was altered, the exit code is 6.
`,
	example: "balsamctl audit -instances 10.1.1.11:7003 -from 100 -content",
	remote:  true,
	flags: func(fl *flag.FlagSet, op *options) {
		fl.Uint64Var(&op.from, "from", 0, "`number` of the first entry")
		fl.BoolVar(&op.content, "content", false, "print the files before and after")
	},
	do: audit,
}

// auditReport is the JSON form of the audit trail.
type auditReport struct {
	Entries []operator.AuditEntry
	Sound   bool // whether the hash chain is intact
}

func audit(ctx context.Context, in *invocation) error {
	cl, err := in.client()
	if err != nil {
		return err
	}
	re, err := cl.Audit(ctx, in.from)
	if err != nil {
		return err
	}
	verifyErr := control.Verify(controlEntries(re.Entries))
	rp := auditReport{Entries: re.Entries, Sound: verifyErr == nil}
	err = in.print(rp, func(wr io.Writer) {
		for _, en := range re.Entries {
			printEntry(wr, en, in.content)
		}
		if rp.Sound {
			fmt.Fprintf(wr, "%d entries, chain verified, last hash %s\n", len(re.Entries), lastHash(re.Entries))
		}
	})
	return cmp.Or(verifyErr, err)
}

// lastHash returns the hash of the last entry. Operators note it or compare it with other
// control instances, because a chain that was truncated or rebuilt is consistent in itself.
func lastHash(entries []operator.AuditEntry) string {
	if len(entries) == 0 {
		return "-"
	}
	return entries[len(entries)-1].Hash
}

// controlEntries converts the entries to those that package control verifies.
func controlEntries(entries []operator.AuditEntry) []control.AuditEntry {
	var ces []control.AuditEntry
	for _, en := range entries {
		ce := control.AuditEntry{
			Number: en.Number, When: en.When, Author: en.Author, ChangeID: en.ChangeID,
			Code: en.Code, Revision: en.Revision, Detail: en.Detail, Previous: en.Previous, Hash: en.Hash,
		}
		for _, af := range en.Files {
			ce.Files = append(ce.Files, control.AuditFile(af))
		}
		ces = append(ces, ce)
	}
	return ces
}

func printEntry(wr io.Writer, en operator.AuditEntry, content bool) {
	fmt.Fprintf(wr, "%d %s %s %s by %s", en.Number, en.When.UTC().Format(time.RFC3339), en.Code, en.ChangeID, en.Author)
	if en.Revision > 0 {
		fmt.Fprintf(wr, ", revision %d", en.Revision)
	}
	if en.Detail != "" {
		fmt.Fprintf(wr, ": %s", en.Detail)
	}
	fmt.Fprintln(wr)
	for _, af := range en.Files {
		fmt.Fprintf(wr, "  %s: %s -> %s\n", af.Name, shortenHash(af.BeforeHash), shortenHash(af.AfterHash))
		if content {
			printContent(wr, "before", af.Before)
			printContent(wr, "after", af.After)
		}
	}
}

func printContent(wr io.Writer, what string, data []byte) {
	if data != nil {
		fmt.Fprintf(wr, "  --- %s\n%s", what, data)
	}
}

func shortenHash(ha string) string {
	if len(ha) > shortHashLength {
		return ha[:shortHashLength]
	}
	return orDash(ha)
}
