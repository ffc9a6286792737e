package fleet

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/link"
)

// join opens a line to an instance as another one would, and returns its end there.
func (in *instance) join(ctx context.Context, re Report) *link.Conn {
	c := in.gr.c
	co, err := link.Dial(ctx, in.address, link.Config{
		Codec: in.gr.codec, TS: in.gr.ts, Dial: time.Second, Ping: 100 * time.Millisecond, Silence: time.Minute,
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

// Guards against a report that is lost with the second line of two that dial each other at
// the same time: the other instance never hears that the group was formed.
func TestReportOutlivesItsLine(t *testing.T) {
	gr := form(t, 0, 1, 0)
	in := gr.all[0]
	z := Report{Start: 1, Name: "z", Address: "127.0.0.1:1"}
	first := in.join(gr.ctx, z)
	second := in.join(gr.ctx, z)
	in.join(gr.ctx, Report{Start: 2, Name: "y", Address: "127.0.0.1:2"}) // Its report of who is there changes.
	for told := false; !told; {
		ms, err := second.Receive()
		gr.c.Assert(err, qt.IsNil)
		told = names(ms, "y")
	}
	second.Close()
	for told := false; !told; {
		ms, err := first.Receive()
		gr.c.Assert(err, qt.IsNil, qt.Commentf("never told of y"))
		told = names(ms, "y")
	}
}

// names reports whether a message is a report that names a member.
func names(ms any, member string) bool {
	no, ok := ms.(ReportUpdate)
	if !ok {
		return false
	}
	for _, me := range no.Report.Members {
		if me.Name == member {
			return true
		}
	}
	return false
}
