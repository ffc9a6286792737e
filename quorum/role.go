package quorum

import (
	_ "embed"

	"balsamwinch.example/chart"
)

//go:embed voter.yaml
var voterYAML []byte

// The events of the state chart, explained in voter.yaml.
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

// transition changes the role as the state chart defines for the event, if it does.
func (sp *step) transition(ev chart.Event) {
	to, _ := voterChart.Next(chart.State(sp.role), ev)
	sp.role = Role(to)
}

// stepDown makes a leader or candidate a follower; other roles stay.
func (sp *step) stepDown() {
	if sp.role == Leader {
		sp.resetElection()
	}
	sp.transition(eventStepDown)
	sp.leader = ""
	sp.members = nil
	sp.quorumContact = zeroTime
}

// adoptTerm adopts a higher term, in which no vote has been granted yet.
func (sp *step) adoptTerm(term uint64) {
	sp.hard = HardState{Term: term}
	sp.stepDown()
}

// applyMembership changes the role to this member's role in the newest voter set. A leader
// is always in its own voter set, because it rejects its own removal.
func (sp *step) applyMembership() {
	vs := sp.Voters()
	switch {
	case vs.HasVoter(sp.cf.Self):
		sp.transition(eventPromote)
	case vs.HasLearner(sp.cf.Self):
		sp.transition(eventEnlist)
	default:
		sp.transition(eventRemove)
	}
}
