package fleet

import (
	"errors"
	"io/fs"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"balsamwinch.example/wal"
)

// noteName is the name of the note in a data folder.
const noteName = "document"

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
	if err := wal.Replace(th.nd.fsys, th.nd.cf.Dir, noteName, mustEncode(do)); err != nil {
		th.nd.lg.Warn("note-not-written", zap.Uint64("Version", do.Version), zap.Error(err))
	}
}

// readNote takes over the document of the note, if there is one.
func (th *thread) readNote() {
	data, err := th.nd.fsys.ReadFile(th.path(noteName))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var do document
	if err == nil {
		err = cbor.Unmarshal(data, &do)
	}
	if err != nil {
		th.nd.lg.Warn("note-not-read", zap.Error(err))
		return
	}
	if do.Version > th.nd.newest.Load().Version {
		th.noted = do.Version
		th.learn(&do)
	}
}
