package instance

import (
	"balsamwinch.example/control"
	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
	"balsamwinch.example/wal"
)

func (vo *voter) restoreState(index, term uint64, data []byte) error {
	if len(data) > 0 {
		sm, err := control.DecodeState(data)
		if err != nil {
			return &result.Error{Code: result.DamagedState, Op: "read snapshot", Err: err}
		}
		vo.sm = sm
	}
	vo.appliedIndex = index
	vo.appliedTerm = term
	vo.snapshotSize = len(data)
	return nil
}

// firstSnapshot returns the snapshot that a newly formed tier starts with. It is the same on
// every voter, so that their logs start equal.
func firstSnapshot(vs quorum.VoterSet) wal.Snapshot {
	return wal.Snapshot{Index: 1, Term: 1, Voters: vs}
}

func (vo *voter) saveSnapshot() {
	data, err := vo.sm.Encode()
	if vo.storageFailed(err) {
		return
	}
	sn := wal.Snapshot{
		Index:  vo.appliedIndex,
		Term:   vo.appliedTerm,
		Voters: vo.st.VotersAt(vo.appliedIndex),
		Data:   data,
	}
	if vo.storageFailed(vo.jo.SaveSnapshot(sn)) {
		return
	}
	vo.changesSince, vo.bytesSince, vo.snapshotSize = 0, 0, len(data)
	vo.step(quorum.Compacted{Index: sn.Index})
}

func (vo *voter) sendSnapshot(to quorum.ID) {
	data, err := vo.sm.Encode()
	if vo.storageFailed(err) {
		return
	}
	vo.step(quorum.SnapshotReady{
		Now:    vo.th.ts.Now(),
		To:     to,
		Index:  vo.appliedIndex,
		Term:   vo.appliedTerm,
		Voters: vo.st.VotersAt(vo.appliedIndex),
		Data:   data,
	})
}

func (vo *voter) restoreSnapshot(ac quorum.Restore) {
	sn := wal.Snapshot{Index: ac.Index, Term: ac.Term, Voters: ac.Voters, Data: ac.Data}
	if vo.storageFailed(vo.jo.SaveSnapshot(sn)) {
		return
	}
	vo.storageFailed(vo.restoreState(ac.Index, ac.Term, ac.Data))
}
