package tier

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/fleet"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

// Guards against an operator's command that retries forever with a configuration that can
// never be accepted, or gives up on one that may be in force.
func TestAcceptStatus(t *testing.T) {
	tests := []struct {
		err  error
		want int
	}{
		{nil, http.StatusOK},
		{&result.Error{Code: result.Invalid}, http.StatusRequestEntityTooLarge},
		{fmt.Errorf("accept: %w", &result.Error{Code: result.Invalid}), http.StatusRequestEntityTooLarge},
		{&result.Error{Code: result.ControlUnavailable}, http.StatusServiceUnavailable},
		{&result.Error{Code: result.NotLeader}, http.StatusServiceUnavailable},
		{context.DeadlineExceeded, http.StatusServiceUnavailable},
		{errors.New("no leader"), http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		qt.Check(t, AcceptStatus(tt.err), qt.Equals, tt.want, qt.Commentf("%v", tt.err))
	}
	nd := fleet.New(fleet.Config{Name: "control-1", Dir: t.TempDir()}, timer.New(), zap.NewNop(), nil)
	err := nd.Propose(t.Context(), 7, make([]byte, fleet.MaxDocumentBytes+1))
	qt.Assert(t, AcceptStatus(err), qt.Equals, http.StatusRequestEntityTooLarge)
}
