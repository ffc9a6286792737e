package tier

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/overload"
	"balsamwinch.example/timer"
)

// Levels that control instances send must reach the client that the gateway asks. With the
// setting off there must be no client, and the feature isn't announced.
func TestSharedOverloadSetting(t *testing.T) {
	se := Defaults()
	se.Overload.Shared = true
	en := &entry{ts: timer.New(), levels: newLevels(se)}
	en.levelsReceived()("control", []overload.Levels{{Group: "g", Watched: true, Limited: true, Fraction: 0.25}})
	qt.Assert(t, en.levels.Lowest(en.ts.Now()), qt.Equals, 0.25)

	se.Overload.Shared = false
	en = &entry{ts: timer.New(), levels: newLevels(se)}
	qt.Assert(t, en.levels, qt.IsNil)
	qt.Assert(t, en.levelsReceived() == nil, qt.IsTrue)
}
