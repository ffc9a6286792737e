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

// deaf is an Announcer that fails in one way.
type deaf struct{ err error }

func (de deaf) Announce(context.Context, registry.Server) error { return de.err }
func (de deaf) Leave(context.Context, string) error             { return de.err }

// All control instances are down while a server leaves: the leaving is played all
// the same. Any other failure is told.
func TestDrainUnheard(t *testing.T) {
	other := errors.New("other")
	for _, tt := range []struct{ err, want error }{
		{&result.Error{Code: result.ControlUnavailable, Op: "announce"}, nil},
		{other, other},
		{nil, nil},
	} {
		se, err := emulate.New(emulate.Config{ID: "a", Service: "s"}, deaf{tt.err}, timer.New(), zap.NewNop())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, errors.Is(drain(t.Context(), se), tt.want), qt.IsTrue, qt.Commentf("%v", tt.err))
	}
}
