package settings

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func golden(c *qt.C, path, got string) {
	c.Helper()
	if *update {
		c.Assert(os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, string(want))
}

// A mistake in the settings must stop the instance with a clear report. Otherwise it would run
// with a default in place of the intended value, or fail later without naming the file. Each
// file in testdata holds one kind of fault; all-at-once holds several, which must be reported
// together.
func TestInvalidInstanceSettingsAreReported(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	for _, fi := range files {
		na := filepath.Base(fi)
		t.Run(strings.TrimSuffix(na, ".yaml"), func(t *testing.T) {
			c := qt.New(t)
			data, err := os.ReadFile(fi)
			c.Assert(err, qt.IsNil)
			_, fs := ParseInstance(na, data)
			c.Assert(len(fs) == 0, qt.Equals, strings.HasPrefix(na, "good"))
			golden(c, strings.TrimSuffix(fi, ".yaml")+".golden", fs.Error()+"\n")
		})
	}
}

func TestLoadInstance(t *testing.T) {
	c := qt.New(t)
	in, err := LoadInstance("testdata/good.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(in.Has(Control), qt.IsTrue)
	c.Assert(in.DataFolder, qt.Equals, "testdata/data")
	c.Assert(in.Keys.Key, qt.Equals, "/keys/entry-1.key")
	c.Assert(in.Timing.Lease, qt.Equals, 2500*time.Millisecond)
	c.Assert(in.Timing.Election, qt.Equals, DefaultElection)
	_, err = LoadInstance("testdata/no-roles.yaml")
	var fs Faults
	c.Assert(err, qt.ErrorAs, &fs)
	c.Assert(err, qt.ErrorMatches, `load settings: BadSettings \(400\): testdata/no-roles.yaml:(.|\n)*`)
	_, err = LoadInstance("testdata/absent.yaml")
	c.Assert(err, qt.ErrorIs, os.ErrNotExist)
}

func TestDecodeTypes(t *testing.T) {
	type inner struct{ Share float64 }
	type outer struct {
		Count  uint64
		Size   int
		On     bool
		Wait   time.Duration
		Inner  []inner
		Labels map[string]string
		Day    string
		Secret string `yaml:"-"`
	}
	tests := []struct{ doc, want string }{
		{"Count: 3\nSize: -4\nOn: true\nWait: 150ms\nInner: [{Share: 2}]\nLabels: {a: b}\nDay: 2026-01-02", ""},
		{"Count: -1", `f:1: Count: want a whole number that fits 64 bits, got the number -1`},
		{"Size: 010", `f:1: Size: want a whole number, got the number 010`},
		{"Size: 99999999999999999999", `f:1: Size: want a whole number, got the number 99999999999999999999`},
		{"On: yes", `f:1: On: want true or false, got "yes"`},
		{"Wait: 150", `f:1: Wait: want a duration such as 150ms or 2s, got the number 150`},
		{"Inner:\n- Share: .nan", `f:2: Inner[0].Share: want a number, got the number .nan`},
		{"Inner: {}", `f:1: Inner: want a list, got a mapping`},
		{"Labels: [a]", `f:1: Labels: want a mapping, got a list`},
		{"Labels: {a: 1}", `f:1: Labels.a: want text, in quotes, got the number 1`},
		{"Secret: x", `f:1: Secret: want one of Count, Size, On, Wait, Inner, Labels, Day, got an unknown field`},
		{"Day: !secret x", `f:1: Day: want text, got the tag !secret`},
	}
	for _, te := range tests {
		t.Run(te.doc, func(t *testing.T) {
			var out outer
			qt.Assert(t, Decode("f", []byte(te.doc), &out).Error(), qt.Equals, te.want)
		})
	}
}

func TestMergeTrees(t *testing.T) {
	tests := []struct{ older, newer, origins, faults string }{
		{"A: {b: 1, c: 2}", "A: {c: [3], d: 4}", "A.b=old:1 A.c=new:1 A.d=new:1", ""},
		{"A: {b: 1, c: 2}", "A: {b: null}", "A.c=old:1", ""},
		{"A: {b: {c: 1}}", "A: {b: 2}", "A.b=new:1", ""},
		{"A: {b: 1}", "\nA:", "A.b=old:1", "new:2: A: want a mapping, got nothing"},
		{"A: {b: 1}", "A: {x: null}", "A.b=old:1", "new:1: A.x: want a name that an earlier file sets, to remove it, got nothing"},
	}
	for _, te := range tests {
		t.Run(te.newer, func(t *testing.T) {
			c := qt.New(t)
			older, fs := Parse("old", []byte(te.older))
			c.Assert(fs, qt.HasLen, 0)
			newer, fs := Parse("new", []byte(te.newer))
			c.Assert(fs, qt.HasLen, 0)
			tr, fs := MergeTrees(older, newer)
			c.Assert(fs.Error(), qt.Equals, te.faults)
			var or []string
			for _, ke := range []string{"A.b", "A.b.c", "A.c", "A.d", "A.x"} {
				if at, ok := tr.Origins()[ke]; ok {
					or = append(or, ke+"="+at)
				}
			}
			c.Assert(strings.Join(or, " "), qt.Equals, te.origins)
		})
	}
}

func TestLocatorFindsClosestLine(t *testing.T) {
	tr, _ := Parse("f", []byte("A:\n  B:\n  - x\n  - y\n"))
	for path, line := range map[string]int{"": 1, "A": 1, "A B": 2, "A B 1": 4, "A C": 1, "Z": 1} {
		qt.Check(t, tr.Locator().Line(strings.Fields(path)...), qt.Equals, line, qt.Commentf("%s", path))
	}
}

func FuzzParseInstance(f *testing.F) {
	data, err := os.ReadFile("testdata/good.yaml")
	qt.Assert(f, err, qt.IsNil)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, fs := ParseInstance("f", data)
		for _, fa := range fs {
			qt.Assert(t, fa.Line > 0 && fa.Want != "" && fa.Got != "", qt.IsTrue, qt.Commentf("%s", fa))
		}
	})
}
