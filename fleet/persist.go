package fleet

import (
	"errors"
	"io/fs"

	"go.uber.org/zap"

	"balsamwinch.example/codec"
	"balsamwinch.example/evacuation"
	"balsamwinch.example/wal"
)

// Names of the persisted copies in the data folder.
const (
	documentFileName    = "document"
	evacuationsFileName = "evacuations"
)

// persistDocument writes a copy of a committed document beside the log.
//
// After all instances lost power, the log alone doesn't show which entries were committed
// until a leader is elected, which takes a second or two. Until then no instance would know
// a document, so none could serve. The document in the copy was committed and stays so; it
// may only be older than the newest one. The copy is written before a proposal is answered,
// so the instance that answered knows the document after a restart.
//
// The folder is synced, because losing the new name would bring back the older copy. A
// failure to write the copy doesn't stop the instance.
func (th *thread) persistDocument(do *document) {
	if err := wal.WriteFileAtomic(th.nd.fsys, th.nd.cf.Dir, documentFileName, mustEncode(do)); err != nil {
		th.nd.lg.Warn("note-not-written", zap.Uint64("Version", do.Version), zap.Error(err))
	}
}

// persistEvacuations writes a copy of committed evacuations for the same reason: after a
// stop of all instances, requests would go to an evacuated data centre until a leader is
// elected.
func (th *thread) persistEvacuations(st evacuation.Set) {
	if err := wal.WriteFileAtomic(th.nd.fsys, th.nd.cf.Dir, evacuationsFileName, mustEncode(st)); err != nil {
		th.nd.lg.Warn("note-not-written", zap.Uint64("Revision", st.Revision), zap.Error(err))
	}
}

// loadPersisted adopts the persisted evacuations and document.
func (th *thread) loadPersisted() {
	var st evacuation.Set
	if th.loadFile(evacuationsFileName, &st) && st.Revision > th.nd.evacuations.Load().Revision {
		th.persistedRevision = st.Revision
		th.learnEvacuations(st)
	}
	var do document
	if th.loadFile(documentFileName, &do) && do.Version > th.nd.newest.Load().Version {
		th.persistedVersion = do.Version
		th.learnDocument(&do)
	}
}

// loadFile reads a persisted copy and reports whether there is one that can be decoded.
func (th *thread) loadFile(name string, to any) bool {
	data, err := th.nd.fsys.ReadFile(th.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return false
	}
	if err == nil {
		err = codec.Unmarshal(data, to)
	}
	if err != nil {
		th.nd.lg.Warn("note-not-read", zap.String("Name", name), zap.Error(err))
	}
	return err == nil
}
