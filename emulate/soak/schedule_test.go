package soak

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamwinch.example/emulate/experiment"
)

// drawnSettings draws settings of any shape.
func drawnSettings(t *rapid.T) Settings {
	seconds := func(least, most int, name string) time.Duration {
		return time.Duration(rapid.IntRange(least*10, most*10).Draw(t, name)) * time.Second / 10
	}
	cf := Settings{
		Tier:          experiment.Tier{Entries: rapid.IntRange(1, 5).Draw(t, "entries"), Controls: rapid.IntRange(1, 5).Draw(t, "controls"), DataCentres: []string{"a", "b"}},
		Servers:       experiment.Servers{Shards: rapid.IntRange(1, 3).Draw(t, "shards"), Replicas: rapid.IntRange(1, 3).Draw(t, "replicas")},
		PlainServices: 2,
		Quiet:         seconds(0, 3, "quiet"),
		Faults: Faults{
			Every: seconds(0, 1, "every") + time.Millisecond*50, Least: seconds(0, 1, "least"), AtOnce: rapid.IntRange(1, 6).Draw(t, "at once"),
			Mend: seconds(0, 4, "mend"), Weights: make(map[Kind]int),
		},
		Checks: Checks{Drain: 3 * time.Second},
	}
	cf.Faults.Most = cf.Faults.Least + seconds(0, 3, "more")
	cf.Length = cf.Quiet + seconds(1, 60, "length")
	for _, ki := range Kinds() {
		cf.Faults.Weights[ki] = rapid.IntRange(0, 3).Draw(t, string(ki))
	}
	return cf
}

// What Draw says of its faults holds for every seed and all settings.
func TestDraw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cf, seed := drawnSettings(t), rapid.Uint64().Draw(t, "seed")
		fas := DrawSchedule(seed, cf)
		if !slices.Equal(fas, DrawSchedule(seed, cf)) {
			t.Fatal("the same seed gave other faults")
		}
		if !slices.IsSortedFunc(fas, func(one, other Fault) int { return cmp.Compare(one.At, other.At) }) {
			t.Fatal("not in order")
		}
		for ix, fa := range fas {
			if fault := ill(cf, fa, fas[:ix]); fault != "" {
				t.Fatalf("%v: %s, before: %v", fa, fault, fas[:ix])
			}
		}
	})
}

// ill returns what is wrong with a fault that comes after others.
func ill(cf Settings, fa Fault, before []Fault) string {
	target := map[part]int{partControl: cf.Tier.Controls, partEntry: cf.Tier.Entries, partServer: cf.positions(), partShards: 1, partOperator: 1, partRequest: 1, partDataCentre: len(cf.Tier.DataCentres)}
	switch {
	case cf.Faults.Weights[fa.Kind] == 0:
		return "its kind has no weight"
	case fa.end(cf) > cf.Length-cf.Quiet:
		return "it reaches into the quiet end"
	case fa.For < cf.Faults.Least || fa.For > cf.Faults.Most || fa.Value < 0 || fa.Value >= 1:
		return "a value out of its bounds"
	case fa.Target < 0 || fa.Target >= target[fa.Kind.part()]:
		return "no such target"
	}
	under, entries := 1, 0
	for _, ot := range before {
		same := ot.Kind.part() == fa.Kind.part()
		if same && fa.Kind.part() == partControl && fa.At < ot.end(cf)+cf.Faults.Mend {
			return "control was not mended"
		}
		if ot.end(cf) <= fa.At {
			continue
		}
		under++
		switch {
		case same && fa.Kind.part() == partEntry:
			entries++
		case same && fa.Kind.part() == partShards:
			return "two repartitions at once"
		case same && fa.Kind.part() == partDataCentre:
			return "two evacuations at once"
		}
		if same && (fa.Kind.part() == partEntry || fa.Kind.part() == partServer) && slices.ContainsFunc(places(cf, fa), func(ta int) bool { return slices.Contains(places(cf, ot), ta) }) {
			return "its target has a fault"
		}
	}
	if under > cf.Faults.AtOnce {
		return fmt.Sprintf("%d at once", under)
	}
	if fa.Kind.part() == partEntry && entries+1 >= cf.Tier.Entries {
		return "no entry instance is left alone"
	}
	return ""
}

// places lists by trial what a fault is at.
func places(cf Settings, fa Fault) []int {
	var out []int
	for position := range max(cf.positions(), cf.Tier.Entries) {
		whole := fa.Kind == ServiceCrash || fa.Kind == ServiceShed
		if position == fa.Target || whole && position < cf.positions() && cf.service(position, 0) == cf.service(fa.Target, 0) {
			out = append(out, position)
		}
	}
	return out
}

// The shipped files play every kind of fault within a few seeds.
func TestShippedFilesDrawAll(t *testing.T) {
	for _, file := range shipped {
		cf, err := Read(file)
		qt.Assert(t, err, qt.IsNil)
		drawn := make(map[Kind]int)
		for seed := range uint64(10) {
			for ki, many := range count(DrawSchedule(seed+1, cf)) {
				drawn[ki] += many
			}
		}
		for _, ki := range Kinds() {
			qt.Check(t, drawn[ki] > 0, qt.IsTrue, qt.Commentf("%s: %s", file, ki))
		}
	}
}
