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

// Times and bounds of invitations.
const (
	// inviteFirst is the time before an entry instance that wasn't reached is invited
	// again. It doubles up to inviteMost: the machine may come back any moment, and an
	// entry instance that knows no control instance serves nobody.
	inviteFirst = 50 * time.Millisecond
	inviteMost  = 800 * time.Millisecond
	// inviteFor is for how long a control instance invites after its start. Entry
	// instances that come back later find it by their seeds, or by another one's list.
	inviteFor = 5 * time.Second
	// inviteDial bounds one dial. A machine without power doesn't answer; one in reach
	// does within milliseconds.
	inviteDial = 100 * time.Millisecond
	// invitesAtOnce bounds the dials under way, so that hundreds of entry instances
	// cost a control instance no more than a few connections at a time.
	invitesAtOnce = 32
)

// Invite tells an entry instance that a control instance runs, and where. It is the
// first message on its connection, and the answer is the same message.
type Invite struct {
	Name    string `cbor:"1,keyasint"` // Name of the control instance.
	Address string `cbor:"2,keyasint"` // Address is where instances connect to it, as IP:port.
}

// Kind returns the kind of the message.
func (Invite) Kind() peer.Kind { return kindInvite }

// Invitee is an entry instance to invite.
type Invitee struct {
	Name    string
	Address string // Address is where it takes invitations, as IP:port.
}

// InviteAll tells entry instances that a control instance has started, in the order in
// which they are given. It returns once each was reached or is linked by itself, inviteFor
// has passed or the context ends.
//
// When all machines lose power, an entry instance knows the seeds alone at its next
// start, and dials them now and then. A control instance that is no seed may run long
// before the first seed, and a dial that found a machine without power or a closed port
// is repeated only after a pause: callers are refused meanwhile though all that is
// needed runs. So the one who comes first says so to those whom it knew.
func InviteAll(ctx context.Context, lc link.Config, lg *zap.Logger, iv Invite, invitees []Invitee, linked func(name string) bool) {
	ctx, cancel := context.WithTimeout(ctx, inviteFor)
	defer cancel()
	lc.Dial = min(lc.Dial, inviteDial)
	room := make(chan struct{}, invitesAtOnce)
	var wg sync.WaitGroup
	for _, ie := range invitees {
		room <- struct{}{} // The first tries keep the order.
		wg.Go(func() {
			if tries := invite(ctx, lc, room, iv, ie, linked); tries > 0 {
				lg.Info("entry-invited", zap.String("Address", ie.Address), zap.Int("Tries", tries))
			}
		})
	}
	wg.Wait()
}

// invite invites one entry instance until it has heard or is linked, and returns how many
// tries it took; 0 if it was not reached. It begins with room for the first try.
func invite(ctx context.Context, lc link.Config, room chan struct{}, iv Invite, ie Invitee, linked func(string) bool) int {
	pause := inviteFirst
	for try := 1; ; try++ {
		if try > 1 {
			room <- struct{}{}
		}
		heard := linked(ie.Name) || inviteOnce(ctx, lc, iv, ie.Address)
		<-room
		if heard {
			return try
		}
		if lc.TS.Sleep(ctx, pause/2+rand.N(pause/2)) != nil {
			return 0
		}
		pause = min(2*pause, inviteMost)
	}
}

// inviteOnce reports whether the entry instance has heard, as its answer says.
func inviteOnce(ctx context.Context, lc link.Config, iv Invite, address string) bool {
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
// instance, and answers with the same message.
func (su *Subscriber) HandleInvite(_ context.Context, co *link.Conn) {
	ms, err := co.Receive()
	iv, ok := ms.(Invite)
	if err != nil || !ok || iv.Address == "" {
		return
	}
	su.lg.Info("invited", zap.String("Control", iv.Name), zap.String("Address", iv.Address))
	su.mu.Lock()
	su.invites[iv.Address] = su.ts.Now()
	su.mu.Unlock()
	su.nudge()
	if co.Send(iv) == nil {
		_, _ = co.Receive() // The other end closes, once it has the answer.
	}
}

// takeInvites takes in the invitations since the last call. A link that waits before
// its next dial dials at once.
func (su *Subscriber) takeInvites() {
	su.mu.Lock()
	invites := su.invites
	su.invites = make(map[string]time.Time)
	su.mu.Unlock()
	for address, at := range invites {
		su.invited[address] = at
		if so, ok := su.sources[address]; ok {
			so.hasten()
		}
	}
}

// stillInvited returns the addresses of control instances that invited this instance so
// lately that they need not be listed by any other.
func (su *Subscriber) stillInvited(now time.Time) []string {
	var out []string
	for address, at := range su.invited {
		if now.Sub(at) >= forgetAfter {
			delete(su.invited, address)
			continue
		}
		out = append(out, address)
	}
	return out
}

// hasten makes a source that waits before its next dial dial now.
func (so *source) hasten() {
	select {
	case so.hurry <- struct{}{}:
	default:
	}
}

// wait waits for a delay, or until the source is to hurry. It returns false if the
// context ended first.
func (so *source) wait(ctx context.Context, delay time.Duration) bool {
	tm := time.NewTimer(delay)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-so.hurry:
		return true
	case <-ctx.Done():
		return false
	}
}
