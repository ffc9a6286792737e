package emulate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/timer"
)

// crashTimeout bounds the wait for a server to crash.
const crashTimeout = 5 * time.Second

// Servers are backend servers that run in this process. It is safe for concurrent use.
type Servers struct {
	co   *ControlClient
	ts   *timer.Service
	lg   *zap.Logger
	sp   *suture.Supervisor
	stop context.CancelFunc
	done <-chan error

	mu     sync.Mutex // guards the fields below
	all    []*Server
	byID   map[string]*Server
	tokens map[string]suture.ServiceToken
}

// StartServers starts backend servers that announce themselves to the control instances
// at the addresses.
func StartServers(cfs []Config, control []string, ts *timer.Service, lg *zap.Logger) (*Servers, error) {
	ss := &Servers{
		co: NewControlClient(control), ts: ts, lg: lg,
		byID: make(map[string]*Server), tokens: make(map[string]suture.ServiceToken),
	}
	ss.sp = suture.New("backend servers", suture.Spec{
		EventHook: func(ev suture.Event) { lg.Warn("service-event", zap.String("Detail", ev.String())) },
	})
	ctx, stop := context.WithCancel(context.Background())
	ss.stop, ss.done = stop, ss.sp.ServeBackground(ctx)
	for _, cf := range cfs {
		if _, err := ss.Start(cf); err != nil {
			ss.Close()
			return nil, err
		}
	}
	return ss, nil
}

// Start starts another backend server.
func (ss *Servers) Start(cf Config) (*Server, error) {
	se, err := New(cf, ss.co, ss.ts, ss.lg)
	if err != nil {
		return nil, err
	}
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.all = append(ss.all, se)
	ss.byID[se.ID()] = se
	ss.tokens[se.ID()] = ss.sp.Add(se)
	return se, nil
}

// Crash ends a server at once, without announcing it to control, and waits until it has
// ended. A server that has already ended is not an error.
func (ss *Servers) Crash(se *Server) error {
	ss.mu.Lock()
	to, ok := ss.tokens[se.ID()]
	delete(ss.tokens, se.ID())
	ss.mu.Unlock()
	if !ok {
		return nil
	}
	return ss.sp.RemoveAndWait(to, crashTimeout)
}

// All returns the servers in the order in which they were started, including those that
// have ended.
func (ss *Servers) All() []*Server {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return slices.Clone(ss.all)
}

// Service returns the service of the server with the ID; false if there is no such
// server.
func (ss *Servers) Service(id string) (string, bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	se, ok := ss.byID[id]
	if !ok {
		return "", false
	}
	return se.Service(), true
}

// Counts returns the sum of the servers' counts of the requests whose path begins with
// the segment.
func (ss *Servers) Counts(segment string) Counts {
	var out Counts
	for _, se := range ss.All() {
		out = out.Plus(se.Counts(segment))
	}
	return out
}

// RejectedConnections returns how many connections were reset because of a server's
// limit.
func (ss *Servers) RejectedConnections() int {
	out := 0
	for _, se := range ss.All() {
		out += se.RejectedConnections()
	}
	return out
}

// Close ends all servers at once, without announcing it to control.
func (ss *Servers) Close() {
	ss.stop()
	<-ss.done
	ss.co.Close()
}
