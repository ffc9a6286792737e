// Package outlier finds backend servers that are slow or failing from what many entry
// instances saw of them. One entry instance sends a backend server a few requests per
// second or less, so alone it learns late; together they have seen enough within half a
// second. Entry instances send their samples to control instances, whose Detectors send
// findings to all of them.
//
// A finding is only a hint for choosing backend servers. It is lost with the control
// instance, expires by itself, and no request is refused because of it alone.
package outlier

import "time"

// Sample is what one entry instance saw of one backend server since its last sample.
type Sample struct {
	ID     string  `cbor:"1,keyasint"`
	Count  uint32  `cbor:"2,keyasint,omitempty"` // Count is how many latencies are in LogSum.
	LogSum float32 `cbor:"3,keyasint,omitempty"` // LogSum sums the natural logarithms of the latencies relative to the median of their class.
	Served uint32  `cbor:"4,keyasint,omitempty"` // Served counts the requests that were answered.
	Failed uint32  `cbor:"5,keyasint,omitempty"` // Failed counts the requests that were refused, failed or found no connection.

	// Slow counts the latencies of at least SlowFactor times the median. OldestSlow and
	// NewestSlow are how long ago the first and the last of these requests were sent, and
	// NewestQuick the last of the others, in milliseconds before the sample is sent.
	Slow        uint32 `cbor:"6,keyasint,omitempty"`
	OldestSlow  uint32 `cbor:"7,keyasint,omitempty"`
	NewestSlow  uint32 `cbor:"8,keyasint,omitempty"`
	NewestQuick uint32 `cbor:"9,keyasint,omitempty"`
}

// SlowFactor is the multiple of the median from which a single latency counts as slow. Of
// lognormal latencies with a spread of 0.35, one in forty does.
const SlowFactor = 2.0

// Finding is the state of a backend server that is, or was, slow or failing.
type Finding struct {
	ID       string  `cbor:"1,keyasint"`
	Slowness float32 `cbor:"2,keyasint,omitempty"` // Slowness is the natural logarithm of its latency relative to other servers; 0 if it is not slow.
	Failures float32 `cbor:"3,keyasint,omitempty"` // Failures is the fraction of its requests that fail; 0 if hardly any do.
}

// Healthy reports whether the backend server is neither slow nor failing any more.
func (fi Finding) Healthy() bool { return fi.Slowness == 0 && fi.Failures == 0 }

// SimilarTo reports whether a finding differs little from another one of the same server.
func (fi Finding) SimilarTo(other Finding) bool { return !fi.differs(other) }

// FindingTTL is how long a finding holds after it was last sent.
const FindingTTL = 5 * time.Second
