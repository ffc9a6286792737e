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

// File and folder names in the data folder.
const (
	logName          = "log"         // the folder of package wal
	discardedLogName = "log.unused"  // a log that must no longer be used
	firstStartName   = "first-start" // marks a disk that took part in the first start
)

// Backoff before a disk that failed is opened again.
const (
	minReopenBackoff = 200 * time.Millisecond
	maxReopenBackoff = time.Second
)

// firstStart is the content of the marker file of a disk that took part in the first start
// of the whole system.
type firstStart struct {
	Seeds []string // Seeds form the group, in order.
}

// openDisk opens the data folder and starts the log that it holds.
func (th *thread) openDisk() {
	if err := th.tryOpen(); err != nil {
		th.nd.lg.Warn("disk-not-opened", zap.Error(err))
		th.scheduleReopen()
		var resultError *result.Error
		if errors.As(err, &resultError) && resultError.Code == result.DamagedState {
			th.discardLog(resultError.Error())
		}
		return
	}
	if th.closeUnusable() {
		return
	}
	th.reopenBackoff = minReopenBackoff
}

// scheduleReopen sets when the disk is opened again.
func (th *thread) scheduleReopen() {
	th.reopenAt = th.now().Add(th.nd.jitter(th.reopenBackoff))
	th.reopenBackoff = min(2*th.reopenBackoff, maxReopenBackoff)
}

func (th *thread) tryOpen() error {
	if err := th.nd.fsys.MakeDir(th.nd.cf.Dir); err != nil {
		return err
	}
	if err := th.markFirstStart(); err != nil {
		return err
	}
	th.loadPersisted()
	first, err := th.readFirstStart()
	if err != nil {
		return err
	}
	jo, rc, err := wal.OpenFS(th.nd.fsys, th.path(logName), th.nd.lg)
	if err != nil {
		return err
	}
	th.vo = &voter{jo: jo, id: voterID(th.nd.cf.Name, rc.DiskID), boot: rc.Boot, firstSeeds: first}
	if rc.Snapshot.Index == 0 && len(first) > 0 {
		th.nd.lg.Info("awaits-formation", zap.String("ID", string(th.vo.id)), zap.Strings("Seeds", first))
		return nil
	}
	th.startLog(rc.Hard, rc.Snapshot, rc.Entries)
	return nil
}

func (th *thread) path(name string) string { return filepath.Join(th.nd.cf.Dir, name) }

// markFirstStart writes the marker file to an empty disk at the first start of the whole
// system. The deployment declares a first start only once: a process that is killed right
// after it is not started with FirstStart again, and without the marker it would wait for a
// group that nobody forms.
func (th *thread) markFirstStart() error {
	if !th.nd.cf.FirstStart {
		return nil
	}
	names, err := th.nd.fsys.ReadDir(th.nd.cf.Dir)
	if err != nil {
		return err
	}
	if slices.Contains(names, firstStartName) || slices.Contains(names, logName) {
		return nil
	}
	seeds := slices.Clone(th.nd.cf.Seeds())
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	if len(seeds) == 0 {
		return &result.Error{Code: result.BadSettings, Op: "first start", Detail: "no seeds are configured"}
	}
	data, err := json.Marshal(firstStart{Seeds: seeds})
	if err != nil {
		return err
	}
	return wal.WriteFileAtomic(th.nd.fsys, th.nd.cf.Dir, firstStartName, data)
}

