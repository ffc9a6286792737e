package trail

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/timer"
)

// Guards against a text of any length that fills the log: the lines after it must be written.
func TestLongTextsAreCut(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	lg, wr := New(&out, Config{Instance: "a"}, timer.New())
	long := strings.Repeat("é", 1<<20)
	lg.Info("first", zap.String("ID", long), zap.Error(errors.New(long)), zap.Int("N", 7))
	lg.Info("second", zap.String("ID", "x"))
	c.Assert(wr.Close(), qt.IsNil)
	var lines []Line
	_, err := Scan(&out, func([]byte) bool { return true }, func(li Line) bool {
		lines = append(lines, li)
		return true
	})
	c.Assert(err, qt.IsNil)
	c.Assert(lines, qt.HasLen, 2)
	want := strings.Repeat("é", maxFieldBytes/2) + "... (2097152 bytes)"
	c.Assert([]string{lines[0].Text("ID"), lines[0].Text("error")}, qt.DeepEquals, []string{want, want})
	c.Assert(lines[0].Number("N"), qt.Equals, int64(7))
}

func TestShortenCutsBetweenCharacters(t *testing.T) {
	for _, text := range []string{strings.Repeat("€", 1000), strings.Repeat("\x80", 3000), strings.Repeat("a", 2047) + strings.Repeat("€", 2)} {
		got := strings.TrimSuffix(shorten(text), "...")
		qt.Check(t, strings.HasPrefix(text, got[:strings.Index(got, "...")]), qt.IsTrue)
		qt.Check(t, strings.Index(got, "...") <= maxFieldBytes, qt.IsTrue)
	}
}

// Guards against a text of somebody else that looks like a line of the log, or changes the
// terminal, in a report.
func TestControlCharactersStayVisible(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct{ text, want string }{
		{"plain é \\ \"", "plain é \\ \""},
		{"a\r\nb\tc", `a\r\nb\tc`},
		{"\x1b[2J\x00\x7f", `\u001b[2J\u0000\u007f`},
		{"a\u2028b\u202e", `a\u2028b\u202e`},
	} {
		line, err := json.Marshal(map[string]any{"Level": "info", "Time": "2026-01-02T03:04:05Z", "Event": "e", "ID": tc.text, "List": []string{tc.text}})
		c.Assert(err, qt.IsNil)
		li, ok := parseLine(line)
		c.Assert(ok, qt.IsTrue)
		c.Check(li.Text("ID"), qt.Equals, tc.want)
		var list []string
		c.Assert(json.Unmarshal(li.Value("List"), &list), qt.IsNil)
		c.Check(list, qt.DeepEquals, []string{tc.want})
	}
}
