package fanout

import (
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
	"balsamwinch.example/snapshot"
)

// Params are the parameters of one query. They do not change while it runs.
type Params struct {
	RequestIDPrefix string        // prefix of each attempt's request id, unique to the query
	Start           time.Time     // when the query arrived
	AnswerDeadline  time.Time     // when the answer is given at the latest
	HedgeDelay      time.Duration // time after which a leaf request is late; positive
	Policy          operator.Policy
	Tactics         operator.Tactics
	Repeatable      bool
}

// Attempt identifies one request to a backend server within a query.
type Attempt struct {
	Number int // from 1, in the order of the attempts of the query
	Shard  int // index of the shard in the plan
}

// Event is an input of Step.
type Event interface {
	when() time.Time
}

// PlanReady carries the plan that the query pins. When it arrives again, in
// response to Replan, it restarts the query if that increases coverage.
type PlanReady struct {
	Now  time.Time
	Plan snapshot.Coverage
}

// Replied reports that a backend server replied to an attempt.
type Replied struct {
	Now     time.Time
	Attempt Attempt
	Server  string // server that the attempt was sent to
	Reply   backend.Reply
}

// AttemptFailed reports that an attempt ended without a reply.
type AttemptFailed struct {
	Now     time.Time
	Attempt Attempt
	Kind    backend.ErrorKind
	Sent    bool // whether bytes of the request may have been sent
}

// NoServerAvailable reports that an attempt was not sent because no backend
// server can take it now.
type NoServerAvailable struct {
	Now            time.Time
	Attempt        Attempt
	AvailableLater bool // whether a backend server that holds the shard may take the attempt later
	// Expected time until then; CapacityAvailable may come earlier.
	RetryDelay time.Duration
	// Whether the backend server of the attempt in flight for the shard currently
	// sends no replies at all.
	Unresponsive bool
}

// CapacityAvailable reports that a backend server may now take an attempt for a
// shard that was waiting for capacity.
type CapacityAvailable struct {
	Now   time.Time
	Shard int
}

// BudgetExhausted reports that an attempt was not sent because the budget for
// extra leaf requests is exhausted.
type BudgetExhausted struct {
	Now     time.Time
	Attempt Attempt
}

// TimerFired reports that the time of the latest SetTimer has come.
type TimerFired struct {
	Now time.Time
}

// CallerGone reports that the caller disconnected.
type CallerGone struct {
	Now time.Time
}

func (ev PlanReady) when() time.Time         { return ev.Now }
func (ev Replied) when() time.Time           { return ev.Now }
func (ev AttemptFailed) when() time.Time     { return ev.Now }
func (ev NoServerAvailable) when() time.Time { return ev.Now }
func (ev CapacityAvailable) when() time.Time { return ev.Now }
func (ev BudgetExhausted) when() time.Time   { return ev.Now }
func (ev TimerFired) when() time.Time        { return ev.Now }
func (ev CallerGone) when() time.Time        { return ev.Now }

// Action is an output of Step for the executor to perform.
type Action interface {
	isAction()
}

// AttemptKind is the reason for an attempt.
type AttemptKind uint8

// The kinds of attempts.
const (
	First AttemptKind = iota // first attempt for the shard
	Retry                    // replaces a failed attempt
	Hedge                    // runs in parallel with a late attempt
)

// BudgetUse states how an attempt is charged to the budget for extra leaf
// requests.
type BudgetUse uint8

// The ways to charge an attempt.
const (
	BudgetExempt               BudgetUse = iota // not charged: first attempt for the shard to reach a backend server
	BudgetRequired                              // sent only if the budget allows it
	BudgetRequiredIfResponsive                  // BudgetOptional if the server of the late attempt is unresponsive, else BudgetRequired
	BudgetOptional                              // charged if the budget allows it, and sent in any case
)

// SendAttempt sends an attempt to a backend server that holds the shard. The
// executor answers with NoServerAvailable or BudgetExhausted if it cannot,
// otherwise later with Replied or AttemptFailed.
type SendAttempt struct {
	Attempt   Attempt
	RequestID string
	Snapshot  snapshot.ID
	Shard     string
	Kind      AttemptKind
	BudgetUse BudgetUse
	// Excludes backend servers that the query has already tried for this shard.
	ExcludeTried bool
}

// CancelAttempt cancels an attempt whose reply is no longer needed.
type CancelAttempt struct {
	Attempt Attempt
}

// Replan requests a plan for a snapshot newer than the pinned one. The executor
// answers with PlanReady, or not at all if it knows none.
type Replan struct {
	Newer snapshot.ID
}

// SetTimer requests TimerFired at the given time and replaces an earlier
// SetTimer.
type SetTimer struct {
	At time.Time
}

// Finish carries the answer and ends the query; the executor cancels attempts
// still in flight. It also fills in RequestID, Instance, Revision, Stale and
// the time taken.
type Finish struct {
	Answer Answer
}

func (SendAttempt) isAction()   {}
func (CancelAttempt) isAction() {}
func (Replan) isAction()        {}
func (SetTimer) isAction()      {}
func (Finish) isAction()        {}
