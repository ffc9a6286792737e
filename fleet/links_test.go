package fleet

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/link"
)

// openLink opens a link to an instance as another instance would, and returns the dialling
// end.
func (in *instance) openLink(ctx context.Context, re Report) *link.Conn {
	c := in.gr.c
	co, err := link.Dial(ctx, in.address, link.Config{
		Codec: in.gr.codec, Timers: in.gr.ts, DialTimeout: time.Second, PingInterval: 100 * time.Millisecond, SilenceTimeout: time.Minute,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(co.Close)
	c.Assert(co.Send(Join{Report: re}), qt.IsNil)
	ms, err := co.Receive()
	c.Assert(err, qt.IsNil)
	_, ok := ms.(JoinReply)
	c.Assert(ok, qt.IsTrue)
	return co
}

// Guards against a report that is lost with the second of two links that were opened at the
// same time: the other instance would never learn that the group was formed.
func TestReportSurvivesLinkLoss(t *testing.T) {
	gr := newFormedGroup(t, 0, 1, 0)
	in := gr.all[0]
	z := Report{Start: 1, Name: "z", Address: "127.0.0.1:1"}
	first := in.openLink(gr.ctx, z)
	second := in.openLink(gr.ctx, z)
	in.openLink(gr.ctx, Report{Start: 2, Name: "y", Address: "127.0.0.1:2"}) // This changes the members in the instance's report.
	for received := false; !received; {
		ms, err := second.Receive()
		gr.c.Assert(err, qt.IsNil)
		received = reportsMember(ms, "y")
	}
	second.Close()
	for received := false; !received; {
		ms, err := first.Receive()
		gr.c.Assert(err, qt.IsNil, qt.Commentf("y was never reported"))
		received = reportsMember(ms, "y")
	}
}

// reportsMember reports whether a message is a report that lists a member.
func reportsMember(ms any, member string) bool {
	up, ok := ms.(ReportUpdate)
	if !ok {
		return false
	}
	for _, me := range up.Report.Members {
		if me.Name == member {
			return true
		}
	}
	return false
}
