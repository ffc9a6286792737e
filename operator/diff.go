package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff describes what changes from one configuration to the next, one line for
// each service or field in the order of their names: "+" added, "-" removed,
// "~" changed.
func Diff(older, newer Configuration) []string {
	var li []string
	li = append(li, diffFields("Limits", older.Limits.fields(), newer.Limits.fields())...)
	all := make(map[string]bool)
	for na := range older.Services {
		all[na] = true
	}
	for na := range newer.Services {
		all[na] = true
	}
	for _, na := range slices.Sorted(maps.Keys(all)) {
		li = append(li, diffService(na, older, newer)...)
	}
	return li
}

func diffService(na string, older, newer Configuration) []string {
	path := "Services." + na
	was, had := older.Services[na]
	is, has := newer.Services[na]
	switch {
	case !had:
		added := diffFields(path, Service{}.fields(), is.fields())
		return append([]string{"+ " + path}, added...)
	case !has:
		return []string{"- " + path}
	default:
		return diffFields(path, was.fields(), is.fields())
	}
}

func diffFields(path string, older, newer map[string]string) []string {
	all := maps.Clone(older)
	maps.Copy(all, newer)
	var li []string
	for _, fi := range slices.Sorted(maps.Keys(all)) {
		was, is := older[fi], newer[fi]
		switch {
		case was == is:
		case was == "":
			li = append(li, fmt.Sprintf("+ %s.%s: %s", path, fi, is))
		case is == "":
			li = append(li, fmt.Sprintf("- %s.%s: %s", path, fi, was))
		default:
			li = append(li, fmt.Sprintf("~ %s.%s: %s -> %s", path, fi, was, is))
		}
	}
	return li
}

// Value is one value of a configuration.
type Value struct {
	Path   string
	Text   string
	Origin string // Origin is the "file:line" that set the value; empty for a default.
}

// Values returns the values of the merged files that are not zero, in the order
// of their paths, each with its origin.
func Values(cf Configuration, files []File) []Value {
	or := Origins(files)
	vs := values("Limits", cf.Limits.fields(), or)
	for _, na := range slices.Sorted(maps.Keys(cf.Services)) {
		vs = append(vs, values("Services."+na, cf.Services[na].fields(), or)...)
	}
	return vs
}

func values(path string, fields, origins map[string]string) []Value {
	var vs []Value
	for _, fi := range slices.Sorted(maps.Keys(fields)) {
		at := path + "." + fi
		list, _, _ := strings.Cut(at, "[")
		vs = append(vs, Value{Path: at, Text: fields[fi], Origin: origins[list]})
	}
	return vs
}

// fields returns the fields that are not empty as text.
func (li Limits) fields() map[string]string {
	return texts(map[string]any{
		"MaxEntries":       li.MaxEntries,
		"AddressTTLMillis": li.AddressTTLMillis,
	})
}

func (se Service) fields() map[string]string {
	fi := map[string]any{
		"Selector.Service":     se.Selector.Service,
		"Selector.DataCentres": strings.Join(se.Selector.DataCentres, ", "),
		"Exclude":              strings.Join(se.Exclude, ", "),
		"Policy":               se.Policy,
		"Tactics":              se.Tactics,
		"DeadlineMillis":       se.DeadlineMillis,
		"ExtraLoadPercent":     se.ExtraLoadPercent,
		"Weight":               se.Weight,
		"Entries":              se.Entries,
		"ServeWithoutControl":  se.ServeWithoutControl,
	}
	for ke, va := range se.Selector.Labels {
		fi["Selector.Labels."+ke] = va
	}
	for _, pa := range se.Partitions {
		fi[fmt.Sprintf("Partitions[%d]", pa.Number)] = pa.summary()
	}
	return texts(fi)
}

// texts drops values that are zero, so that an absent field and an empty one
// look alike.
func texts(fi map[string]any) map[string]string {
	te := make(map[string]string)
	for ke, va := range fi {
		switch st := fmt.Sprint(va); st {
		case "", "0", "false":
		default:
			te[ke] = st
		}
	}
	return te
}

// summary names the shards, or only their range when they are those of a count.
func (pa Partition) summary() string {
	if len(pa.Shards) > 1 && slices.Equal(pa.Shards, ShardNames(len(pa.Shards))) {
		return fmt.Sprintf("%d shards, %s to %s", len(pa.Shards), pa.Shards[0], pa.Shards[len(pa.Shards)-1])
	}
	return fmt.Sprintf("%d shards: %s", len(pa.Shards), strings.Join(pa.Shards, ", "))
}
