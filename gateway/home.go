package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamwinch.example/registry"
)

// otherIdleTimeout is how long an idle connection is kept to a backend server that is not
// one of the instance's home servers.
const otherIdleTimeout = time.Second

// homeServers returns the ready backend servers of a service that an entry instance prefers
// if the service accepts fewer connections than there are entry instances: those in its own
// data centre, or else one chosen by a hash of the instance's name.
//
// Without this preference, each entry instance would keep an idle connection to every
// backend server that it ever hedged to, and all instances together would hold as many
// connections as the servers accept. If all entry instances then lose power, the servers
// still count those connections for many seconds and reset new ones together with their
// requests, so callers get hardly any answer for seconds after everything is back. If only
// connections to home servers are kept, half of the connections are free in this case.
func homeServers(name, dataCentre string, ses []registry.Server) []string {
	var own []string
	picked, maxHash := "", uint64(0)
	for _, se := range ses {
		if se.State != registry.Ready {
			continue
		}
		if se.DataCentre == dataCentre {
			own = append(own, se.ID)
		}
		if hash := xxhash.Sum64String(name + "\x00" + se.ID); picked == "" || hash > maxHash {
			picked, maxHash = se.ID, hash
		}
	}
	if len(own) > 0 || picked == "" {
		return own
	}
	return []string{picked}
}

// scarceServers holds the backend servers that accept fewer connections than there are
// entry instances. It is immutable after construction.
type scarceServers struct {
	home   map[string]bool // IDs of the home servers
	others map[string]bool // IDs of the other servers of the same services
}

// add adds the servers of a service that accepts fewer connections than there are entry
// instances.
func (sc *scarceServers) add(name, dataCentre string, ses []registry.Server) {
	for _, id := range homeServers(name, dataCentre, ses) {
		sc.home[id] = true
	}
	for _, se := range ses {
		if !sc.home[se.ID] {
			sc.others[se.ID] = true
		}
	}
}

// idleTimeout returns how long a connection to a server may stay idle; 0 means the default.
func (sc *scarceServers) idleTimeout(id string) time.Duration {
	if sc.others[id] {
		return otherIdleTimeout
	}
	return 0
}
