package backend_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/leaf"
	"balsamwinch.example/timer"
)

// startLeaf serves an emulated backend server over TCP.
func startLeaf(c *qt.C, cf leaf.Config) (*leaf.Leaf, backend.Target) {
	cf.Server, cf.Address, cf.Shards = "sv", "127.0.0.1:0", []string{"a"}
	le, err := leaf.New(cf, timer.New(), zap.NewNop())
	c.Assert(err, qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- le.Serve(context.Background()) }()
	c.Cleanup(func() {
		le.Close()
		<-ended
	})
	return le, backend.Target{Server: "sv", Address: le.Address(), MaxConnections: cf.ConnectionLimit}
}

// Guards against refused connections on a healthy backend server. Entries close
// the connections of requests that they cancel and open others in their place,
// while the server still counts the closed ones towards its limit.
func TestClosingConnectionsCountTowardsLimit(t *testing.T) {
	c := qt.New(t)
	const limit = 3
	le, ta := startLeaf(c, leaf.Config{Slots: 64, ConnectionLimit: limit, Latency: leaf.Latency{Median: time.Millisecond, Sigma: 1}, Seed: 1})
	var wg sync.WaitGroup // counts the requests, and the OnAbandoned calls of those that were sent and failed
	cl := newClient(c, backend.ClientConfig{CloseTimeout: time.Minute, OnAbandoned: func(backend.AbandonedRequest) { wg.Done() }})
	rn := rand.New(rand.NewPCG(1, 1))
	timeouts := make([]time.Duration, 12)
	for i := range timeouts {
		timeouts[i] = time.Duration(rn.IntN(2000)) * time.Microsecond
	}
	runParallel(len(timeouts), func(i int) error {
		for range 40 {
			ctx, cancel := context.WithCancel(context.Background())
			tm := time.AfterFunc(timeouts[i], cancel)
			wg.Add(1)
			_, err := cl.Do(ctx, ta, request("r"))
			if _, sent := kindOf(err); !sent {
				wg.Done()
			}
			tm.Stop()
			cancel()
		}
		return nil
	})
	wg.Wait()
	co := le.Counts()
	c.Check(co.OverLimit, qt.Equals, 0)
	c.Check(co.PeakConnections <= limit, qt.IsTrue)
	c.Check(cl.Stats("sv").Unconfirmed, qt.Equals, uint64(0))
}

// Guards against the losing request of a hedge keeping its slot, and against
// each hedge costing a new connection, which takes 6 ms to open. The Cancel goes
// over a spare connection, the server answers the cancelled request, and its
// connection is reused.
func TestCancelFreesSlotAndConnection(t *testing.T) {
	c := qt.New(t)
	le, ta := startLeaf(c, leaf.Config{Slots: 1, ConnectionLimit: 2, Latency: leaf.Latency{Median: time.Hour}})
	abandoned := make(chan backend.AbandonedRequest, 1)
	cl := newClient(c, backend.ClientConfig{LingerTimeout: time.Minute, OnAbandoned: func(ar backend.AbandonedRequest) { abandoned <- ar }})
	for range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			for le.Counts().Running == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		_, err := cl.Do(ctx, ta, request("r1"))
		checkError(c, err, backend.Cancelled, true)
		c.Check((<-abandoned).Stopped, qt.IsTrue)
	}
	co := le.Counts()
	c.Check(co.Running, qt.Equals, 0)
	c.Check(co.Cancels, qt.Equals, 3)
	c.Check(co.Accepted, qt.Equals, 2)
}

// The only connection of the share has gone silent, and its close is lost as
// well. The retry comes at once, while the old connection still counts as open;
// it waits for the old one's place instead of failing.
func TestRetryWaitsForClosingSilentConnection(t *testing.T) {
	c := qt.New(t)
	le, ta := startLeaf(c, leaf.Config{ConnectionLimit: 2})
	ta.MaxConnections = 1
	cl := newClient(c, backend.ClientConfig{CloseTimeout: 50 * time.Millisecond})
	_, err := cl.Do(context.Background(), ta, request("r1"))
	c.Assert(err, qt.IsNil)
	le.SetFaults(leaf.Faults{Silent: true, SilentHeld: true})
	short := ta
	short.SilenceTimeout = 20 * time.Millisecond
	_, err = cl.Do(context.Background(), short, request("r2"))
	checkError(c, err, backend.Silent, true)
	_, err = cl.Do(context.Background(), ta, request("r3"))
	c.Assert(err, qt.IsNil)
	c.Check(cl.Stats("sv").Unconfirmed, qt.Equals, uint64(1))
}

// The faults of an emulated server result in the matching error kinds, and none
// of them affects the following request. A duplicate reply causes an error only
// if the connection carries the next request before the second copy has arrived.
func TestFaultsDoNotAffectNextRequest(t *testing.T) {
	for _, tc := range []struct {
		fa    leaf.Faults
		kinds []backend.ErrorKind
	}{
		{leaf.Faults{Cut: 1}, []backend.ErrorKind{backend.Cut}},
		{leaf.Faults{Lost: 1}, []backend.ErrorKind{backend.Cut}},
		{leaf.Faults{Crossed: 1}, []backend.ErrorKind{backend.Crossed}},
		{leaf.Faults{Doubled: 1}, []backend.ErrorKind{"", backend.Crossed}},
	} {
		c := qt.New(t)
		le, ta := startLeaf(c, leaf.Config{ConnectionLimit: 8, Faults: tc.fa})
		cl := newClient(c, backend.ClientConfig{})
		for i := range 20 {
			_, err := cl.Do(context.Background(), ta, request(fmt.Sprint("r", i)))
			kind, sent := kindOf(err)
			c.Check(tc.kinds, qt.Contains, kind)
			c.Check(sent, qt.Equals, err != nil)
		}
		// No request is sent twice. A request that met the second copy of a reply may
		// not count, because its connection is closed before the server reads it.
		co := le.Counts()
		c.Check(co.Requests <= 20, qt.IsTrue)
		c.Check(co.Requests == 20 || tc.fa.Doubled > 0, qt.IsTrue)
	}
}

// A server that leaves the view loses its connections. One that moves gets new
// ones, and the share applies to old and new ones together.
func TestSetTargetsClosesAndReplacesConnections(t *testing.T) {
	c := qt.New(t)
	le, ta := startLeaf(c, leaf.Config{ConnectionLimit: 4})
	cl := newClient(c, backend.ClientConfig{CloseTimeout: time.Minute})
	do := func(ta backend.Target) {
		_, err := cl.Do(context.Background(), ta, request("r1"))
		c.Assert(err, qt.IsNil)
	}
	do(ta)
	cl.SetTargets(map[string]backend.Target{"sv": ta})
	c.Check(cl.Stats("sv").Idle, qt.Equals, 1)
	ta.Incarnation++
	do(ta)
	c.Check(le.Counts().Accepted, qt.Equals, 2)
	for len(cl.Servers()) > 0 {
		cl.SetTargets(nil)
	}
	for le.Counts().Connections > 0 {
		time.Sleep(time.Millisecond)
	}
	c.Check(cl.Stats("sv"), qt.Equals, backend.ConnStats{})
	do(ta)
}