// readFirstStart returns the seeds in the marker file, or nil if there is none.
func (th *thread) readFirstStart() ([]string, error) {
	data, err := th.nd.fsys.ReadFile(th.path(firstStartName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var st firstStart
	if err := json.Unmarshal(data, &st); err != nil {
		// Without its marker the disk forms no group and waits to be added, which is safe.
		th.nd.lg.Error("mark-not-read", zap.String("File", th.path(firstStartName)), zap.Error(err))
	}
	return st.Seeds, nil
}

// closeUnusable closes a log whose disk failed or that must no longer be used. It reports
// whether it did.
func (th *thread) closeUnusable() bool {
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
	th.rejectPending("the disk failed")
	th.scheduleReopen()
	if refusal != "" {
		th.discardLog(refusal)
	}
	return true
}

// discardLog moves a log aside that must no longer be used. The next opening then creates
// an empty log with a new identity, which asks to be added. The marker of the first start
// is removed first: without a log, it would state that the disk had never held one.
func (th *thread) discardLog(reason string) {
	th.nd.lg.Error("log-put-aside", zap.String("Reason", reason))
	remove := func(name string) error {
		err := th.nd.fsys.Remove(th.path(name))
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		return err
	}
	err := remove(firstStartName)
	if err == nil {
		err = th.nd.fsys.SyncDir(th.nd.cf.Dir)
	}
	if err == nil {
		err = os.RemoveAll(th.path(discardedLogName))
	}
	if err == nil {
		err = th.nd.fsys.Rename(th.path(logName), th.path(discardedLogName))
	}
	if err == nil || errors.Is(err, fs.ErrNotExist) {
		err = th.nd.fsys.SyncDir(th.nd.cf.Dir)
	}
	if err != nil {
		th.nd.lg.Error("log-not-put-aside", zap.Error(err))
	}
}

// formGroup decides how a disk that took part in the first start joins the group.
func (th *thread) formGroup(now time.Time, prs []peerReport) {
	vo := th.vo
	if vo == nil || vo.formed || vo.failed != nil {
		return
	}
	for _, pr := range prs {
		if fo := pr.report.Formation; fo != nil {
			th.adoptFormation(*fo)
			return
		}
	}
	fo, ok := th.proposeFormation(now, prs)
	if ok {
		th.nd.lg.Info("group-formed", zap.Any("Voters", fo.Voters))
		th.adoptFormation(fo)
	}
}

// adoptFormation starts from the initial snapshot, or waits to be added if the group was
// formed without this disk.
func (th *thread) adoptFormation(fo Formation) {
	vo := th.vo
	if !slices.Contains(fo.Voters, vo.id) {
		th.startLog(quorum.HardState{}, wal.Snapshot{}, nil)
		return
	}
	sn := fo.initialSnapshot()
	if vo.fail(vo.jo.SaveSnapshot(sn)) {
		return
	}
	th.startLog(quorum.HardState{Term: sn.Term}, sn, nil)
}

// formationTimeout bounds the wait for the other seeds of the first start. After it a
// majority is enough; the rest is added later.
const formationTimeout = 3 * time.Second

// proposeFormation returns the first voters, and false if this instance must not form the
// group now.
//
// The seeds of the first start are in the marker file, so that all instances with a marker
// agree on them. Only the lowest seed ever forms a group, and only while its disk is
// unchanged since the first start. A disk that was lost has no marker.
func (th *thread) proposeFormation(now time.Time, prs []peerReport) (Formation, bool) {
	vo, cf := th.vo, th.nd.cf
	if vo.firstSeeds[0] != cf.Address {
		return Formation{}, false
	}
	targetVoters := cf.targetVoters()
	fo := Formation{Voters: []quorum.ID{vo.id}, Members: []Member{{Name: cf.Name, Address: cf.Address}}}
	missing := 0
	for _, address := range vo.firstSeeds[1:] {
		po := slices.IndexFunc(prs, func(pr peerReport) bool { return pr.report.Address == address && pr.report.ID != "" })
		if po < 0 {
			missing++
			continue
		}
		re := prs[po].report
		if re.Fresh && slices.Equal(re.First, vo.firstSeeds) && len(fo.Voters) < targetVoters {
			fo.Voters = append(fo.Voters, re.ID)
			fo.Members = append(fo.Members, Member{Name: re.Name, Address: re.Address})
		}
	}
	slices.SortFunc(fo.Members, compareMembers)
	enough := len(fo.Voters) > max(0, cf.MaxFailures) || missing == 0 && len(fo.Voters) == len(vo.firstSeeds)
	waited := now.Sub(th.startedAt) >= formationTimeout && 2*len(fo.Voters) > min(targetVoters, len(vo.firstSeeds))
	return fo, enough && (missing == 0 || waited)
}
