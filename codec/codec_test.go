package codec

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a string that can be written but not read back.
func TestAnyStringIsReadBack(t *testing.T) {
	for _, st := range []string{"", "a", "é", "\xff", "a\xc3", "\r\n\x00", strings.Repeat("\xfe", 1<<20)} {
		data, err := Marshal([]string{"before", st, "after"})
		qt.Assert(t, err, qt.IsNil)
		var got []string
		qt.Assert(t, Unmarshal(data, &got), qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, []string{"before", st, "after"})
	}
}

// Guards against a second decoder that refuses what this one accepts.
func TestOnlyThisPackageSetsDecodingOptions(t *testing.T) {
	other := regexp.MustCompile(`cbor\.(Unmarshal|UnmarshalFirst|Valid|Wellformed|NewDecoder|DecOptions)\b`)
	seen := 0
	err := filepath.WalkDir("..", func(path string, de fs.DirEntry, err error) error {
		if err != nil || de.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, filepath.Join("..", "codec")) {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		seen++
		if found := other.Find(text); found != nil {
			t.Errorf("%s: %s, want package codec", path, found)
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, seen > 100, qt.IsTrue)
}
