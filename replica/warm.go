package replica

import (
	"time"

	"balsamwinch.example/warmup"
)

// Warmup is what this instance may send to a cold server of a service.
type Warmup struct {
	Allowance warmup.Allowance
	Duration  time.Duration // Duration is how long a server is cold after it starts.
}

// permit is what this instance has sent to a server while that was cold. The zero permit
// is that of a warm server.
type permit struct {
	cold   bool
	chance float64       // chance is drawn from 0 to 1; this instance takes part if it is below the share.
	last   time.Duration // last is when a request was sent, or the server turned cold.
}

// used returns the permit after a request.
func (pe permit) used(at time.Duration) permit {
	pe.last = at
	return pe
}

// permits reports whether a request may be sent to a server for all that it is cold.
//
// The first one waits for a random part of the spacing: servers often turn cold together,
// and all instances would send to them at the same moment.
func (tb *Balancer) permits(at time.Duration, se *server) bool {
	if len(tb.warmups) == 0 {
		return true
	}
	wa, ok := tb.warmups[se.record.Service]
	if !ok || !se.cold(at, wa.Duration) {
		se.permit.cold = false
		return true
	}
	if !se.permit.cold {
		ahead := time.Duration(tb.rn.Float64() * float64(wa.Allowance.MinInterval))
		se.permit = permit{cold: true, chance: tb.rn.Float64(), last: max(se.permit.last, at-ahead)}
	}
	return se.permit.chance < wa.Allowance.Probability && at-se.permit.last >= wa.Allowance.MinInterval
}

// cold reports whether a server is cold as it says, or may be for all that is known: one
// that was not ready may have become cold meanwhile, and says so only with its next
// announcement.
func (se *server) cold(at, duration time.Duration) bool {
	return se.record.WarmMillis > 0 || at-se.returned < duration
}
