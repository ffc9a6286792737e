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
	Revision uint64 // configuration revision at which the file last changed
	Author   string
	ChangeID string
	Content  []byte
}

// State is the state of the replicated state machine. It is immutable: Apply
// returns a new State that shares the unchanged parts.
type State struct {
	index     uint64 // log index of the last applied command
	clock     int64  // highest time of any command, in nanoseconds since 1970
	cfg       operator.Configuration
	files     tree[string, File]
	fileBytes int
	deleted   tree[string, ConflictingChange] // name of a deleted file to the change that deleted it
	trail     auditTrail
	intents   intents
}

// NewState returns the state before the first command.
func NewState() State {
	return State{}
}

// Apply returns the state after the command at the given log index, and the outcome
// of the command. It is deterministic: voters that apply the same commands reach
// the same state. A command whose index was already applied is Skipped.
func (st State) Apply(index uint64, cm Command) (State, Outcome) {
	// A replay after a crash overlaps the snapshot if the write-ahead log still
	// holds older entries. Applied twice, a change would conflict with itself.
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

// withTime advances the clock, which never goes back: a new leader whose clock is
// behind must not date new intents before earlier ones, or they would be evicted
// too early.
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

// Configuration returns the accepted configuration: the merged accepted files.
func (st State) Configuration() operator.Configuration {
	return st.cfg
}

// Revision returns the revision of the accepted configuration, or 0 if none was
// accepted.
func (st State) Revision() uint64 {
	return st.cfg.Revision
}

// Files returns the accepted files sorted by name. Their contents must not be
// modified.
func (st State) Files() []File {
	fs := make([]File, 0, st.files.len())
	for _, fi := range st.files.all() {
		fs = append(fs, fi)
	}
	return fs
}

// Intents returns the number of recorded intents.
func (st State) Intents() int {
	return st.intents.byKey.len()
}

// Outcome returns the recorded outcome of a change, or false if none is kept.
func (st State) Outcome(changeID string) (ChangeOutcome, bool) {
	re, ok := st.trail.find(changeID)
	return re.Outcome, ok
}

// sha256Hex returns the SHA-256 of data in hexadecimal.
func sha256Hex(data []byte) string {
	su := sha256.Sum256(data)
	return hex.EncodeToString(su[:])
}
