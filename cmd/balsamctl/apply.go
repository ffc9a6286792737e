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
It sends only the files that differ from the versions this operator last saw on
the tier, each with the revision recorded in DIR/` + stateFile + `. If another
operator has changed one of them in the meantime, nothing is changed and the error
names that operator: pull, compare, and apply again. The file ` + stateFile + `
belongs to this copy of the folder; don't share it.

A change whose answer was lost is sent again first, under its own change id, and
gets the first answer. With -forget it is dropped instead.
`,
	example: "balsamctl apply -instances 10.1.1.11:7003 -author ana -wait configuration",
	remote:  true,
	flags: func(fl *flag.FlagSet, op *options) {
		authorFlag(fl, op)
		fl.StringVar(&op.changeID, "change-id", "", "`id` of the change; random by default")
		fl.BoolVar(&op.wait, "wait", false, "wait until the change is in force on every serving instance")
		fl.BoolVar(&op.forget, "forget", false, "drop a change whose answer was lost")
	},
	do: apply,
}

// appliedChange is the JSON form of one change that apply sent.
type appliedChange struct {
	ChangeID   string
	Code       result.Code
	Name       string // name of Code
	Revision   uint64
	Files      []string
	WaitingFor []string `json:",omitempty"`
}

// applier sends changes of one folder.
type applier struct {
	cl    *operator.Client
	dir   string
	wait  bool
	state localState
	made  []appliedChange // changes that the tier accepted
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
	if len(ap.made) == 0 && err != nil {
		return err
	}
	return cmp.Or(in.printApplied(ap.made), err)
}

func newApplier(in *invocation) (*applier, error) {
	cl, err := in.client()
	if err != nil {
		return nil, err
	}
	if in.author == "" {
		return nil, &usageError{"no author: give -author or set " + envAuthor}
	}
	ls, err := loadState(in.args[0])
	if in.forget {
		ls = ls.withUnanswered(nil)
	}
	return &applier{cl: cl, dir: in.args[0], wait: in.wait, state: ls}, err
}

func (ap *applier) run(ctx context.Context, in *invocation, files []operator.File) error {
	if un := ap.state.Unanswered; un != nil {
		if err := ap.send(ctx, *un); err != nil {
			return err
		}
	}
	chs := ap.state.changes(files)
	if len(chs) == 0 {
		return nil
	}
	cr := operator.ChangeRequest{ChangeID: in.changeID, Author: in.author, Files: chs}
	if cr.ChangeID == "" {
		cr.ChangeID = rand.Text()
	}
	return ap.send(ctx, cr)
}

func (in *invocation) printApplied(acs []appliedChange) error {
	return in.print(acs, func(wr io.Writer) {
		if len(acs) == 0 {
			fmt.Fprintln(wr, "nothing to change")
		}
		for _, ac := range acs {
			fmt.Fprintf(wr, "%s: revision %d, change %s, files %s\n", ac.Name, ac.Revision, ac.ChangeID, strings.Join(ac.Files, ", "))
		}
	})
}

// send sends a change and records its outcome in the folder's state file.
func (ap *applier) send(ctx context.Context, cr operator.ChangeRequest) error {
	if err := ap.save(ap.state.withUnanswered(&cr)); err != nil {
		return err
	}
	change := ap.cl.Change
	if ap.wait {
		change = ap.cl.ChangeAndWait
	}
	re, err := change(ctx, cr)
	if err == nil {
		return ap.record(cr, re)
	}
	if re := (*result.Error)(nil); errors.As(err, &re) && re.Code == result.NotRunBadRequest {
		return errors.Join(err, ap.save(ap.state.withUnanswered(nil)))
	}
	return fmt.Errorf("change %s: outcome unknown, run apply again to resolve it: %w", cr.ChangeID, err)
}

func (ap *applier) save(ls localState) error {
	ap.state = ls
	return ls.save(ap.dir)
}

func (ap *applier) record(cr operator.ChangeRequest, re operator.ChangeReply) error {
	if re.Code != result.Accepted && re.Code != result.Pending {
		return errors.Join(refusedError(cr, re), ap.save(ap.state.withUnanswered(nil)))
	}
	if err := ap.save(ap.state.withChange(cr, re.Revision)); err != nil {
		return err
	}
	ac := appliedChange{ChangeID: cr.ChangeID, Code: re.Code, Name: re.Code.String(), Revision: re.Revision, WaitingFor: re.WaitingFor}
	for _, ch := range cr.Files {
		ac.Files = append(ac.Files, ch.Name)
	}
	ap.made = append(ap.made, ac)
	if re.Code == result.Pending {
		return &result.Error{Code: re.Code, Op: "change " + cr.ChangeID, Detail: "waiting for " + strings.Join(re.WaitingFor, ", ") + "; balsamctl members shows the revisions in force"}
	}
	return nil
}

func refusedError(cr operator.ChangeRequest, re operator.ChangeReply) error {
	er := &result.Error{Code: re.Code, Op: "change " + cr.ChangeID}
	if re.Conflict != nil {
		er.Detail = describeConflict(*re.Conflict) + "; nothing was changed"
	}
	if len(re.Faults) > 0 {
		er.Err = settings.Faults(re.Faults)
	}
	return er
}

func describeConflict(co operator.Conflict) string {
	switch {
	case co.File == "":
		return co.Author + " used this change id for another change"
	case co.Author == "":
		return co.File + " is no longer on the tier in the version that was pulled; pull first"
	default:
		return fmt.Sprintf("%s was changed by %s in change %s at revision %d; pull first", co.File, co.Author, co.ChangeID, co.Revision)
	}
}
