package fleet

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// All instances lose power, and one comes back first. Alone it can't know what of
// its log was committed, but the entry instances that come back with it need a
// configuration to serve at all: the one that this instance has noted was committed.
func TestNoteAlone(t *testing.T) {
	gr := form(t, 1, 3, 1)
	gr.all[0].propose(7, "seven")
	gr.awaitDocument(7, "seven")
	for _, in := range gr.all {
		in.stop()
	}
	for _, in := range gr.all {
		in.run(false)
		gr.await("the noted document", func() bool {
			version, data := in.ob.last()
			return version == 7 && data == "seven"
		})
		in.stop()
	}
}

// The note is older than the log: the power was lost between the two. What the log
// says in the end goes before it.
func TestNoteOlderThanLog(t *testing.T) {
	gr := form(t, 1, 3, 0)
	gr.all[0].propose(7, "seven")
	gr.awaitDocument(7, "seven")
	var notes [][]byte
	for _, in := range gr.all {
		data, err := os.ReadFile(in.dir + "/" + noteName)
		gr.c.Assert(err, qt.IsNil)
		notes = append(notes, data)
	}
	gr.all[0].propose(8, "eight")
	gr.awaitDocument(8, "eight")
	for nth, in := range gr.all {
		in.stop()
		gr.c.Assert(os.WriteFile(in.dir+"/"+noteName, notes[nth], 0o600), qt.IsNil)
	}
	for _, in := range gr.all {
		in.run(false)
	}
	for _, in := range gr.all {
		in.reads(8, "eight")
	}
	gr.awaitDocument(8, "eight")
}

// A note that can't be read is no reason not to start.
func TestNoteDamaged(t *testing.T) {
	gr := form(t, 1, 3, 0)
	gr.all[0].propose(7, "seven")
	gr.awaitDocument(7, "seven")
	for _, in := range gr.all {
		in.stop()
		gr.c.Assert(os.WriteFile(in.dir+"/"+noteName, []byte{0xff, 1, 2}, 0o600), qt.IsNil)
		in.run(false)
	}
	for _, in := range gr.all {
		in.reads(7, "seven")
	}
}
