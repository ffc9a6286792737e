package evacuation

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamwinch.example/result"
)

func TestApply(t *testing.T) {
	st := Set{Revision: 7, DataCentres: []string{"north", "south"}}
	tests := []struct {
		name    string
		change  Change
		outcome Outcome
		want    Set
	}{
		{"evacuate", Change{"east", true, 7}, InForce, Set{8, []string{"east", "north", "south"}}},
		{"withdraw", Change{"north", false, 7}, InForce, Set{8, []string{"south"}}},
		{"evacuated already", Change{"north", true, 7}, InForce, st},
		{"evacuated already, based on an older revision", Change{"north", true, 2}, InForce, st},
		{"withdrawn already", Change{"east", false, 2}, InForce, st},
		{"stale", Change{"east", true, 6}, Stale, st},
		{"stale withdrawal", Change{"south", false, 6}, Stale, st},
		{"based on an unknown revision", Change{"east", true, 8}, Stale, st},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, outcome := st.Apply(tt.change)
			qt.Assert(t, outcome, qt.Equals, tt.outcome)
			qt.Assert(t, got, qt.DeepEquals, tt.want)
			qt.Assert(t, st, qt.DeepEquals, Set{Revision: 7, DataCentres: []string{"north", "south"}})
		})
	}
}

// Guards against a set that grows without bound.
func TestFullSetRejectsEvacuation(t *testing.T) {
	var st Set
	for nth := range maxDataCentres {
		st, _ = st.Apply(Change{DataCentre: strings.Repeat("a", nth+1), Evacuate: true, BaseRevision: st.Revision})
	}
	got, outcome := st.Apply(Change{DataCentre: "b", Evacuate: true, BaseRevision: st.Revision})
	qt.Assert(t, outcome, qt.Equals, Full)
	qt.Assert(t, got, qt.DeepEquals, st)
}

// Guards against a delayed or duplicated change that undoes a later, acknowledged one.
func TestDelayedChangesDoNotUndoLaterOnes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c"}
		var st Set
		var sent []Change
		want := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			if len(sent) > 0 && rapid.Bool().Draw(rt, "late") {
				st, _ = st.Apply(rapid.SampledFrom(sent).Draw(rt, "which"))
			} else {
				ch := Change{rapid.SampledFrom(names).Draw(rt, "name"), rapid.Bool().Draw(rt, "evacuate"), st.Revision}
				var outcome Outcome
				if st, outcome = st.Apply(ch); outcome != InForce {
					rt.Fatalf("a change of the newest revision: %v", outcome)
				}
				sent = append(sent, ch)
				want[ch.DataCentre] = ch.Evacuate
			}
			for _, name := range names {
				if st.Has(name) != want[name] {
					rt.Fatalf("%s: got %v, want %v after %v", name, st.Has(name), want[name], sent)
				}
			}
		}
	})
}

func TestCheckName(t *testing.T) {
	for _, name := range []string{"miraflores", "halle-bad-tölz", strings.Repeat("a", MaxNameLength)} {
		qt.Assert(t, CheckName(name), qt.IsNil)
	}
	for _, name := range []string{"", "a b", "a/b", "a\x00", "a\n", "\xff", strings.Repeat("a", MaxNameLength+1)} {
		var re *result.Error
		qt.Assert(t, errors.As(CheckName(name), &re), qt.IsTrue, qt.Commentf("%q", name))
		qt.Assert(t, re.Code, qt.Equals, result.Invalid)
	}
}
