package fleet

import (
	"errors"
	"io/fs"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/wal"
)

// The names of the notes in a data folder.
const (
	noteName            = "document"
	evacuationsNoteName = "evacuations"
)

// note keeps a committed document beside the log.
//
// After all instances lost power, a log alone does not say how much of it was
// committed before a leader is found again, which takes a second or two. Until
// then nobody could serve, since no instance knew a document. What a note holds
// was committed, and stays so; it may only be older than the newest one. The
// note is written before a proposal is answered, so the one who gave the answer
// knows the document at its next start.
//
// The folder is synced, since a name that is lost brings back the older note. A
// note that can't be written is no reason to stop.
func (th *thread) note(do *document) {
	if err := wal.WriteFileAtomic(th.nd.fsys, th.nd.cf.Dir, noteName, mustEncode(do)); err != nil {
		th.nd.lg.Warn("note-not-written", zap.Uint64("Version", do.Version), zap.Error(err))
	}
}

// noteEvacuations keeps committed evacuations likewise. Without them, requests would go to
// an evacuated data centre after a stop of all until a leader is found.
func (th *thread) noteEvacuations(st evacuation.Set) {
	if err := wal.WriteFileAtomic(th.nd.fsys, th.nd.cf.Dir, evacuationsNoteName, mustEncode(st)); err != nil {
		th.nd.lg.Warn("note-not-written", zap.Uint64("Revision", st.Revision), zap.Error(err))
	}
}

// readNotes takes over what the notes hold.
func (th *thread) readNotes() {
	var st evacuation.Set
	if th.readNote(evacuationsNoteName, &st) && st.Revision > th.nd.evacuations.Load().Revision {
		th.revisionNoted = st.Revision
		th.learnEvacuations(st)
	}
	var do document
	if th.readNote(noteName, &do) && do.Version > th.nd.newest.Load().Version {
		th.noted = do.Version
		th.learn(&do)
	}
}

// readNote reads a note and reports whether there is one that can be read.
func (th *thread) readNote(name string, to any) bool {
	data, err := th.nd.fsys.ReadFile(th.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return false
	}
	if err == nil {
		err = cbor.Unmarshal(data, to)
	}
	if err != nil {
		th.nd.lg.Warn("note-not-read", zap.String("Name", name), zap.Error(err))
	}
	return err == nil
}
