package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
)

const (
	testFolder       = "data"
	testSegmentLimit = 100
)

func mustOpen(tb testing.TB, di *memoryDisk) (*Journal, Recovered) {
	tb.Helper()
	jo, re, err := open(di, testFolder, zap.NewNop(), testSegmentLimit)
	qt.Assert(tb, err, qt.IsNil)
	return jo, re
}

// entry returns an entry whose data differs from that of entries in other terms.
func entry(index, term uint64) quorum.Entry {
	return quorum.Entry{Index: index, Term: term, Data: []byte(fmt.Sprintf("%d in %d", index, term))}
}

func entries(from, to, term uint64) []quorum.Entry {
	var ens []quorum.Entry
	for in := from; in <= to; in++ {
		ens = append(ens, entry(in, term))
	}
	return ens
}

func dropUnsynced([]byte) []byte { return nil }

// newFilledDisk returns a disk with 9 entries in several segments and a vote.
func newFilledDisk(tb testing.TB) *memoryDisk {
	di := newMemoryDisk()
	jo, _ := mustOpen(tb, di)
	for in := uint64(1); in <= 9; in++ {
		qt.Assert(tb, jo.Save(quorum.Save{Hard: &quorum.HardState{Term: 3, Vote: "b"}, Entries: entries(in, in, 3)}), qt.IsNil)
	}
	qt.Assert(tb, jo.Close(), qt.IsNil)
	return di
}

func segments(di *memoryDisk) []string {
	var ses []string
	names, _ := di.ReadDir(testFolder)
	for _, na := range names {
		if strings.HasPrefix(na, segmentPrefix) {
			ses = append(ses, filepath.Join(testFolder, na))
		}
	}
	return ses
}

// A voter grants its vote and loses power. If the vote was only in the page cache because
// it wasn't synced before the reply, the voter could vote again in the same term, and two
// leaders of one term would accept proposals.
func TestSavedStateSurvivesPowerLoss(t *testing.T) {
	c := qt.New(t)
	di := newMemoryDisk()
	jo, first := mustOpen(t, di)
	c.Assert(jo.Save(quorum.Save{Hard: &quorum.HardState{Term: 7, Vote: "a"}, Entries: entries(1, 2, 7)}), qt.IsNil)
	_, re := mustOpen(t, di.crash(dropUnsynced))
	c.Check(re.Hard, qt.Equals, quorum.HardState{Term: 7, Vote: "a"})
	c.Check(re.Entries, qt.DeepEquals, entries(1, 2, 7))
	c.Check(re.DiskID, qt.Equals, first.DiskID)
	c.Check([]uint64{first.Boot, re.Boot}, qt.DeepEquals, []uint64{1, 2})
}

// Power is lost while a record is written. The end of the last segment then holds part of
// the record, cut short or with sectors that read as zeros. The voter must recover
// everything it had acknowledged and continue.
func TestTornTailIsTruncated(t *testing.T) {
	for _, tc := range []struct {
		name string
		torn func([]byte) []byte
	}{
		{"half of the header", func(da []byte) []byte { return da[:frameHeaderBytes/2] }},
		{"half of the body", func(da []byte) []byte { return da[:frameHeaderBytes+5] }},
		{"zeros", func(da []byte) []byte { return make([]byte, len(da)) }},
		{"a sector of zeros", func(da []byte) []byte { return append(make([]byte, sectorBytes), da[sectorBytes:]...) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			di := newFilledDisk(t)
			di.injectFailure = func(op, _ string) error {
				if op == "sync" {
					return syscall.EIO
				}
				return nil
			}
			jo := mustOpenLargeSegments(t, di)
			big := quorum.Entry{Index: 10, Term: 3, Data: make([]byte, 4*sectorBytes)}
			for i := range big.Data {
				big.Data[i] = 'x'
			}
			c.Assert(jo.Save(quorum.Save{Entries: []quorum.Entry{big}}), qt.IsNotNil)

			after := di.crash(tc.torn)
			co, logs := observer.New(zap.WarnLevel)
			jo, re, err := open(after, testFolder, zap.New(co), 1<<20)
			c.Assert(err, qt.IsNil)
			c.Check(re.Entries, qt.DeepEquals, entries(1, 9, 3))
			c.Check(re.TornBytes > 0, qt.IsTrue)
			c.Check(logs.FilterMessage("journal.torn_tail").Len(), qt.Equals, 1)
			c.Assert(jo.Save(quorum.Save{Entries: entries(10, 10, 4)}), qt.IsNil)
			_, re = mustOpen(t, after)
			c.Check(re.Entries, qt.DeepEquals, append(entries(1, 9, 3), entry(10, 4)))
		})
	}
}

