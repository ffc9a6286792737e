package quota

import "time"

// Outcome is what became of a request.
type Outcome uint8

// The outcomes. Waiting is not final.
const (
	Waiting   Outcome = iota
	Admitted          // the request has a token
	OverQuota         // all owners that grant have no token left
	NoOwner           // no owner grants anything, so the quota can't be guaranteed
)

// String returns the name of the outcome.
func (ou Outcome) String() string {
	switch ou {
	case Waiting:
		return "Waiting"
	case Admitted:
		return "Admitted"
	case OverQuota:
		return "OverQuota"
	case NoOwner:
		return "NoOwner"
	default:
		return "Unknown"
	}
}

// Verdict is the decision about a request.
type Verdict struct {
	Outcome Outcome
	// Expires is when the token of an admitted request becomes invalid. It counts for a
	// request that returns its token.
	Expires time.Time
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Owners are the owners known to the instance and what they last said; nil unless refused.
	Owners []Statement
}

// Statement is what an owner last said about a customer.
type Statement struct {
	Owner   string // name of the control instance
	Empty   bool   // its bucket was empty
	Silent  bool   // it did not answer in time
	Refusal Refusal
}

// String returns the owner and what it said.
func (st Statement) String() string {
	switch {
	case st.Refusal != None:
		return st.Owner + ": " + st.Refusal.String()
	case st.Empty:
		return st.Owner + ": empty"
	case st.Silent:
		return st.Owner + ": silent"
	default:
		return st.Owner + ": not asked"
	}
}

// OwnerRef identifies a control instance that may be asked for tokens.
type OwnerRef struct {
	Address string
	Name    string
	Near    bool // it is in the data centre of this instance, so that it is asked first
}

// Ask is a message to send to an owner.
type Ask struct {
	Owner   OwnerRef
	ID      uint64
	Version uint64
	Wants   []Want
}

// Settled is the decision about a request that waited.
type Settled struct {
	Ticket  uint64
	Verdict Verdict
}
