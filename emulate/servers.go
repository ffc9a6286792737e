package emulate

import (
	"context"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/timer"
)

// Servers are backend servers that run in this process.
type Servers struct {
	all  []*Server
	byID map[string]*Server
	co   *Control
	stop context.CancelFunc
	done <-chan error
}

// StartServers starts backend servers that announce themselves to the control
// instances at the addresses.
func StartServers(cfs []Config, control []string, ts *timer.Service, lg *zap.Logger) (*Servers, error) {
	ss := &Servers{byID: make(map[string]*Server), co: NewControl(control)}
	sp := suture.New("backend servers", suture.Spec{
		EventHook: func(ev suture.Event) { lg.Warn("service-event", zap.String("Detail", ev.String())) },
	})
	for _, cf := range cfs {
		se, err := New(cf, ss.co, ts, lg)
		if err != nil {
			for _, se := range ss.all {
				_ = se.li.Close()
			}
			return nil, err
		}
		ss.all = append(ss.all, se)
		ss.byID[se.ID()] = se
		sp.Add(se)
	}
	ctx, stop := context.WithCancel(context.Background())
	ss.stop, ss.done = stop, sp.ServeBackground(ctx)
	return ss, nil
}

// All returns the servers in the order of their start.
func (ss *Servers) All() []*Server { return ss.all }

// Service returns the service of the server with an id; false if there is none.
func (ss *Servers) Service(id string) (string, bool) {
	se, ok := ss.byID[id]
	if !ok {
		return "", false
	}
	return se.Service(), true
}

// Counts returns the sum of what the servers counted of the requests whose path
// begins with the segment.
func (ss *Servers) Counts(segment string) Counts {
	var out Counts
	for _, se := range ss.all {
		out = out.Plus(se.Counts(segment))
	}
	return out
}

// OverLimit counts the connections that were reset as beyond a server's limit.
func (ss *Servers) OverLimit() int {
	out := 0
	for _, se := range ss.all {
		out += se.OverLimit()
	}
	return out
}

// Close ends all servers at once, without a word to control.
func (ss *Servers) Close() {
	ss.stop()
	<-ss.done
	ss.co.Close()
}
