package quota

import "time"

// episodeEnd is how long a customer must not have been refused for its episode to end.
const episodeEnd = 5 * time.Second

// maxEpisodes bounds the customers that are followed at the same time.
const maxEpisodes = 256

// Episode is a time during which a customer was refused again and again.
type Episode struct {
	Customer string
	Since    time.Time
	Last     time.Time
	Refused  int // requests
	Admitted int // requests
}

// Episodes follows which customers are refused, so that one log line tells of the start and
// one of the end. It is not safe for concurrent use.
type Episodes struct{ open map[string]*Episode }

// NewEpisodes returns an Episodes in which no customer is refused.
func NewEpisodes() *Episodes { return &Episodes{open: make(map[string]*Episode)} }

// Refused records a refused request. It reports whether an episode starts.
func (es *Episodes) Refused(now time.Time, name string) bool {
	ep := es.open[name]
	starts := ep == nil && len(es.open) < maxEpisodes
	if starts {
		ep = &Episode{Customer: name, Since: now}
		es.open[name] = ep
	}
	if ep != nil {
		ep.Refused++
		ep.Last = now
	}
	return starts
}

// Admitted records an admitted request.
func (es *Episodes) Admitted(name string) {
	if ep := es.open[name]; ep != nil {
		ep.Admitted++
	}
}

// Ended removes and returns the episodes that have ended.
func (es *Episodes) Ended(now time.Time) []Episode {
	var out []Episode
	for name, ep := range es.open {
		if now.Sub(ep.Last) >= episodeEnd {
			out = append(out, *ep)
			delete(es.open, name)
		}
	}
	return out
}
