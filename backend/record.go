// Package backend speaks to backend servers: it defines what they announce and
// the requests and replies of their query protocol, and holds the connections
// to them.
package backend

import (
	"time"

	"balsamwinch.example/snapshot"
)

// State is what a backend server announces of itself.
type State string

// The states of a backend server.
const (
	Serving  State = "Serving"
	Cold     State = "Cold"     // Cold takes work but is slow: its caches are empty.
	Draining State = "Draining" // Draining finishes its work and takes no more.
	Left     State = "Left"     // Left is the last word of a server that stopped.
)

// Holding is one shard of one snapshot that a backend server can answer from.
type Holding struct {
	Shard    string
	Snapshot snapshot.ID
}

// Record is what a backend server announces. A record with a higher
// Incarnation, or an equal one and a higher Sequence, replaces an older one.
type Record struct {
	Server          string // Server is the name, unique among backend servers.
	Service         string // Service is the product that it serves, for selectors.
	Address         string // Address is the IP number and port of its query endpoint.
	DataCentre      string
	Labels          map[string]string
	Incarnation     uint64 // Incarnation rises with each start of the server.
	Sequence        uint64 // Sequence rises with each change within an incarnation.
	State           State
	Slots           int // Slots is how many requests it runs at a time.
	ConnectionLimit int // ConnectionLimit is how many connections it accepts in all.
	Holdings        []Holding
	TTLMillis       int64 // TTLMillis is how long the record holds without being repeated.
}

// Newer reports whether the record replaces another of the same server.
func (re Record) Newer(ot Record) bool {
	if re.Incarnation != ot.Incarnation {
		return re.Incarnation > ot.Incarnation
	}
	return re.Sequence > ot.Sequence
}

// TTL returns how long the record holds without being repeated.
func (re Record) TTL() time.Duration {
	return time.Duration(re.TTLMillis) * time.Millisecond
}

// Holds reports whether the server can answer for the shard from the snapshot.
func (re Record) Holds(sh string, id snapshot.ID) bool {
	for _, ho := range re.Holdings {
		if ho.Shard == sh && ho.Snapshot == id {
			return true
		}
	}
	return false
}
