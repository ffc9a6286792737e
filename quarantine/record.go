package quarantine

import (
	"slices"
	"time"
)

const (
	// lossesToRefuse is after how many attempts, and enders after how many servers that
	// ended under them, a request is refused. The first attempts can't know of each other;
	// each further one is a probe at one server.
	lossesToRefuse = 3
	enders         = 3
	// holdFor is how long a request is refused, and a suspicion lasts, after the last
	// loss. After that time a refused request is probed again: a release may have mended
	// what it met.
	holdFor = 10 * time.Minute
	// clearFor is how long a cleared request is remembered as such, so that what others
	// still tell of older losses doesn't bring the suspicion back.
	clearFor = time.Minute
	// retold is how much newer the last loss must be to be told again if nothing else
	// changed.
	retold = time.Second
)

// Verdict says how a request may run.
type Verdict uint8

// The verdicts.
const (
	Pass   Verdict = iota // Pass: nothing is known against it.
	Probe                 // Probe: servers ended under it. One server alone runs it until one has answered.
	Refuse                // Refuse: it is not run.
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

// Loss is an attempt of a request that no server answered but with a failure, and under
// which some ended.
type Loss struct {
	Key     Key
	Attempt string // Attempt is the id of the attempt.
	Start   time.Time
	Probe   bool     // Probe says that one server alone was asked.
	Service string   // Service is the one whose servers ended, if it was only one.
	Servers []string // Servers are the ids of those that ended.
}

// Record is what a book knows of one request, as instances tell each other.
type Record struct {
	Key     Key      `cbor:"1,keyasint"`
	Losses  []uint64 `cbor:"2,keyasint,omitempty"` // Losses stand for attempts, at most lossesToRefuse.
	Servers []string `cbor:"3,keyasint,omitempty"` // Servers are ids of those that ended, at most enders.
	Cleared bool     `cbor:"4,keyasint,omitempty"` // Cleared says that a server has answered the request.
	// Ago is how long ago the last loss, or the answer, was, in milliseconds. Instances
	// need no common clock.
	AgeMillis uint32 `cbor:"5,keyasint,omitempty"`
}

// Verdict returns the verdict of a record that has not run out.
func (rc Record) Verdict() Verdict {
	switch {
	case rc.Cleared || len(rc.Losses) == 0:
		return Pass
	case len(rc.Losses) >= lossesToRefuse && len(rc.Servers) >= enders:
		return Refuse
	default:
		return Probe
	}
}

// lifetime returns how long a record is kept after its last loss or its answer.
func (rc Record) lifetime() time.Duration {
	switch {
	case rc.Cleared:
		return clearFor
	case rc.Verdict() == Refuse:
		return 2 * holdFor // In the second half it is probed.
	default:
		return holdFor
	}
}

// entry is a record in a book. Its Ago is not used.
type entry struct {
	Record
	at time.Time // at is when the last loss, or the answer, was.
}

// outlived reports whether the entry has run out.
func (en *entry) outlived(now time.Time) bool { return now.Sub(en.at) >= en.lifetime() }

// told returns the record as it is told.
func (en *entry) told(now time.Time) Record {
	rc := en.Record
	rc.Losses, rc.Servers = slices.Clone(rc.Losses), slices.Clone(rc.Servers)
	rc.AgeMillis = uint32(max(0, now.Sub(en.at)).Milliseconds())
	return rc
}

// add takes in losses and servers, as far as there is room, and reports whether any was
// new.
func (en *entry) add(losses []uint64, servers []string) bool {
	news := false
	for _, lo := range losses {
		if len(en.Losses) < lossesToRefuse && !slices.Contains(en.Losses, lo) {
			en.Losses = append(en.Losses, lo)
			news = true
		}
	}
	for _, id := range servers {
		if len(en.Servers) < enders && !slices.Contains(en.Servers, id) {
			en.Servers = append(en.Servers, id)
			news = true
		}
	}
	return news
}

// lost takes in losses, the last of them at a time, and reports whether that is news.
func (en *entry) lost(at time.Time, losses []uint64, servers []string) bool {
	news := en.add(losses, servers) || at.Sub(en.at) >= retold
	en.at = later(en.at, at)
	return news
}

// clear takes in that a server has answered the request.
func (en *entry) clear(at time.Time) {
	en.Losses, en.Servers, en.Cleared, en.at = nil, nil, true, at
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
