package control

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"balsamwinch.example/operator"
)

// File is one accepted file.
type File struct {
	Name     string
	Revision uint64 // Revision is the one at which the file last changed.
	Author   string
	ChangeID string
	Content  []byte
}

// State is the replicated state machine. It is immutable: Apply returns another
// one that shares what did not change.
type State struct {
	index     uint64 // index is the one of the last applied command.
	clock     int64  // clock is the highest time of any command, in nanoseconds since 1970.
	cfg       operator.Configuration
	files     tree[string, File]
	fileBytes int
	deleted   tree[string, ConflictingChange] // deleted tells who deleted a file.
	trail     trail
	intents   intents
}

// NewState returns the state before the first command.
func NewState() State {
	return State{}
}

// Apply returns the state after the command at the index of the log, and its
// outcome. It is deterministic: voters that apply the same commands reach the
// same state. A command whose index was applied before is Skipped.
func (st State) Apply(index uint64, cm Command) (State, Outcome) {
	// A replay after a crash overlaps the snapshot when the journal still holds
	// older entries; applied twice, a change would conflict with itself.
	if index <= st.index {
		return st, Skipped{}
	}
	st.index = index
	switch cm := cm.(type) {
	case Change:
		return st.withTime(cm.When).change(cm)
	case BeginIntent:
		return st.withTime(cm.When).begin(cm)
	case FinishIntent:
		return st.withTime(cm.When).finish(cm)
	default:
		return st, Skipped{}
	}
}

// withTime moves the clock, which never goes back: a new leader whose clock is
// behind must not make intents look younger than others that came before.
func (st State) withTime(when time.Time) State {
	st.clock = max(st.clock, when.UnixNano())
	return st
}

func (st State) begin(bi BeginIntent) (State, Outcome) {
	var oc IntentOutcome
	_, known := st.cfg.Services[bi.Service]
	st.intents, oc = st.intents.begin(st.index, st.clock, bi, known)
	return st, oc
}

func (st State) finish(fi FinishIntent) (State, Outcome) {
	var oc IntentOutcome
	st.intents, oc = st.intents.finish(fi)
	return st, oc
}

// Index returns the index of the last applied command.
func (st State) Index() uint64 {
	return st.index
}

// Configuration returns the accepted configuration.
func (st State) Configuration() operator.Configuration {
	return st.cfg
}

// Revision returns the revision of the accepted configuration; 0 if none is.
func (st State) Revision() uint64 {
	return st.cfg.Revision
}

// Files returns the accepted files in the order of their names. Their contents
// must not be changed.
func (st State) Files() []File {
	fs := make([]File, 0, st.files.len())
	for _, fi := range st.files.all() {
		fs = append(fs, fi)
	}
	return fs
}

// Intents returns how many intents are kept.
func (st State) Intents() int {
	return st.intents.byKey.len()
}

// Outcome returns the recorded outcome of a change, if it is still kept.
func (st State) Outcome(changeID string) (ChangeOutcome, bool) {
	re, ok := st.trail.find(changeID)
	return re.Outcome, ok
}

// hashOf returns the SHA-256 in hexadecimal.
func hashOf(data []byte) string {
	su := sha256.Sum256(data)
	return hex.EncodeToString(su[:])
}
