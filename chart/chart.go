// Package chart interprets state charts that stand in YAML files: the states of
// a voter, an instance, a backend server or a change, and the events that lead
// from one to the next. A chart that is not sound is refused when it is loaded.
package chart

import (
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Chart is a loaded, sound state chart. It is immutable.
type Chart struct {
	name    string
	initial State
	states  map[State]map[Event]State
	final   map[State]bool
}

// Error lists everything that is wrong with a chart.
type Error struct {
	Chart  string
	Faults []string
}

// Error returns the faults in one line.
func (er *Error) Error() string {
	return fmt.Sprintf("chart %s: %s", er.Chart, strings.Join(er.Faults, "; "))
}

// file is the format of a chart file. An event that a state does not list is
// ignored in that state only if Ignore names it there.
type file struct {
	Name    string
	Initial State
	Final   []State `yaml:"Final"`
	Events  []Event
	States  map[State]map[Event]State
}

// UnmarshalYAML maps the Pascal case keys of the file to the fields.
func (fi *file) UnmarshalYAML(no *yaml.Node) error {
	var raw struct {
		Name    string                    `yaml:"Name"`
		Initial State                     `yaml:"Initial"`
		Final   []State                   `yaml:"Final"`
		Events  []Event                   `yaml:"Events"`
		States  map[State]map[Event]State `yaml:"States"`
	}
	if err := no.Decode(&raw); err != nil {
		return err
	}
	*fi = file(raw)
	return nil
}

// Load reads a chart and checks it against the events that the code knows. It
// returns an *Error that lists every fault: no initial state, a state that
// cannot be reached, a target that does not exist, a state without a way out
// that is not final, an event that the code or the chart does not know.
func Load(data []byte, known ...Event) (*Chart, error) {
	var fi file
	if err := yaml.Unmarshal(data, &fi); err != nil {
		return nil, &Error{Chart: fi.Name, Faults: []string{err.Error()}}
	}
	ch := &Chart{name: fi.Name, initial: fi.Initial, states: fi.States, final: make(map[State]bool)}
	for _, st := range fi.Final {
		ch.final[st] = true
	}
	if fs := ch.faults(fi.Events, known); len(fs) > 0 {
		return nil, &Error{Chart: fi.Name, Faults: fs}
	}
	return ch, nil
}

// MustLoad is Load for a chart embedded in the program. It panics on a fault,
// which a test of the package that embeds the chart finds first.
func MustLoad(data []byte, known ...Event) *Chart {
	ch, err := Load(data, known...)
	if err != nil {
		panic(err)
	}
	return ch
}

func (ch *Chart) faults(listed, known []Event) []string {
	var fs []string
	if _, ok := ch.states[ch.initial]; !ok {
		fs = append(fs, fmt.Sprintf("initial state %q does not exist", ch.initial))
	}
	for _, ev := range known {
		if !slices.Contains(listed, ev) {
			fs = append(fs, fmt.Sprintf("event %q of the code is not listed", ev))
		}
	}
	for _, ev := range listed {
		if !slices.Contains(known, ev) {
			fs = append(fs, fmt.Sprintf("event %q is not known to the code", ev))
		}
	}
	fs = append(fs, ch.stateFaults(listed)...)
	slices.Sort(fs)
	return fs
}

func (ch *Chart) stateFaults(listed []Event) []string {
	var fs []string
	seen := ch.reachable()
	for st, tos := range ch.states {
		if !seen[st] {
			fs = append(fs, fmt.Sprintf("state %q cannot be reached", st))
		}
		if len(tos) == 0 && !ch.final[st] {
			fs = append(fs, fmt.Sprintf("state %q has no way out and is not final", st))
		}
		for ev, to := range tos {
			if !slices.Contains(listed, ev) {
				fs = append(fs, fmt.Sprintf("state %q has event %q, which is not listed", st, ev))
			}
			if _, ok := ch.states[to]; !ok {
				fs = append(fs, fmt.Sprintf("state %q goes to %q, which does not exist", st, to))
			}
		}
	}
	for st := range ch.final {
		if _, ok := ch.states[st]; !ok {
			fs = append(fs, fmt.Sprintf("final state %q does not exist", st))
		}
	}
	return fs
}

func (ch *Chart) reachable() map[State]bool {
	seen := map[State]bool{ch.initial: true}
	todo := []State{ch.initial}
	for len(todo) > 0 {
		st := todo[0]
		todo = todo[1:]
		for _, to := range ch.states[st] {
			if !seen[to] {
				seen[to] = true
				todo = append(todo, to)
			}
		}
	}
	return seen
}

// Name returns the chart's name.
func (ch *Chart) Name() string {
	return ch.name
}

// Initial returns the state in which the chart starts.
func (ch *Chart) Initial() State {
	return ch.initial
}

// Final reports whether a state is one in which the chart may end.
func (ch *Chart) Final(st State) bool {
	return ch.final[st]
}

// Next returns the state that the event leads to. It returns the state itself
// and false where the chart gives the event no meaning.
func (ch *Chart) Next(st State, ev Event) (State, bool) {
	to, ok := ch.states[st][ev]
	if !ok {
		return st, false
	}
	return to, true
}
