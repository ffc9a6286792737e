package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamwinch.example/emulate/experiment"
	"balsamwinch.example/registry"
)

// drawSettings draws arbitrary settings.
func drawSettings(t *rapid.T) Settings {
	seconds := func(low, high int, name string) time.Duration {
		return time.Duration(rapid.IntRange(low*10, high*10).Draw(t, name)) * time.Second / 10
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

// The guarantees in the doc comment of DrawSchedule hold for every seed and all settings.
func TestDraw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cf, seed := drawSettings(t), rapid.Uint64().Draw(t, "seed")
		fas := DrawSchedule(seed, cf)
		if !slices.Equal(fas, DrawSchedule(seed, cf)) {
			t.Fatal("the same seed gave different faults")
		}
		if !slices.IsSortedFunc(fas, func(one, other Fault) int { return cmp.Compare(one.At, other.At) }) {
			t.Fatal("the faults are not in the order of their starts")
		}
		for ix, fa := range fas {
			if fault := violation(cf, fa, fas[:ix]); fault != "" {
				t.Fatalf("%v: %s, before: %v", fa, fault, fas[:ix])
			}
		}
	})
}

// violation returns what is wrong with a fault that comes after others; empty if nothing
// is.
func violation(cf Settings, fa Fault, before []Fault) string {
	target := map[component]int{componentControl: cf.Tier.Controls, componentEntry: cf.Tier.Entries, componentServer: cf.numPositions(), componentShards: 1, componentOperator: 1, componentRequest: 1, componentDataCentre: len(cf.Tier.DataCentres), componentAnnouncer: 1}
	switch {
	case cf.Faults.Weights[fa.Kind] == 0:
		return "its kind has no weight"
	case fa.end(cf) > cf.Length-cf.Quiet:
		return "it extends into the quiet end"
	case fa.For < cf.Faults.Least || fa.For > cf.Faults.Most || fa.Value < 0 || fa.Value >= 1:
		return "a value out of its bounds"
	case fa.Target < 0 || fa.Target >= target[fa.Kind.component()]:
		return "no such target"
	}
	numActive, entries := 1, 0
	for _, other := range before {
		same := other.Kind.component() == fa.Kind.component()
		if same && fa.Kind.component() == componentControl && fa.At < other.end(cf)+cf.Faults.Mend {
			return "control had not recovered"
		}
		if other.end(cf) <= fa.At {
			continue
		}
		numActive++
		switch {
		case same && fa.Kind.component() == componentEntry:
			entries++
		case same && fa.Kind.component() == componentShards:
			return "two repartitions at once"
		case same && fa.Kind.component() == componentDataCentre:
			return "two evacuations at once"
		case same && fa.Kind.component() == componentAnnouncer:
			return "two such writers at once"
		}
		if same && (fa.Kind.component() == componentEntry || fa.Kind.component() == componentServer) && slices.ContainsFunc(affectedPositions(cf, fa), func(ta int) bool { return slices.Contains(affectedPositions(cf, other), ta) }) {
			return "its target has a fault"
		}
	}
	if numActive > cf.Faults.AtOnce {
		return fmt.Sprintf("%d at once", numActive)
	}
	if fa.Kind.component() == componentEntry && entries+1 >= cf.Tier.Entries {
		return "no entry instance without a fault"
	}
	return ""
}

// affectedPositions lists what a fault affects, independently of Fault.targets.
func affectedPositions(cf Settings, fa Fault) []int {
	var out []int
	for position := range max(cf.numPositions(), cf.Tier.Entries) {
		whole := fa.Kind == ServiceCrash || fa.Kind == ServiceShed
		if position == fa.Target || whole && position < cf.numPositions() && cf.service(position, 0) == cf.service(fa.Target, 0) {
			out = append(out, position)
		}
	}
	return out
}

// The shipped files inject every kind of fault within a few seeds.
func TestShippedFilesDrawAllKinds(t *testing.T) {
	for _, file := range shipped {
		cf, err := Read(file)
		qt.Assert(t, err, qt.IsNil)
		drawn := make(map[Kind]int)
		for seed := range uint64(10) {
			for ki, num := range countKinds(DrawSchedule(seed+1, cf)) {
				drawn[ki] += num
			}
		}
		for _, ki := range Kinds() {
			qt.Check(t, drawn[ki] > 0, qt.IsTrue, qt.Commentf("%s: %s", file, ki))
		}
	}
}

// Every drawn record must be one that Check rejects, also as JSON carries it.
func TestDrawInvalid(t *testing.T) {
	for seed := range uint64(20000) {
		se := drawInvalid(rand.New(rand.NewPCG(seed, 0)), []string{"s"})
		data, err := json.Marshal(se)
		qt.Assert(t, err, qt.IsNil)
		sent := registry.Server{}
		qt.Assert(t, json.Unmarshal(data, &sent), qt.IsNil)
		sent.ID = se.ID // It stands in the path.
		if se.State == registry.Gone {
			sent = registry.Server{ID: se.ID}
		}
		qt.Assert(t, sent.Check(), qt.IsNotNil)
	}
}
