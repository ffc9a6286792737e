package soak

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/emulate"
	"balsamwinch.example/registry"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

// failingAnnouncer is an Announcer whose calls return one error.
type failingAnnouncer struct{ err error }

func (fa failingAnnouncer) Announce(context.Context, registry.Server) error { return fa.err }
func (fa failingAnnouncer) Leave(context.Context, string) error             { return fa.err }

// A server that drains while all control instances are down is not a failure to inject
// the fault. Any other error is returned.
func TestDrainWhileControlIsDown(t *testing.T) {
	other := errors.New("other")
	for _, tt := range []struct{ err, want error }{
		{&result.Error{Code: result.ControlUnavailable, Op: "announce"}, nil},
		{other, other},
		{nil, nil},
	} {
		se, err := emulate.New(emulate.Config{ID: "a", Service: "s"}, failingAnnouncer{tt.err}, timer.New(), zap.NewNop())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, errors.Is(drain(t.Context(), se), tt.want), qt.IsTrue, qt.Commentf("%v", tt.err))
	}
}
