package chart_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/chart"
)

const validChart = `
Name: Door
Initial: Shut
Final: [Gone]
Events: [Open, Close, Remove]
States:
  Shut: {Open: Ajar, Remove: Gone}
  Ajar: {Close: Shut}
  Gone: {}
`

func TestNext(t *testing.T) {
	c := qt.New(t)
	ch, err := chart.Load([]byte(validChart), "Open", "Close", "Remove")
	c.Assert(err, qt.IsNil)
	for _, tc := range []struct {
		from chart.State
		ev   chart.Event
		to   chart.State
		ok   bool
	}{
		{"Shut", "Open", "Ajar", true},
		{"Ajar", "Close", "Shut", true},
		{"Ajar", "Remove", "Ajar", false},
		{"Shut", "Remove", "Gone", true},
	} {
		to, ok := ch.Next(tc.from, tc.ev)
		c.Check(to, qt.Equals, tc.to)
		c.Check(ok, qt.Equals, tc.ok)
	}
	c.Check(ch.Initial(), qt.Equals, chart.State("Shut"))
	c.Check(ch.Final("Gone"), qt.IsTrue)
}

func TestLoadRejectsInvalidChart(t *testing.T) {
	for _, tc := range []struct{ name, data, want string }{
		{"initial", "Name: A\nInitial: X\nEvents: [E]\nStates: {Y: {E: Y}}", `chart A: initial state "X" does not exist; .*`},
		{"unreachable", "Name: A\nInitial: X\nEvents: [E]\nStates: {X: {E: X}, Y: {E: Y}}", `chart A: state "Y" cannot be reached`},
		{"target", "Name: A\nInitial: X\nEvents: [E]\nStates: {X: {E: Z}}", `chart A: state "X" goes to "Z", which does not exist`},
		{"dead end", "Name: A\nInitial: X\nEvents: [E]\nStates: {X: {E: Y}, Y: {}}", `chart A: state "Y" has no transitions and is not final`},
		{"unlisted", "Name: A\nInitial: X\nEvents: [E]\nStates: {X: {E: X, F: X}}", `chart A: state "X" has event "F", which is not listed`},
		{"unknown to code", "Name: A\nInitial: X\nEvents: [E, G]\nStates: {X: {E: X}}", `chart A: event "G" is not known to the code`},
		{"missing", "Name: A\nInitial: X\nEvents: []\nStates: {X: {}}\nFinal: [X]", `chart A: event "E" of the code is not listed`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := chart.Load([]byte(tc.data), "E")
			qt.Assert(t, err, qt.ErrorMatches, tc.want)
		})
	}
}
