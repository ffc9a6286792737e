package operator

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"balsamwinch.example/settings"
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

// readArchive returns the files of a txtar archive in reverse order, because the order of the
// files must not matter.
func readArchive(c *qt.C, path string) []File {
	ar, err := txtar.ParseFile(path)
	c.Assert(err, qt.IsNil)
	var files []File
	for _, fi := range ar.Files {
		files = append(files, File{Name: fi.Name, Content: fi.Data})
	}
	slices.Reverse(files)
	return files
}

// A file with a mistake, or one that contradicts another file, must be rejected: accepted, it
// would come into force on every instance at once. Each archive in testdata holds one kind of
// fault, or, if its name begins with good-, a valid folder. The golden file holds the faults,
// or the merged values with their origins.
func TestMerge(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, pa := range paths {
		na := strings.TrimSuffix(filepath.Base(pa), ".txtar")
		t.Run(na, func(t *testing.T) {
			c := qt.New(t)
			files := readArchive(c, pa)
			cf, fs := Merge(files)
			c.Assert(len(fs) == 0, qt.Equals, strings.HasPrefix(na, "good-"))
			out := fs.Error()
			if len(fs) == 0 {
				for _, va := range Values(cf, files) {
					out += fmt.Sprintf("%s: %s (%s)\n", va.Path, va.Text, va.Origin)
				}
			}
			golden(c, strings.TrimSuffix(pa, ".txtar")+".golden", out+"\n")
		})
	}
}

func TestMergeRejectsInvalidFiles(t *testing.T) {
	c := qt.New(t)
	_, fs := Merge([]File{{Name: "a.yaml", Content: make([]byte, MaxFileBytes+1)}, {Name: "b.yaml"}, {Name: "b.yaml"}, {Name: "../c.yaml"}})
	c.Assert(fs.Error(), qt.Equals, `../c.yaml: want a plain file named *.yaml or *.yml, got another name
a.yaml: want at most 262144 bytes, got 262145 bytes
b.yaml: want each file once, got a second one`)
}

func TestReadFolderRejectsOtherEntries(t *testing.T) {
	c := qt.New(t)
	dir := c.Mkdir()
	for _, na := range []string{"20-b.yml", "10-a.yaml", ".seen.json", "notes.txt", "-x.yaml"} {
		c.Assert(os.WriteFile(filepath.Join(dir, na), []byte(na), 0o644), qt.IsNil)
	}
	c.Assert(os.Mkdir(filepath.Join(dir, "more.yaml"), 0o755), qt.IsNil)
	files, err := ReadFolder(dir)
	c.Assert(files, qt.DeepEquals, []File{{"10-a.yaml", []byte("10-a.yaml")}, {"20-b.yml", []byte("20-b.yml")}})
	var fs settings.Faults
	c.Assert(err, qt.ErrorAs, &fs)
	c.Assert(fs.Error(), qt.Equals, `-x.yaml: want a plain file named *.yaml or *.yml, got another name
more.yaml: want a plain file named *.yaml or *.yml, got a folder
notes.txt: want a plain file named *.yaml or *.yml, got another name`)
}

func TestDiff(t *testing.T) {
	c := qt.New(t)
	older, _ := Merge(readArchive(c, "testdata/good-spread.txtar"))
	newer, _ := Merge(readArchive(c, "testdata/good-defaults.txtar"))
	golden(c, "testdata/diff.golden", strings.Join(Diff(older, newer), "\n")+"\n")
	c.Assert(Diff(newer, newer), qt.HasLen, 0)
}

// Control merges after each change and caches parsed files. A file that was edited, and then
// changed back, must be parsed again.
func TestMergerReparsesChangedFiles(t *testing.T) {
	c := qt.New(t)
	me := NewMerger()
	for _, policy := range []string{"Best", "Complete", "Fast", "Best"} {
		files := append(readArchive(c, "testdata/good-defaults.txtar"), File{Name: "90.yaml", Content: []byte("Services: {archivo: {Policy: " + policy + "}}")})
		cf, fs := me.Merge(files)
		want, wantFaults := Merge(files)
		c.Assert(cf, qt.DeepEquals, want)
		c.Assert(fs, qt.DeepEquals, wantFaults)
	}
}

// Every accepted change merges all files, also while the write-ahead log is replayed.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{27, 270, 2700} {
		var files []File
		for i := range n {
			te := fmt.Sprintf("Services: {service-%d: {Policy: Best, Partitions: [{Number: 1, Shards: 3}]}}", i)
			files = append(files, File{Name: fmt.Sprintf("%05d.yaml", i), Content: []byte(te)})
		}
		me := NewMerger()
		for na, fn := range map[string]func([]File) (Configuration, settings.Faults){"fresh": Merge, "again": me.Merge} {
			b.Run(fmt.Sprintf("%d/%s", n, na), func(b *testing.B) {
				for b.Loop() {
					_, fs := fn(files)
					qt.Assert(b, fs, qt.HasLen, 0)
				}
			})
		}
	}
}
