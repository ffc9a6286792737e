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

// announcedPollInterval is the interval between two checks whether control has received
// the announcement of a new server.
const announcedPollInterval = 20 * time.Millisecond

// fleet is the backend servers: one in each position at a time, and some that are
// draining or have taken over the address of another server. It is safe for concurrent
// use.
type fleet struct {
	cf Settings
	ss *emulate.Servers
	ch *Checker
	ts *timer.Service

	// listenAddress is where servers listen: a loopback address that only this run uses.
	//
	// A server that restarts at its address, and another one that takes the address over,
	// need the same port again. On the usual loopback address any process may have taken
	// the port in the meantime for an outgoing connection, and the fault could not be
	// injected.
	listenAddress string

	mu         sync.Mutex
	positions  []*emulate.Server
	numStarted int
	crashed    []crashedServer // servers that crashed on a request and are not replaced yet
}

// randomLoopback returns a random loopback address that is very unlikely to be in use.
func randomLoopback() string {
	const first, count = 2, 250
	return fmt.Sprintf("127.%d.%d.%d:0", first+rand.IntN(count), first+rand.IntN(count), first+rand.IntN(count))
}

// service returns the service of a position in a generation.
func (cf Settings) service(position, generation int) string {
	all := append(cf.shards(generation), cf.plainServices()...)
	return all[position/cf.Servers.Replicas]
}

// start starts a server of a service under a new ID; address may be empty.
func (fl *fleet) start(service, address string, position int) (*emulate.Server, error) {
	return fl.startAs("", service, address, position)
}

// startAs starts a server under an ID, or under a new one if id is empty. All servers
// announce their start time, so that a server can be told apart from an earlier one with
// the same ID.
func (fl *fleet) startAs(id, service, address string, position int) (*emulate.Server, error) {
	se := fl.cf.Servers
	if address == "" {
		address = fl.listenAddress
	}
	fl.mu.Lock()
	fl.numStarted++
	number := fl.numStarted
	fl.mu.Unlock()
	if id == "" {
		id = fmt.Sprintf("%s-%d", service, number)
	}
	cf := emulate.Config{
		ID: id, Service: service, Address: address, Born: fl.ts.Now().UnixMilli(),
		DataCentre: fl.cf.Tier.DataCentres[position%len(fl.cf.Tier.DataCentres)],
		Slots:      se.Slots, Queue: se.Queue, Connections: se.Connections, ConnectionCost: se.ConnectionCost,
		ServiceTime: se.Work, Pause: se.Pause, Records: se.Records, ReportLoad: true,
		DrainDelay: fl.cf.Checks.Drain + lingerDelay, Seed: fl.cf.Seed*maxServers + uint64(number), OnEvent: fl.ch.RecordServerEvent,
		OnCrash: func(se *emulate.Server) { fl.recordCrash(position, se) },
	}
	if len(se.Paces) > 0 {
		cf.ServiceTimeFactor = se.Paces[position%len(se.Paces)]
	}
	fl.ch.ServerStarted(cf.ID, service, cf.DataCentre)
	return fl.ss.Start(cf)
}

// startAll starts a server in each position.
func (fl *fleet) startAll() error {
	for position := range fl.cf.numPositions() {
		se, err := fl.start(fl.cf.service(position, 0), "", position)
		if err != nil {
			return err
		}
		fl.positions = append(fl.positions, se)
	}
	return nil
}

// serverAt returns the server in a position.
func (fl *fleet) serverAt(position int) *emulate.Server {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.positions[position]
}

// replace replaces a server by a new one of the same service, unless its position already
// has another one.
func (fl *fleet) replace(position int, old *emulate.Server, address string) error {
	if fl.serverAt(position) != old {
		return nil
	}
	return fl.setPosition(position)(fl.start(old.Service(), address, position))
}

// restart restarts a server under its ID and at its address, unless its position already
// has another one.
func (fl *fleet) restart(position int, old *emulate.Server) error {
	if fl.serverAt(position) != old {
		return nil
	}
	return fl.setPosition(position)(fl.startAs(old.ID(), old.Service(), old.Address(), position))
}

// setPosition returns a function that puts a newly started server into a position.
func (fl *fleet) setPosition(position int) func(*emulate.Server, error) error {
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

// startGeneration starts the servers of a new generation of shards, waits until control
// has received the announcements of all of them, and returns them in the order of their
// positions.
func (fl *fleet) startGeneration(ctx context.Context, generation int) ([]*emulate.Server, error) {
	var out []*emulate.Server
	for position := range fl.cf.Servers.Shards * fl.cf.Servers.Replicas {
		se, err := fl.start(fl.cf.service(position, generation), "", position)
		if err != nil {
			return nil, err
		}
		out = append(out, se)
	}
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for _, se := range out {
		for !se.Announced() {
			if err := fl.ts.Sleep(ctx, announcedPollInterval); err != nil {
				return nil, fmt.Errorf("control has not received the announcement of %s: %w", se.ID(), err)
			}
		}
	}
	return out, nil
}

// swap puts servers into the first positions and returns those that they replace.
func (fl *fleet) swap(ses []*emulate.Server) []*emulate.Server {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	old := append([]*emulate.Server(nil), fl.positions[:len(ses)]...)
	copy(fl.positions, ses)
	return old
}

// drain drains servers concurrently. An unavailable control is a fault of its own and
// doesn't count as a failure to inject this one: a server whose announcements nobody
// receives stops all the same, only its draining was not acknowledged.
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
