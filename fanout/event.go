package fanout

import (
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
	"balsamwinch.example/snapshot"
)

// Rules are what the decisions of one query go by. They stay the same while it
// runs.
type Params struct {
	RequestIDPrefix string        // Prefix begins the request id of each attempt; it is unique to the query.
	Start           time.Time     // Start is when the query arrived.
	AnswerDeadline  time.Time     // Finish is when the answer is given at the latest.
	HedgeDelay      time.Duration // HedgeDelay is after how long a leaf request is late; above zero.
	Policy          operator.Policy
	Tactics         operator.Tactics
	Repeatable      bool
}

// Attempt names one request to a backend server within a query.
type Attempt struct {
	Number int // Number counts the attempts of the query from 1.
	Shard  int // Shard is the position of the shard in the plan.
}

// Event is something that happened to a query.
type Event interface {
	when() time.Time
}

// Started gives the plan that the query pins. Given again, as the reply to
// Replan, it restarts the query if that gains coverage.
type PlanReady struct {
	Now  time.Time
	Plan snapshot.Coverage
}

// Replied says that a backend server replied to an attempt.
type Replied struct {
	Now     time.Time
	Attempt Attempt
	Server  string // Server is the one that was asked.
	Reply   backend.Reply
}

// AttemptFailed says that an attempt ended without a reply.
type AttemptFailed struct {
	Now     time.Time
	Attempt Attempt
	Kind    backend.ErrorKind
	Sent    bool // Sent says that bytes of the request may have left.
}

// NotSent says that an attempt was not sent because no backend server may be
// sent one now.
type NoServerAvailable struct {
	Now            time.Time
	Attempt        Attempt
	AvailableLater bool // Able says that a backend server that holds the shard may take it later.
	// Pause is how long it will take by what is known; Room may say so earlier.
	RetryDelay time.Duration
	// Doubted says that nothing comes from the backend server of the attempt that
	// runs for the shard.
	Unresponsive bool
}

// Room says that a backend server of a shard that had none may take an attempt
// now.
type CapacityAvailable struct {
	Now   time.Time
	Shard int
}

// NoBudget says that an attempt was not sent because the budget for extra leaf
// requests is spent.
type BudgetExhausted struct {
	Now     time.Time
	Attempt Attempt
}

// Due says that the moment of the latest Arm has come.
type TimerFired struct {
	Now time.Time
}

// CallerGone says that the caller went away.
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

// Action is something to be done for a query.
type Action interface {
	isAction()
}

// Kind says why an attempt is made.
type AttemptKind uint8

// The kinds of attempts.
const (
	First AttemptKind = iota // First is the first of its shard.
	Retry                    // Retry follows a failure.
	Hedge                    // Hedge runs beside an attempt that is late.
)

// Gate says how an attempt stands to the budget for extra leaf requests.
type BudgetUse uint8

// The gates of attempts.
const (
	BudgetExempt               BudgetUse = iota // Free is not extra: it is the first that reaches a backend server.
	BudgetRequired                              // Gated is sent only if the budget has it.
	BudgetRequiredIfResponsive                  // Doubted is Owed if nothing comes from the backend server of the attempt that is late, else Gated.
	BudgetOptional                              // Owed takes from the budget what it has and is sent in any case.
)

// Ask sends an attempt to a backend server that holds the shard. The executor
// answers with NotSent or NoBudget if it can't, else later with Replied or
// AttemptFailed.
type SendAttempt struct {
	Attempt   Attempt
	RequestID string
	Snapshot  snapshot.ID
	Shard     string
	Kind      AttemptKind
	BudgetUse BudgetUse
	// Elsewhere excludes the backend servers that the query has asked for this
	// shard before.
	ExcludeTried bool
}

// CancelAttempt stops an attempt whose reply is no longer wanted.
type CancelAttempt struct {
	Attempt Attempt
}

// Replan asks for a plan on a snapshot newer than the pinned one. The executor
// answers with Started, or not at all if it knows none.
type Replan struct {
	Newer snapshot.ID
}

// Arm asks for Due at the given time, in place of an earlier Arm.
type SetTimer struct {
	At time.Time
}

// Finish gives the answer and ends the query; attempts that still run are to
// be cancelled. RequestID, Instance, Revision, Stale and the time taken are
// left to the executor.
type Finish struct {
	Answer Answer
}

func (SendAttempt) isAction()   {}
func (CancelAttempt) isAction() {}
func (Replan) isAction()        {}
func (SetTimer) isAction()      {}
func (Finish) isAction()        {}
