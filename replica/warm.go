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

// permit tracks the requests of this instance to a server while it is cold. The zero permit
// is that of a warm server.
type permit struct {
	cold   bool
	chance float64       // chance is drawn from 0 to 1; this instance takes part if it is below the probability.
	sentAt time.Duration // sentAt is when the last request was sent; at first a random time, at most MinInterval before the server turned cold.
}

// used returns the permit after a request.
func (pe permit) used(at time.Duration) permit {
	pe.sentAt = at
	return pe
}

// mayReceive reports whether a request may be sent to a server, considering that it may be
// cold.
//
// The first request waits for a random part of the minimum interval: servers often turn
// cold together, and otherwise all instances would send to them at the same moment.
func (ba *Balancer) mayReceive(at time.Duration, se *server) bool {
	if len(ba.warmups) == 0 {
		return true
	}
	wa, ok := ba.warmups[se.record.Service]
	if !ok || !se.cold(at, wa.Duration) {
		se.permit.cold = false
		return true
	}
	if !se.permit.cold {
		offset := time.Duration(ba.rn.Float64() * float64(wa.Allowance.MinInterval))
		se.permit = permit{cold: true, chance: ba.rn.Float64(), sentAt: max(se.permit.sentAt, at-offset)}
	}
	return se.permit.chance < wa.Allowance.Probability && at-se.permit.sentAt >= wa.Allowance.MinInterval
}

// cold reports whether a server is cold as announced, or may be: one that was not ready may
// have become cold meanwhile and says so only with its next announcement.
func (se *server) cold(at, duration time.Duration) bool {
	return se.record.WarmMillis > 0 || at-se.readySince < duration
}
