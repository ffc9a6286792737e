package fleet

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/quorum"
	"balsamwinch.example/timer"
)

// In the table, voters, learners and outsiders are named by instance and disk; a
// voter or learner is followed by how many milliseconds it has been silent.
func TestCensus(t *testing.T) {
	for _, tc := range []struct {
		name, voters, learners, asking, add, remove string
	}{
		{name: "all are there", voters: "a/1=0 b/1=40 c/1=50"},
		{name: "standbys stand by", voters: "a/1=0 b/1=40 c/1=50", asking: "d/1 e/1"},
		{name: "too few voters", voters: "a/1=0 b/1=40", asking: "d/1 e/1", add: "d/1"},
		{name: "nobody to add", voters: "a/1=0 b/1=40 c/1=9000"},
		{name: "briefly silent", voters: "a/1=0 b/1=40 c/1=2400", asking: "d/1"},
		{name: "silent for long", voters: "a/1=0 b/1=40 c/1=2600", asking: "d/1", add: "d/1"},
		{name: "another disk comes back", voters: "a/1=0 b/1=40 c/1=700", asking: "c/2 a/9", add: "c/2"},
		{name: "another disk before a standby", voters: "a/1=0 b/1=9000 c/1=9000", asking: "a/2 c/2 d/1", add: "c/2"},
		{name: "old disk still heard", voters: "a/1=0 b/1=40 c/1=100", asking: "c/2"},
		{name: "second disk of one that votes", voters: "a/1=0 b/1=40 c/1=9000", asking: "b/2"},
		{name: "learner is awaited", voters: "a/1=0 b/1=40 c/1=9000", learners: "d/1=300", asking: "e/1"},
		{name: "learner is lost", voters: "a/1=0 b/1=40 c/1=9000", learners: "d/1=2600", asking: "e/1", remove: "d/1"},
		{name: "learner with another disk", voters: "a/1=0 b/1=40 c/1=9000", learners: "d/1=700", asking: "d/2", remove: "d/1"},
		{name: "newcomer votes", voters: "a/1=0 b/1=40 c/1=9000 d/1=20", remove: "c/1"},
		{name: "newcomer votes, old one woke", voters: "a/1=0 b/1=40 c/1=30 d/1=20", remove: "b/1"},
		{name: "newcomer's other disk", voters: "a/1=0 b/1=9000 c/1=700 c/2=20", remove: "c/1"},
		{name: "newcomer's other disk woke", voters: "a/1=0 b/1=9000 c/1=100 c/2=20", remove: "b/1"},
		{name: "leader is never removed", voters: "a/1=9000 b/1=30 c/1=20 d/1=10", remove: "b/1"},
		{name: "five wanted", voters: "a/1=0 b/1=1 c/1=1", asking: "d/1 e/1", add: "d/1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			silences := make(map[quorum.ID]time.Duration)
			list := func(text string) []quorum.ID {
				var ids []quorum.ID
				for _, word := range strings.Fields(text) {
					id, millis, _ := strings.Cut(word, "=")
					if millis != "" {
						du, err := time.ParseDuration(millis + "ms")
						qt.Assert(t, err, qt.IsNil)
						silences[quorum.ID(id)] = du
					}
					ids = append(ids, quorum.ID(id))
				}
				return ids
			}
			ce := census{
				self:     "a/1",
				voters:   quorum.VoterSet{Voters: list(tc.voters), Learners: list(tc.learners)},
				wanted:   3,
				election: 600 * time.Millisecond,
				silence:  func(id quorum.ID) time.Duration { return silences[id] },
				asking:   list(tc.asking),
			}
			if tc.name == "five wanted" {
				ce.wanted = 5
			}
			add, remove := ce.change()
			qt.Assert(t, add, qt.Equals, quorum.ID(tc.add))
			qt.Assert(t, remove, qt.Equals, quorum.ID(tc.remove))
		})
	}
}

// An instance that is gone stays a member for a while, since it may only be cut
// off, and is then forgotten. What it was told of by others it passes on to
// nobody: two would remind each other of a third for ever.
func TestMembersAreForgotten(t *testing.T) {
	c := qt.New(t)
	ob := &recorder{}
	nd := New(Config{Name: "a", Address: "A"}, timer.New(), zap.NewNop(), ob)
	th := newThread(t.Context(), nd)
	defer th.close()
	aa, bb, cc := Member{Name: "a", Address: "A"}, Member{Name: "b", Address: "B"}, Member{Name: "c", Address: "C"}
	now := time.Unix(0, 0)
	reports := []partner{{report: Report{Name: "b", Address: "B", Members: []Member{aa, cc}}}}
	th.remember(now, reports)
	c.Assert(ob.members, qt.DeepEquals, []Member{aa, bb, cc})
	c.Assert(th.linked(), qt.HasLen, 0)

	// It comes under another address, and says so itself.
	moved := Member{Name: "c", Address: "C2"}
	now = now.Add(memberMemory / 2)
	th.forget(now)
	th.remember(now, append(reports, partner{report: Report{Name: "c", Address: "C2"}}))
	c.Assert(ob.members, qt.DeepEquals, []Member{aa, bb, moved})

	now = now.Add(memberMemory - 1)
	th.forget(now)
	th.remember(now, nil)
	c.Assert(ob.members, qt.DeepEquals, []Member{aa, bb, moved})
	th.forget(now.Add(1))
	th.remember(now.Add(1), nil)
	c.Assert(ob.members, qt.DeepEquals, []Member{aa})
}

// Each pair of instances keeps one line after both have dialled, the one that the
// instance with the lesser name opened.
func TestSuperfluousLine(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	out, in := &line{name: "a", start: 1, outgoing: true}, &line{name: "a", start: 1}
	greater := newLines("b")
	c.Assert(greater.add(out, Report{Name: "a", Start: 1}, now), qt.IsNil)
	c.Assert(greater.add(in, Report{Name: "a", Start: 1}, now), qt.Equals, out)
	greater.remove(out)
	c.Assert(greater.find("a"), qt.Equals, in)

	lesser := newLines("A")
	c.Assert(lesser.add(out, Report{Name: "a", Start: 1}, now), qt.IsNil)
	c.Assert(lesser.add(in, Report{Name: "a", Start: 1}, now), qt.IsNil)

	// A line to an earlier process is no reason to give one up.
	c.Assert(newLines("b").add(in, Report{Name: "a", Start: 1}, now), qt.IsNil)
	other := newLines("b")
	other.add(in, Report{Name: "a", Start: 1}, now)
	c.Assert(other.add(&line{name: "a", start: 2, outgoing: true}, Report{Name: "a", Start: 2}, now), qt.IsNil)
}

// Reports travel on several lines, so that an older one may come later.
func TestOlderReport(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	ls := newLines("b")
	li := &line{name: "a", start: 1}
	ls.add(li, Report{Name: "a", Start: 1, Sequence: 5, Version: 5}, now)
	ls.note(li, Report{Name: "a", Start: 1, Sequence: 4, Version: 4}, now)
	ls.note(li, Report{Name: "a", Start: 9, Sequence: 9, Version: 9}, now)
	c.Assert(ls.known()[0].report.Version, qt.Equals, uint64(5))
	ls.note(li, Report{Name: "a", Start: 1, Sequence: 6, Version: 6}, now)
	c.Assert(ls.known()[0].report.Version, qt.Equals, uint64(6))
}
