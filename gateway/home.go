package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamwinch.example/registry"
)

// awayIdle is how long a connection stays open idle at a backend server that is not
// one of an instance's home servers.
const awayIdle = time.Second

// homes returns which of a service's ready backend servers an entry instance uses as a
// rule, where there are fewer connections than entry instances: those of its own data
// centre, or else one that its name picks.
//
// Without it, each entry instance would hold an idle connection to every backend
// server that it ever hedged to. All together then hold as many as the servers take.
// If all entry instances lose power, the servers still count those connections for
// many seconds and reset the new ones, with the requests on them: callers get hardly
// any answer for seconds after everything is back. With connections held to home
// servers alone, half of them is still free then.
func homes(name, dataCentre string, ses []registry.Server) []string {
	var own []string
	picked, most := "", uint64(0)
	for _, se := range ses {
		if se.State != registry.Ready {
			continue
		}
		if se.DataCentre == dataCentre {
			own = append(own, se.ID)
		}
		if sum := xxhash.Sum64String(name + "\x00" + se.ID); picked == "" || sum > most {
			picked, most = se.ID, sum
		}
	}
	if len(own) > 0 || picked == "" {
		return own
	}
	return []string{picked}
}

// scarcity is what an instance knows of backend servers with fewer connections than
// there are entry instances. It is never changed.
type scarcity struct {
	home map[string]bool // home holds the ids of its home servers.
	away map[string]bool // away holds the ids of the other servers of these services.
}

// add takes in a service of which there are fewer connections than entry instances.
func (sc *scarcity) add(name, dataCentre string, ses []registry.Server) {
	for _, id := range homes(name, dataCentre, ses) {
		sc.home[id] = true
	}
	for _, se := range ses {
		if !sc.home[se.ID] {
			sc.away[se.ID] = true
		}
	}
}

// idle returns how long a connection to a server may stay idle; 0 for the usual time.
func (sc *scarcity) idle(id string) time.Duration {
	if sc.away[id] {
		return awayIdle
	}
	return 0
}
