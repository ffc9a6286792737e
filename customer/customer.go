// Package customer holds the customers of a configuration: their names, API keys, priority
// and quota, and the index that finds the customer of a key. All values are immutable. The
// package uses no network and no clock.
package customer

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

// Quota bounds the requests of a customer at all entry instances together. The zero Quota
// means no bound.
type Quota struct {
	Rate  float64 // requests per second; 0 means no bound
	Burst float64 // requests that may come at once beyond Rate
}

// Bounded reports whether there is a bound.
func (qu Quota) Bounded() bool { return qu.Rate > 0 }
