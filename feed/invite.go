package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/link"
	"balsamwinch.example/peer"
)

// Timeouts and limits of invitations.
const (
	// minInviteBackoff is the delay before an entry instance that wasn't reached is
	// invited again. It doubles up to maxInviteBackoff, which is short: the machine may
	// come back at any moment, and an entry instance that knows no control instance can't
	// serve callers.
	minInviteBackoff = 50 * time.Millisecond
	maxInviteBackoff = 800 * time.Millisecond
	// inviteTimeout is how long a control instance sends invitations after its start.
	// Entry instances that come back later find it through their seeds or through the
	// member list of another control instance.
	inviteTimeout = 5 * time.Second
	// inviteDialTimeout bounds one dial. A machine without power doesn't answer; a
	// reachable one does within milliseconds.
	inviteDialTimeout = 100 * time.Millisecond
	// maxConcurrentInvites bounds the invitations in flight, so that hundreds of entry
	// instances cost a control instance only a few connections at a time.
	maxConcurrentInvites = 32
)

// Invite informs an entry instance that a control instance is running, and at which
// address. It is the first message on its connection; the entry instance acknowledges it
// by sending it back.
type Invite struct {
	Name    string `cbor:"1,keyasint"` // name of the control instance
	Address string `cbor:"2,keyasint"` // where instances connect to the control instance, as IP:port
}

// Kind returns the kind of the message.
func (Invite) Kind() peer.Kind { return kindInvite }

// Invitee is an entry instance to invite.
type Invitee struct {
	Name    string
	Address string // where it accepts invitations, as IP:port
}

// InviteAll informs entry instances, in the given order, that a control instance has
// started. It returns once each was reached or has connected by itself, after
// inviteTimeout, or when the context ends.
//
// It shortens the outage after a power loss of all machines. An entry instance that
// starts again knows only its seeds and redials them with a backoff. A control instance
// that is not a seed may run long before the first seed does, and callers would be
// rejected although everything needed is running. So a control instance that starts
// invites the entry instances that it knew before.
func InviteAll(ctx context.Context, lc link.Config, lg *zap.Logger, iv Invite, invitees []Invitee, linked func(name string) bool) {
	ctx, cancel := context.WithTimeout(ctx, inviteTimeout)
	defer cancel()
	lc.DialTimeout = min(lc.DialTimeout, inviteDialTimeout)
	slots := make(chan struct{}, maxConcurrentInvites)
	var wg sync.WaitGroup
	for _, ie := range invitees {
		slots <- struct{}{} // Keep the order of the first attempts.
		wg.Go(func() {
			if attempts := invite(ctx, lc, slots, iv, ie, linked); attempts > 0 {
				lg.Info("entry-invited", zap.String("Address", ie.Address), zap.Int("Tries", attempts))
			}
		})
	}
	wg.Wait()
}

// invite invites one entry instance until it has acknowledged or is linked. It returns
// the number of attempts, or 0 if the instance wasn't reached. The caller has taken a
// slot for the first attempt.
func invite(ctx context.Context, lc link.Config, slots chan struct{}, iv Invite, ie Invitee, linked func(string) bool) int {
	backoff := minInviteBackoff
	for attempt := 1; ; attempt++ {
		if attempt > 1 {
			slots <- struct{}{}
		}
		reached := linked(ie.Name) || sendInvite(ctx, lc, iv, ie.Address)
		<-slots
		if reached {
			return attempt
		}
		if lc.Timers.Sleep(ctx, backoff/2+rand.N(backoff/2)) != nil {
			return 0
		}
		backoff = min(2*backoff, maxInviteBackoff)
	}
}

// sendInvite sends one invitation and reports whether it was acknowledged.
func sendInvite(ctx context.Context, lc link.Config, iv Invite, address string) bool {
	co, err := link.Dial(ctx, address, lc)
	if err != nil {
		return false
	}
	defer co.Close()
	if co.Send(iv) != nil {
		return false
	}
	ms, err := co.Receive()
	_, ok := ms.(Invite)
	return err == nil && ok
}

// HandleInvite serves a connection on which a control instance invites this entry
// instance, and acknowledges by sending the same message back.
func (su *Subscriber) HandleInvite(_ context.Context, co *link.Conn) {
	ms, err := co.Receive()
	iv, ok := ms.(Invite)
	if err != nil || !ok || iv.Address == "" {
		return
	}
	su.lg.Info("invited", zap.String("Control", iv.Name), zap.String("Address", iv.Address))
	su.mu.Lock()
	su.newInvites[iv.Address] = su.ts.Now()
	su.mu.Unlock()
	su.wakeServe()
	if co.Send(iv) == nil {
		_, _ = co.Receive() // The other end closes once it has the acknowledgement.
	}
}

// processInvites handles the invitations since the last call. A link that waits for its
// redial backoff dials at once.
func (su *Subscriber) processInvites() {
	su.mu.Lock()
	invites := su.newInvites
	su.newInvites = make(map[string]time.Time)
	su.mu.Unlock()
	for address, at := range invites {
		su.invited[address] = at
		if so, ok := su.sources[address]; ok {
			so.redialNow()
		}
	}
}

// recentInviters returns the addresses of control instances that sent an invitation
// within unlistedTTL. They need not be listed by any other control instance.
func (su *Subscriber) recentInviters(now time.Time) []string {
	var out []string
	for address, at := range su.invited {
		if now.Sub(at) >= unlistedTTL {
			delete(su.invited, address)
			continue
		}
		out = append(out, address)
	}
	return out
}

// redialNow ends the source's redial backoff.
func (so *source) redialNow() {
	select {
	case so.redial <- struct{}{}:
	default:
	}
}

// waitToRedial waits for a delay or until redialNow is called. It returns false if the
// context ended first.
func (so *source) waitToRedial(ctx context.Context, delay time.Duration) bool {
	tm := time.NewTimer(delay)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-so.redial:
		return true
	case <-ctx.Done():
		return false
	}
}
