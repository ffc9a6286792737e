package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"balsamwinch.example/fanout"
	"balsamwinch.example/load"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

const defaultDeadline = time.Second

// askOnce is the subcommand once.
func askOnce(ctx context.Context, args []string, out, errOut io.Writer) error {
	fl := flag.NewFlagSet("once", flag.ContinueOnError)
	asJSON := fl.Bool("json", false, "print the answer as JSON")
	callers := fl.String("callers", "", "callers' `addresses` of instances, separated by commas")
	query := fl.String("query", "{}", "the query, any `JSON`")
	key := fl.String("key", "", "`key` that makes the query not repeatable")
	deadline := fl.Duration("deadline", defaultDeadline, "how long the answer may take")
	if err := parse(fl, args, errOut, 1, "once -callers A,B [FLAGS] SERVICE"); err != nil {
		return err
	}
	switch {
	case *callers == "":
		return &usageError{"once needs -callers"}
	case !json.Valid([]byte(*query)):
		return &usageError{"-query is not JSON"}
	}
	cl := load.NewClient(timer.New(), splitAddresses(*callers))
	defer cl.Close()
	oc := cl.Do(ctx, load.Call{
		Service:   fl.Arg(0),
		RequestID: "once-" + rand.Text(),
		Key:       *key,
		Deadline:  *deadline,
		Query:     json.RawMessage(*query),
	})
	return printAnswer(out, oc.Word, *asJSON)
}

func printAnswer(out io.Writer, at load.Attempt, asJSON bool) error {
	if at.Err != nil {
		return at.Err
	}
	an := at.Answer
	if asJSON {
		if err := printJSON(out, an); err != nil {
			return err
		}
	} else {
		printAnswerText(out, an)
	}
	if an.Code != result.Complete {
		return &verdictError{exitBroken, fmt.Sprintf("the answer is %s (%d)", an.Code, int(an.Code))}
	}
	return nil
}

// printAnswerText prints an answer as text.
func printAnswerText(out io.Writer, an fanout.Answer) {
	fmt.Fprintf(out, "%s (%d) from %s, snapshot %s, configuration %d\n", an.Code, int(an.Code), an.Instance, an.Snapshot, an.Revision)
	if an.Detail != "" {
		fmt.Fprintln(out, an.Detail)
	}
	fmt.Fprintf(out, "%d shards covered, %d missing, %d leaf requests, %d hedges, %d retries, %s\n",
		len(an.Covered), len(an.Missing), an.Cost.LeafRequests, an.Cost.Hedges, an.Cost.Retries,
		time.Duration(an.Cost.Micros)*time.Microsecond)
	for _, mi := range an.Missing {
		fmt.Fprintf(out, "missing %s: %s\n", mi.Shard, mi.Reason)
	}
	for _, sr := range an.Rows {
		for _, ro := range sr.Rows {
			fmt.Fprintf(out, "%s %s %s\n", sr.Shard, sr.Server, ro)
		}
	}
	if an.RetryAfterMillis > 0 {
		fmt.Fprintf(out, "retry after %d ms\n", an.RetryAfterMillis)
	}
}
