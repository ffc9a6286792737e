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

// Times of a proposal.
const (
	// proposeTimeout bounds one call with a command, which for a change includes
	// the wait until it is in force.
	proposeTimeout = inForceWait + 2*time.Second
	// intentTimeout bounds one call with an intent.
	intentTimeout = time.Second
	// leaderPause is the time before the next instance is asked for its leader.
	leaderPause = 20 * time.Millisecond
)

// leaderAsker sends messages to whichever instance leads control.
type leaderAsker struct {
	cf settings.Instance
	as asker
	th *thread
	ts *timer.Service
}

// order returns whom to ask in turn, the guess first.
func (la *leaderAsker) order(guess string) []string {
	names := make([]string, 0, len(la.cf.Control.Voters)+1)
	if guess != "" {
		names = append(names, guess)
	}
	for _, vr := range la.cf.Control.Voters {
		if vr.Name != guess {
			names = append(names, vr.Name)
		}
	}
	return names
}

// until asks control instances in turn until done accepts a reply or the context
// ends. done gives the name of the leader to ask next, if the reply names one.
func (la *leaderAsker) until(ctx context.Context, timeout time.Duration, ms peer.Message, done func(peer.Message) (leader string, ok bool)) error {
	guess := ""
	for {
		names := la.order(guess)
		guess = ""
		for _, name := range names {
			rp, err := la.once(ctx, timeout, name, ms)
			if ctx.Err() != nil {
				return &result.Error{Code: result.ControlUnavailable, Op: "ask control", Detail: "no leader answered in time", Err: ctx.Err()}
			}
			if err != nil {
				continue
			}
			leader, ok := done(rp)
			if ok {
				return nil
			}
			if leader != "" && leader != name {
				guess = leader
				break
			}
		}
		if err := la.ts.Sleep(ctx, leaderPause); err != nil {
			return &result.Error{Code: result.ControlUnavailable, Op: "ask control", Detail: "no leader answered in time", Err: err}
		}
	}
}

func (la *leaderAsker) once(ctx context.Context, timeout time.Duration, name string, ms peer.Message) (peer.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return la.as.ask(ctx, name, ms)
}

// propose resends a command until its outcome is known or the context ends. All
// commands are idempotent, so a lost reply costs nothing but the resend.
func (la *leaderAsker) propose(ctx context.Context, timeout time.Duration, cm control.Command) (control.Outcome, error) {
	data, err := control.Encode(cm)
	if err != nil {
		return nil, &result.Error{Code: result.Invalid, Op: "encode command", Err: err}
	}
	var oc control.Outcome
	var invalid error
	err = la.until(ctx, timeout, control.Proposal{Command: data}, func(ms peer.Message) (string, bool) {
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
