package instance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/quorum"
)

// The leader is killed, and the two other voters start elections at the same moment in term
// after term. Each gets only its own vote, until leases expire and callers are refused. Voters
// that started at different times must have different election timeouts.
func TestElectionTimeoutsDiffer(t *testing.T) {
	c := qt.New(t)
	const voters, election = 8, time.Second
	waits := make(map[time.Duration]bool)
	for ix := range voters {
		now := time.Unix(1000, int64(ix)*12_345_678)
		id := quorum.ID(fmt.Sprint("voter-", ix))
		alone := quorum.VoterSet{Voters: []quorum.ID{id}} // a single voter needs no clearance from others

		st := quorum.New(quorumConfig(id, 1, election, election/5), quorum.StoredState{SnapshotIndex: 1, SnapshotTerm: 1, SnapshotVoters: alone}, now)
		at, ok := st.NextTick()
		c.Assert(ok, qt.IsTrue)
		t.Log(st.Role(), at.Sub(now))
		waits[at.Sub(now)] = true
	}
	c.Assert(waits, qt.HasLen, voters)
}
