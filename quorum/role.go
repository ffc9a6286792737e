package quorum

import (
	_ "embed"

	"balsamwinch.example/chart"
)

//go:embed voter.yaml
var voterYAML []byte

// The events of the chart, explained in voter.yaml.
const (
	eventClear      chart.Event = "Clear"
	eventRefuse     chart.Event = "Refuse"
	eventEnlist     chart.Event = "Enlist"
	eventPromote    chart.Event = "Promote"
	eventRemove     chart.Event = "Remove"
	eventTimeout    chart.Event = "Timeout"
	eventPreVoteWon chart.Event = "PreVoteWon"
	eventHandOver   chart.Event = "HandOver"
	eventVoteWon    chart.Event = "VoteWon"
	eventStepDown   chart.Event = "StepDown"
)

var voterChart = chart.MustLoad(voterYAML,
	eventClear, eventRefuse, eventEnlist, eventPromote, eventRemove,
	eventTimeout, eventPreVoteWon, eventHandOver, eventVoteWon, eventStepDown)

// fire moves to the role that the chart gives for the event, if any.
func (sp *step) fire(ev chart.Event) {
	to, _ := voterChart.Next(chart.State(sp.role), ev)
	sp.role = Role(to)
}

// stepDown makes a leader or candidate a follower; other roles stay.
func (sp *step) stepDown() {
	if sp.role == Leader {
		sp.resetElection()
	}
	sp.fire(eventStepDown)
	sp.leader = ""
	sp.members = nil
	sp.contact = time0
}

// adoptTerm moves to a higher term, in which no vote is given yet.
func (sp *step) adoptTerm(term uint64) {
	sp.hard = HardState{Term: term}
	sp.stepDown()
}

// join moves to the role that the newest voter set gives to this member. A
// leader is always in its own voter set, because it refuses its own removal.
func (sp *step) join() {
	vs := sp.Voters()
	switch {
	case vs.HasVoter(sp.cf.Self):
		sp.fire(eventPromote)
	case vs.HasLearner(sp.cf.Self):
		sp.fire(eventEnlist)
	default:
		sp.fire(eventRemove)
	}
}
