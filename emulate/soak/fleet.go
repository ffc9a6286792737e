package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"balsamwinch.example/emulate"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

// heardPoll is how often is looked whether control has heard of a new server.
const heardPoll = 20 * time.Millisecond

// fleet is the backend servers: at each time one in each position, and some that
// leave or stand where another one was. It is safe for concurrent use.
type fleet struct {
	cf Settings
	ss *emulate.Servers
	ju *Checker
	ts *timer.Service

	// network is where servers listen: a loopback address of this run alone.
	//
	// A server that comes back at its address, or another one that gets it, needs the
	// port again. On the usual loopback address, any process may have taken it meanwhile
	// for a connection that it opened, and the fault could not be played.
	network string

	mu        sync.Mutex
	positions []*emulate.Server
	started   int
	ended     []crashed // ended are those that ended under a request and were not replaced yet.
}

// anyNetwork returns a loopback address that hardly anybody else uses.
func anyNetwork() string {
	const first, count = 2, 250
	return fmt.Sprintf("127.%d.%d.%d:0", first+rand.IntN(count), first+rand.IntN(count), first+rand.IntN(count))
}

// service returns the service of a position in a generation.
func (cf Settings) service(position, generation int) string {
	all := append(cf.shards(generation), cf.plainServices()...)
	return all[position/cf.Servers.Replicas]
}

// start starts a server of a service under a new id; address may be empty.
func (fl *fleet) start(service, address string, nth int) (*emulate.Server, error) {
	return fl.startAs("", service, address, nth)
}

// startAs starts a server under an id, a new one if it is empty. All servers say when
// they started, so that one which had the id before can be told apart.
func (fl *fleet) startAs(id, service, address string, nth int) (*emulate.Server, error) {
	se := fl.cf.Servers
	if address == "" {
		address = fl.network
	}
	fl.mu.Lock()
	fl.started++
	number := fl.started
	fl.mu.Unlock()
	if id == "" {
		id = fmt.Sprintf("%s-%d", service, number)
	}
	cf := emulate.Config{
		ID: id, Service: service, Address: address, Born: fl.ts.Now().UnixMilli(),
		DataCentre: fl.cf.Tier.DataCentres[nth%len(fl.cf.Tier.DataCentres)],
		Slots:      se.Slots, Queue: se.Queue, Connections: se.Connections, ConnectionCost: se.ConnectionCost,
		ServiceTime: se.Work, Pause: se.Pause, Records: se.Records, ReportLoad: true,
		DrainDelay: fl.cf.Checks.Drain + lingerFor, Seed: fl.cf.Seed*mostServers + uint64(number), OnEvent: fl.ju.RecordServerEvent,
		OnCrash: func(se *emulate.Server) { fl.noteCrash(nth, se) },
	}
	if len(se.Paces) > 0 {
		cf.ServiceTimeFactor = se.Paces[nth%len(se.Paces)]
	}
	fl.ju.ServerStarted(cf.ID, service, cf.DataCentre)
	return fl.ss.Start(cf)
}

// fill starts a server in each position.
func (fl *fleet) fill() error {
	for position := range fl.cf.positions() {
		se, err := fl.start(fl.cf.service(position, 0), "", position)
		if err != nil {
			return err
		}
		fl.positions = append(fl.positions, se)
	}
	return nil
}

// at returns the server in a position.
func (fl *fleet) at(position int) *emulate.Server {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.positions[position]
}

// replace puts a new server of the same service in the place of one, unless
// another one is there already.
func (fl *fleet) replace(position int, old *emulate.Server, address string) error {
	if fl.at(position) != old {
		return nil
	}
	return fl.put(position)(fl.start(old.Service(), address, position))
}

// again starts a server that has ended once more under its id and at its address,
// unless another one is in its place already.
func (fl *fleet) again(position int, old *emulate.Server) error {
	if fl.at(position) != old {
		return nil
	}
	return fl.put(position)(fl.startAs(old.ID(), old.Service(), old.Address(), position))
}

// put returns what puts a server that was started in a position.
func (fl *fleet) put(position int) func(*emulate.Server, error) error {
	return func(se *emulate.Server, err error) error {
		if err != nil {
			return err
		}
		fl.mu.Lock()
		defer fl.mu.Unlock()
		fl.positions[position] = se
		return nil
	}
}

// next starts the servers of a further generation of shards, waits until control
// has heard of them all, and returns them in the order of their positions.
func (fl *fleet) next(ctx context.Context, generation int) ([]*emulate.Server, error) {
	var out []*emulate.Server
	for position := range fl.cf.Servers.Shards * fl.cf.Servers.Replicas {
		se, err := fl.start(fl.cf.service(position, generation), "", position)
		if err != nil {
			return nil, err
		}
		out = append(out, se)
	}
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	for _, se := range out {
		for !se.Announced() {
			if err := fl.ts.Sleep(ctx, heardPoll); err != nil {
				return nil, fmt.Errorf("control has not heard of %s: %w", se.ID(), err)
			}
		}
	}
	return out, nil
}

// swap puts servers in the first positions and returns those that were there.
func (fl *fleet) swap(ses []*emulate.Server) []*emulate.Server {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	old := append([]*emulate.Server(nil), fl.positions[:len(ses)]...)
	copy(fl.positions, ses)
	return old
}

// drain has servers leave as planned, all at once. That control is away meanwhile is
// another fault and no reason to say that this one wasn't played: a server that nobody
// hears ends all the same, and its leaving was not acknowledged.
func drain(ctx context.Context, ses ...*emulate.Server) error {
	errs := make([]error, len(ses))
	var wg sync.WaitGroup
	for ix, se := range ses {
		wg.Go(func() {
			err := se.Drain(ctx)
			var re *result.Error
			if !errors.As(err, &re) || re.Code != result.ControlUnavailable {
				errs[ix] = err
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}
