package instance

import (
	"math"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/control"
	"balsamwinch.example/member"
	"balsamwinch.example/operator"
)

// handleGrant applies control's reply to a renewal. The configuration never goes back to an
// older revision: a grant may arrive after a newer one. The lease of such a grant is still
// valid, because the leader that granted it knew no newer revision.
func (th *thread) handleGrant(ev grantReceived) {
	if ev.gr.Leader != "" {
		th.leader = ev.gr.Leader
	}
	if ev.gr.Revision > th.cfg.Revision && th.appliesToCurrent(ev) && !th.applyConfiguration(ev.gr) {
		return
	}
	if !ev.gr.Granted {
		return
	}
	until := ev.sentAt.Add(time.Duration(ev.gr.LeaseMillis) * time.Millisecond)
	if until.After(th.leaseUntil) {
		th.leaseUntil = until
	}
	th.grantedDivisor = ev.gr.Entries
	if ev.gr.Roster != th.rosterDigest.Load() {
		th.leaseHolders = ev.gr.Instances
		th.rosterDigest.Store(ev.gr.Roster)
	}
	// The list is passed on even if it is unchanged: it shows that control still hears from
	// these instances.
	th.stepMember(member.InstancesGranted{Now: th.ts.Now(), Instances: th.leaseHolders})
	th.dirty = true
}

// appliesToCurrent reports whether the grant's files are a difference to the configuration in
// force here. A grant that was requested at an older revision may omit files that have changed
// since; the next renewal returns the right ones.
func (th *thread) appliesToCurrent(ev grantReceived) bool {
	return ev.baseRevision == th.cfg.Revision && ev.gr.Newer
}

// applyConfiguration puts the files of a grant in force and reports whether they could be
// read. If not, the lease that came with them must not be used.
func (th *thread) applyConfiguration(gr control.Grant) bool {
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
	th.publish() // The triggered renewal must report this revision.
	th.triggerRenewal()
	return true
}

// maxEntries returns how many entry instances may hold a lease. Without a configuration there
// are no services yet, so the number is unlimited.
func maxEntries(cfg operator.Configuration) int {
	if cfg.Limits.MaxEntries == 0 {
		return math.MaxInt32
	}
	return cfg.Limits.MaxEntries
}
