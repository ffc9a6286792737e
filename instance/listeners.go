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

// listening is one HTTP server and what it listens on.
type listening struct {
	name string
	ln   net.Listener
	sv   *http.Server
}

// listen opens the TCP listeners, so that addresses chosen by the kernel are
// known before anything is told to others.
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
		in.open = append(in.open, listening{name: li.name, ln: ln})
	}
	return nil
}

// Address returns where the named listener (Caller, Backend, Operator or Peer)
// listens, or "" if there is none.
func (in *Instance) Address(name string) string {
	if name == "Peer" {
		return in.pe.Address()
	}
	for _, li := range in.open {
		if li.name == name {
			return li.ln.Addr().String()
		}
	}
	return ""
}

// serveHTTP makes the handlers and the servers of all listeners.
func (in *Instance) serveHTTP() {
	in.cl = backend.NewClient(in.ts, in.lg, backend.ClientConfig{
		SilenceTimeout: in.cf.Timing.SilentAfter,
		OnAbandoned:    func(sm backend.AbandonedRequest) { in.en.RequestAbandoned(sm) },
	})
	in.ta = limit.NewTable(in.ts, limit.TableConfig{Seed: uint64(in.ts.Now().UnixNano())})
	ad := limit.NewAdmission(in.ts, limit.AdmissionConfig{MaxLeafRequests: in.cf.Limits.LeafRequests, ServiceCapacity: in.ta.ServiceCapacity})
	nb := func(percent float64, burst int) fanout.Budget { return limit.NewBudget(percent, burst) }
	re := &recorder{name: in.cf.Name, la: in.la}
	in.en = fanout.New(in.cf.Name, in.ce, in.cl, in.ta, ad, nb, re, in.ts, in.lg, fanout.NewMetrics(in.set))
	handlers := map[string]http.Handler{
		"Caller":   caller.New(in.ce, in.en, in.ts, in.lg),
		"Backend":  in.announceHandler(),
		"Operator": in.operatorHandler(),
	}
	for ix := range in.open {
		li := &in.open[ix]
		li.sv = &http.Server{
			Handler:           handlers[li.name],
			ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes:    maxHeaders,
			ErrorLog:          zap.NewStdLog(in.lg),
		}
	}
}

func (in *Instance) announceHandler() http.Handler {
	mu := http.NewServeMux()
	mu.Handle(backend.AnnouncePath, backend.NewAnnounceHandler(in.announced, in.lg))
	return mu
}

func (in *Instance) announced(re backend.Record) backend.AnnounceReply {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := make(chan backend.AnnounceReply, 1)
	if err := in.th.post(ctx, announced{re: re, reply: reply}); err != nil {
		return backend.AnnounceReply{Instance: in.cf.Name, RepeatMillis: renounce.Milliseconds()}
	}
	select {
	case ar := <-reply:
		return ar
	case <-ctx.Done():
		return backend.AnnounceReply{Instance: in.cf.Name, RepeatMillis: renounce.Milliseconds()}
	}
}

// cutOff ends the HTTP servers at once. After a drain they are down already.
func (in *Instance) cutOff() {
	for _, li := range in.open {
		_ = li.sv.Close()
	}
}

// Serve serves HTTP until the server is shut down.
func (li listening) Serve(context.Context) error {
	if err := li.sv.Serve(li.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return suture.ErrDoNotRestart
}

// String names the service in the log.
func (li listening) String() string {
	return li.name
}
