package control

import (
	"fmt"
	"path"
	"slices"
	"strings"

	"balsamwinch.example/operator"
	"balsamwinch.example/result"
	"balsamwinch.example/settings"
)

// The bounds of changes. All voters must use the same values.
const (
	MaxFaults         = 100     // maximum number of faults in an outcome
	MaxChangeBytes    = 1 << 20 // contents of one change
	MaxTotalFileBytes = 4 << 20 // contents of all accepted files together
	MaxNameBytes      = 200     // file names, author names and change ids
	MaxDeletedFiles   = 1000    // number of deleted files for which the deleting change is recorded
)

// change accepts or rejects a change and records it in the audit trail.
func (st State) change(ch Change) (State, Outcome) {
	ch = ch.normalized()
	dg := digest(ch)
	if re, ok := st.trail.find(ch.ChangeID); ok {
		// An operator who got no response retries the change. Evaluated again,
		// it would conflict with its own first attempt.
		if re.Digest == dg {
			return st, re.Outcome
		}
		oc := ChangeOutcome{Code: result.Conflict, Conflict: &ConflictingChange{
			Author:   re.Entry.Author,
			ChangeID: re.Entry.ChangeID,
			Revision: re.Entry.Revision,
		}}
		return st.reject(ch, "", oc)
	}
	if fs := st.validateShape(ch); len(fs) > 0 {
		return st.reject(ch, dg, invalidOutcome(fs))
	}
	if cc := st.conflict(ch); cc != nil {
		return st.reject(ch, dg, ChangeOutcome{Code: result.Conflict, Conflict: cc})
	}
	next := st.withFiles(ch)
	if next.fileBytes > MaxTotalFileBytes {
		fa := settings.Fault{Field: "Files", Want: fmt.Sprintf("at most %d bytes in all", MaxTotalFileBytes), Got: fmt.Sprint(next.fileBytes)}
		return st.reject(ch, dg, invalidOutcome(settings.Faults{fa}))
	}
	cfg, fs := operator.Merge(next.operatorFiles())
	if len(fs) > 0 {
		return st.reject(ch, dg, invalidOutcome(fs))
	}
	cfg.Revision = st.cfg.Revision + 1
	next.cfg = cfg
	oc := ChangeOutcome{Code: result.Accepted, Revision: cfg.Revision}
	next.trail = st.trail.with(st.newAuditEntry(ch, oc), dg, oc)
	return next, oc
}

// normalized returns the change with non-nil content for each file that is written
// and nil content for each file that is deleted. In the audit trail, nil content
// means that the file doesn't exist.
func (ch Change) normalized() Change {
	ch.Files = slices.Clone(ch.Files)
	for i, fc := range ch.Files {
		switch {
		case fc.Delete:
			ch.Files[i].Content = nil
		case fc.Content == nil:
			ch.Files[i].Content = []byte{}
		}
	}
	return ch
}

// reject records a rejected change in the audit trail and changes nothing else.
func (st State) reject(ch Change, dg string, oc ChangeOutcome) (State, Outcome) {
	st.trail = st.trail.with(st.newAuditEntry(ch, oc), dg, oc)
	return st, oc
}

func invalidOutcome(fs settings.Faults) ChangeOutcome {
	return ChangeOutcome{Code: result.Invalid, Faults: fs[:min(len(fs), MaxFaults)]}
}

// digest returns a hash that is equal for two changes with the same id if they are
// the same change. It omits the time, which comes from the leader and differs
// between retries.
func digest(ch Change) string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%q\n", ch.Author)
	for _, fc := range ch.Files {
		fmt.Fprintf(&sb, "%q %d %t %s\n", fc.Name, fc.Base, fc.Delete, sha256Hex(fc.Content))
	}
	return sha256Hex([]byte(sb.String()))
}

// validateShape returns the faults of a change that can be found without parsing
// its files.
func (st State) validateShape(ch Change) settings.Faults {
	var fs settings.Faults
	fault := func(file, field, want, got string) {
		fs = append(fs, settings.Fault{File: file, Field: field, Want: want, Got: got})
	}
	if le := len(ch.ChangeID); le == 0 || le > MaxNameBytes {
		fault("", "ChangeID", fmt.Sprintf("1 to %d bytes", MaxNameBytes), fmt.Sprint(le))
	}
	if le := len(ch.Author); le == 0 || le > MaxNameBytes {
		fault("", "Author", fmt.Sprintf("1 to %d bytes", MaxNameBytes), fmt.Sprint(le))
	}
	if len(ch.Files) == 0 {
		fault("", "Files", "at least one file", "none")
	}
	if by := ch.contentBytes(); by > MaxChangeBytes {
		fault("", "Files", fmt.Sprintf("at most %d bytes", MaxChangeBytes), fmt.Sprint(by))
	}
	seen := make(map[string]bool)
	for _, fc := range ch.Files {
		if !isPlainName(fc.Name) {
			fault(fc.Name, "Name", "a plain file name", fmt.Sprintf("%q", fc.Name))
		}
		if seen[fc.Name] {
			fault(fc.Name, "Name", "each file once", "twice")
		}
		seen[fc.Name] = true
		if _, ok := st.files.get(fc.Name); fc.Delete && fc.Base == 0 && !ok {
			fault(fc.Name, "Delete", "a file that exists", "none of this name")
		}
	}
	return fs
}

