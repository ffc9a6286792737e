package fleet

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// All instances lose power, and one returns first. Alone it can't know which log entries
// were committed, but the entry instances that return with it need a configuration to serve
// at all. It must serve the persisted one, which was committed.
func TestPersistedDocumentIsServedBeforeQuorum(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 1)
	gr.all[0].mustPropose(7, "seven")
	gr.awaitDocument(7, "seven")
	for _, in := range gr.all {
		in.stop()
	}
	for _, in := range gr.all {
		in.run(false)
		gr.await("the persisted document", func() bool {
			version, data := in.ob.lastDocument()
			return version == 7 && data == "seven"
		})
		in.stop()
	}
}

// The persisted copy is older than the log, because power was lost between the two writes.
// The committed log must win.
func TestLogOverridesOlderPersistedDocument(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 0)
	gr.all[0].mustPropose(7, "seven")
	gr.awaitDocument(7, "seven")
	var older [][]byte
	for _, in := range gr.all {
		data, err := os.ReadFile(in.dir + "/" + documentFileName)
		gr.c.Assert(err, qt.IsNil)
		older = append(older, data)
	}
	gr.all[0].mustPropose(8, "eight")
	gr.awaitDocument(8, "eight")
	for nth, in := range gr.all {
		in.stop()
		gr.c.Assert(os.WriteFile(in.dir+"/"+documentFileName, older[nth], 0o600), qt.IsNil)
	}
	for _, in := range gr.all {
		in.run(false)
	}
	for _, in := range gr.all {
		in.assertRead(8, "eight")
	}
	gr.awaitDocument(8, "eight")
}

// A persisted copy that can't be decoded must not prevent a start.
func TestDamagedPersistedDocumentIsIgnored(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 0)
	gr.all[0].mustPropose(7, "seven")
	gr.awaitDocument(7, "seven")
	for _, in := range gr.all {
		in.stop()
		gr.c.Assert(os.WriteFile(in.dir+"/"+documentFileName, []byte{0xff, 1, 2}, 0o600), qt.IsNil)
		in.run(false)
	}
	for _, in := range gr.all {
		in.assertRead(7, "seven")
	}
}
