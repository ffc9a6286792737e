// Package view holds an immutable view of the tier. The control thread publishes it and the
// request handlers read it without locking.
package view

import (
	"sync/atomic"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
)

// Instance is an instance of balsamwinch as known to the others.
type Instance struct {
	Name            string
	Region          string
	DataCentre      string
	Entry           bool
	CallerAddress   string // address for callers; empty without the entry role
	BackendAddress  string // address for announcements of backend servers
	OperatorAddress string
	PeerAddress     string
	Draining        bool
	Incarnation     uint64
}

// View is the state of the tier as this instance knows it. It is immutable once published.
type View struct {
	Self          Instance
	Configuration operator.Configuration
	Instances     []Instance       // instances believed to be alive, including this one
	Servers       []backend.Record // announced servers that have not expired, sorted by name
	LeaseExpiry   time.Time        // time at which this instance must stop serving
	// GrantedDivisor is the number of entry instances that share the connection limits of
	// backend servers, as last granted by control; 0 means Limits.MaxEntries.
	GrantedDivisor int
	Draining       bool   // whether this instance is stopping
	Sequence       uint64 // increases with each published view
}

// Leased reports whether the instance's lease covers the given time.
func (vi *View) Leased(now time.Time) bool {
	return now.Before(vi.LeaseExpiry)
}

// Divisor returns the number by which this entry instance must divide the connection limit of
// a backend server.
func (vi *View) Divisor() int {
	if vi.GrantedDivisor > 0 {
		return vi.GrantedDivisor
	}
	return vi.Configuration.Limits.MaxEntries
}

// Cell holds the latest view. The zero Cell holds an empty view.
type Cell struct {
	pt atomic.Pointer[View]
}

// Load returns the latest view; it never returns nil.
func (ce *Cell) Load() *View {
	if vi := ce.pt.Load(); vi != nil {
		return vi
	}
	return &View{}
}

// Store publishes a view, which must not be changed afterwards.
func (ce *Cell) Store(vi *View) {
	ce.pt.Store(vi)
}
