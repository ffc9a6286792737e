package emulate

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The emulated dialect must distinguish no list of customers from an empty one, as the
// platform does, and must not show a key that stands in the wrong place.
func TestParseCustomers(t *testing.T) {
	c := qt.New(t)
	cf := testConfiguration(1)
	parsed := func() bool {
		tb, err := parseTable(cf.Encode())
		c.Assert(err, qt.IsNil)
		return tb.Customers() != nil
	}
	c.Check(parsed(), qt.IsFalse)
	cf.Customers = []Customer{}
	c.Check(parsed(), qt.IsTrue)
	cf.Customers = []Customer{{Name: "linda"}}
	c.Check(parsed(), qt.IsTrue)

	for _, list := range []string{
		`[{Name: linda, Keys: sk-1}]`, `[{Name: linda, Keys: [[sk-1]]}]`, `[{Name: linda, Priority: sk-1}]`, `[{Name: linda, Rate: sk-1}]`,
		`[sk-1]`, `sk-1`, `[{Name: linda, Keys: [sk-1]}, {Name: otter, Keys: [sk-1]}]`, `[{Name: linda, Rate: -1, Keys: [sk-1]}]`,
	} {
		_, err := parseTable([]byte("Version: 1\nCustomers: " + list))
		c.Assert(err, qt.ErrorMatches, `(?is).*customer.*`, qt.Commentf(list))
		c.Check(strings.Contains(err.Error(), "sk-"), qt.IsFalse, qt.Commentf("%s", err))
	}
}
