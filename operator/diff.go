package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff describes the changes from one configuration to the next, one line for each service or
// field, sorted by name: "+" added, "-" removed, "~" changed.
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
	was, existed := older.Services[na]
	is, exists := newer.Services[na]
	switch {
	case !existed:
		added := diffFields(path, Service{}.fields(), is.fields())
		return append([]string{"+ " + path}, added...)
	case !exists:
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

// Value is one value of a configuration as text.
type Value struct {
	Path   string
	Text   string
	Origin string // "file:line" of the value; empty for a default
}

// Values returns the non-zero values of the merged files, sorted by path, each with its
// origin.
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

// fields returns the non-zero fields as text.
func (li Limits) fields() map[string]string {
	return nonZeroTexts(map[string]any{
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
	return nonZeroTexts(fi)
}

// nonZeroTexts formats the values and drops those that are zero, so that an absent field and
// an empty one compare as equal.
func nonZeroTexts(fi map[string]any) map[string]string {
	out := make(map[string]string)
	for ke, va := range fi {
		switch st := fmt.Sprint(va); st {
		case "", "0", "false":
		default:
			out[ke] = st
		}
	}
	return out
}

// summary lists the shards. If they are the names that a count stands for, it gives only the
// first and the last.
func (pa Partition) summary() string {
	if len(pa.Shards) > 1 && slices.Equal(pa.Shards, ShardNames(len(pa.Shards))) {
		return fmt.Sprintf("%d shards, %s to %s", len(pa.Shards), pa.Shards[0], pa.Shards[len(pa.Shards)-1])
	}
	return fmt.Sprintf("%d shards: %s", len(pa.Shards), strings.Join(pa.Shards, ", "))
}
