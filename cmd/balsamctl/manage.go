package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"balsamwinch.example/operator"
)

var explainCommand = command{
	name:    "explain",
	args:    explainArgs,
	maxArgs: 1,
	summary: "Explain the state of an object or the outcome of a request.",
	help: `
SUBJECT is the name of a backend server, an instance or a service, a change id,
or the word leader. The answer comes from a running instance.

With -request, it reads the logs of instances instead: single files or all files of
a folder, also with a time in seconds and the instance's name before each line. It
shows the lines of the request, the view that each instance that logged one had at
that moment, and the last lines about the backend servers in them.
`,
	example: "balsamctl explain -instances 10.1.1.11:7003 archivo-07\n  balsamctl explain -request 6263dad916613ad5 -logs logs",
	remote:  true,
	flags: func(fl *flag.FlagSet, op *options) {
		fl.StringVar(&op.request, "request", "", "`id` of a request")
		fl.Func("logs", "`file` or folder of logs; may be given several times", func(path string) error {
			op.logs = append(op.logs, path)
			return nil
		})
	},
	do: explain,
}

var drainCommand = command{
	name:    "drain",
	args:    "ADDRESS",
	minArgs: 1,
	maxArgs: 1,
	summary: "Stop one instance gracefully.",
	help: `
ADDRESS is the operators' address of the instance. It leaves the address list at
once, serves callers until their lists have expired, finishes its requests and
exits.
`,
	example: "balsamctl drain -name entry-2 10.1.1.12:7003",
	remote:  true,
	flags: func(fl *flag.FlagSet, op *options) {
		fl.StringVar(&op.name, "name", "", "`name` that the instance must have")
	},
	do: drain,
}

const explainArgs = "SUBJECT | -request ID -logs PATH"

const votersArgs = "add NAME ADDRESS | remove NAME | replace OLD NAME ADDRESS"

var votersCommand = command{
	name:    "voters",
	args:    votersArgs,
	minArgs: 2,
	maxArgs: 4,
	summary: "Change the set of voters.",
	help: `
ADDRESS is the peer address of the instance NAME. A new voter gets a vote only once
it has caught up; until then it is a learner.
`,
	example: "balsamctl voters -instances 10.1.1.11:7003 replace entry-2 entry-7 10.1.2.17:7004",
	remote:  true,
	flags:   authorFlag,
	do:      voters,
}

func explain(ctx context.Context, in *invocation) error {
	switch {
	case (len(in.args) == 1) == (in.request != "") || (in.request != "") != (len(in.logs) > 0):
		return &usageError{fmt.Sprintf("want the arguments %q", explainArgs)}
	case in.request != "":
		return explainRequest(in)
	}
	cl, err := in.client()
	if err != nil {
		return err
	}
	ex, err := cl.Explain(ctx, in.args[0])
	if err != nil {
		return err
	}
	return in.print(ex, func(wr io.Writer) {
		for _, li := range ex.Lines {
			fmt.Fprintln(wr, li)
		}
	})
}

func drain(ctx context.Context, in *invocation) error {
	cl := operator.NewClient(in.args[:1])
	dr, err := cl.Drain(ctx, operator.DrainRequest{Instance: in.name})
	if err != nil {
		return err
	}
	return in.print(dr, func(wr io.Writer) {
		within := time.Duration(dr.StopsWithinMillis) * time.Millisecond
		fmt.Fprintf(wr, "%s is draining and stops within %s\n", dr.Instance, within)
	})
}

func voters(ctx context.Context, in *invocation) error {
	vr, err := votersRequest(in.args)
	if err != nil {
		return err
	}
	vr.Author = in.author
	cl, err := in.client()
	if err != nil {
		return err
	}
	re, err := cl.ChangeVoters(ctx, vr)
	if err != nil {
		return err
	}
	return in.print(re, func(wr io.Writer) {
		if re.Detail != "" {
			fmt.Fprintln(wr, re.Detail)
		}
		printVoters(wr, re.Voters)
	})
}

func votersRequest(args []string) (operator.VotersRequest, error) {
	switch {
	case args[0] == "add" && len(args) == 3:
		return operator.VotersRequest{Action: operator.AddVoter, Name: args[1], Address: args[2]}, nil
	case args[0] == "remove" && len(args) == 2:
		return operator.VotersRequest{Action: operator.RemoveVoter, Name: args[1]}, nil
	case args[0] == "replace" && len(args) == 4:
		return operator.VotersRequest{Action: operator.ReplaceVoter, Replaces: args[1], Name: args[2], Address: args[3]}, nil
	default:
		return operator.VotersRequest{}, &usageError{fmt.Sprintf("want the arguments %q, got %q", votersArgs, args)}
	}
}
