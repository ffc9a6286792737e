package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Tree is a parsed YAML document, or several merged into one, that knows the
// file and line of each value. It is immutable.
type Tree struct {
	root  entry
	field string // field is where the root stands in faults; empty for a document.
}

// entry is a value together with the key or index that leads to it. The place
// is that of the key, because a mapping's own line is that of its first key.
type entry struct {
	key   string
	file  string
	line  int
	kind  yaml.Kind
	tag   string // tag is the short tag of a scalar, such as !!int.
	text  string // text is the content of a scalar.
	items []entry
	index map[string]int // index finds the items of a large mapping; nil for others.
}

// indexedItems is from how many items a mapping has an index.
const indexedItems = 16

// withItems returns a mapping with the items.
func (en entry) withItems(items []entry) entry {
	en.items = items
	en.index = nil
	if len(items) < indexedItems {
		return en
	}
	en.index = make(map[string]int, len(items))
	for i, it := range items {
		en.index[it.key] = i
	}
	return en
}

// find returns the place of the item with the key, or -1.
func (en entry) find(key string) int {
	if en.index == nil {
		return slices.IndexFunc(en.items, func(it entry) bool { return it.key == key })
	}
	if i, ok := en.index[key]; ok {
		return i
	}
	return -1
}

// The short tags of YAML scalars.
const (
	tagNull  = "!!null"
	tagText  = "!!str"
	tagDate  = "!!timestamp"
	tagWhole = "!!int"
	tagFloat = "!!float"
	tagBool  = "!!bool"
)

// Parse reads a file of one YAML document whose top is a mapping. An empty file
// gives an empty mapping. The tree holds what could be read in spite of faults.
func Parse(file string, data []byte) (Tree, Faults) {
	tr := Tree{root: entry{file: file, line: 1, kind: yaml.MappingNode}}
	de := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := de.Decode(&doc); errors.Is(err, io.EOF) {
		return tr, nil
	} else if err != nil {
		return tr, Faults{syntaxFault(file, err)}
	}
	pa := parser{file: file}
	top := doc.Content[0]
	root := pa.entry("", "", top)
	switch {
	case root.kind == yaml.MappingNode:
		tr.root = root
		tr.root.line = 1
	case root.tag != tagNull:
		pa.fault(top.Line, "", "a mapping", root.describe())
	}
	pa.onlyDocument(de)
	return tr, pa.faults.Sorted()
}

var syntaxLine = regexp.MustCompile(`line (\d+): (.*)`)

func syntaxFault(file string, err error) Fault {
	fa := Fault{File: file, Line: 1, Want: "YAML", Got: strings.TrimPrefix(err.Error(), "yaml: ")}
	if ma := syntaxLine.FindStringSubmatch(err.Error()); ma != nil {
		fa.Line, _ = strconv.Atoi(ma[1])
		fa.Got = ma[2]
	}
	return fa
}

// parser turns YAML nodes into entries.
type parser struct {
	file   string
	faults Faults
}

func (pa *parser) fault(line int, field, want, got string) {
	pa.faults = append(pa.faults, Fault{File: pa.file, Line: line, Field: field, Want: want, Got: got})
}

func (pa *parser) onlyDocument(de *yaml.Decoder) {
	var next yaml.Node
	err := de.Decode(&next)
	switch {
	case errors.Is(err, io.EOF):
	case err != nil:
		pa.faults = append(pa.faults, syntaxFault(pa.file, err))
	default:
		pa.fault(next.Line, "", "one document", "a second one")
	}
}

func (pa *parser) entry(key, field string, no *yaml.Node) entry {
	en := entry{key: key, file: pa.file, line: no.Line, kind: no.Kind}
	if no.Anchor != "" {
		pa.fault(no.Line, field, "a plain value", "the anchor &"+no.Anchor)
	}
	switch no.Kind {
	case yaml.MappingNode:
		en = en.withItems(pa.mapping(field, no))
	case yaml.SequenceNode:
		en.items = pa.list(field, no)
	default:
		en.tag = no.ShortTag()
		en.text = no.Value
	}
	return en
}

func (pa *parser) list(field string, no *yaml.Node) []entry {
	var items []entry
	for i, it := range no.Content {
		ke := strconv.Itoa(i)
		path := joinIndex(field, ke)
		if !pa.alias(path, it) {
			items = append(items, pa.entry(ke, path, it))
		}
	}
	return items
}

// alias refuses aliases. One can stand for a value far away and, nested, for
// more text than memory holds; neither an operator nor a limit on the size of
// the file would see it.
func (pa *parser) alias(field string, no *yaml.Node) bool {
	if no.Kind != yaml.AliasNode {
		return false
	}
	pa.fault(no.Line, field, "a plain value", "the alias *"+no.Value)
	return true
}

func (pa *parser) mapping(field string, no *yaml.Node) []entry {
	var items []entry
	lines := make(map[string]int)
	for i := 0; i+1 < len(no.Content); i += 2 {
		ke, va := no.Content[i], no.Content[i+1]
		path := joinKey(field, ke.Value)
		if ke.Kind != yaml.ScalarNode || ke.ShortTag() == "!!merge" {
			pa.fault(ke.Line, field, "text as key", "another kind of key")
			continue
		}
		if li, ok := lines[ke.Value]; ok {
			// A YAML library that keeps the last of two equal keys would drop
			// the first without a word.
			pa.fault(ke.Line, path, "each key once", fmt.Sprintf("it again after line %d", li))
			continue
		}
		lines[ke.Value] = ke.Line
		if pa.alias(path, va) {
			continue
		}
		en := pa.entry(ke.Value, path, va)
		en.line = ke.Line
		items = append(items, en)
	}
	return items
}

