package instance

import (
	"math"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/control"
	"balsamwinch.example/member"
	"balsamwinch.example/operator"
)

// grant takes over control's answer to a renewal. A configuration is taken only
// upwards: a grant that was overtaken by a newer one must not revert it, and its
// lease is still good, because the leader that gave it knew no newer revision.
func (th *thread) grant(ev granted) {
	if ev.gr.Leader != "" {
		th.leader = ev.gr.Leader
	}
	if ev.gr.Revision > th.cfg.Revision && th.follows(ev) && !th.adopt(ev.gr) {
		return
	}
	if !ev.gr.Granted {
		return
	}
	until := ev.sentAt.Add(time.Duration(ev.gr.LeaseMillis) * time.Millisecond)
	if until.After(th.lease) {
		th.lease = until
	}
	th.entries = ev.gr.Entries
	if ev.gr.Roster != th.roster.Load() {
		th.holders = ev.gr.Instances
		th.roster.Store(ev.gr.Roster)
	}
	// The same list again says that control still hears them.
	th.member(member.InstancesGranted{Now: th.ts.Now(), Instances: th.holders})
	th.dirty = true
}

// follows reports whether the grant's files build on those in force here. One
// that was asked for from an older revision lists files as unchanged that did
// change since; the next renewal brings the right ones.
func (th *thread) follows(ev granted) bool {
	return ev.inForce == th.cfg.Revision && ev.gr.Newer
}

// adopt puts the files of a grant in force and reports whether it could. An
// instance that can't read them must not use the lease that came with them.
func (th *thread) adopt(gr control.Grant) bool {
	files := make(map[string]control.File, len(gr.Names))
	for _, name := range gr.Names {
		files[name] = th.files[name]
	}
	for _, fi := range gr.Files {
		files[fi.Name] = fi
	}
	fis := make([]operator.File, 0, len(files))
	for _, name := range gr.Names {
		fis = append(fis, operator.File{Name: name, Content: files[name].Content})
	}
	cfg, fs := operator.Merge(fis)
	if len(fs) > 0 {
		th.lg.Error("configuration-unreadable", zap.Uint64("Revision", gr.Revision), zap.Error(fs))
		return false
	}
	cfg.Revision = gr.Revision
	th.cfg = cfg
	th.files = files
	th.lg.Info("configuration-in-force", zap.Uint64("Revision", gr.Revision))
	th.dirty = true
	th.publish() // The renewal that is woken must name this revision.
	th.wake()
	return true
}

// maxEntries returns how many entry instances may hold a lease. Without a
// configuration there are no services, so nothing is bounded yet.
func maxEntries(cfg operator.Configuration) int {
	if cfg.Limits.MaxEntries == 0 {
		return math.MaxInt32
	}
	return cfg.Limits.MaxEntries
}
