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

// shortHash is how many digits of a hash are shown to a person.
const shortHash = 12

var auditCommand = command{
	name:    "audit",
	summary: "Print the audit trail and verify its chain of hashes.",
	help: `
Each accepted or refused change is shown with who, when, change id and, for each
file, the hashes before and after. A chain that was altered ends with exit code 6.
`,
	example: "balsamctl audit -instances 10.1.1.11:7003 -from 100 -content",
	remote:  true,
	flags: func(fl *flag.FlagSet, op *options) {
		fl.Uint64Var(&op.from, "from", 0, "`number` of the first entry")
		fl.BoolVar(&op.content, "content", false, "print the files before and after")
	},
	do: audit,
}

// audited is the JSON form of the audit trail.
type audited struct {
	Entries []operator.AuditEntry
	Sound   bool // Sound says that the chain of hashes holds.
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
	broken := control.Verify(chain(re.Entries))
	rp := audited{Entries: re.Entries, Sound: broken == nil}
	err = in.print(rp, func(wr io.Writer) {
		for _, en := range re.Entries {
			printEntry(wr, en, in.content)
		}
		if rp.Sound {
			fmt.Fprintf(wr, "%d entries, chain verified, last hash %s\n", len(re.Entries), lastHash(re.Entries))
		}
	})
	return cmp.Or(broken, err)
}

// lastHash is what an operator notes or compares with other control instances:
// a chain that was cut off at its end, or made anew, is sound in itself.
func lastHash(entries []operator.AuditEntry) string {
	if len(entries) == 0 {
		return "-"
	}
	return entries[len(entries)-1].Hash
}

// chain turns the entries into those that package control verifies.
func chain(entries []operator.AuditEntry) []control.AuditEntry {
	var ch []control.AuditEntry
	for _, en := range entries {
		ce := control.AuditEntry{
			Number: en.Number, When: en.When, Author: en.Author, ChangeID: en.ChangeID,
			Code: en.Code, Revision: en.Revision, Detail: en.Detail, Previous: en.Previous, Hash: en.Hash,
		}
		for _, af := range en.Files {
			ce.Files = append(ce.Files, control.AuditFile(af))
		}
		ch = append(ch, ce)
	}
	return ch
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
		fmt.Fprintf(wr, "  %s: %s -> %s\n", af.Name, short(af.BeforeHash), short(af.AfterHash))
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

func short(ha string) string {
	if len(ha) > shortHash {
		return ha[:shortHash]
	}
	return orDash(ha)
}
