package main

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"balsamwinch.example/operator"
	"balsamwinch.example/result"
	"balsamwinch.example/settings"
)

var applyCommand = command{
	name:    "apply",
	args:    "DIR",
	minArgs: 1,
	maxArgs: 1,
	summary: "Send the changed files of a folder to a tier.",
	help: `
Only files that differ from what this operator last saw on the tier are sent,
each with the revision it had then, as remembered in DIR/` + seenFile + `. If
another operator changed one of them meanwhile, nothing is changed and that
operator is named; pull, look, and apply again. The file ` + seenFile + ` belongs
to this copy of the folder: don't share it.

A change whose answer was lost is sent again first, under its own change id, and
gets the first answer. -forget gives up on it instead.
`,
	example: "balsamctl apply -instances 10.1.1.11:7003 -author ana -wait configuration",
	remote:  true,
	flags: func(fl *flag.FlagSet, op *options) {
		authorFlag(fl, op)
		fl.StringVar(&op.changeID, "change-id", "", "`id` of the change; random by default")
		fl.BoolVar(&op.wait, "wait", false, "wait until the change is in force on every serving instance")
		fl.BoolVar(&op.forget, "forget", false, "forget a change whose answer was lost")
	},
	do: apply,
}

// applied is the JSON form of one change that apply sent.
type applied struct {
	ChangeID   string
	Code       result.Code
	Name       string // Name is the name of Code.
	Revision   uint64
	Files      []string
	WaitingFor []string `json:",omitempty"`
}

// applier sends changes of one folder.
type applier struct {
	cl   *operator.Client
	dir  string
	wait bool
	seen seen
	done []applied // done are the changes that were made.
}

func apply(ctx context.Context, in *invocation) error {
	files, _, err := loadFolder(in.args[0])
	if err != nil {
		return err
	}
	ap, err := newApplier(in)
	if err != nil {
		return err
	}
	err = ap.run(ctx, in, files)
	if len(ap.done) == 0 && err != nil {
		return err
	}
	return cmp.Or(in.printApplied(ap.done), err)
}

func newApplier(in *invocation) (*applier, error) {
	cl, err := in.client()
	if err != nil {
		return nil, err
	}
	if in.author == "" {
		return nil, &usageError{"no author: give -author or set " + envAuthor}
	}
	se, err := loadSeen(in.args[0])
	if in.forget {
		se = se.withUnanswered(nil)
	}
	return &applier{cl: cl, dir: in.args[0], wait: in.wait, seen: se}, err
}

func (ap *applier) run(ctx context.Context, in *invocation, files []operator.File) error {
	if un := ap.seen.Unanswered; un != nil {
		if err := ap.send(ctx, *un); err != nil {
			return err
		}
	}
	chs := ap.seen.changes(files)
	if len(chs) == 0 {
		return nil
	}
	cr := operator.ChangeRequest{ChangeID: in.changeID, Author: in.author, Files: chs}
	if cr.ChangeID == "" {
		cr.ChangeID = rand.Text()
	}
	return ap.send(ctx, cr)
}

func (in *invocation) printApplied(done []applied) error {
	return in.print(done, func(wr io.Writer) {
		if len(done) == 0 {
			fmt.Fprintln(wr, "nothing to change")
		}
		for _, ap := range done {
			fmt.Fprintf(wr, "%s: revision %d, change %s, files %s\n", ap.Name, ap.Revision, ap.ChangeID, strings.Join(ap.Files, ", "))
		}
	})
}

// send sends a change and records in the folder what became of it.
func (ap *applier) send(ctx context.Context, cr operator.ChangeRequest) error {
	if err := ap.save(ap.seen.withUnanswered(&cr)); err != nil {
		return err
	}
	ask := ap.cl.Change
	if ap.wait {
		ask = ap.cl.ChangeAndWait
	}
	re, err := ask(ctx, cr)
	if err == nil {
		return ap.record(cr, re)
	}
	if re := (*result.Error)(nil); errors.As(err, &re) && re.Code == result.NotRunBadRequest {
		return errors.Join(err, ap.save(ap.seen.withUnanswered(nil)))
	}
	return fmt.Errorf("change %s: outcome unknown, apply again to ask: %w", cr.ChangeID, err)
}

func (ap *applier) save(se seen) error {
	ap.seen = se
	return se.save(ap.dir)
}

func (ap *applier) record(cr operator.ChangeRequest, re operator.ChangeReply) error {
	if re.Code != result.Accepted && re.Code != result.Pending {
		return errors.Join(refused(cr, re), ap.save(ap.seen.withUnanswered(nil)))
	}
	if err := ap.save(ap.seen.withChange(cr, re.Revision)); err != nil {
		return err
	}
	do := applied{ChangeID: cr.ChangeID, Code: re.Code, Name: re.Code.String(), Revision: re.Revision, WaitingFor: re.WaitingFor}
	for _, ch := range cr.Files {
		do.Files = append(do.Files, ch.Name)
	}
	ap.done = append(ap.done, do)
	if re.Code == result.Pending {
		return &result.Error{Code: re.Code, Op: "change " + cr.ChangeID, Detail: "waiting for " + strings.Join(re.WaitingFor, ", ") + "; balsamctl members shows the revisions in force"}
	}
	return nil
}

func refused(cr operator.ChangeRequest, re operator.ChangeReply) error {
	er := &result.Error{Code: re.Code, Op: "change " + cr.ChangeID}
	if re.Conflict != nil {
		er.Detail = describe(*re.Conflict) + "; nothing was changed"
	}
	if len(re.Faults) > 0 {
		er.Err = settings.Faults(re.Faults)
	}
	return er
}

func describe(co operator.Conflict) string {
	switch {
	case co.File == "":
		return co.Author + " used this change id for another change"
	case co.Author == "":
		return co.File + " is not on the tier as it was when pulled; pull first"
	default:
		return fmt.Sprintf("%s was changed by %s in change %s at revision %d; pull first", co.File, co.Author, co.ChangeID, co.Revision)
	}
}
