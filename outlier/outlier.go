// Package outlier finds backend servers that are slow or failing from what many
// entry instances saw of them. One entry instance sends a backend server a few
// requests a second or less, so alone it learns late; all of them together have
// seen enough within half a second. Entry instances send their samples to control
// instances, whose Detectors tell all of them what they found.
//
// What is found is a hint for choosing backend servers, and nothing else: it is
// lost with the control instance, runs out by itself, and no request is refused
// for it.
package outlier

import "time"

// Sample is what one entry instance saw of one backend server since its last
// sample.
type Sample struct {
	ID     string  `cbor:"1,keyasint"`
	Count  uint32  `cbor:"2,keyasint,omitempty"` // Count is how many latencies are in Log.
	LogSum float32 `cbor:"3,keyasint,omitempty"` // Log sums the natural logarithms of latency against the median of its work.
	Served uint32  `cbor:"4,keyasint,omitempty"` // Served counts the requests that were answered.
	Failed uint32  `cbor:"5,keyasint,omitempty"` // Failed counts those that were refused, failed or found no connection.

	// Slow counts the latencies of SlowFactor times the median or more. OldestSlow and
	// NewestSlow are how long ago the first and the last of these requests were sent, and
	// NewestQuick the last of the others, in milliseconds before the sample is sent.
	Slow        uint32 `cbor:"6,keyasint,omitempty"`
	OldestSlow  uint32 `cbor:"7,keyasint,omitempty"`
	NewestSlow  uint32 `cbor:"8,keyasint,omitempty"`
	NewestQuick uint32 `cbor:"9,keyasint,omitempty"`
}

// SlowFactor is how many times the median a single latency must be to count as slow. Of
// lognormal latencies with a spread of 0.35, one in forty is.
const SlowFactor = 2.0

// Finding is what is known of a backend server that is slow or failing, or was.
type Finding struct {
	ID       string  `cbor:"1,keyasint"`
	Slowness float32 `cbor:"2,keyasint,omitempty"` // Slowness is the logarithm of its latency against others; 0 if it is not slow.
	Failures float32 `cbor:"3,keyasint,omitempty"` // Failures is the share of its requests that fail; 0 if hardly any.
}

// Clear reports whether the backend server is neither slow nor failing any more.
func (fi Finding) Healthy() bool { return fi.Slowness == 0 && fi.Failures == 0 }

// Like reports whether a finding says much the same as another one of its server.
func (fi Finding) SimilarTo(other Finding) bool { return !fi.news(other) }

// Lifetime is how long a finding holds from when it was last told.
const FindingTTL = 5 * time.Second
