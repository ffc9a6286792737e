// Package view holds the newest immutable picture of the tier that the control
// thread publishes and the traffic threads read without waiting.
package view

import (
	"sync/atomic"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
)

// Instance is one instance of balsamwinch as the others know it.
type Instance struct {
	Name            string
	Region          string
	DataCentre      string
	Entry           bool
	CallerAddress   string // CallerAddress is where callers connect; empty without the entry role.
	BackendAddress  string // BackendAddress is where backend servers announce themselves.
	OperatorAddress string
	PeerAddress     string
	Draining        bool
	Incarnation     uint64
}

// View is one picture of the tier. It is never changed after it is published.
type View struct {
	Self          Instance
	Configuration operator.Configuration
	Instances     []Instance       // Instances are those believed alive, self included.
	Servers       []backend.Record // Servers are those announced and not expired, sorted by name.
	LeaseUntil    time.Time        // LeaseUntil is when this instance must stop serving.
	// Entries is by how many entry instances the connection limits of backend
	// servers are divided, as control last granted; 0 means Limits.MaxEntries.
	GrantedDivisor int
	Draining       bool   // Draining says that this instance is stopping.
	Sequence       uint64 // Sequence rises with each published view.
}

// Leased reports whether the instance may serve at the given time.
func (vi *View) Leased(now time.Time) bool {
	return now.Before(vi.LeaseUntil)
}

// Divisor returns by how many entry instances this one must divide the
// connection limit of a backend server.
func (vi *View) Divisor() int {
	if vi.GrantedDivisor > 0 {
		return vi.GrantedDivisor
	}
	return vi.Configuration.Limits.MaxEntries
}

// Cell holds the newest view. The zero Cell holds an empty view.
type Cell struct {
	pt atomic.Pointer[View]
}

// Load returns the newest view; it never returns nil.
func (ce *Cell) Load() *View {
	if vi := ce.pt.Load(); vi != nil {
		return vi
	}
	return &View{}
}

// Store publishes a view. The caller must not change it afterwards.
func (ce *Cell) Store(vi *View) {
	ce.pt.Store(vi)
}
