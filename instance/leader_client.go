package instance

import (
	"context"
	"time"

	"balsamwinch.example/control"
	"balsamwinch.example/peer"
	"balsamwinch.example/result"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
)

// Timeouts and delays of calls to control.
const (
	// proposeTimeout bounds one call with a command. A change includes the wait until it is in
	// force.
	proposeTimeout = inForceTimeout + 2*time.Second
	// intentTimeout bounds one call with an intent.
	intentTimeout = time.Second
	// leaderRetryDelay is the delay before the control instances are tried again.
	leaderRetryDelay = 20 * time.Millisecond
)

// leaderClient calls the control instance that currently leads.
type leaderClient struct {
	cf settings.Instance
	pc peerClient
	th *thread
	ts *timer.Service
}

// candidates returns the control instances in the order to try them, the hinted leader first.
func (lc *leaderClient) candidates(hint string) []string {
	names := make([]string, 0, len(lc.cf.Control.Voters)+1)
	if hint != "" {
		names = append(names, hint)
	}
	for _, vr := range lc.cf.Control.Voters {
		if vr.Name != hint {
			names = append(names, vr.Name)
		}
	}
	return names
}

// call calls control instances in turn until accept takes a reply or the context ends. If the
// reply names a leader, accept returns that name and it is tried next.
func (lc *leaderClient) call(ctx context.Context, timeout time.Duration, ms peer.Message, accept func(peer.Message) (leader string, ok bool)) error {
	hint := ""
	for {
		names := lc.candidates(hint)
		hint = ""
		for _, name := range names {
			rp, err := lc.callOne(ctx, timeout, name, ms)
			if ctx.Err() != nil {
				return &result.Error{Code: result.ControlUnavailable, Op: "ask control", Detail: "no leader answered in time", Err: ctx.Err()}
			}
			if err != nil {
				continue
			}
			leader, ok := accept(rp)
			if ok {
				return nil
			}
			if leader != "" && leader != name {
				hint = leader
				break
			}
		}
		if err := lc.ts.Sleep(ctx, leaderRetryDelay); err != nil {
			return &result.Error{Code: result.ControlUnavailable, Op: "ask control", Detail: "no leader answered in time", Err: err}
		}
	}
}

func (lc *leaderClient) callOne(ctx context.Context, timeout time.Duration, name string, ms peer.Message) (peer.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return lc.pc.call(ctx, name, ms)
}

// propose sends a command and retries until the outcome is known or the context ends. Commands
// are idempotent, so a command whose reply was lost can be sent again.
func (lc *leaderClient) propose(ctx context.Context, timeout time.Duration, cm control.Command) (control.Outcome, error) {
	data, err := control.Encode(cm)
	if err != nil {
		return nil, &result.Error{Code: result.Invalid, Op: "encode command", Err: err}
	}
	var oc control.Outcome
	var invalid error
	err = lc.call(ctx, timeout, control.Proposal{Command: data}, func(ms peer.Message) (string, bool) {
		rp, ok := ms.(control.ProposalReply)
		if !ok {
			return "", false
		}
		if rp.Code == result.Invalid {
			invalid = &result.Error{Code: result.Invalid, Op: "propose", Detail: "the leader can't read the command"}
			return "", true
		}
		if len(rp.Outcome) == 0 {
			return rp.Leader, false
		}
		got, err := control.DecodeOutcome(rp.Outcome)
		if err != nil {
			return "", false
		}
		oc = got
		return "", true
	})
	if err != nil {
		return nil, err
	}
	return oc, invalid
}