// isPlainName reports whether a file with this name stays inside the folder that it
// is written to.
func isPlainName(na string) bool {
	return na != "" && len(na) <= MaxNameBytes && na == path.Base(na) && na != "." && na != ".." && !strings.ContainsAny(na, "\\\x00")
}

func (ch Change) contentBytes() int {
	by := 0
	for _, fc := range ch.Files {
		by += len(fc.Content)
	}
	return by
}

// conflict returns the change of the same file that was committed after the
// revision that the operator knew, or nil if there is none. Without this check, the
// slower of two concurrent operators would silently undo the other's change.
func (st State) conflict(ch Change) *ConflictingChange {
	for _, fc := range ch.Files {
		fi, ok := st.files.get(fc.Name)
		switch {
		case ok && fi.Revision != fc.Base:
			return &ConflictingChange{File: fc.Name, Author: fi.Author, ChangeID: fi.ChangeID, Revision: fi.Revision}
		case !ok && fc.Base != 0:
			if cc, known := st.deleted.get(fc.Name); known {
				return &cc
			}
			return &ConflictingChange{File: fc.Name}
		}
	}
	return nil
}

// withFiles returns the state with the files changed but the configuration not yet
// merged.
func (st State) withFiles(ch Change) State {
	rev := st.cfg.Revision + 1
	for _, fc := range ch.Files {
		if old, ok := st.files.get(fc.Name); ok {
			st.fileBytes -= len(old.Content)
		}
		if fc.Delete {
			st.files = st.files.without(fc.Name)
			st = st.withDeleted(ConflictingChange{File: fc.Name, Author: ch.Author, ChangeID: ch.ChangeID, Revision: rev})
			continue
		}
		st.fileBytes += len(fc.Content)
		st.deleted = st.deleted.without(fc.Name)
		st.files = st.files.with(fc.Name, File{
			Name:     fc.Name,
			Revision: rev,
			Author:   ch.Author,
			ChangeID: ch.ChangeID,
			Content:  fc.Content,
		})
	}
	return st
}

// withDeleted records which change deleted a file, and drops the oldest record
// beyond MaxDeletedFiles.
func (st State) withDeleted(cc ConflictingChange) State {
	st.deleted = st.deleted.with(cc.File, cc)
	if st.deleted.len() <= MaxDeletedFiles {
		return st
	}
	oldest := cc
	for _, ot := range st.deleted.all() {
		if ot.Revision < oldest.Revision {
			oldest = ot
		}
	}
	st.deleted = st.deleted.without(oldest.File)
	return st
}

func (st State) operatorFiles() []operator.File {
	fs := make([]operator.File, 0, st.files.len())
	for _, fi := range st.files.all() {
		fs = append(fs, operator.File{Name: fi.Name, Content: fi.Content})
	}
	return fs
}

// newAuditEntry returns the audit entry of a change with the given outcome. The
// receiver is the state before the change.
func (st State) newAuditEntry(ch Change, oc ChangeOutcome) AuditEntry {
	en := AuditEntry{
		When:     ch.When.UTC().Round(0),
		Author:   ch.Author,
		ChangeID: ch.ChangeID,
		Code:     oc.Code,
		Revision: oc.Revision,
		Detail:   oc.detail(),
	}
	keep := ch.contentBytes() <= MaxChangeBytes
	for _, fc := range ch.Files {
		en.Files = append(en.Files, st.newAuditFile(fc, keep))
	}
	return en
}

func (st State) newAuditFile(fc FileChange, keep bool) AuditFile {
	af := AuditFile{Name: fc.Name}
	if fi, ok := st.files.get(fc.Name); ok {
		af.BeforeHash = sha256Hex(fi.Content)
		af.Before = fi.Content
	}
	if !fc.Delete {
		af.AfterHash = sha256Hex(fc.Content)
		af.After = fc.Content
	}
	if !keep {
		af.Before, af.After = nil, nil
	}
	return af
}

// maxDetailBytes bounds the text that says why a change was rejected.
const maxDetailBytes = 2000

// detail returns one line that says why a change was rejected.
func (oc ChangeOutcome) detail() string {
	var de string
	switch {
	case oc.Conflict != nil && oc.Conflict.File == "":
		de = fmt.Sprintf("the change id was used before by %s for another change", oc.Conflict.Author)
	case oc.Conflict != nil && oc.Conflict.Author == "":
		de = oc.Conflict.File + " does not exist"
	case oc.Conflict != nil:
		de = fmt.Sprintf("%s was changed at revision %d by %s with the change %s",
			oc.Conflict.File, oc.Conflict.Revision, oc.Conflict.Author, oc.Conflict.ChangeID)
	case len(oc.Faults) > 0:
		de = strings.ReplaceAll(settings.Faults(oc.Faults).Error(), "\n", "; ")
	}
	return de[:min(len(de), maxDetailBytes)]
}
