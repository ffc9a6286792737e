package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"go.uber.org/zap"

	"balsamwinch.example/leaf"
	"balsamwinch.example/timer"
)

const anyLocalPort = "127.0.0.1:0"

// Leafs are the emulated backend servers of an experiment, run in this process.
type Leafs struct {
	ts       *timer.Service
	lg       *zap.Logger
	specs    []ServerSpec
	announce []string
	seed     uint64
	wg       sync.WaitGroup

	mu        sync.Mutex
	running   map[string]*leaf.Leaf
	numStarts uint64
}

// StartLeafs starts every backend server of the experiment; they announce themselves to the
// given addresses.
func StartLeafs(ex Experiment, announce []string, ts *timer.Service, lg *zap.Logger) (*Leafs, error) {
	ls := &Leafs{
		ts:       ts,
		lg:       lg,
		specs:    ex.Servers(),
		announce: announce,
		seed:     ex.Seed,
		running:  make(map[string]*leaf.Leaf),
	}
	for _, sp := range ls.specs {
		if err := ls.Start(sp.Name); err != nil {
			return nil, fmt.Errorf("starting %s: %w", sp.Name, err)
		}
	}
	return ls, nil
}

// Start starts a backend server that is not running.
func (ls *Leafs) Start(server string) error {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	sp, ok := ls.spec(server)
	if !ok || ls.running[server] != nil {
		return fmt.Errorf("backend server %s is unknown or already running", server)
	}
	ls.numStarts++
	le, err := leaf.New(ls.config(sp), ls.ts, ls.lg)
	if err != nil {
		return err
	}
	ls.running[server] = le
	ls.wg.Go(func() { _ = le.Serve(context.Background()) })
	return nil
}

func (ls *Leafs) spec(server string) (ServerSpec, bool) {
	for _, sp := range ls.specs {
		if sp.Name == server {
			return sp, true
		}
	}
	return ServerSpec{}, false
}

func (ls *Leafs) config(sp ServerSpec) leaf.Config {
	return leaf.Config{
		Server:          sp.Name,
		Service:         sp.Label,
		DataCentre:      sp.DataCentre,
		Address:         anyLocalPort,
		ControlAddress:  anyLocalPort,
		Announce:        ls.rotatedAnnounce(),
		Shards:          sp.Service.shardsHeld(sp.Shard, wholeMap),
		Partition:       wholeMap,
		KeepVersions:    sp.Service.KeepVersions,
		Slots:           sp.Service.Slots,
		Queue:           sp.Service.Queue,
		ConnectionLimit: sp.Service.Connections,
		AcceptDelay:     sp.Service.ConnectionDelay,
		Latency:         sp.Service.ServiceTime,
		StopLag:         sp.Service.StopLag,
		Seed:            ls.seed + ls.numStarts,
	}
}

// rotatedAnnounce returns the announce addresses, beginning with another one for each start,
// so that the backend servers are spread over the instances.
func (ls *Leafs) rotatedAnnounce() []string {
	if len(ls.announce) == 0 {
		return nil
	}
	at := int(ls.numStarts) % len(ls.announce)
	return append(append([]string(nil), ls.announce[at:]...), ls.announce[:at]...)
}

// Kill stops a backend server without a drain and returns its counters.
func (ls *Leafs) Kill(server string) (leaf.Counts, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	le := ls.running[server]
	if le == nil {
		return leaf.Counts{}, fmt.Errorf("backend server %s is not running", server)
	}
	delete(ls.running, server)
	if err := le.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return leaf.Counts{}, err
	}
	return le.Counts(), nil
}

// Servers returns the running backend servers.
func (ls *Leafs) Servers() []LeafServer {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var lss []LeafServer
	for _, sp := range ls.specs {
		if le := ls.running[sp.Name]; le != nil {
			lss = append(lss, LeafServer{Server: sp.Name, ControlAddress: le.ControlAddress()})
		}
	}
	return lss
}

// Close stops all backend servers and waits for them.
func (ls *Leafs) Close() {
	ls.mu.Lock()
	for _, le := range ls.running {
		_ = le.Close()
	}
	ls.mu.Unlock()
	ls.wg.Wait()
}
