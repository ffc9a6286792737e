package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"balsamwinch.example/operator"
)

var statusCommand = command{
	name:    "status",
	summary: "Show the leader, the services and the backend servers.",
	help: `
It shows the view of the first instance that answers: for each service the snapshot
that a query would pin, how many shards a server holds and which ones no server holds.
`,
	example: "balsamctl status -instances 10.1.1.11:7003",
	remote:  true,
	do:      status,
}

var membersCommand = command{
	name:    "members",
	summary: "Show the instances and the voters.",
	help: `
For each instance it shows the revision in force and the remaining time of its lease.
`,
	example: "balsamctl members -instances 10.1.1.11:7003",
	remote:  true,
	do:      members,
}

func status(ctx context.Context, in *invocation) error {
	st, err := in.status(ctx)
	if err != nil {
		return err
	}
	return in.print(st, func(wr io.Writer) {
		printHeader(wr, st)
		printServices(wr, st.Services)
		printServers(wr, st.Servers)
	})
}

func members(ctx context.Context, in *invocation) error {
	st, err := in.status(ctx)
	if err != nil {
		return err
	}
	me := struct {
		Leader    string
		Term      uint64
		Voters    []operator.VoterStatus
		Instances []operator.InstanceStatus
	}{st.Leader, st.Term, st.Voters, st.Instances}
	return in.print(me, func(wr io.Writer) {
		printHeader(wr, st)
		printVoters(wr, st.Voters)
		printInstances(wr, st.Instances)
	})
}

func (in *invocation) status(ctx context.Context) (operator.Status, error) {
	cl, err := in.client()
	if err != nil {
		return operator.Status{}, err
	}
	return cl.Status(ctx)
}

func printHeader(wr io.Writer, st operator.Status) {
	le := st.Leader
	if le == "" {
		le = "none known"
	}
	fmt.Fprintf(wr, "seen by %s: leader %s, term %d, revision %d\n", st.Instance, le, st.Term, st.Revision)
}

// printTable writes rows of cells; the first row is the header.
func printTable(wr io.Writer, rows [][]string) {
	fmt.Fprintln(wr)
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	for _, ro := range rows {
		fmt.Fprintln(tw, strings.Join(ro, "\t"))
	}
	tw.Flush()
}

func printServices(wr io.Writer, ss []operator.ServiceStatus) {
	rows := [][]string{{"SERVICE", "POLICY", "SNAPSHOT", "COVERED", "UNANNOUNCED"}}
	for _, se := range ss {
		co := fmt.Sprintf("%d/%d", se.Covered, se.Shards)
		rows = append(rows, []string{se.Name, string(se.Policy), se.Snapshot.String(), co, orDash(strings.Join(se.Unannounced, ", "))})
	}
	printTable(wr, rows)
}

func printServers(wr io.Writer, ss []operator.ServerStatus) {
	rows := [][]string{{"SERVER", "SERVICE", "DATA CENTRE", "ADDRESS", "STATE", "IN FLIGHT", "SET ASIDE"}}
	for _, se := range ss {
		fl := fmt.Sprintf("%d/%d", se.InFlight, se.Slots)
		rows = append(rows, []string{se.Name, se.Service, se.DataCentre, se.Address, se.State, fl, orDash(se.SetAside)})
	}
	printTable(wr, rows)
}

func printVoters(wr io.Writer, vs []operator.VoterStatus) {
	rows := [][]string{{"VOTER", "ADDRESS", "IDENTITY", "KIND"}}
	for _, vo := range vs {
		ki := "voter"
		if vo.Learner {
			ki = "learner"
		}
		rows = append(rows, []string{vo.Name, orDash(vo.Address), vo.ID, ki})
	}
	printTable(wr, rows)
}

func printInstances(wr io.Writer, is []operator.InstanceStatus) {
	rows := [][]string{{"INSTANCE", "REGION", "DATA CENTRE", "ROLES", "IN FORCE", "LEASE", "STATE"}}
	for _, it := range is {
		st := "serving"
		if it.Draining {
			st = "draining"
		}
		rows = append(rows, []string{
			it.Name, it.Region, it.DataCentre, fmt.Sprint(it.Roles),
			fmt.Sprint(it.InForce), fmt.Sprintf("%d ms", it.LeaseMillis), st,
		})
	}
	printTable(wr, rows)
}

func orDash(te string) string {
	if te == "" {
		return "-"
	}
	return te
}
