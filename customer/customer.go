// Package customer holds the customers of a configuration: their names, API keys, priority
// and quota, and the index that finds the customer of a key. All values are immutable. The
// package uses no network and no clock.
package customer

import (
	"fmt"
	"io"
)

// Customer is one customer of a configuration.
type Customer struct {
	Name string
	Keys []string // API keys; a customer without any cannot send requests
	// Priority ranks the customer's requests before the priority of their routes; 0 is the
	// highest. It is used only if HasPriority is set.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Format writes the name of the customer for every verb, so that its keys don't appear in a
// log line or error by mistake.
func (cu Customer) Format(fs fmt.State, _ rune) { _, _ = io.WriteString(fs, cu.Name) }

// MarshalText returns the name of the customer, for the same reason.
func (cu Customer) MarshalText() ([]byte, error) { return []byte(cu.Name), nil }

// Quota bounds the requests of a customer at all entry instances together. The zero Quota
// means no bound.
type Quota struct {
	Rate  float64 // requests per second; 0 means no bound
	Burst float64 // requests that may come at once beyond Rate
}

// Bounded reports whether there is a bound.
func (qu Quota) Bounded() bool { return qu.Rate > 0 }
