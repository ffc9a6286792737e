package control

import (
	_ "embed"

	"balsamwinch.example/chart"
	"balsamwinch.example/result"
)

//go:embed change.yaml
var changeChartYAML []byte

// The events of a change.
const (
	EventCommit  chart.Event = "Commit"  // Apply returned Accepted
	EventRefuse  chart.Event = "Refuse"  // Apply returned another code
	EventInForce chart.Event = "InForce" // LeaseTable.InForce became true
)

// The states of a change.
const (
	StateProposed  chart.State = "Proposed"
	StateCommitted chart.State = "Committed"
	StateAccepted  chart.State = "Accepted"
	StateRefused   chart.State = "Refused"
)

var changeChart = chart.MustLoad(changeChartYAML, EventCommit, EventRefuse, EventInForce)

// Progress is the state of a change in the state chart change.yaml. It is
// immutable.
type Progress struct {
	state chart.State
}

// NewProgress returns the progress of a proposed change.
func NewProgress() Progress {
	return Progress{state: changeChart.Initial()}
}

// With returns the progress after an event. If the state has no transition for the
// event, it returns the unchanged progress and false.
func (pr Progress) With(ev chart.Event) (Progress, bool) {
	to, ok := changeChart.Next(pr.state, ev)
	return Progress{state: to}, ok
}

// WithOutcome returns the progress after Apply returned the outcome. It stays
// unchanged for a retry whose change is already committed.
func (pr Progress) WithOutcome(oc ChangeOutcome) Progress {
	ev := EventRefuse
	if oc.Code == result.Accepted {
		ev = EventCommit
	}
	to, _ := pr.With(ev)
	return to
}

// State returns the state of the chart.
func (pr Progress) State() chart.State {
	return pr.state
}

// Done reports whether the change has reached a final state.
func (pr Progress) Done() bool {
	return changeChart.Final(pr.state)
}

// WithProgress returns the outcome to report to the operator: a committed change is
// Pending until every serving instance uses it.
func (oc ChangeOutcome) WithProgress(pr Progress) ChangeOutcome {
	if pr.state == StateCommitted {
		oc.Code = result.Pending
	}
	return oc
}
