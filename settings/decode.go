// Package settings reads YAML files strictly: it refuses unknown fields,
// duplicate keys and wrong types, and reports all faults at once with file,
// line, field, what was expected and what was found. It also defines the
// settings file of an instance.
package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Decode reads a file of one YAML document into out, a pointer to a struct
// whose fields have the names of the keys. Fields that the file does not name
// keep their value, so out holds the defaults. A field tagged `yaml:"-"` is no key.
func Decode(file string, data []byte, out any) Faults {
	tr, fs := Parse(file, data)
	return append(fs, tr.Decode(out)...).Sorted()
}

// Decode reads the value at the path into out, a pointer. A path that has no
// value leaves out as it is. Field types are text, whole numbers, float64, bool,
// time.Duration, structs, slices, maps with text keys, and any, which takes any
// value and is not set; others panic.
func (tr Tree) Decode(out any, path ...string) Faults {
	en, field, ok := tr.find(path)
	if !ok {
		return nil
	}
	var de decoder
	de.value(en, field, reflect.ValueOf(out).Elem())
	return de.faults.Sorted()
}

// decoder collects the faults of a decoding.
type decoder struct {
	faults Faults
}

func (de *decoder) fault(en entry, field, want, got string) {
	de.faults = append(de.faults, Fault{File: en.file, Line: en.line, Field: field, Want: want, Got: got})
}

var durationType = reflect.TypeFor[time.Duration]()

func (de *decoder) value(en entry, field string, rv reflect.Value) {
	if rv.Type() == durationType {
		de.duration(en, field, rv)
		return
	}
	switch rv.Kind() {
	case reflect.Struct:
		de.structure(en, field, rv)
	case reflect.Map:
		de.mapping(en, field, rv)
	case reflect.Slice:
		de.list(en, field, rv)
	case reflect.String:
		de.text(en, field, rv)
	case reflect.Bool:
		de.boolean(en, field, rv)
	case reflect.Int, reflect.Int64, reflect.Uint64:
		de.whole(en, field, rv)
	case reflect.Float64:
		de.float(en, field, rv)
	case reflect.Interface:
	default:
		panic(fmt.Sprintf("settings: %s has the type %s, which is not supported", field, rv.Type()))
	}
}

func (de *decoder) structure(en entry, field string, rv reflect.Value) {
	if en.kind != yaml.MappingNode {
		de.fault(en, field, "a mapping", en.describe())
		return
	}
	known := fieldNames(rv.Type())
	for _, it := range en.items {
		at, ok := known[it.key]
		if !ok {
			// A misspelt field would otherwise leave its default in force.
			de.fault(it, joinKey(field, it.key), "one of "+fieldList(rv.Type()), "an unknown field")
			continue
		}
		de.value(it, joinKey(field, it.key), rv.Field(at))
	}
}

func fieldNames(ty reflect.Type) map[string]int {
	na := make(map[string]int)
	for i := range ty.NumField() {
		fi := ty.Field(i)
		if fi.IsExported() && fi.Tag.Get("yaml") != "-" {
			na[fi.Name] = i
		}
	}
	return na
}

func fieldList(ty reflect.Type) string {
	var li []string
	known := fieldNames(ty)
	for i := range ty.NumField() {
		if _, ok := known[ty.Field(i).Name]; ok {
			li = append(li, ty.Field(i).Name)
		}
	}
	return strings.Join(li, ", ")
}

// mapping reads a mapping. A null is one without entries: a template writes it for a table
// that the machine doesn't have.
func (de *decoder) mapping(en entry, field string, rv reflect.Value) {
	if en.removes() {
		return
	}
	if en.kind != yaml.MappingNode {
		de.fault(en, field, "a mapping", en.describe())
		return
	}
	ma := reflect.MakeMap(rv.Type())
	for _, it := range en.items {
		va := reflect.New(rv.Type().Elem()).Elem()
		de.value(it, joinKey(field, it.key), va)
		ma.SetMapIndex(reflect.ValueOf(it.key).Convert(rv.Type().Key()), va)
	}
	rv.Set(ma)
}

func (de *decoder) list(en entry, field string, rv reflect.Value) {
	if en.kind != yaml.SequenceNode {
		de.fault(en, field, "a list", en.describe())
		return
	}
	li := reflect.MakeSlice(rv.Type(), len(en.items), len(en.items))
	for i, it := range en.items {
		de.value(it, joinIndex(field, it.key), li.Index(i))
	}
	rv.Set(li)
}

func (de *decoder) text(en entry, field string, rv reflect.Value) {
	switch en.tag {
	case tagText, tagDate:
		rv.SetString(en.text)
	case tagWhole, tagFloat, tagBool:
		// 007 or no would come back changed if it were read as a number or
		// truth value and written out again.
		de.fault(en, field, "text, in quotes", en.describe())
	default:
		de.fault(en, field, "text", en.describe())
	}
}

func (de *decoder) boolean(en entry, field string, rv reflect.Value) {
	if en.tag != tagBool {
		de.fault(en, field, "true or false", en.describe())
		return
	}
	rv.SetBool(strings.EqualFold(en.text, "true"))
}

func (de *decoder) whole(en entry, field string, rv reflect.Value) {
	const want = "a whole number"
	// YAML 1.1 and 1.2 disagree on whether 010 is eight or ten.
	octal := strings.HasPrefix(strings.TrimLeft(en.text, "+-"), "0") && len(en.text) > 1
	if en.tag != tagWhole || octal {
		de.fault(en, field, want, en.describe())
		return
	}
	var err error
	if rv.CanUint() {
		var nu uint64
		nu, err = strconv.ParseUint(en.text, 10, rv.Type().Bits())
		rv.SetUint(nu)
	} else {
		var nu int64
		nu, err = strconv.ParseInt(en.text, 10, rv.Type().Bits())
		rv.SetInt(nu)
	}
	if err != nil {
		de.fault(en, field, fmt.Sprintf("%s that fits %d bits", want, rv.Type().Bits()), en.describe())
	}
}

func (de *decoder) float(en entry, field string, rv reflect.Value) {
	nu, err := strconv.ParseFloat(en.text, 64)
	number := en.tag == tagWhole || en.tag == tagFloat
	if !number || err != nil { // .nan and .inf, numbers to YAML, are errors to strconv
		de.fault(en, field, "a number", en.describe())
		return
	}
	rv.SetFloat(nu)
}

func (de *decoder) duration(en entry, field string, rv reflect.Value) {
	du, err := time.ParseDuration(en.text)
	if en.tag != tagText || err != nil {
		de.fault(en, field, "a duration such as 150ms or 2s", en.describe())
		return
	}
	rv.SetInt(int64(du))
}
