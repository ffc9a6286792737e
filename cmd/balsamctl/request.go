package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"balsamwinch.example/result"
	"balsamwinch.example/trail"
)

// explainRequest prints what the logs say about one request.
func explainRequest(in *invocation) error {
	sos, err := logSources(in.logs)
	if err != nil {
		return err
	}
	rr, err := trail.Explain(in.request, sos)
	if err != nil {
		return err
	}
	if len(rr.Lines) == 0 {
		return noLinesError(rr, len(sos))
	}
	return in.print(rr, func(wr io.Writer) { printReport(wr, rr) })
}

// logSources returns the given log files and all files of the given folders.
func logSources(paths []string) ([]trail.Source, error) {
	var sos []trail.Source
	for _, pa := range paths {
		err := filepath.WalkDir(pa, func(file string, en fs.DirEntry, err error) error {
			if err != nil || en.IsDir() {
				return err
			}
			sos = append(sos, trail.Source{Name: filepath.Base(file), Open: func() (io.ReadCloser, error) { return os.Open(file) }})
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return sos, nil
}

// noLinesError explains why the logs may have no line about a request.
func noLinesError(rr trail.RequestReport, files int) error {
	te := fmt.Sprintf("no line of request %s in %d files: either it was answered completely, in time and by the backend servers asked first, "+
		"or it reached no instance of these logs", rr.RequestID, files)
	if len(rr.LeftOut) > 0 {
		te += ", or its line is among those left out: " + formatLeftOut(rr)
	}
	return errors.New(te)
}

func formatLeftOut(rr trail.RequestReport) string {
	var te []string
	for _, ev := range slices.Sorted(maps.Keys(rr.LeftOut)) {
		te = append(te, fmt.Sprintf("%d of %s", rr.LeftOut[ev], ev))
	}
	return strings.Join(te, ", ")
}

func printReport(wr io.Writer, rr trail.RequestReport) {
	fmt.Fprintf(wr, "request %s\n", rr.RequestID)
	ends := make(map[string]bool)
	for _, li := range rr.Lines {
		fmt.Fprintf(wr, "\n%s %s %s\n", li.FormatTime(), li.Instance, li.Event)
		printRequest(wr, li)
		printAttempts(wr, trail.Attempts(li), ends)
	}
	printEnds(wr, ends)
	for _, iv := range rr.Beliefs {
		printInstanceView(wr, iv)
	}
	for _, se := range rr.Servers {
		printServer(wr, se)
	}
	if len(rr.LeftOut) > 0 {
		fmt.Fprintf(wr, "\nlines left out of the logs: %s\n", formatLeftOut(rr))
	}
	if rr.Unread > 0 {
		fmt.Fprintf(wr, "\nlines that could not be read: %d\n", rr.Unread)
	}
}

func printRequest(wr io.Writer, li trail.Line) {
	rows := [][2]string{
		{"answer", answerOf(li)},
		{"detail", orDash(li.Text("Detail"))},
		{"route", fmt.Sprintf("%s in version %s of the configuration", orDash(li.Text("Route")), li.Text("Version"))},
		{"time", timeOf(li)},
		{"sent", fmt.Sprintf("%s, of them %s hedges and %s retries; the retry budget denied %s", li.Text("Sent"), li.Text("Hedged"), li.Text("Retried"), li.Text("Denied"))},
		{"missing parts", li.Text("Missing")},
	}
	if cu := li.Text("Customer"); cu != "" {
		rows = append(rows, [2]string{"customer", cu})
	}
	if ow := quotaOwnersOf(li); ow != "" {
		rows = append(rows, [2]string{"quota owners", ow})
	}
	if le := li.Text("AdmissionLevel"); le != "" {
		rows = append(rows, [2]string{"overload", fmt.Sprintf("%s of the requests like it were admitted at all instances, as of %s ms before; the caller was told to come back after %s ms", le, li.Text("AdmissionLevelMillis"), li.Text("ToldMillis"))})
	}
	if ac := li.Text("Active"); ac != "" {
		rows = append(rows, [2]string{"then", fmt.Sprintf("%s requests in flight; the backend servers last changed %s ms before it arrived", ac, li.Text("NewsMillis"))})
	}
	printPairs(wr, rows)
}

// quotaOwnersOf returns what the owners of a customer's quota said to a request that was
// refused for it, or "" for any other request.
func quotaOwnersOf(li trail.Line) string {
	var said []string
	if json.Unmarshal(li.Value("QuotaOwners"), &said) != nil {
		return ""
	}
	return strings.Join(said, "; ")
}

// statusCallerLeft is the status in the log line of a request whose caller closed the
// connection before the answer.
const statusCallerLeft = 499

func answerOf(li trail.Line) string {
	if li.Number("Status") == statusCallerLeft {
		return "none: the caller had left"
	}
	co := result.Code(li.Number("Code"))
	ro, _ := result.Lookup(co)
	return fmt.Sprintf("status %s, code %d %s: %s", li.Text("Status"), int(co), co, ro.Meaning)
}

func timeOf(li trail.Line) string {
	te := li.Text("Millis") + " ms"
	if ms := li.Number("SaidMillis"); ms > 0 {
		te += fmt.Sprintf("; the caller waits %d ms", ms)
	}
	if ms := li.Number("AimMillis"); ms > 0 {
		te += fmt.Sprintf("; the route aims for %d ms", ms)
	}
	return te
}

func printPairs(wr io.Writer, rows [][2]string) {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	for _, ro := range rows {
		fmt.Fprintf(tw, "  %s\t%s\n", ro[0], ro[1])
	}
	tw.Flush()
}

func printAttempts(wr io.Writer, ats []trail.Attempt, ends map[string]bool) {
	if len(ats) == 0 {
		return
	}
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "  SERVICE\tSERVER\tKIND\tAT MS\tTOOK MS\tEND\tWHY")
	for _, at := range ats {
		ends[at.End] = true
		if at.Server == "" {
			fmt.Fprintf(tw, "  %s\t-\t-\t-\t-\t%s\t%s; %d known, %d ready\n", at.Service, at.End, at.Cause, at.Known, at.Ready)
			continue
		}
		why := at.Error
		if at.Status > 0 {
			why = fmt.Sprintf("status %d", at.Status)
		}
		fmt.Fprintf(tw, "  %s\t%s\t%s\t%d\t%d\t%s\t%s\n", at.Service, at.Server, at.Kind, at.At, at.Millis, at.End, orDash(why))
	}
	tw.Flush()
}

// endMeanings explains the ends of attempts, in the order in which they are printed.
var endMeanings = [][2]string{
	{"Answered", "a complete reply arrived; a status from 500 on is the backend server's own failure"},
	{"NotRun", "the backend server reports that it didn't run the request, for example because its queue is full"},
	{"Moved", "the process at the address reports that it is another backend server"},
	{"NotSent", "no byte was sent, for example because the address is unreachable"},
	{"NoConnection", "all connections that this instance may open to the server were in use; nothing was sent"},
	{"Lost", "bytes were sent, and the connection ended before a complete reply"},
	{"Wrong", "bytes were sent, and what arrived was not a reply to this request"},
	{"TimedOut", "the deadline passed"},
	{"Canceled", "canceled because another attempt had answered or the caller had left"},
	{"UnderWay", "no reply had arrived when the request ended"},
	{"NotAsked", "no backend server was asked"},
}

func printEnds(wr io.Writer, ends map[string]bool) {
	var rows [][2]string
	for _, em := range endMeanings {
		if ends[em[0]] {
			rows = append(rows, em)
		}
	}
	if len(rows) > 0 {
		fmt.Fprintln(wr)
		printPairs(wr, rows)
	}
}

func printInstanceView(wr io.Writer, iv trail.InstanceView) {
	fmt.Fprintf(wr, "\n%s at its last line of the request\n", iv.Instance)
	state := "unknown: the logs don't reach back to its start"
	if iv.State != "" {
		state = fmt.Sprintf("%s since %s", iv.State, iv.Since)
	}
	const unseen = "none seen in the logs"
	version := unseen
	if iv.VersionSince != "" {
		version = fmt.Sprintf("version %d since %s", iv.Version, iv.VersionSince)
	}
	links := unseen
	if len(iv.Links) > 0 {
		links = fmt.Sprintf("%d of %d up", linksUp(iv.Links), len(iv.Links))
	}
	rows := [][2]string{{"state", state}, {"configuration", version}}
	if iv.Entries > 0 {
		rows = append(rows, [2]string{"entry instances", fmt.Sprint(iv.Entries)})
	}
	printPairs(wr, append(rows, [2]string{"control links", links}))
	printLinks(wr, iv.Links)
	if len(iv.During) == 0 {
		return
	}
	fmt.Fprintln(wr, "  while the request ran")
	if iv.Before > 0 {
		fmt.Fprintf(wr, "    %d lines before these\n", iv.Before)
	}
	for _, li := range iv.During {
		fmt.Fprintf(wr, "    %s %s\n", li.FormatTime(), describeLine(li))
	}
}

func linksUp(lns []trail.Link) (up int) {
	for _, ln := range lns {
		if ln.Up {
			up++
		}
	}
	return up
}

func printLinks(wr io.Writer, lns []trail.Link) {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	for _, ln := range lns {
		how := "down"
		if ln.Up {
			how = "up"
		}
		fmt.Fprintf(tw, "    %s\t%s\t%s\tsince %s", how, orDash(ln.Control), ln.Address, ln.Since)
		if ln.Error != "" {
			fmt.Fprintf(tw, ": %s", ln.Error)
		}
		fmt.Fprintln(tw)
	}
	tw.Flush()
}

func printServer(wr io.Writer, se trail.ServerReport) {
	fmt.Fprintf(wr, "\nbackend server %s of %s\n", se.ID, se.Service)
	if len(se.Lines) == 0 {
		fmt.Fprintln(wr, "  no line before the end of the request")
	}
	if len(se.Around) > 0 {
		var te []string
		for _, end := range slices.Sorted(maps.Keys(se.Around)) {
			te = append(te, fmt.Sprintf("%d %s", se.Around[end], end))
		}
		fmt.Fprintf(wr, "  attempts in log lines of other requests from %s before to %s after: %s; at %d entry instances\n",
			trail.AroundWindow, trail.AroundWindow, strings.Join(te, ", "), se.Instances)
	}
	for _, li := range se.Lines {
		fmt.Fprintf(wr, "  %s %s %s\n", li.FormatTime(), li.Instance, describeLine(li))
	}
}

// describeLine formats the event and the fields of a line.
func describeLine(li trail.Line) string {
	te := []string{li.Event}
	for _, fi := range li.Fields {
		va := li.Text(fi.Name)
		if va == "" || strings.ContainsAny(va, " =") {
			va = fmt.Sprintf("%q", va)
		}
		te = append(te, fi.Name+"="+va)
	}
	return strings.Join(te, " ")
}
