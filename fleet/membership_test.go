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

// Voters, learners and non-members are written as instance/disk; voters and learners are
// followed by their silence in milliseconds.
func TestNextVoterChange(t *testing.T) {
	for _, tc := range []struct {
		name, voters, learners, asking, add, remove string
	}{
		{name: "all voters present", voters: "a/1=0 b/1=40 c/1=50"},
		{name: "standbys are not added", voters: "a/1=0 b/1=40 c/1=50", asking: "d/1 e/1"},
		{name: "too few voters", voters: "a/1=0 b/1=40", asking: "d/1 e/1", add: "d/1"},
		{name: "no instance to add", voters: "a/1=0 b/1=40 c/1=9000"},
		{name: "briefly silent", voters: "a/1=0 b/1=40 c/1=2400", asking: "d/1"},
		{name: "silent for long", voters: "a/1=0 b/1=40 c/1=2600", asking: "d/1", add: "d/1"},
		{name: "instance returns with another disk", voters: "a/1=0 b/1=40 c/1=700", asking: "c/2 a/9", add: "c/2"},
		{name: "another disk before a standby", voters: "a/1=0 b/1=9000 c/1=9000", asking: "a/2 c/2 d/1", add: "c/2"},
		{name: "old disk still heard", voters: "a/1=0 b/1=40 c/1=100", asking: "c/2"},
		{name: "second disk of a voting instance", voters: "a/1=0 b/1=40 c/1=9000", asking: "b/2"},
		{name: "learner is promoted first", voters: "a/1=0 b/1=40 c/1=9000", learners: "d/1=300", asking: "e/1"},
		{name: "learner is lost", voters: "a/1=0 b/1=40 c/1=9000", learners: "d/1=2600", asking: "e/1", remove: "d/1"},
		{name: "learner with another disk", voters: "a/1=0 b/1=40 c/1=9000", learners: "d/1=700", asking: "d/2", remove: "d/1"},
		{name: "new voter replaces lost one", voters: "a/1=0 b/1=40 c/1=9000 d/1=20", remove: "c/1"},
		{name: "new voter, lost one heard again", voters: "a/1=0 b/1=40 c/1=30 d/1=20", remove: "b/1"},
		{name: "new voter is another disk of an instance", voters: "a/1=0 b/1=9000 c/1=700 c/2=20", remove: "c/1"},
		{name: "new voter, old disk heard again", voters: "a/1=0 b/1=9000 c/1=100 c/2=20", remove: "b/1"},
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
			mb := membership{
				self:            "a/1",
				voters:          quorum.VoterSet{Voters: list(tc.voters), Learners: list(tc.learners)},
				targetVoters:    3,
				electionTimeout: 600 * time.Millisecond,
				silence:         func(id quorum.ID) time.Duration { return silences[id] },
				joinRequests:    list(tc.asking),
			}
			if tc.name == "five wanted" {
				mb.targetVoters = 5
			}
			add, remove := mb.nextChange()
			qt.Assert(t, add, qt.Equals, quorum.ID(tc.add))
			qt.Assert(t, remove, qt.Equals, quorum.ID(tc.remove))
		})
	}
}

// An instance that left stays a member for a while, since it may only be isolated, and
// expires then. Members known only from reports are not passed on: two instances would keep
// reminding each other of a third for ever.
func TestDepartedMembersExpire(t *testing.T) {
	c := qt.New(t)
	ob := &recorder{}
	nd := New(Config{Name: "a", Address: "A"}, timer.New(), zap.NewNop(), ob)
	th := newThread(t.Context(), nd)
	defer th.close()
	aa, bb, cc := Member{Name: "a", Address: "A"}, Member{Name: "b", Address: "B"}, Member{Name: "c", Address: "C"}
	now := time.Unix(0, 0)
	reports := []peerReport{{report: Report{Name: "b", Address: "B", Members: []Member{aa, cc}}}}
	th.rememberMembers(now, reports)
	c.Assert(ob.members, qt.DeepEquals, []Member{aa, bb, cc})
	c.Assert(th.linkedMembers(), qt.HasLen, 0)

	// It returns under another address and reports that itself.
	moved := Member{Name: "c", Address: "C2"}
	now = now.Add(memberTTL / 2)
	th.expireMembers(now)
	th.rememberMembers(now, append(reports, peerReport{report: Report{Name: "c", Address: "C2"}}))
	c.Assert(ob.members, qt.DeepEquals, []Member{aa, bb, moved})

	now = now.Add(memberTTL - 1)
	th.expireMembers(now)
	th.rememberMembers(now, nil)
	c.Assert(ob.members, qt.DeepEquals, []Member{aa, bb, moved})
	th.expireMembers(now.Add(1))
	th.rememberMembers(now.Add(1), nil)
	c.Assert(ob.members, qt.DeepEquals, []Member{aa})
}

// After two instances have dialled each other, they keep one link: the one that the
// instance with the lesser name opened.
func TestDuplicateLinkIsClosed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	out, in := &peerLink{name: "a", start: 1, outgoing: true}, &peerLink{name: "a", start: 1}
	greater := newLinkSet("b")
	c.Assert(greater.add(out, Report{Name: "a", Start: 1}, now), qt.IsNil)
	c.Assert(greater.add(in, Report{Name: "a", Start: 1}, now), qt.Equals, out)
	greater.remove(out)
	c.Assert(greater.find("a"), qt.Equals, in)

	lesser := newLinkSet("A")
	c.Assert(lesser.add(out, Report{Name: "a", Start: 1}, now), qt.IsNil)
	c.Assert(lesser.add(in, Report{Name: "a", Start: 1}, now), qt.IsNil)

	// A link to an earlier process doesn't count as a duplicate.
	c.Assert(newLinkSet("b").add(in, Report{Name: "a", Start: 1}, now), qt.IsNil)
	other := newLinkSet("b")
	other.add(in, Report{Name: "a", Start: 1}, now)
	c.Assert(other.add(&peerLink{name: "a", start: 2, outgoing: true}, Report{Name: "a", Start: 2}, now), qt.IsNil)
}

// Reports arrive over several links, so an older one may arrive later.
func TestStaleReportIsIgnored(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	ls := newLinkSet("b")
	li := &peerLink{name: "a", start: 1}
	ls.add(li, Report{Name: "a", Start: 1, Sequence: 5, Version: 5}, now)
	ls.updateReport(li, Report{Name: "a", Start: 1, Sequence: 4, Version: 4}, now)
	ls.updateReport(li, Report{Name: "a", Start: 9, Sequence: 9, Version: 9}, now)
	c.Assert(ls.latestReports()[0].report.Version, qt.Equals, uint64(5))
	ls.updateReport(li, Report{Name: "a", Start: 1, Sequence: 6, Version: 6}, now)
	c.Assert(ls.latestReports()[0].report.Version, qt.Equals, uint64(6))
}