func joinKey(field, key string) string {
	if field == "" {
		return key
	}
	return field + "." + key
}

func joinIndex(field, index string) string {
	return field + "[" + index + "]"
}

// describe says what the value is, for the "got" of a fault.
func (en entry) describe() string {
	switch {
	case en.kind == yaml.MappingNode:
		return "a mapping"
	case en.kind == yaml.SequenceNode:
		return "a list"
	case en.tag == tagNull:
		return "nothing"
	case en.tag == tagText || en.tag == tagDate:
		return strconv.Quote(en.text)
	case en.tag == tagWhole || en.tag == tagFloat:
		return "the number " + en.text
	case en.tag == tagBool:
		return en.text
	default:
		return "the tag " + en.tag
	}
}

// find walks down the path and returns the deepest entry on it, the field it
// has in faults, and whether that is the whole path.
func (tr Tree) find(path []string) (entry, string, bool) {
	at := tr.root
	field := tr.field
	for i, ke := range path {
		next := at.find(ke)
		if next < 0 {
			return at, joinMissing(field, path[i:]), false
		}
		field = joinUnder(at, field, ke)
		at = at.items[next]
	}
	return at, field, true
}

func joinUnder(en entry, field, key string) string {
	if en.kind == yaml.SequenceNode {
		return joinIndex(field, key)
	}
	return joinKey(field, key)
}

func joinMissing(field string, rest []string) string {
	for _, ke := range rest {
		field = joinKey(field, ke)
	}
	return field
}

// At returns the part of the tree at the path, whose faults bear the fields of
// the whole, and whether there is one.
func (tr Tree) At(path ...string) (Tree, bool) {
	en, field, ok := tr.find(path)
	return Tree{root: en, field: field}, ok
}

// Keys returns the keys of the mapping at the path in the order of the file.
func (tr Tree) Keys(path ...string) []string {
	en, _, ok := tr.find(path)
	if !ok || en.kind != yaml.MappingNode {
		return nil
	}
	var ks []string
	for _, it := range en.items {
		ks = append(ks, it.key)
	}
	return ks
}

// Text returns the content of the scalar at the path and whether there is one.
func (tr Tree) Text(path ...string) (string, bool) {
	en, _, ok := tr.find(path)
	if !ok || en.kind != yaml.ScalarNode {
		return "", false
	}
	return en.text, true
}

// Len returns the number of items of the list at the path; 0 if there is none.
func (tr Tree) Len(path ...string) int {
	en, _, ok := tr.find(path)
	if !ok || en.kind != yaml.SequenceNode {
		return 0
	}
	return len(en.items)
}

// WithList returns a tree in which the value at the path is a list of texts, in
// the place of the old value. The path must exist.
func (tr Tree) WithList(texts []string, path ...string) Tree {
	tr.root = tr.root.withList(texts, path)
	return tr
}

func (en entry) withList(texts, path []string) entry {
	if len(path) == 0 {
		en.kind = yaml.SequenceNode
		en.items = nil
		for i, te := range texts {
			it := entry{key: strconv.Itoa(i), file: en.file, line: en.line, kind: yaml.ScalarNode, tag: tagText, text: te}
			en.items = append(en.items, it)
		}
		return en
	}
	if i := en.find(path[0]); i >= 0 {
		en.items = slices.Clone(en.items)
		en.items[i] = en.items[i].withList(texts, path[1:])
	}
	return en
}

// Origins returns the file and line, as "file:line", of each value that is not
// a mapping, by its field.
func (tr Tree) Origins() map[string]string {
	or := make(map[string]string)
	tr.root.origins(tr.field, or)
	return or
}

func (en entry) origins(field string, or map[string]string) {
	if en.kind != yaml.MappingNode {
		or[field] = fmt.Sprintf("%s:%d", en.file, en.line)
		return
	}
	for _, it := range en.items {
		it.origins(joinKey(field, it.key), or)
	}
}

// Locator returns a finder of lines in the tree.
func (tr Tree) Locator() Locator {
	return Locator{tr: tr}
}

// Locator finds the lines of values by their path, for checks that come after
// decoding. A list's items are named by their index.
type Locator struct {
	tr Tree
}

// Line returns the line of the value at the path, or of the closest value above
// it that exists.
func (lo Locator) Line(path ...string) int {
	en, _, _ := lo.tr.find(path)
	return en.line
}

// File returns the file of the value at the path, or of the closest value above
// it that exists.
func (lo Locator) File(path ...string) string {
	en, _, _ := lo.tr.find(path)
	return en.file
}

// Has reports whether the path has a value.
func (lo Locator) Has(path ...string) bool {
	_, _, ok := lo.tr.find(path)
	return ok
}

// Fault returns a fault of the value at the path.
func (lo Locator) Fault(want, got string, path ...string) Fault {
	en, field, _ := lo.tr.find(path)
	return Fault{File: en.file, Line: en.line, Field: field, Want: want, Got: got}
}
