package quota

import "time"

// thaw reports whether the process of an entry instance is suspended. If so, what it has to do
// is done afterwards.
func (mo *model) thaw(entry int, do func()) bool {
	frozen := mo.entries[entry].frozen
	if mo.now.Before(frozen) {
		mo.after(frozen.Sub(mo.now), do)
		return true
	}
	return false
}

// freeze suspends the process of an owner for a while. What arrives is handled afterwards.
func (mo *model) freeze(owner int, span time.Duration) {
	ow := mo.owners[owner]
	mo.cut(owner)
	ow.frozen = true
	mo.after(span, func() {
		ow.frozen, ow.contact = false, !ow.lost
		queued := ow.queued
		ow.queued = nil
		for _, do := range queued {
			do()
		}
	})
}

// restart replaces the process of an owner, which keeps its disk.
func (mo *model) restart(owner int) {
	was := mo.owners[owner]
	ow := mo.newOwner(was.st)
	ow.contact, ow.lost, ow.removed, ow.removedAt = !was.lost, was.lost, was.removed, was.removedAt
	ow.st.Since, ow.st.LastContact = time.Time{}, time.Time{}
	mo.owners[owner] = ow
}

// restartAlone replaces the process of an owner, which hears the leader again after a while,
// unless it was lost or removed.
func (mo *model) restartAlone(owner int, span time.Duration) {
	voters := mo.voters()
	if was := mo.owners[owner]; was.lost {
		voters = was.st.Voters
	}
	mo.restart(owner)
	ow := mo.owners[owner]
	ow.contact, ow.st.Voters = false, voters
	mo.after(span, func() { ow.contact = !ow.lost })
}
