package quarantine

import (
	"slices"
	"time"
)

const (
	// A request is refused after refuseAfterLosses attempts under which servers failed, if
	// at least refuseAfterServers servers did. The first attempts can't know of each other
	// and count as one; each further one is a probe of one server.
	refuseAfterLosses  = 3
	refuseAfterServers = 3
	// suspicionTTL is how long a request is refused, and how long a suspicion lasts, after
	// the last loss. After that time a refused request is probed again: a new release may
	// have fixed the cause.
	suspicionTTL = 10 * time.Minute
	// clearedTTL is how long a cleared request is remembered, so that older losses still
	// sent by other instances don't bring the suspicion back.
	clearedTTL = time.Minute
	// resendInterval is how much later the last loss must be to be sent again if nothing
	// else changed.
	resendInterval = time.Second
)

// Verdict says how a request may run.
type Verdict uint8

// The verdicts.
const (
	Pass   Verdict = iota // Pass: there is no suspicion.
	Probe                 // Probe: servers failed under it. It runs on one server alone until one has answered.
	Refuse                // Refuse: it must not run.
)

// String returns the verdict's name.
func (ve Verdict) String() string {
	switch ve {
	case Pass:
		return "Pass"
	case Probe:
		return "Probe"
	case Refuse:
		return "Refuse"
	default:
		return "Unknown"
	}
}

// Loss is an attempt of a request that got no answer other than failures, and under which
// some servers failed.
type Loss struct {
	Key     Key
	Attempt string // Attempt is the id of the attempt.
	Start   time.Time
	Probe   bool     // Probe is set if one server alone was tried.
	Service string   // Service is the service whose servers failed, if there was only one.
	Servers []string // Servers lists the ids of the servers that failed.
}

// Record is what a Tracker knows of one request, as it is sent between instances.
type Record struct {
	Key     Key      `cbor:"1,keyasint"`
	Losses  []uint64 `cbor:"2,keyasint,omitempty"` // Losses identify attempts, at most refuseAfterLosses.
	Servers []string `cbor:"3,keyasint,omitempty"` // Servers lists ids of servers that failed, at most refuseAfterServers.
	Cleared bool     `cbor:"4,keyasint,omitempty"` // Cleared is set once a server has answered the request.
	// AgeMillis is the time since the last loss, or since the answer, in milliseconds.
	// Being relative, it needs no common clock.
	AgeMillis uint32 `cbor:"5,keyasint,omitempty"`
}

// Verdict returns the verdict of a record that has not expired.
func (rc Record) Verdict() Verdict {
	switch {
	case rc.Cleared || len(rc.Losses) == 0:
		return Pass
	case len(rc.Losses) >= refuseAfterLosses && len(rc.Servers) >= refuseAfterServers:
		return Refuse
	default:
		return Probe
	}
}

// lifetime returns how long a record is kept after its last loss or its answer.
func (rc Record) lifetime() time.Duration {
	switch {
	case rc.Cleared:
		return clearedTTL
	case rc.Verdict() == Refuse:
		return 2 * suspicionTTL // In the second half it is probed.
	default:
		return suspicionTTL
	}
}

// entry is a record in a Tracker. Its AgeMillis is not used.
type entry struct {
	Record
	at time.Time // at is when the last loss, or the answer, was.
}

// expired reports whether the entry has expired.
func (en *entry) expired(now time.Time) bool { return now.Sub(en.at) >= en.lifetime() }

// snapshot returns a copy of the record with its age set.
func (en *entry) snapshot(now time.Time) Record {
	rc := en.Record
	rc.Losses, rc.Servers = slices.Clone(rc.Losses), slices.Clone(rc.Servers)
	rc.AgeMillis = uint32(max(0, now.Sub(en.at)).Milliseconds())
	return rc
}

// add adds losses and servers up to their limits and reports whether any was new.
func (en *entry) add(losses []uint64, servers []string) bool {
	changed := false
	for _, lo := range losses {
		if len(en.Losses) < refuseAfterLosses && !slices.Contains(en.Losses, lo) {
			en.Losses = append(en.Losses, lo)
			changed = true
		}
	}
	for _, id := range servers {
		if len(en.Servers) < refuseAfterServers && !slices.Contains(en.Servers, id) {
			en.Servers = append(en.Servers, id)
			changed = true
		}
	}
	return changed
}

// addLosses adds losses, the last of them at the given time, and reports whether the record
// must be sent.
func (en *entry) addLosses(at time.Time, losses []uint64, servers []string) bool {
	changed := en.add(losses, servers) || at.Sub(en.at) >= resendInterval
	en.at = later(en.at, at)
	return changed
}

// clear records that a server has answered the request.
func (en *entry) clear(at time.Time) {
	en.Losses, en.Servers, en.Cleared, en.at = nil, nil, true, at
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