// mustOpenLargeSegments opens a disk without injected failures and with space in the last
// segment.
func mustOpenLargeSegments(tb testing.TB, di *memoryDisk) *Journal {
	fail := di.injectFailure
	di.injectFailure = nil
	jo, _, err := open(di, testFolder, zap.NewNop(), 1<<20)
	qt.Assert(tb, err, qt.IsNil)
	di.injectFailure = fail
	return jo
}

// A sector goes bad under a record that was synced long ago. If recovery took it for a torn
// tail, the voter would start with a shorter log and an older vote, and entries that a
// majority acknowledged could be lost. One bit is flipped in each byte of every file,
// including the last record.
func TestFlippedBitIsReportedAsDamage(t *testing.T) {
	c := qt.New(t)
	di := newFilledDisk(t)
	c.Assert(len(segments(di)) > 2, qt.IsTrue)
	for na := range di.visible {
		for at := range di.visible[na].data {
			bad := di.crash(dropUnsynced)
			bad.visible[na].data[at] ^= 0x10
			_, _, err := open(bad, testFolder, zap.NewNop(), testSegmentLimit)
			var re *result.Error
			c.Assert(errors.As(err, &re), qt.IsTrue, qt.Commentf("%s, byte %d: %v", na, at, err))
			c.Assert(re.Code, qt.Equals, result.DamagedState)
			c.Assert(re.Detail, qt.Matches, "file "+filepath.Base(na)+`, offset \d+: .*`)
		}
	}
}

// A whole sector under an older record reads as zeros, like the missing part of an
// interrupted write. The intact record after it distinguishes the two cases.
func TestZeroedSectorBeforeIntactRecordIsDamage(t *testing.T) {
	di := newMemoryDisk()
	jo := mustOpenLargeSegments(t, di)
	for in := uint64(1); in <= 2; in++ {
		en := quorum.Entry{Index: in, Term: 1, Data: []byte(strings.Repeat("x", 4*sectorBytes))}
		qt.Assert(t, jo.Save(quorum.Save{Entries: []quorum.Entry{en}}), qt.IsNil)
	}
	clear(di.visible[segments(di)[0]].data[sectorBytes : 2*sectorBytes])
	_, _, err := open(di, testFolder, zap.NewNop(), testSegmentLimit)
	qt.Assert(t, err, qt.ErrorMatches, `journal: open: DamagedState \(402\): file segment-.*, offset \d+: the checksum is wrong`)
}

// Files were deleted, or only part of a backup was restored. The voter must report that and
// not start with the remaining files.
func TestMissingFilesAreReportedAsDamage(t *testing.T) {
	for _, tc := range []struct {
		name   string
		remove func(di *memoryDisk) string
	}{
		{"identity", func(*memoryDisk) string { return filepath.Join(testFolder, identityName) }},
		{"snapshot", func(*memoryDisk) string { return filepath.Join(testFolder, snapshotName) }},
		{"segment in the middle", func(di *memoryDisk) string { return segments(di)[1] }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			di := newFilledDisk(t)
			jo, _ := mustOpen(t, di)
			qt.Assert(t, jo.SaveSnapshot(Snapshot{Index: 4, Term: 3}), qt.IsNil)
			delete(di.visible, tc.remove(di))
			_, _, err := open(di, testFolder, zap.NewNop(), testSegmentLimit)
			qt.Assert(t, err, qt.ErrorMatches, `journal: open: DamagedState \(402\): file .*`)
		})
	}
	di := newFilledDisk(t)
	jo, _ := mustOpen(t, di)
	for term := uint64(4); term < 12; term++ { // Segments without entries leave no gap in the log.
		qt.Assert(t, jo.Save(quorum.Save{Hard: &quorum.HardState{Term: term}}), qt.IsNil)
	}
	votes := di.crash(dropUnsynced)
	delete(votes.visible, segments(votes)[len(segments(votes))-2])
	_, _, err := open(votes, testFolder, zap.NewNop(), testSegmentLimit)
	qt.Assert(t, err, qt.ErrorMatches, `.*want record \d+, got \d+`)
	for _, se := range segments(di) {
		delete(di.visible, se)
	}
	_, _, err = open(di, testFolder, zap.NewNop(), testSegmentLimit)
	qt.Assert(t, err, qt.ErrorMatches, `.*segments are missing`)
}

