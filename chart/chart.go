// Package chart interprets state charts defined in YAML files: the states of a voter, an
// instance, a backend server or a change, and the events that cause transitions between them.
// Invalid charts are rejected when they are loaded.
package chart

import (
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// State is the name of a state.
type State string

// Event is the name of an event.
type Event string

// Chart is a valid state chart. It is immutable.
type Chart struct {
	name    string
	initial State
	states  map[State]map[Event]State
	final   map[State]bool
}

// Error lists all faults of a chart.
type Error struct {
	Chart  string
	Faults []string
}

// Error returns the faults in one line.
func (er *Error) Error() string {
	return fmt.Sprintf("chart %s: %s", er.Chart, strings.Join(er.Faults, "; "))
}

// file is the format of a chart file. An event that a state does not list has no effect in
// that state.
type file struct {
	Name    string
	Initial State
	Final   []State `yaml:"Final"`
	Events  []Event
	States  map[State]map[Event]State
}

// UnmarshalYAML decodes the fields under their Pascal case keys.
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

// Load parses a chart and validates it against the events that the code knows. It returns an
// *Error that lists every fault: a missing initial state, an unreachable state, a transition
// to an undefined state, a state without transitions that is not final, and an event that only
// the code or only the chart knows.
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

// MustLoad is Load for a chart embedded in the program. It panics on a fault; a test of the
// embedding package finds the fault first.
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
	reached := ch.reachable()
	for st, transitions := range ch.states {
		if !reached[st] {
			fs = append(fs, fmt.Sprintf("state %q cannot be reached", st))
		}
		if len(transitions) == 0 && !ch.final[st] {
			fs = append(fs, fmt.Sprintf("state %q has no transitions and is not final", st))
		}
		for ev, to := range transitions {
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
	reached := map[State]bool{ch.initial: true}
	queue := []State{ch.initial}
	for len(queue) > 0 {
		st := queue[0]
		queue = queue[1:]
		for _, to := range ch.states[st] {
			if !reached[to] {
				reached[to] = true
				queue = append(queue, to)
			}
		}
	}
	return reached
}

// Name returns the chart's name.
func (ch *Chart) Name() string {
	return ch.name
}

// Initial returns the initial state.
func (ch *Chart) Initial() State {
	return ch.initial
}

// Final reports whether the chart may end in the state.
func (ch *Chart) Final(st State) bool {
	return ch.final[st]
}

// Next returns the state that the event leads to. It returns the state itself and false if the
// event causes no transition.
func (ch *Chart) Next(st State, ev Event) (State, bool) {
	to, ok := ch.states[st][ev]
	if !ok {
		return st, false
	}
	return to, true
}
