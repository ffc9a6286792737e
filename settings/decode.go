// Package settings decodes YAML files strictly: it rejects unknown fields, duplicate keys and
// wrong types, and reports all faults at once with file, line, field, expected value and
// actual value. It also defines the settings file of an instance.
package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Decode decodes a file with one YAML document into out, a pointer to a struct whose fields
// are named like the keys. Fields that the file does not set keep their value, so out may hold
// defaults. A field tagged `yaml:"-"` is not decoded.
func Decode(file string, data []byte, out any) Faults {
	tr, fs := Parse(file, data)
	return append(fs, tr.Decode(out)...).Sorted()
}

// Decode decodes the value at the path into out, a pointer. If there is no value at the path,
// out is not changed. It supports strings, int, int64, uint64, float64, bool, time.Duration,
// structs, slices, maps with string keys, and any, which accepts any value and is not set.
// Other types panic.
func (tr Tree) Decode(out any, path ...string) Faults {
	no, field, ok := tr.find(path)
	if !ok {
		return nil
	}
	var de decoder
	de.value(no, field, reflect.ValueOf(out).Elem())
	return de.faults.Sorted()
}

// decoder collects the faults of decoding.
type decoder struct {
	faults Faults
}

func (de *decoder) fault(no node, field, want, got string) {
	de.faults = append(de.faults, Fault{File: no.file, Line: no.line, Field: field, Want: want, Got: got})
}

var durationType = reflect.TypeFor[time.Duration]()

func (de *decoder) value(no node, field string, rv reflect.Value) {
	if rv.Type() == durationType {
		de.duration(no, field, rv)
		return
	}
	switch rv.Kind() {
	case reflect.Struct:
		de.structValue(no, field, rv)
	case reflect.Map:
		de.mapping(no, field, rv)
	case reflect.Slice:
		de.list(no, field, rv)
	case reflect.String:
		de.str(no, field, rv)
	case reflect.Bool:
		de.boolean(no, field, rv)
	case reflect.Int, reflect.Int64, reflect.Uint64:
		de.integer(no, field, rv)
	case reflect.Float64:
		de.float(no, field, rv)
	case reflect.Interface:
	default:
		panic(fmt.Sprintf("settings: %s has the type %s, which is not supported", field, rv.Type()))
	}
}

func (de *decoder) structValue(no node, field string, rv reflect.Value) {
	if no.kind != yaml.MappingNode {
		de.fault(no, field, "a mapping", no.describe())
		return
	}
	known := fieldIndexes(rv.Type())
	for _, it := range no.items {
		at, ok := known[it.key]
		if !ok {
			// If a misspelt field were ignored, its default would stay in force.
			de.fault(it, joinKey(field, it.key), "one of "+fieldNames(rv.Type()), "an unknown field")
			continue
		}
		de.value(it, joinKey(field, it.key), rv.Field(at))
	}
}

func fieldIndexes(ty reflect.Type) map[string]int {
	na := make(map[string]int)
	for i := range ty.NumField() {
		fi := ty.Field(i)
		if fi.IsExported() && fi.Tag.Get("yaml") != "-" {
			na[fi.Name] = i
		}
	}
	return na
}

func fieldNames(ty reflect.Type) string {
	var li []string
	known := fieldIndexes(ty)
	for i := range ty.NumField() {
		if _, ok := known[ty.Field(i).Name]; ok {
			li = append(li, ty.Field(i).Name)
		}
	}
	return strings.Join(li, ", ")
}

// mapping decodes a mapping. Null counts as an empty mapping, because a template writes null
// for a table that the machine does not have.
func (de *decoder) mapping(no node, field string, rv reflect.Value) {
	if no.isNull() {
		return
	}
	if no.kind != yaml.MappingNode {
		de.fault(no, field, "a mapping", no.describe())
		return
	}
	ma := reflect.MakeMap(rv.Type())
	for _, it := range no.items {
		va := reflect.New(rv.Type().Elem()).Elem()
		de.value(it, joinKey(field, it.key), va)
		ma.SetMapIndex(reflect.ValueOf(it.key).Convert(rv.Type().Key()), va)
	}
	rv.Set(ma)
}

func (de *decoder) list(no node, field string, rv reflect.Value) {
	if no.kind != yaml.SequenceNode {
		de.fault(no, field, "a list", no.describe())
		return
	}
	li := reflect.MakeSlice(rv.Type(), len(no.items), len(no.items))
	for i, it := range no.items {
		de.value(it, joinIndex(field, it.key), li.Index(i))
	}
	rv.Set(li)
}

func (de *decoder) str(no node, field string, rv reflect.Value) {
	switch no.tag {
	case tagString, tagTimestamp:
		rv.SetString(no.text)
	case tagInt, tagFloat, tagBool:
		// Written out again after decoding as a number or boolean, 007 or no would have
		// changed.
		de.fault(no, field, "text, in quotes", no.describe())
	default:
		de.fault(no, field, "text", no.describe())
	}
}

func (de *decoder) boolean(no node, field string, rv reflect.Value) {
	if no.tag != tagBool {
		de.fault(no, field, "true or false", no.describe())
		return
	}
	rv.SetBool(strings.EqualFold(no.text, "true"))
}

func (de *decoder) integer(no node, field string, rv reflect.Value) {
	const want = "a whole number"
	// YAML 1.1 and 1.2 disagree on whether 010 is eight or ten.
	octal := strings.HasPrefix(strings.TrimLeft(no.text, "+-"), "0") && len(no.text) > 1
	if no.tag != tagInt || octal {
		de.fault(no, field, want, no.describe())
		return
	}
	var err error
	if rv.CanUint() {
		var nu uint64
		nu, err = strconv.ParseUint(no.text, 10, rv.Type().Bits())
		rv.SetUint(nu)
	} else {
		var nu int64
		nu, err = strconv.ParseInt(no.text, 10, rv.Type().Bits())
		rv.SetInt(nu)
	}
	if err != nil {
		de.fault(no, field, fmt.Sprintf("%s that fits %d bits", want, rv.Type().Bits()), no.describe())
	}
}

func (de *decoder) float(no node, field string, rv reflect.Value) {
	nu, err := strconv.ParseFloat(no.text, 64)
	number := no.tag == tagInt || no.tag == tagFloat
	if !number || err != nil { // .nan and .inf are numbers in YAML, but strconv rejects them.
		de.fault(no, field, "a number", no.describe())
		return
	}
	rv.SetFloat(nu)
}

func (de *decoder) duration(no node, field string, rv reflect.Value) {
	du, err := time.ParseDuration(no.text)
	if no.tag != tagString || err != nil {
		de.fault(no, field, "a duration such as 150ms or 2s", no.describe())
		return
	}
	rv.SetInt(int64(du))
}
