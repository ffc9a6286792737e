package quorum

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden part of testdata/*.txtar")

// TestScenarios runs the scripts in testdata/*.txtar. The comment of a file describes the
// scenario and then holds one command a line, as listed below; "show" prints the cluster.
// The file "want" holds the expected output.
func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := qt.New(t)
			ar, err := txtar.ParseFile(file)
			c.Assert(err, qt.IsNil)
			got := runScript(c, string(ar.Comment))
			if *updateGolden {
				ar.Files = []txtar.File{{Name: "want", Data: []byte(got)}}
				c.Assert(os.WriteFile(file, txtar.Format(ar), 0o644), qt.IsNil)
			}
			c.Assert(got, qt.Equals, string(ar.Files[0].Data))
		})
	}
}

var scriptCommands = map[string]func(cl *cluster, ids []ID, nu uint64){
	"new":     func(cl *cluster, ids []ID, _ uint64) { *cl = *newCluster(ids...) },
	"lead":    func(cl *cluster, ids []ID, _ uint64) { *cl = *newLedCluster(ids...) },
	"rivals":  func(cl *cluster, ids []ID, _ uint64) { *cl = *newRivalCluster(ids...) },
	"run":     func(cl *cluster, _ []ID, nu uint64) { cl.run(time.Duration(nu) * testElectionTimeout) },
	"wait":    func(cl *cluster, _ []ID, nu uint64) { cl.now = cl.now.Add(time.Duration(nu) * testElectionTimeout) },
	"isolate": func(cl *cluster, ids []ID, _ uint64) { cl.isolate(ids...) },
	"cut":     func(cl *cluster, ids []ID, _ uint64) { cl.partitioned[[2]ID{ids[0], ids[1]}] = true },
	"heal":    func(cl *cluster, _ []ID, _ uint64) { clear(cl.partitioned) },
	"elect":   func(cl *cluster, ids []ID, _ uint64) { cl.elect(ids[0]) },
	"timeout": func(cl *cluster, ids []ID, _ uint64) { cl.nodes[cl.find(ids[0])].st.electionAt = cl.now },
	"crash":   func(cl *cluster, ids []ID, _ uint64) { cl.crash(cl.find(ids[0])) },
	"start":   func(cl *cluster, ids []ID, _ uint64) { cl.start(cl.find(ids[0])) },
	"tick":    func(cl *cluster, ids []ID, _ uint64) { cl.step(cl.find(ids[0]), Tick{cl.now}, -1) },
	"rejoin":  func(cl *cluster, ids []ID, _ uint64) { cl.restartAndClear(cl.find(ids[0])) },
	"copy":    func(cl *cluster, ids []ID, _ uint64) { cl.copyDisk(cl.find(ids[0])) },
	"putback": func(cl *cluster, ids []ID, _ uint64) {
		cl.nodes[cl.find(ids[0])].disk, cl.diskRolledBack = cl.diskCopies[ids[0]], true
	},
	"newcomer": func(cl *cluster, ids []ID, _ uint64) { cl.add(ids[0], nil) },
	"propose":  func(cl *cluster, ids []ID, nu uint64) { cl.propose(ids[0], nu) },
	"greet":    func(cl *cluster, ids []ID, _ uint64) { cl.step(cl.find(ids[0]), RequestClearance{cl.now, ids[1]}, -1) },
	"add":      func(cl *cluster, ids []ID, _ uint64) { cl.change(ids[0], "") },
	"remove":   func(cl *cluster, ids []ID, _ uint64) { cl.change("", ids[0]) },
	"both":     func(cl *cluster, ids []ID, _ uint64) { cl.change(ids[0], ids[1]) },
	"resign":   func(cl *cluster, ids []ID, _ uint64) { cl.step(cl.find(ids[0]), Resign{cl.now}, -1) },
	"compact":  func(cl *cluster, ids []ID, _ uint64) { cl.compact(cl.find(ids[0])) },
	"deliver":  func(cl *cluster, _ []ID, _ uint64) { cl.deliverAll() },
	"lose":     func(cl *cluster, _ []ID, _ uint64) { cl.network = nil },
	"keep":     func(cl *cluster, ids []ID, nu uint64) { cl.deliverCopies(ids[0], ids[1], nu) },

	// These deliver messages until a log, or the leader's view of a member, has reached a
	// point.
	"until-last": func(cl *cluster, ids []ID, nu uint64) {
		cl.deliverUntil(func() bool { return cl.state(ids[0]).Last() == nu })
	},
	"until-matched": func(cl *cluster, ids []ID, nu uint64) {
		cl.deliverUntil(func() bool { return cl.progressOf(ids[0]).Matched == nu })
	},
	"until-acked": func(cl *cluster, ids []ID, _ uint64) {
		cl.deliverUntil(func() bool { return !cl.progressOf(ids[0]).LastContact.IsZero() })
	},
	"until-voter": func(cl *cluster, ids []ID, _ uint64) {
		cl.deliverUntil(func() bool { return cl.state(cl.leader()).Voters().HasVoter(ids[0]) })
	},
}

func runScript(c *qt.C, script string) string {
	var cl cluster
	var out strings.Builder
	for line := range strings.Lines(script) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var ids []ID
		for _, wd := range strings.Fields(line) {
			ids = append(ids, ID(wd))
		}
		if ids[0] == "show" {
			out.WriteString(cl.show())
			continue
		}
		do, ok := scriptCommands[string(ids[0])]
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s", line))
		number, _ := strconv.ParseUint(string(ids[len(ids)-1]), 10, 64)
		do(&cl, ids[1:], number)
	}
	return out.String()
}

// deliverCopies delivers all messages that one node sent to another, or only the message
// with a number from 1 on, and keeps them in flight.
func (cl *cluster) deliverCopies(from, to ID, number uint64) {
	var count uint64
	for _, en := range slices.Clone(cl.network) {
		if en.from != from || en.to != to {
			continue
		}
		if count++; number == 0 || number == count {
			cl.deliver(en, -1)
		}
	}
}

func (cl *cluster) progressOf(id ID) Progress {
	for _, pr := range cl.state(cl.leader()).Members() {
		if pr.ID == id {
			return pr
		}
	}
	return Progress{}
}

// show prints the nodes that are up and the results so far.
func (cl *cluster) show() string {
	var out strings.Builder
	for _, no := range cl.nodes {
		st := no.st
		if !no.up {
			continue
		}
		fmt.Fprintf(&out, "%s: %s, leader %q, term %d, log (%d,%d], commit %d, voters %v, lease %v", no.id, st.Role(), st.Leader(),
			st.Term(), st.log.snapshotIndex, st.Last(), st.Commit(), st.Voters(), cl.now.Before(st.LeaseExpiry()))
		for _, pr := range st.Members() {
			fmt.Fprintf(&out, ", %s holds %d", pr.ID, pr.Matched)
		}
		fmt.Fprintf(&out, ", refusal %q\n", st.Refusal())
	}
	fmt.Fprintf(&out, "leaders so far %d, committed %d, last refusal %d (%s), fault %q\n", len(cl.leaders), len(cl.committed), cl.rejectReason, cl.rejectReason, cl.failure)
	cl.rejectReason = 0
	return out.String()
}
