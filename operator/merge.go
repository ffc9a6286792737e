package operator

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"balsamwinch.example/settings"
)

// MaxFileBytes is the size of the largest file that is taken.
const MaxFileBytes = 256 << 10

// maxShards is how many shards a count may stand for.
const maxShards = 10_000

const fileNames = "a plain file named *.yaml or *.yml"

var fileName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}\.ya?ml$`)

// ReadFolder reads the configuration files of a folder in the order of their
// names. Hidden entries, whose names begin with a dot, are passed over; any
// other that is no YAML file is refused, because an operator who misnamed a
// file would believe it in force. The error is settings.Faults for such entries.
func ReadFolder(dir string) ([]File, error) {
	li, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var files []File
	var fs settings.Faults
	for _, it := range li {
		if strings.HasPrefix(it.Name(), ".") {
			continue
		}
		if got := notConfiguration(dir, it); got != "" {
			fs = append(fs, Fault{File: it.Name(), Want: fileNames, Got: got})
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, it.Name()))
		if err != nil {
			return nil, err
		}
		files = append(files, File{Name: it.Name(), Content: data})
	}
	return files, fs.Sorted().Err()
}

func notConfiguration(dir string, it os.DirEntry) string {
	fi, err := os.Stat(filepath.Join(dir, it.Name()))
	switch {
	case err != nil:
		return err.Error()
	case fi.IsDir():
		return "a folder"
	case !fi.Mode().IsRegular():
		return "a special file"
	case !fileName.MatchString(it.Name()):
		return "another name"
	default:
		return ""
	}
}

// Merge merges files in the order of their names and checks the merged whole.
// Mappings are merged key by key, so that a service may be spread over files;
// lists and single values of a later file replace earlier ones whole, and null
// removes a service or field. The revision of the result is 0. The same files
// give the same result on every instance.
func Merge(files []File) (Configuration, settings.Faults) {
	return NewMerger().Merge(files)
}

// Merger merges again and again, as files change one by one. It remembers the
// files of the last merge, so that those that stay are not parsed again. It may
// be used by many goroutines.
type Merger struct {
	mu   sync.Mutex
	last map[string]parsed
}

// parsed is a file with what parsing it gave.
type parsed struct {
	content []byte
	tree    settings.Tree
	faults  settings.Faults
}

// NewMerger returns a merger that remembers nothing.
func NewMerger() *Merger {
	return &Merger{}
}

// Merge does what the function Merge does.
func (me *Merger) Merge(files []File) (Configuration, settings.Faults) {
	tr, fs := me.trees(files)
	cf := Configuration{
		Services: make(map[string]Service),
		Limits:   Limits{MaxEntries: DefaultMaxEntries, AddressTTLMillis: DefaultAddressTTLMillis},
	}
	top := struct {
		Services map[string]any
		Limits   Limits
	}{Limits: cf.Limits}
	fs = append(fs, tr.Decode(&top)...)
	cf.Limits = top.Limits
	for _, na := range slices.Sorted(maps.Keys(top.Services)) {
		se, sf := decodeService(tr, na)
		fs = append(fs, sf...)
		cf.Services[na] = se
	}
	ck := settings.NewChecker(tr, fs)
	cf.check(ck)
	return cf, ck.Faults()
}

func decodeService(tr settings.Tree, na string) (Service, settings.Faults) {
	se := NewService(na)
	sub, _ := tr.At("Services", na)
	sub, fs := expandShards(sub)
	return se, append(fs, sub.Decode(&se)...)
}

// Origins tells which file and line each value of the merged whole came from,
// as "file:line" by field, such as "Services.archivo.Policy".
func Origins(files []File) map[string]string {
	tr, _ := NewMerger().trees(files)
	return tr.Origins()
}

// trees parses the files and merges them into one tree.
func (me *Merger) trees(files []File) (settings.Tree, settings.Faults) {
	so := slices.SortedFunc(slices.Values(files), func(aa, bb File) int { return cmp.Compare(aa.Name, bb.Name) })
	me.mu.Lock()
	defer me.mu.Unlock()
	next := make(map[string]parsed, len(so))
	var trees []settings.Tree
	var fs settings.Faults
	for _, fi := range so {
		fa := fi.fault()
		if _, ok := next[fi.Name]; ok {
			fa = &Fault{File: fi.Name, Want: "each file once", Got: "a second one"}
		}
		if fa != nil {
			fs = append(fs, *fa)
			continue
		}
		pa := me.parse(fi)
		next[fi.Name] = pa
		trees = append(trees, pa.tree)
		fs = append(fs, pa.faults...)
	}
	me.last = next
	tr, mf := settings.MergeTrees(trees...)
	return tr, append(fs, mf...)
}

func (me *Merger) parse(fi File) parsed {
	if pa, ok := me.last[fi.Name]; ok && bytes.Equal(pa.content, fi.Content) {
		return pa
	}
	tr, fs := settings.Parse(fi.Name, fi.Content)
	return parsed{content: bytes.Clone(fi.Content), tree: tr, faults: fs}
}

// fault checks what can be told of the file without reading it.
func (fi File) fault() *Fault {
	switch {
	case !fileName.MatchString(fi.Name):
		return &Fault{File: fi.Name, Want: fileNames, Got: "another name"}
	case len(fi.Content) > MaxFileBytes:
		got := strconv.Itoa(len(fi.Content)) + " bytes"
		return &Fault{File: fi.Name, Want: fmt.Sprintf("at most %d bytes", MaxFileBytes), Got: got}
	default:
		return nil
	}
}

// expandShards replaces each count of shards of a service by the list of names
// that it stands for.
func expandShards(tr settings.Tree) (settings.Tree, settings.Faults) {
	var fs settings.Faults
	for i := range tr.Len("Partitions") {
		path := []string{"Partitions", strconv.Itoa(i), "Shards"}
		te, ok := tr.Text(path...)
		if !ok {
			continue
		}
		var co int
		if len(tr.Decode(&co, path...)) > 0 || co < 1 || co > maxShards {
			want := fmt.Sprintf("a list of names, or a count from 1 to %d", maxShards)
			fs = append(fs, tr.Locator().Fault(want, strconv.Quote(te), path...))
			co = 0
		}
		tr = tr.WithList(ShardNames(co), path...)
	}
	return tr, fs
}

// ShardNames returns the names that a count of shards stands for: numbers from
// 0 with leading zeros, at least two digits wide, so 13 gives 00 to 12.
func ShardNames(count int) []string {
	wi := max(2, len(strconv.Itoa(count-1)))
	na := make([]string, count)
	for i := range na {
		na[i] = fmt.Sprintf("%0*d", wi, i)
	}
	return na
}
