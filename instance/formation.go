package instance

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/quorum"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
)

// formationPause is the time between two rounds of asking.
const formationPause = 100 * time.Millisecond

// former finds out, for a fresh disk, whether the tier was formed already.
//
// A disk that was lost must never vote as its old self: what it voted for and
// acknowledged is gone, and a second vote in the same term would make two
// leaders. So every disk has an identity of its own, the first named control
// instance alone forms the tier once all others have said that their disks are
// fresh too, and a fresh disk that finds the tier formed without it waits as an
// outsider until the leader adds it.
type former struct {
	cf settings.Instance
	id quorum.ID
	as asker
	th *thread
	ts *timer.Service
	lg *zap.Logger
}

// Serve asks the other control instances until the matter is decided, and goes
// on announcing an outsider until it is a member.
func (fo *former) Serve(ctx context.Context) error {
	known := false
	for {
		vs, member, decided := fo.round(ctx)
		if member && known {
			return suture.ErrDoNotRestart
		}
		if decided && !known {
			known = true
			if !member {
				vs = quorum.VoterSet{}
				fo.lg.Warn("disk-not-in-voter-set", zap.String("ID", string(fo.id)))
			}
			if err := fo.th.post(ctx, formed{vs: vs}); err != nil {
				return err
			}
			if member {
				return suture.ErrDoNotRestart
			}
		}
		if err := fo.ts.Sleep(ctx, formationPause); err != nil {
			return err
		}
	}
}

// round asks each other control instance once. It returns the voter set, whether
// this disk is in it, and whether that is certain.
func (fo *former) round(ctx context.Context) (vs quorum.VoterSet, member, decided bool) {
	vrs := fo.cf.Control.Voters
	fresh := []quorum.ID{fo.id}
	for _, vr := range vrs {
		if vr.Name == fo.cf.Name {
			continue
		}
		rp, ok := fo.asks(ctx, vr.Name)
		if !ok {
			continue
		}
		if rp.Formed && !includes(vs, fo.id) {
			vs = rp.Voters
			decided = true
		}
		if !rp.Formed {
			fresh = append(fresh, rp.ID)
		}
	}
	if decided {
		return vs, includes(vs, fo.id), true
	}
	if vrs[0].Name == fo.cf.Name && len(fresh) == len(vrs) {
		return quorum.VoterSet{Voters: fresh}, true, true
	}
	return vs, false, false
}

func (fo *former) asks(ctx context.Context, name string) (formationReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ms, err := fo.as.ask(ctx, name, formationRequest{Name: fo.cf.Name, ID: fo.id})
	if err != nil {
		return formationReply{}, false
	}
	rp, ok := ms.(formationReply)
	return rp, ok
}
