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

// MaxFileBytes is the maximum size of a file.
const MaxFileBytes = 256 << 10

// maxShards bounds a shard count.
const maxShards = 10_000

const wantFileName = "a plain file named *.yaml or *.yml"

var fileNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}\.ya?ml$`)

// ReadFolder reads the configuration files of a folder in the order of their names. It ignores
// hidden entries, whose names begin with a dot. Any other entry that is not a YAML file is a
// fault, because an operator who misnamed a file would believe it to be in force. The error
// for such entries is of the type settings.Faults.
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
		if got := invalidEntry(dir, it); got != "" {
			fs = append(fs, Fault{File: it.Name(), Want: wantFileName, Got: got})
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

func invalidEntry(dir string, it os.DirEntry) string {
	fi, err := os.Stat(filepath.Join(dir, it.Name()))
	switch {
	case err != nil:
		return err.Error()
	case fi.IsDir():
		return "a folder"
	case !fi.Mode().IsRegular():
		return "a special file"
	case !fileNamePattern.MatchString(it.Name()):
		return "another name"
	default:
		return ""
	}
}

// Merge merges files in the order of their names and validates the result. Mappings are merged
// key by key, so that a service may be spread over files. Lists and scalars of a later file
// replace earlier ones, and null removes a service or field. The revision of the result is 0.
// The result depends only on the files, so it is the same on every instance.
func Merge(files []File) (Configuration, settings.Faults) {
	return NewMerger().Merge(files)
}

// Merger merges repeatedly as files change one by one. It caches the parsed files of the last
// merge, so that unchanged files are not parsed again. It is safe for concurrent use.
type Merger struct {
	mu       sync.Mutex
	previous map[string]parsedFile
}

// parsedFile is a parsed file with its faults.
type parsedFile struct {
	content []byte
	tree    settings.Tree
	faults  settings.Faults
}

// NewMerger returns a merger with an empty cache.
func NewMerger() *Merger {
	return &Merger{}
}

// Merge is like the function Merge.
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

// Origins returns the file and line of each value of the merged files, as "file:line" by
// field, such as "Services.archivo.Policy".
func Origins(files []File) map[string]string {
	tr, _ := NewMerger().trees(files)
	return tr.Origins()
}

// trees parses the files and merges them into one tree.
func (me *Merger) trees(files []File) (settings.Tree, settings.Faults) {
	so := slices.SortedFunc(slices.Values(files), func(aa, bb File) int { return cmp.Compare(aa.Name, bb.Name) })
	me.mu.Lock()
	defer me.mu.Unlock()
	next := make(map[string]parsedFile, len(so))
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
	me.previous = next
	tr, mf := settings.MergeTrees(trees...)
	return tr, append(fs, mf...)
}

func (me *Merger) parse(fi File) parsedFile {
	if pa, ok := me.previous[fi.Name]; ok && bytes.Equal(pa.content, fi.Content) {
		return pa
	}
	tr, fs := settings.Parse(fi.Name, fi.Content)
	return parsedFile{content: bytes.Clone(fi.Content), tree: tr, faults: fs}
}

// fault checks the name and size of the file.
func (fi File) fault() *Fault {
	switch {
	case !fileNamePattern.MatchString(fi.Name):
		return &Fault{File: fi.Name, Want: wantFileName, Got: "another name"}
	case len(fi.Content) > MaxFileBytes:
		got := strconv.Itoa(len(fi.Content)) + " bytes"
		return &Fault{File: fi.Name, Want: fmt.Sprintf("at most %d bytes", MaxFileBytes), Got: got}
	default:
		return nil
	}
}

// expandShards replaces each shard count of a service by the list of names that it stands for.
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

// ShardNames returns the names that a shard count stands for: numbers from 0 with leading
// zeros, at least two digits wide, so 13 gives 00 to 12.
func ShardNames(count int) []string {
	wi := max(2, len(strconv.Itoa(count-1)))
	na := make([]string, count)
	for i := range na {
		na[i] = fmt.Sprintf("%0*d", wi, i)
	}
	return na
}
