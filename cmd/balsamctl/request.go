package main

import (
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

// explainRequest tells what logs say about one request.
func explainRequest(in *invocation) error {
	sos, err := logs(in.logs)
	if err != nil {
		return err
	}
	st, err := trail.Explain(in.request, sos)
	if err != nil {
		return err
	}
	if len(st.Lines) == 0 {
		return noLine(st, len(sos))
	}
	return in.print(st, func(wr io.Writer) { printStory(wr, st) })
}

// logs returns the files that are named, and those of the folders that are.
func logs(paths []string) ([]trail.Source, error) {
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

// noLine says why a request may have no line.
func noLine(st trail.RequestReport, files int) error {
	te := fmt.Sprintf("no line of request %s in %d files: either it was answered whole, in time and by the backend servers asked first, "+
		"or it reached no instance of these logs", st.RequestID, files)
	if len(st.LeftOut) > 0 {
		te += ", or its line is among those that were left out: " + leftOut(st)
	}
	return errors.New(te)
}

func leftOut(st trail.RequestReport) string {
	var te []string
	for _, ev := range slices.Sorted(maps.Keys(st.LeftOut)) {
		te = append(te, fmt.Sprintf("%d of %s", st.LeftOut[ev], ev))
	}
	return strings.Join(te, ", ")
}

func printStory(wr io.Writer, st trail.RequestReport) {
	fmt.Fprintf(wr, "request %s\n", st.RequestID)
	ends := make(map[string]bool)
	for _, li := range st.Lines {
		fmt.Fprintf(wr, "\n%s %s %s\n", li.FormatTime(), li.Instance, li.Event)
		printRequest(wr, li)
		printAttempts(wr, trail.Attempts(li), ends)
	}
	printEnds(wr, ends)
	for _, be := range st.Beliefs {
		printBelief(wr, be)
	}
	for _, se := range st.Servers {
		printServer(wr, se)
	}
	if len(st.LeftOut) > 0 {
		fmt.Fprintf(wr, "\nlines that the logs lack: %s\n", leftOut(st))
	}
	if st.Unread > 0 {
		fmt.Fprintf(wr, "\nlines that could not be read: %d\n", st.Unread)
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
	if ac := li.Text("Active"); ac != "" {
		rows = append(rows, [2]string{"then", fmt.Sprintf("%s requests under way; the backend servers last changed %s ms before it came", ac, li.Text("NewsMillis"))})
	}
	printPairs(wr, rows)
}

// statusLeft is the status in the line of a request whose caller left.
const statusLeft = 499

func answerOf(li trail.Line) string {
	if li.Number("Status") == statusLeft {
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

// endMeanings say what the ends of attempts mean, in the order of this table.
var endMeanings = [][2]string{
	{"Answered", "a whole reply came; a status from 500 on is the backend server's own failure"},
	{"NotRun", "the backend server says that it didn't run the request, as when its queue is full"},
	{"Moved", "the process at the address says that it is another backend server"},
	{"NotSent", "no byte left, as when the address can't be reached"},
	{"NoConnection", "all connections that this instance may open to the server were in use; nothing was sent"},
	{"Lost", "bytes left, and the connection ended before a whole reply"},
	{"Wrong", "bytes left, and what came was no reply to this request"},
	{"TimedOut", "the deadline passed"},
	{"Canceled", "given up, as another attempt had answered or the caller had left"},
	{"UnderWay", "no reply had come when the request ended"},
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

func printBelief(wr io.Writer, be trail.InstanceView) {
	fmt.Fprintf(wr, "\n%s at its last line of the request\n", be.Instance)
	state := "not known: the logs don't reach back to its start"
	if be.State != "" {
		state = fmt.Sprintf("%s since %s", be.State, be.Since)
	}
	const unseen = "none seen in the logs"
	version := unseen
	if be.VersionSince != "" {
		version = fmt.Sprintf("version %d since %s", be.Version, be.VersionSince)
	}
	links := unseen
	if len(be.Links) > 0 {
		links = fmt.Sprintf("%d of %d up", linksUp(be.Links), len(be.Links))
	}
	rows := [][2]string{{"state", state}, {"configuration", version}}
	if be.Entries > 0 {
		rows = append(rows, [2]string{"entry instances", fmt.Sprint(be.Entries)})
	}
	printPairs(wr, append(rows, [2]string{"control links", links}))
	printLinks(wr, be.Links)
	if len(be.During) == 0 {
		return
	}
	fmt.Fprintln(wr, "  while the request ran")
	if be.Before > 0 {
		fmt.Fprintf(wr, "    %d lines before these\n", be.Before)
	}
	for _, li := range be.During {
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
		fmt.Fprintf(wr, "  attempts in lines of other requests from %s before to %s after: %s; at %d entry instances\n",
			trail.AroundWindow, trail.AroundWindow, strings.Join(te, ", "), se.Instances)
	}
	for _, li := range se.Lines {
		fmt.Fprintf(wr, "  %s %s %s\n", li.FormatTime(), li.Instance, describeLine(li))
	}
}

// describeLine shows the event and the fields of a line.
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