// The disk is full, or a sync fails. The kernel may then drop the pages and report success
// at the next sync. A voter that continued would acknowledge entries after a gap.
func TestFailedWriteDisablesJournal(t *testing.T) {
	for _, op := range []string{"write", "sync"} {
		t.Run(op, func(t *testing.T) {
			c := qt.New(t)
			di := newMemoryDisk()
			jo := mustOpenLargeSegments(t, di)
			c.Assert(jo.Save(quorum.Save{Entries: entries(1, 1, 1)}), qt.IsNil)
			di.injectFailure = func(at, _ string) error {
				if at == op {
					return syscall.ENOSPC
				}
				return nil
			}
			c.Check(jo.Save(quorum.Save{Entries: entries(2, 2, 1)}), qt.ErrorMatches, `journal: save: StorageFailed .*no space left.*`)
			di.injectFailure = nil
			c.Check(jo.Save(quorum.Save{Entries: entries(2, 2, 1)}), qt.ErrorMatches, `.*StorageFailed.*`)
			c.Check(jo.SaveSnapshot(Snapshot{Index: 1, Term: 1}), qt.ErrorMatches, `.*StorageFailed.*`)
			_, re := mustOpen(t, di.crash(dropUnsynced))
			c.Check(re.Entries, qt.DeepEquals, entries(1, 1, 1))
		})
	}
}

// A sync fails and the voter opens the folder again without a reboot of the machine. The
// kernel still returns the written data, but has dropped the dirty pages and reports
// success for the next sync: the voter would acknowledge an entry that a power loss
// removes. Therefore the failed write is truncated before the folder is opened again.
func TestFailedWriteIsNotRecovered(t *testing.T) {
	for _, op := range []string{"sync", "write"} {
		t.Run(op, func(t *testing.T) {
			c := qt.New(t)
			di := newFilledDisk(t)
			jo, _, err := open(di, testFolder, zap.NewNop(), defaultSegmentLimit)
			c.Assert(err, qt.IsNil)
			di.injectFailure = func(what, _ string) error {
				if what == op {
					return syscall.EIO
				}
				return nil
			}
			c.Assert(jo.Save(quorum.Save{Entries: entries(10, 10, 3)}), qt.IsNotNil)
			di.injectFailure = nil
			c.Assert(jo.Close(), qt.IsNil)
			jo, re := mustOpen(t, di)
			c.Check(re.Entries, qt.DeepEquals, entries(1, 9, 3))
			c.Check(re.TornBytes, qt.Equals, int64(0))
			c.Assert(jo.Save(quorum.Save{Entries: entries(10, 11, 4)}), qt.IsNil)
			_, re = mustOpen(t, di.crash(dropUnsynced))
			c.Check(re.Entries[9:], qt.DeepEquals, entries(10, 11, 4))
		})
	}
}

// A voter that was isolated for long receives a snapshot of a log that diverges from its
// own. Its own entries after that index were never committed: if they returned after a
// restart, the voter would appear more up to date than it is.
func TestSnapshotReplacesDivergentLog(t *testing.T) {
	c := qt.New(t)
	di := newFilledDisk(t)
	jo, _ := mustOpen(t, di)
	sn := Snapshot{Index: 5, Term: 4, Voters: quorum.VoterSet{Voters: []quorum.ID{"a"}}, Data: []byte("state")}
	c.Assert(jo.SaveSnapshot(sn), qt.IsNil)
	c.Assert(jo.Save(quorum.Save{Entries: entries(6, 6, 4)}), qt.IsNil)
	c.Check(segments(di), qt.HasLen, 1)
	_, re := mustOpen(t, di)
	c.Check(re.Snapshot, qt.DeepEquals, sn)
	c.Check(re.Entries, qt.DeepEquals, entries(6, 6, 4))
	c.Check(re.Hard, qt.Equals, quorum.HardState{Term: 3, Vote: "b"})
}

