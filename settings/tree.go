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

// Tree is a parsed YAML document, or the result of merging several, with the file and line of
// each value. It is immutable.
type Tree struct {
	root  node
	field string // path of the root in faults; empty for a whole document
}

// node is a value with its key or index. Its line is that of the key, because a mapping's own
// line is that of its first key.
type node struct {
	key   string
	file  string
	line  int
	kind  yaml.Kind
	tag   string // short tag of a scalar, such as !!int
	text  string // content of a scalar
	items []node
	index map[string]int // positions of the items of a large mapping by key; nil for other values
}

// minIndexedItems is the number of items from which a mapping is indexed.
const minIndexedItems = 16

// withItems returns the mapping with the given items.
func (no node) withItems(items []node) node {
	no.items = items
	no.index = nil
	if len(items) < minIndexedItems {
		return no
	}
	no.index = make(map[string]int, len(items))
	for i, it := range items {
		no.index[it.key] = i
	}
	return no
}

// find returns the position of the item with the key, or -1.
func (no node) find(key string) int {
	if no.index == nil {
		return slices.IndexFunc(no.items, func(it node) bool { return it.key == key })
	}
	if i, ok := no.index[key]; ok {
		return i
	}
	return -1
}

// Short tags of YAML scalars.
const (
	tagNull      = "!!null"
	tagString    = "!!str"
	tagTimestamp = "!!timestamp"
	tagInt       = "!!int"
	tagFloat     = "!!float"
	tagBool      = "!!bool"
)

