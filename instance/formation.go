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

// formationRetryDelay is the delay between two rounds of requests.
const formationRetryDelay = 100 * time.Millisecond

// bootstrapper finds out, for an empty disk, whether the tier was already formed.
//
// A replaced disk must never vote under the identity of the lost one: the lost disk's votes
// and acknowledged entries are gone, and a second vote in the same term could elect two
// leaders. So each disk has its own identity. Only the first configured control instance forms
// the tier, once all others have reported empty disks too. An empty disk that finds the tier
// formed without it waits as a non-member until the leader adds it.
type bootstrapper struct {
	cf settings.Instance
	id quorum.ID
	pc peerClient
	th *thread
	ts *timer.Service
	lg *zap.Logger
}

// Serve polls the other control instances until it is decided whether the tier was formed. A
// disk that is not a member goes on polling, which tells the leader of it, until it has been
// added.
func (bs *bootstrapper) Serve(ctx context.Context) error {
	reported := false
	for {
		vs, member, decided := bs.pollVoters(ctx)
		if member && reported {
			return suture.ErrDoNotRestart
		}
		if decided && !reported {
			reported = true
			if !member {
				vs = quorum.VoterSet{}
				bs.lg.Warn("disk-not-in-voter-set", zap.String("ID", string(bs.id)))
			}
			if err := bs.th.post(ctx, tierFormed{vs: vs}); err != nil {
				return err
			}
			if member {
				return suture.ErrDoNotRestart
			}
		}
		if err := bs.ts.Sleep(ctx, formationRetryDelay); err != nil {
			return err
		}
	}
}

// pollVoters asks each other control instance once. It returns the voter set, whether this
// disk is a member, and whether the answer is final.
func (bs *bootstrapper) pollVoters(ctx context.Context) (vs quorum.VoterSet, member, decided bool) {
	vrs := bs.cf.Control.Voters
	fresh := []quorum.ID{bs.id}
	for _, vr := range vrs {
		if vr.Name == bs.cf.Name {
			continue
		}
		rp, ok := bs.requestFormation(ctx, vr.Name)
		if !ok {
			continue
		}
		if rp.Formed && !includes(vs, bs.id) {
			vs = rp.Voters
			decided = true
		}
		if !rp.Formed {
			fresh = append(fresh, rp.ID)
		}
	}
	if decided {
		return vs, includes(vs, bs.id), true
	}
	if vrs[0].Name == bs.cf.Name && len(fresh) == len(vrs) {
		return quorum.VoterSet{Voters: fresh}, true, true
	}
	return vs, false, false
}

func (bs *bootstrapper) requestFormation(ctx context.Context, name string) (formationReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ms, err := bs.pc.call(ctx, name, formationRequest{Name: bs.cf.Name, ID: bs.id})
	if err != nil {
		return formationReply{}, false
	}
	rp, ok := ms.(formationReply)
	return rp, ok
}
