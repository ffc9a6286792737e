// Package stall finds backend servers that pause for a moment and end the pause by
// themselves, from what all entry instances see of them, and forecasts pauses that recur at
// regular times.
//
// An entry instance collects observations in a Reporter: intervals in which a request was
// stuck at a server, and quick answers that contradict a forecast. A control instance adds
// them to a Tracker, which returns new stalls and forecasts for all entry instances. An
// entry instance applies them in one Outlook for each server.
//
// The package reads no clock. Times are durations since a moment that the caller chooses.
// Messages carry ages and delays only, since the clocks of two instances have nothing in
// common.
package stall

import (
	"hash/fnv"
	"time"
)

const (
	// MinLength is the length that a stall is expected to have at least.
	MinLength = 50 * time.Millisecond
	// MaxLength bounds the length of a stall. A server that takes longer has another fault,
	// which the findings of package outlier cover.
	MaxLength = 400 * time.Millisecond
	// defaultLength is the length assumed until the ends of stalls have been seen.
	defaultLength = 150 * time.Millisecond
	// MaxNewsAge is the time after which news of a stall that waited, or was delayed on a
	// link, is dropped: by then most stalls are over.
	MaxNewsAge = 100 * time.Millisecond
	// minOverdue is how long a request must be overdue at least to count as stuck, and
	// overdueFactor the same as a multiple of its expected latency. Both together exclude
	// work that is merely longer than usual.
	minOverdue    = 8 * time.Millisecond
	overdueFactor = 2.5
)

// Kind says what an observation is.
type Kind uint8

// The kinds of observations.
const (
	Stuck     Kind = iota // Stuck is a request that is still in flight.
	Answered              // Answered is a request that was stuck and got its answer.
	Abandoned             // Abandoned is a request that was stuck and was given up.
	Quick                 // Quick is a request that was answered in the usual time during a forecast stall.
)

// Observation is what an entry instance saw of a backend server.
type Observation struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint,omitempty"` // start of the server, as in registry.Server
	Kind Kind   `cbor:"3,keyasint,omitempty"`
	// AgeMillis is the time since the request was sent, EndMillis the time since it ended;
	// 0 while it is in flight.
	AgeMillis uint32 `cbor:"4,keyasint,omitempty"`
	EndMillis uint32 `cbor:"5,keyasint,omitempty"`
	// Group is that of the server, as GroupOf its service.
	Group uint32 `cbor:"6,keyasint,omitempty"`
}

// Server identifies one start of a backend server.
type Server struct {
	ID    string
	Born  int64
	Group uint32
}

// GroupOf returns the group of a service: a digest of its name without the numbers in it. The
// servers of one group are taken to stall with the same period. It is never 0.
func GroupOf(service string) uint32 {
	ha := fnv.New32a()
	for ix := range len(service) {
		if ch := service[ix]; ch < '0' || ch > '9' {
			_, _ = ha.Write([]byte{ch})
		}
	}
	return max(1, ha.Sum32())
}

// Stall is news of a server that is stalled now.
type Stall struct {
	ID         string `cbor:"1,keyasint"`
	Born       int64  `cbor:"2,keyasint,omitempty"`
	AgeMillis  uint32 `cbor:"3,keyasint,omitempty"` // time since the stall began
	LeftMillis uint32 `cbor:"4,keyasint,omitempty"` // expected time until it ends
}

// Forecast says when the stalls of a server recur.
type Forecast struct {
	ID           string `cbor:"1,keyasint"`
	Born         int64  `cbor:"2,keyasint,omitempty"`
	PeriodMicros uint32 `cbor:"3,keyasint,omitempty"` // 0 withdraws the forecast
	InMillis     uint32 `cbor:"4,keyasint,omitempty"` // time until the next stall begins
	LengthMillis uint32 `cbor:"5,keyasint,omitempty"`
	SpreadMillis uint32 `cbor:"6,keyasint,omitempty"` // how much sooner or later a stall may begin
}

// StuckAfter returns how long a request with the given expected latency may be in flight
// before it counts as stuck.
func StuckAfter(expected time.Duration) time.Duration {
	return max(expected+minOverdue, time.Duration(overdueFactor*float64(expected)))
}

// millis returns a duration in whole milliseconds; negative ones become zero.
func millis(du time.Duration) uint32 {
	return uint32(min(max(du, 0), time.Hour) / time.Millisecond)
}

func fromMillis(ms uint32) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, time.Hour)
}