// Parse parses a file with one YAML document that is a mapping. An empty file gives an empty
// mapping. If there are faults, the tree holds what could be parsed.
func Parse(file string, data []byte) (Tree, Faults) {
	tr := Tree{root: node{file: file, line: 1, kind: yaml.MappingNode}}
	de := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := de.Decode(&doc); errors.Is(err, io.EOF) {
		return tr, nil
	} else if err != nil {
		return tr, Faults{syntaxFault(file, err)}
	}
	pa := parser{file: file}
	top := doc.Content[0]
	root := pa.node("", "", top)
	switch {
	case root.kind == yaml.MappingNode:
		tr.root = root
		tr.root.line = 1
	case root.tag != tagNull:
		pa.fault(top.Line, "", "a mapping", root.describe())
	}
	pa.checkSingleDocument(de)
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

// parser converts YAML nodes.
type parser struct {
	file   string
	faults Faults
}

func (pa *parser) fault(line int, field, want, got string) {
	pa.faults = append(pa.faults, Fault{File: pa.file, Line: line, Field: field, Want: want, Got: got})
}

func (pa *parser) checkSingleDocument(de *yaml.Decoder) {
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

func (pa *parser) node(key, field string, yn *yaml.Node) node {
	no := node{key: key, file: pa.file, line: yn.Line, kind: yn.Kind}
	if yn.Anchor != "" {
		pa.fault(yn.Line, field, "a plain value", "the anchor &"+yn.Anchor)
	}
	switch yn.Kind {
	case yaml.MappingNode:
		no = no.withItems(pa.mapping(field, yn))
	case yaml.SequenceNode:
		no.items = pa.list(field, yn)
	default:
		no.tag = yn.ShortTag()
		no.text = yn.Value
	}
	return no
}

func (pa *parser) list(field string, yn *yaml.Node) []node {
	var items []node
	for i, it := range yn.Content {
		ke := strconv.Itoa(i)
		path := joinIndex(field, ke)
		if !pa.rejectAlias(path, it) {
			items = append(items, pa.node(ke, path, it))
		}
	}
	return items
}

// rejectAlias reports a fault if the value is an alias. An alias can stand for a distant value
// and, nested, for more text than fits in memory. An operator would not notice it, and a limit
// on the file size would not prevent it.
func (pa *parser) rejectAlias(field string, yn *yaml.Node) bool {
	if yn.Kind != yaml.AliasNode {
		return false
	}
	pa.fault(yn.Line, field, "a plain value", "the alias *"+yn.Value)
	return true
}

func (pa *parser) mapping(field string, yn *yaml.Node) []node {
	var items []node
	lines := make(map[string]int)
	for i := 0; i+1 < len(yn.Content); i += 2 {
		ke, va := yn.Content[i], yn.Content[i+1]
		path := joinKey(field, ke.Value)
		if ke.Kind != yaml.ScalarNode || ke.ShortTag() == "!!merge" {
			pa.fault(ke.Line, field, "text as key", "another kind of key")
			continue
		}
		if li, ok := lines[ke.Value]; ok {
			// A YAML library that keeps the last of two equal keys would drop the first
			// silently.
			pa.fault(ke.Line, path, "each key once", fmt.Sprintf("it again after line %d", li))
			continue
		}
		lines[ke.Value] = ke.Line
		if pa.rejectAlias(path, va) {
			continue
		}
		no := pa.node(ke.Value, path, va)
		no.line = ke.Line
		items = append(items, no)
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

// describe describes the value for Fault.Got.
func (no node) describe() string {
	switch {
	case no.kind == yaml.MappingNode:
		return "a mapping"
	case no.kind == yaml.SequenceNode:
		return "a list"
	case no.tag == tagNull:
		return "nothing"
	case no.tag == tagString || no.tag == tagTimestamp:
		return strconv.Quote(no.text)
	case no.tag == tagInt || no.tag == tagFloat:
		return "the number " + no.text
	case no.tag == tagBool:
		return no.text
	default:
		return "the tag " + no.tag
	}
}

// find returns the deepest node on the path, its path in faults, and whether it lies at the
// end of the path.
func (tr Tree) find(path []string) (node, string, bool) {
	at := tr.root
	field := tr.field
	for i, ke := range path {
		next := at.find(ke)
		if next < 0 {
			return at, joinMissing(field, path[i:]), false
		}
		field = joinItem(at, field, ke)
		at = at.items[next]
	}
	return at, field, true
}

func joinItem(no node, field, key string) string {
	if no.kind == yaml.SequenceNode {
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

// At returns the subtree at the path and whether it exists. Its faults carry the paths of the
// whole tree.
func (tr Tree) At(path ...string) (Tree, bool) {
	no, field, ok := tr.find(path)
	return Tree{root: no, field: field}, ok
}

// Keys returns the keys of the mapping at the path in the order of the file.
func (tr Tree) Keys(path ...string) []string {
	no, _, ok := tr.find(path)
	if !ok || no.kind != yaml.MappingNode {
		return nil
	}
	var ks []string
	for _, it := range no.items {
		ks = append(ks, it.key)
	}
	return ks
}

// Text returns the content of the scalar at the path and whether there is one.
func (tr Tree) Text(path ...string) (string, bool) {
	no, _, ok := tr.find(path)
	if !ok || no.kind != yaml.ScalarNode {
		return "", false
	}
	return no.text, true
}

// Len returns the number of items of the list at the path; 0 if there is none.
func (tr Tree) Len(path ...string) int {
	no, _, ok := tr.find(path)
	if !ok || no.kind != yaml.SequenceNode {
		return 0
	}
	return len(no.items)
}

// WithList returns a copy of the tree in which the value at the path is replaced by a list of
// strings. The path must exist.
func (tr Tree) WithList(texts []string, path ...string) Tree {
	tr.root = tr.root.withList(texts, path)
	return tr
}

func (no node) withList(texts, path []string) node {
	if len(path) == 0 {
		no.kind = yaml.SequenceNode
		no.items = nil
		for i, te := range texts {
			it := node{key: strconv.Itoa(i), file: no.file, line: no.line, kind: yaml.ScalarNode, tag: tagString, text: te}
			no.items = append(no.items, it)
		}
		return no
	}
	if i := no.find(path[0]); i >= 0 {
		no.items = slices.Clone(no.items)
		no.items[i] = no.items[i].withList(texts, path[1:])
	}
	return no
}

// Origins returns the file and line, as "file:line", of each value that is not a mapping, by
// its path.
func (tr Tree) Origins() map[string]string {
	or := make(map[string]string)
	tr.root.origins(tr.field, or)
	return or
}

func (no node) origins(field string, or map[string]string) {
	if no.kind != yaml.MappingNode {
		or[field] = fmt.Sprintf("%s:%d", no.file, no.line)
		return
	}
	for _, it := range no.items {
		it.origins(joinKey(field, it.key), or)
	}
}

// Locator returns a locator for the tree.
func (tr Tree) Locator() Locator {
	return Locator{tr: tr}
}

// Locator finds the positions of values by path, for checks after decoding. Items of a list
// are identified by their index.
type Locator struct {
	tr Tree
}

// Line returns the line of the value at the path, or of its closest existing ancestor.
func (lo Locator) Line(path ...string) int {
	no, _, _ := lo.tr.find(path)
	return no.line
}

// File returns the file of the value at the path, or of its closest existing ancestor.
func (lo Locator) File(path ...string) string {
	no, _, _ := lo.tr.find(path)
	return no.file
}

// Has reports whether a value exists at the path.
func (lo Locator) Has(path ...string) bool {
	_, _, ok := lo.tr.find(path)
	return ok
}

// Fault returns a fault of the value at the path.
func (lo Locator) Fault(want, got string, path ...string) Fault {
	no, field, _ := lo.tr.find(path)
	return Fault{File: no.file, Line: no.line, Field: field, Want: want, Got: got}
}
