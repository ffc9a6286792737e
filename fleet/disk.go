package fleet

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
	"balsamwinch.example/wal"
)

// The names in a data folder.
const (
	logName      = "log"         // logName is the folder of package wal.
	doubtfulName = "log.unused"  // doubtfulName is a log that must not be used any more.
	firstName    = "first-start" // firstName marks a disk that took part in the first start.
)

// Pauses before a disk that failed is opened again.
const (
	firstReopen = 200 * time.Millisecond
	lastReopen  = time.Second
)

// firstStart is the content of the mark of a disk that took part in the first
// start of all.
type firstStart struct {
	Seeds []string // Seeds are those that form the group, in order.
}

// open opens the data folder and begins with what it holds.
func (th *thread) open() {
	if err := th.tryOpen(); err != nil {
		th.nd.lg.Warn("disk-not-opened", zap.Error(err))
		th.later()
		var re *result.Error
		if errors.As(err, &re) && re.Code == result.DamagedState {
			th.discard(re.Error())
		}
		return
	}
	if th.drop() {
		return
	}
	th.pause = firstReopen
}

// later sets when the disk is opened again.
func (th *thread) later() {
	th.reopenAt = th.now().Add(th.nd.jitter(th.pause))
	th.pause = min(2*th.pause, lastReopen)
}

func (th *thread) tryOpen() error {
	if err := th.nd.fsys.MakeDir(th.nd.cf.Dir); err != nil {
		return err
	}
	if err := th.mark(); err != nil {
		return err
	}
	th.readNotes()
	first, err := th.marked()
	if err != nil {
		return err
	}
	jo, rc, err := wal.OpenFS(th.nd.fsys, th.path(logName), th.nd.lg)
	if err != nil {
		return err
	}
	th.vo = &voter{jo: jo, id: diskID(th.nd.cf.Name, rc.DiskID), boot: rc.Boot, first: first}
	if rc.Snapshot.Index == 0 && len(first) > 0 {
		th.nd.lg.Info("awaits-formation", zap.String("ID", string(th.vo.id)), zap.Strings("Seeds", first))
		return nil
	}
	th.start(rc.Hard, rc.Snapshot, rc.Entries)
	return nil
}

func (th *thread) path(name string) string { return filepath.Join(th.nd.cf.Dir, name) }

// mark marks an empty disk at the first start of all. The system says only once
// that it is the first start: a process that is killed right after it is told
// otherwise at its next one, and without the mark it would wait for a group that
// nobody forms.
func (th *thread) mark() error {
	if !th.nd.cf.FirstStart {
		return nil
	}
	names, err := th.nd.fsys.ReadDir(th.nd.cf.Dir)
	if err != nil {
		return err
	}
	if slices.Contains(names, firstName) || slices.Contains(names, logName) {
		return nil
	}
	seeds := slices.Clone(th.nd.cf.Seeds())
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	if len(seeds) == 0 {
		return &result.Error{Code: result.BadSettings, Op: "first start", Detail: "no seeds are named"}
	}
	data, err := json.Marshal(firstStart{Seeds: seeds})
	if err != nil {
		return err
	}
	return wal.WriteFileAtomic(th.nd.fsys, th.nd.cf.Dir, firstName, data)
}

