package control

import (
	_ "embed"

	"balsamwinch.example/chart"
	"balsamwinch.example/result"
)

//go:embed change.yaml
var changeYAML []byte

// The events of a change.
const (
	EventCommit  chart.Event = "Commit"  // EventCommit says that Apply gave Accepted.
	EventRefuse  chart.Event = "Refuse"  // EventRefuse says that Apply gave another code.
	EventInForce chart.Event = "InForce" // EventInForce says that Book.InForce became true.
)

// The states of a change.
const (
	StateProposed  chart.State = "Proposed"
	StateCommitted chart.State = "Committed"
	StateAccepted  chart.State = "Accepted"
	StateRefused   chart.State = "Refused"
)

var changeChart = chart.MustLoad(changeYAML, EventCommit, EventRefuse, EventInForce)

// Progress is where a change stands by the chart in change.yaml. It is immutable.
type Progress struct {
	state chart.State
}

// NewProgress returns the progress of a proposed change.
func NewProgress() Progress {
	return Progress{state: changeChart.Initial()}
}

// With returns the progress after an event, and false if the event has no
// meaning in the present state, which then stays.
func (pr Progress) With(ev chart.Event) (Progress, bool) {
	to, ok := changeChart.Next(pr.state, ev)
	return Progress{state: to}, ok
}

// WithOutcome returns the progress after Apply gave the outcome. A resend finds
// its change committed already; that changes nothing.
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

// Done reports whether the operator can be given the final answer.
func (pr Progress) Done() bool {
	return changeChart.Final(pr.state)
}

// At returns the outcome as the operator is told it: a committed change is
// Pending until it is in force everywhere.
func (oc ChangeOutcome) WithProgress(pr Progress) ChangeOutcome {
	if pr.state == StateCommitted {
		oc.Code = result.Pending
	}
	return oc
}