func TestFolderIsLocked(t *testing.T) {
	c := qt.New(t)
	dir := filepath.Join(t.TempDir(), "new")
	jo, _, err := Open(dir, zap.NewNop())
	c.Assert(err, qt.IsNil)
	_, _, err = Open(dir, zap.NewNop())
	c.Check(err, qt.ErrorMatches, `(?s).*StorageFailed.*another process has the folder open.*`)
	c.Assert(jo.Save(quorum.Save{Entries: entries(1, 1, 1)}), qt.IsNil)
	c.Assert(jo.SaveSnapshot(Snapshot{Index: 1, Term: 1, Data: []byte("x")}), qt.IsNil)
	c.Assert(jo.Close(), qt.IsNil)
	c.Check(jo.Save(quorum.Save{}), qt.ErrorMatches, `.*closed`)
	_, re, err := Open(dir, zap.NewNop())
	c.Assert(err, qt.IsNil)
	c.Check(re.Snapshot.Data, qt.DeepEquals, []byte("x"))
}

// journalModel is the state that a journal must hold.
type journalModel struct {
	hard     quorum.HardState
	snapshot Snapshot
	entries  []quorum.Entry
}

func (mo journalModel) last() uint64 {
	return mo.snapshot.Index + uint64(len(mo.entries))
}

func (mo journalModel) withSave(sv quorum.Save) journalModel {
	if sv.Hard != nil {
		mo.hard = *sv.Hard
	}
	if sv.TruncateFrom != 0 {
		mo.entries = mo.entries[:sv.TruncateFrom-mo.snapshot.Index-1]
	}
	mo.entries = append(mo.entries[:len(mo.entries):len(mo.entries)], sv.Entries...)
	return mo
}

func (mo journalModel) withSnapshot(sn Snapshot) journalModel {
	var after []quorum.Entry
	if at := int(sn.Index - mo.snapshot.Index); at <= len(mo.entries) && mo.entries[at-1].Term == sn.Term {
		after = mo.entries[at:]
	}
	mo.snapshot, mo.entries = sn, after
	return mo
}

// Whichever operation fails and whenever power is lost, the journal must recover everything
// it acknowledged, and beyond that at most the call that was interrupted.
func TestAcknowledgedWritesSurviveFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		di := newMemoryDisk()
		var mo, attempted journalModel // attempted is mo after the call that failed.
		for range rapid.IntRange(1, 6).Draw(rt, "boots") {
			jo, re, err := open(di, testFolder, zap.NewNop(), testSegmentLimit)
			if err != nil {
				rt.Fatal(err)
			}
			got := journalModel{hard: re.Hard, snapshot: re.Snapshot, entries: re.Entries}
			if fmt.Sprint(got) != fmt.Sprint(attempted) && fmt.Sprint(got) != fmt.Sprint(mo) {
				rt.Fatalf("acknowledged %v, maybe %v, got %v", mo, attempted, got)
			}
			mo = got
			countdown := rapid.IntRange(0, 40).Draw(rt, "failure")
			di.injectFailure = func(string, string) error {
				if countdown--; countdown < 0 {
					return syscall.EIO
				}
				return nil
			}
			for attempted, err = mo, error(nil); err == nil; {
				mo = attempted
				if attempted, err = randomCall(rt, jo, mo); rapid.IntRange(0, 9).Draw(rt, "stop") == 0 {
					break
				}
			}
			if err == nil {
				mo = attempted
			}
			keptBytes := rapid.IntRange(0, 60).Draw(rt, "torn")
			di = di.crash(func(da []byte) []byte { return da[:min(keptBytes, len(da))] })
		}
	})
}

// randomCall performs one random call and returns the model after it.
func randomCall(rt *rapid.T, jo *Journal, mo journalModel) (journalModel, error) {
	term := rapid.Uint64Range(1, 3).Draw(rt, "term")
	if rapid.IntRange(0, 4).Draw(rt, "kind") == 0 {
		sn := Snapshot{Index: mo.snapshot.Index + rapid.Uint64Range(1, 8).Draw(rt, "snapshot"), Term: term}
		return mo.withSnapshot(sn), jo.SaveSnapshot(sn)
	}
	sv := quorum.Save{Hard: &quorum.HardState{Term: term, Vote: "v"}}
	from := mo.last() + 1
	if le := len(mo.entries); le > 0 && rapid.Bool().Draw(rt, "truncate") {
		from -= rapid.Uint64Range(1, uint64(le)).Draw(rt, "back")
		sv.TruncateFrom = from
	}
	sv.Entries = entries(from, from+rapid.Uint64Range(0, 4).Draw(rt, "entries")-1, term)
	return mo.withSave(sv), jo.Save(sv)
}
