package instance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/quorum"
)

// The leader is killed, and the two other voters stand for election at the same moment
// in one term after the other, each with its own vote alone, until leases have run out
// and callers are refused. Voters that started at different times must wait for different
// times, each anew.
func TestVotersWaitDifferently(t *testing.T) {
	c := qt.New(t)
	const voters, election = 8, time.Second
	waits := make(map[time.Duration]bool)
	for ix := range voters {
		now := time.Unix(1000, int64(ix)*12_345_678)
		id := quorum.ID(fmt.Sprint("voter-", ix))
		alone := quorum.VoterSet{Voters: []quorum.ID{id}} // It needs no clearance from others.

		st := quorum.New(quorumConfig(id, 1, election, election/5), quorum.StoredState{SnapshotIndex: 1, SnapshotTerm: 1, SnapshotVoters: alone}, now)
		at, ok := st.NextTick()
		c.Assert(ok, qt.IsTrue)
		t.Log(st.Role(), at.Sub(now))
		waits[at.Sub(now)] = true
	}
	c.Assert(waits, qt.HasLen, voters)
}
