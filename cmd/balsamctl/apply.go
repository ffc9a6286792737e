package main

import (
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

// applied is the JSON form of what apply did.
type applied struct {
	ChangeID string `json:",omitempty"` // ChangeID is empty if nothing was to change.
	Code     result.Code
	Name     string // Name is the name of Code.
	Revision uint64
	Files    []string
}

func apply(ctx context.Context, in *invocation) error {
	dir := in.args[0]
	files, _, err := loadFolder(dir)
	if err != nil {
		return err
	}
	se, err := loadSeen(dir)
	if err != nil {
		return err
	}
	cl, err := in.client()
	if err != nil {
		return err
	}
	if in.author == "" {
		return &usageError{"no author: give -author or set " + envAuthor}
	}
	if in.forget {
		se = se.withUnanswered(nil)
	}
	if se.Unanswered != nil {
		if se, err = send(ctx, in, cl, dir, se, *se.Unanswered); err != nil {
			return err
		}
	}
	chs := se.changes(files)
	if len(chs) == 0 {
		return in.print(applied{Code: result.Accepted, Name: result.Accepted.String()}, func(wr io.Writer) {
			fmt.Fprintln(wr, "nothing to change")
		})
	}
	cr := operator.ChangeRequest{ChangeID: in.changeID, Author: in.author, Files: chs}
	if cr.ChangeID == "" {
		cr.ChangeID = rand.Text()
	}
	_, err = send(ctx, in, cl, dir, se, cr)
	return err
}

// send sends a change and records in the folder what became of it.
func send(ctx context.Context, in *invocation, cl *operator.Client, dir string, se seen, cr operator.ChangeRequest) (seen, error) {
	if err := se.withUnanswered(&cr).save(dir); err != nil {
		return se, err
	}
	ask := cl.Change
	if in.wait {
		ask = cl.ChangeInForce
	}
	re, err := ask(ctx, cr)
	if err != nil {
		if re := (*result.Error)(nil); errors.As(err, &re) && re.Code == result.NotRunBadRequest {
			return se, errors.Join(err, se.withUnanswered(nil).save(dir))
		}
		return se, fmt.Errorf("change %s: outcome unknown, apply again to ask: %w", cr.ChangeID, err)
	}
	return record(in, dir, se, cr, re)
}

func record(in *invocation, dir string, se seen, cr operator.ChangeRequest, re operator.ChangeReply) (seen, error) {
	made := re.Code == result.Accepted || re.Code == result.Pending
	if made {
		se = se.withChange(cr, re.Revision)
	}
	if err := se.withUnanswered(nil).save(dir); err != nil {
		return se, err
	}
	if !made {
		return se, refused(cr, re)
	}
	ap := applied{ChangeID: cr.ChangeID, Code: re.Code, Name: re.Code.String(), Revision: re.Revision}
	for _, ch := range cr.Files {
		ap.Files = append(ap.Files, ch.Name)
	}
	err := in.print(ap, func(wr io.Writer) {
		fmt.Fprintf(wr, "%s: revision %d, change %s, files %s\n", ap.Name, ap.Revision, ap.ChangeID, strings.Join(ap.Files, ", "))
	})
	if err == nil && re.Code == result.Pending {
		err = &result.Error{Code: re.Code, Op: "change " + cr.ChangeID, Detail: "waiting for " + strings.Join(re.WaitingFor, ", ")}
	}
	return se, err
}

func refused(cr operator.ChangeRequest, re operator.ChangeReply) error {
	er := &result.Error{Code: re.Code, Op: "change " + cr.ChangeID}
	if co := re.Conflict; co != nil && co.File == "" {
		er.Detail = fmt.Sprintf("%s used this change id for another change; nothing was changed", co.Author)
	} else if co != nil {
		er.Detail = fmt.Sprintf("%s was changed by %s in change %s at revision %d; nothing was changed; pull first", co.File, co.Author, co.ChangeID, co.Revision)
	}
	if len(re.Faults) > 0 {
		er.Err = settings.Faults(re.Faults)
	}
	return er
}
