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

var update = flag.Bool("update", false, "rewrite the golden part of testdata/*.txtar")

// TestScenarios plays the stories in testdata/*.txtar. The comment of a file is
// the story and then one command a line, as in the table below; "show" prints the
// world. The file "want" in it is what has to be printed.
func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			c := qt.New(t)
			ar, err := txtar.ParseFile(file)
			c.Assert(err, qt.IsNil)
			got := play(c, string(ar.Comment))
			if *update {
				ar.Files = []txtar.File{{Name: "want", Data: []byte(got)}}
				c.Assert(os.WriteFile(file, txtar.Format(ar), 0o644), qt.IsNil)
			}
			c.Assert(got, qt.Equals, string(ar.Files[0].Data))
		})
	}
}

var commands = map[string]func(wo *world, ids []ID, nu uint64){
	"new":      func(wo *world, ids []ID, _ uint64) { *wo = *newWorld(ids...) },
	"lead":     func(wo *world, ids []ID, _ uint64) { *wo = *lead(ids...) },
	"rivals":   func(wo *world, ids []ID, _ uint64) { *wo = *rivals(ids...) },
	"run":      func(wo *world, _ []ID, nu uint64) { wo.run(time.Duration(nu) * testElection) },
	"wait":     func(wo *world, _ []ID, nu uint64) { wo.now = wo.now.Add(time.Duration(nu) * testElection) },
	"isolate":  func(wo *world, ids []ID, _ uint64) { wo.isolate(ids...) },
	"cut":      func(wo *world, ids []ID, _ uint64) { wo.cut[[2]ID{ids[0], ids[1]}] = true },
	"heal":     func(wo *world, _ []ID, _ uint64) { clear(wo.cut) },
	"elect":    func(wo *world, ids []ID, _ uint64) { wo.elect(ids[0]) },
	"timeout":  func(wo *world, ids []ID, _ uint64) { wo.nodes[wo.find(ids[0])].st.electionAt = wo.now },
	"crash":    func(wo *world, ids []ID, _ uint64) { wo.crash(wo.find(ids[0])) },
	"start":    func(wo *world, ids []ID, _ uint64) { wo.start(wo.find(ids[0])) },
	"tick":     func(wo *world, ids []ID, _ uint64) { wo.step(wo.find(ids[0]), Tick{wo.now}, -1) },
	"rejoin":   func(wo *world, ids []ID, _ uint64) { wo.rejoin(wo.find(ids[0])) },
	"copy":     func(wo *world, ids []ID, _ uint64) { wo.copyDisk(wo.find(ids[0])) },
	"putback":  func(wo *world, ids []ID, _ uint64) { wo.nodes[wo.find(ids[0])].disk, wo.aged = wo.copies[ids[0]], true },
	"newcomer": func(wo *world, ids []ID, _ uint64) { wo.add(ids[0], nil) },
	"propose":  func(wo *world, ids []ID, nu uint64) { wo.propose(ids[0], nu) },
	"greet":    func(wo *world, ids []ID, _ uint64) { wo.step(wo.find(ids[0]), RequestClearance{wo.now, ids[1]}, -1) },
	"add":      func(wo *world, ids []ID, _ uint64) { wo.change(ids[0], "") },
	"remove":   func(wo *world, ids []ID, _ uint64) { wo.change("", ids[0]) },
	"both":     func(wo *world, ids []ID, _ uint64) { wo.change(ids[0], ids[1]) },
	"resign":   func(wo *world, ids []ID, _ uint64) { wo.step(wo.find(ids[0]), Resign{wo.now}, -1) },
	"compact":  func(wo *world, ids []ID, _ uint64) { wo.compact(wo.find(ids[0])) },
	"deliver":  func(wo *world, _ []ID, _ uint64) { wo.deliverAll() },
	"lose":     func(wo *world, _ []ID, _ uint64) { wo.net = nil },
	"keep":     func(wo *world, ids []ID, nu uint64) { wo.deliverKeeping(ids[0], ids[1], nu) },

	// These deliver until a log, or what the leader knows of it, is so far.
	"until-last": func(wo *world, ids []ID, nu uint64) { wo.until(func() bool { return wo.state(ids[0]).Last() == nu }) },
	"until-matched": func(wo *world, ids []ID, nu uint64) {
		wo.until(func() bool { return wo.memberOf(ids[0]).Matched == nu })
	},
	"until-acked": func(wo *world, ids []ID, _ uint64) {
		wo.until(func() bool { return !wo.memberOf(ids[0]).LastContact.IsZero() })
	},
	"until-voter": func(wo *world, ids []ID, _ uint64) {
		wo.until(func() bool { return wo.state(wo.leader()).Voters().HasVoter(ids[0]) })
	},
}

func play(c *qt.C, script string) string {
	var wo world
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
			out.WriteString(wo.show())
			continue
		}
		do, ok := commands[string(ids[0])]
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s", line))
		number, _ := strconv.ParseUint(string(ids[len(ids)-1]), 10, 64)
		do(&wo, ids[1:], number)
	}
	return out.String()
}

// deliverKeeping delivers all that one node sent to another, or only the message
// with a number from 1 on, and keeps it under way.
func (wo *world) deliverKeeping(from, to ID, number uint64) {
	var count uint64
	for _, en := range slices.Clone(wo.net) {
		if en.from != from || en.to != to {
			continue
		}
		if count++; number == 0 || number == count {
			wo.deliver(en, -1)
		}
	}
}

func (wo *world) memberOf(id ID) Progress {
	for _, pr := range wo.state(wo.leader()).Members() {
		if pr.ID == id {
			return pr
		}
	}
	return Progress{}
}

// show prints the nodes that are up and what was found so far.
func (wo *world) show() string {
	var out strings.Builder
	for _, no := range wo.nodes {
		st := no.st
		if !no.up {
			continue
		}
		fmt.Fprintf(&out, "%s: %s, leader %q, term %d, log (%d,%d], commit %d, voters %v, lease %v", no.id, st.Role(), st.Leader(),
			st.Term(), st.log.snapshotIndex, st.Last(), st.Commit(), st.Voters(), wo.now.Before(st.LeaseExpiry()))
		for _, pr := range st.Members() {
			fmt.Fprintf(&out, ", %s holds %d", pr.ID, pr.Matched)
		}
		fmt.Fprintf(&out, ", refusal %q\n", st.Refusal())
	}
	fmt.Fprintf(&out, "leaders so far %d, committed %d, last refusal %d (%s), fault %q\n", len(wo.leaders), len(wo.committed), wo.reason, wo.reason, wo.fault)
	wo.reason = 0
	return out.String()
}
