// Package backend implements the communication with backend servers: it defines
// their announcements and the requests and replies of their query protocol, and
// manages the connections to them.
package backend

import (
	"time"

	"balsamwinch.example/snapshot"
)

// State is the state that a backend server announces.
type State string

// The states of a backend server.
const (
	Serving  State = "Serving"
	Cold     State = "Cold"     // accepts work but is slow because its caches are empty
	Draining State = "Draining" // finishes its work and accepts no more
	Left     State = "Left"     // stopped; last announcement of a server
)

// Holding is one shard of one snapshot that a backend server can answer from.
type Holding struct {
	Shard    string
	Snapshot snapshot.ID
}

// Record is the announcement of a backend server. A record with a higher
// Incarnation, or an equal one and a higher Sequence, replaces an older one.
type Record struct {
	Server          string // name, unique among backend servers
	Service         string // product that it serves, for selectors
	Address         string // IP address and port of its query endpoint
	DataCentre      string
	Labels          map[string]string
	Incarnation     uint64 // increases with each start of the server
	Sequence        uint64 // increases with each change within an incarnation
	State           State
	Slots           int // requests that it runs concurrently
	ConnectionLimit int // connections that it accepts in total
	Holdings        []Holding
	TTLMillis       int64 // how long the record is valid unless repeated
}

// Newer reports whether the record replaces another of the same server.
func (re Record) Newer(ot Record) bool {
	if re.Incarnation != ot.Incarnation {
		return re.Incarnation > ot.Incarnation
	}
	return re.Sequence > ot.Sequence
}

// TTL returns how long the record is valid unless repeated.
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