// marked returns the seeds of the first start, or nil if the disk is not marked.
func (th *thread) marked() ([]string, error) {
	data, err := th.nd.fsys.ReadFile(th.path(firstName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var st firstStart
	if err := json.Unmarshal(data, &st); err != nil {
		// Without the mark the disk forms nothing and waits to be added, which is safe.
		th.nd.lg.Error("mark-not-read", zap.String("File", th.path(firstName)), zap.Error(err))
	}
	return st.Seeds, nil
}

// drop gives up a log whose disk failed, or that must not be used. It reports
// whether it did.
func (th *thread) drop() bool {
	vo := th.vo
	if vo == nil {
		return false
	}
	refusal := ""
	if vo.formed {
		refusal = vo.st.Refusal()
	}
	if vo.failed == nil && refusal == "" {
		return false
	}
	if vo.failed != nil {
		th.nd.lg.Error("disk-failed", zap.Error(vo.failed))
	}
	if err := vo.jo.Close(); err != nil {
		th.nd.lg.Warn("folder-not-closed", zap.Error(err))
	}
	th.vo = nil
	th.abandon("the disk failed")
	th.later()
	if refusal != "" {
		th.discard(refusal)
	}
	return true
}

// discard puts a log aside that must not be used again, so that the next opening
// begins an empty one under another identity, which asks to be added. The mark
// of the first start goes first: without a log it would say that the disk had
// never held one.
func (th *thread) discard(reason string) {
	th.nd.lg.Error("log-put-aside", zap.String("Reason", reason))
	remove := func(name string) error {
		err := th.nd.fsys.Remove(th.path(name))
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		return err
	}
	err := remove(firstName)
	if err == nil {
		err = th.nd.fsys.SyncDir(th.nd.cf.Dir)
	}
	if err == nil {
		err = os.RemoveAll(th.path(doubtfulName))
	}
	if err == nil {
		err = th.nd.fsys.Rename(th.path(logName), th.path(doubtfulName))
	}
	if err == nil || errors.Is(err, fs.ErrNotExist) {
		err = th.nd.fsys.SyncDir(th.nd.cf.Dir)
	}
	if err != nil {
		th.nd.lg.Error("log-not-put-aside", zap.Error(err))
	}
}

// form decides for a disk that took part in the first start.
func (th *thread) form(now time.Time, pas []partner) {
	vo := th.vo
	if vo == nil || vo.formed || vo.failed != nil {
		return
	}
	for _, pa := range pas {
		if fo := pa.report.Formation; fo != nil {
			th.adopt(*fo)
			return
		}
	}
	fo, ok := th.formation(now, pas)
	if ok {
		th.nd.lg.Info("group-formed", zap.Any("Voters", fo.Voters))
		th.adopt(fo)
	}
}

// adopt begins with the first snapshot, or waits to be added if the group was
// formed without this disk.
func (th *thread) adopt(fo Formation) {
	vo := th.vo
	if !slices.Contains(fo.Voters, vo.id) {
		th.start(quorum.HardState{}, wal.Snapshot{}, nil)
		return
	}
	sn := fo.firstSnapshot()
	if vo.fail(vo.jo.SaveSnapshot(sn)) {
		return
	}
	th.start(quorum.HardState{Term: sn.Term}, sn, nil)
}

// formationPatience is how long the others of the first start are awaited. After
// it a majority is enough, and the rest is added later.
const formationPatience = 3 * time.Second

// formation returns the first voters, and false if this instance must not form
// the group now.
//
// The seeds of the first start stand in the mark, so that all who have one agree
// on them, and only the lowest of them ever forms a group, only while its own
// disk is as it was at that start. A disk that was lost has no mark.
func (th *thread) formation(now time.Time, pas []partner) (Formation, bool) {
	vo, cf := th.vo, th.nd.cf
	if vo.first[0] != cf.Address {
		return Formation{}, false
	}
	wanted := cf.wanted()
	fo := Formation{Voters: []quorum.ID{vo.id}, Members: []Member{{Name: cf.Name, Address: cf.Address}}}
	missing := 0
	for _, address := range vo.first[1:] {
		po := slices.IndexFunc(pas, func(pa partner) bool { return pa.report.Address == address && pa.report.ID != "" })
		if po < 0 {
			missing++
			continue
		}
		re := pas[po].report
		if re.Fresh && slices.Equal(re.First, vo.first) && len(fo.Voters) < wanted {
			fo.Voters = append(fo.Voters, re.ID)
			fo.Members = append(fo.Members, Member{Name: re.Name, Address: re.Address})
		}
	}
	slices.SortFunc(fo.Members, compareMembers)
	enough := len(fo.Voters) > max(0, cf.MaxFailures) || missing == 0 && len(fo.Voters) == len(vo.first)
	waited := now.Sub(th.started) >= formationPatience && 2*len(fo.Voters) > min(wanted, len(vo.first))
	return fo, enough && (missing == 0 || waited)
}
