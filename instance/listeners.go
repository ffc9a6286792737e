package instance

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/caller"
	"balsamwinch.example/fanout"
	"balsamwinch.example/limit"
)

// listener is an HTTP server and its TCP listener.
type listener struct {
	name string
	ln   net.Listener
	sv   *http.Server
}

// listen opens the TCP listeners, so that ports chosen by the kernel are known before the
// addresses are announced.
func (in *Instance) listen() error {
	for _, li := range []struct{ name, address string }{
		{"Caller", in.cf.Addresses.Caller},
		{"Backend", in.cf.Addresses.Backend},
		{"Operator", in.cf.Addresses.Operator},
	} {
		if li.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", li.address)
		if err != nil {
			return err
		}
		in.listeners = append(in.listeners, listener{name: li.name, ln: ln})
	}
	return nil
}

// Address returns the address of the named listener (Caller, Backend, Operator or Peer), or ""
// if there is none.
func (in *Instance) Address(name string) string {
	if name == "Peer" {
		return in.pe.Address()
	}
	for _, li := range in.listeners {
		if li.name == name {
			return li.ln.Addr().String()
		}
	}
	return ""
}

// serveHTTP creates the handlers and the servers of all listeners.
func (in *Instance) serveHTTP() {
	in.cl = backend.NewClient(in.ts, in.lg, backend.ClientConfig{
		SilenceTimeout: in.cf.Timing.SilentAfter,
		OnAbandoned:    func(sm backend.AbandonedRequest) { in.en.RequestAbandoned(sm) },
	})
	in.ta = limit.NewTable(in.ts, limit.TableConfig{Seed: uint64(in.ts.Now().UnixNano())})
	ad := limit.NewAdmission(in.ts, limit.AdmissionConfig{MaxLeafRequests: in.cf.Limits.LeafRequests, ServiceCapacity: in.ta.ServiceCapacity})
	nb := func(percent float64, burst int) fanout.Budget { return limit.NewBudget(percent, burst) }
	re := &recorder{name: in.cf.Name, lc: in.lc}
	in.en = fanout.New(in.cf.Name, in.ce, in.cl, in.ta, ad, nb, re, in.ts, in.lg, fanout.NewMetrics(in.set))
	handlers := map[string]http.Handler{
		"Caller":   caller.New(in.ce, in.en, in.ts, in.lg),
		"Backend":  in.announceHandler(),
		"Operator": in.operatorHandler(),
	}
	for ix := range in.listeners {
		li := &in.listeners[ix]
		li.sv = &http.Server{
			Handler:           handlers[li.name],
			ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          zap.NewStdLog(in.lg),
		}
	}
}

func (in *Instance) announceHandler() http.Handler {
	mu := http.NewServeMux()
	mu.Handle(backend.AnnouncePath, backend.NewAnnounceHandler(in.handleAnnounce, in.lg))
	return mu
}

func (in *Instance) handleAnnounce(re backend.Record) backend.AnnounceReply {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := make(chan backend.AnnounceReply, 1)
	if err := in.th.post(ctx, serverAnnounced{re: re, reply: reply}); err != nil {
		return backend.AnnounceReply{Instance: in.cf.Name, RepeatMillis: announceInterval.Milliseconds()}
	}
	select {
	case ar := <-reply:
		return ar
	case <-ctx.Done():
		return backend.AnnounceReply{Instance: in.cf.Name, RepeatMillis: announceInterval.Milliseconds()}
	}
}

// closeServers closes the HTTP servers at once. After a drain they are already shut down.
func (in *Instance) closeServers() {
	for _, li := range in.listeners {
		_ = li.sv.Close()
	}
}

// Serve serves HTTP until the server is shut down.
func (li listener) Serve(context.Context) error {
	if err := li.sv.Serve(li.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return suture.ErrDoNotRestart
}

// String returns the name of the service for the log.
func (li listener) String() string {
	return li.name
}
