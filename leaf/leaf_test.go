package leaf

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/timer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// pipeListener is a listener for net.Pipe connections, which work with synctest's fake time.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (pl *pipeListener) Accept() (net.Conn, error) {
	select {
	case nc := <-pl.conns:
		return nc, nil
	case <-pl.done:
		return nil, net.ErrClosed
	}
}

func (pl *pipeListener) Close() error {
	pl.once.Do(func() { close(pl.done) })
	return nil
}

func (pl *pipeListener) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
}

func (pl *pipeListener) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case pl.conns <- far:
		return near, nil
	case <-pl.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// rig is a Leaf on a pipeListener and a client of it.
type rig struct {
	*Leaf
	cl  *backend.Client
	ta  backend.Target
	ids atomic.Int64
}

func newRig(t *testing.T, cf Config) *rig {
	pl := newPipeListener()
	cf.Server, cf.Shards = "sv", []string{"a", "b"}
	le := newLeaf(cf, timer.New(), zap.NewNop(), pl, nil)
	served := make(chan struct{})
	go func() {
		_ = le.Serve(context.Background())
		close(served)
	}()
	cl := backend.NewClient(timer.New(), zap.NewNop(), backend.ClientConfig{Dial: pl.dial, SilenceTimeout: time.Second})
	t.Cleanup(func() {
		le.SetFaults(Faults{})
		cl.Close()
		le.Close()
		<-served
	})
	return &rig{Leaf: le, cl: cl, ta: backend.Target{Server: "sv", Address: "127.0.0.1:1", MaxConnections: 20}}
}

// do sends a request and returns the code of the reply or the kind of the error.
func (ri *rig) do(timeout time.Duration, rq backend.Request) string {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if rq.RequestID == "" {
		rq.RequestID = fmt.Sprint("id", ri.ids.Add(1))
	}
	re, err := ri.cl.Do(ctx, ri.ta, rq)
	if err != nil {
		return string(err.(*backend.Error).Kind)
	}
	return string(re.Code)
}

func request(id string) backend.Request {
	return backend.Request{RequestID: id, Shard: "a", Snapshot: snapshot.ID{Partition: 1, Version: 1}, Query: json.RawMessage(`{"Q":1}`)}
}

func TestQueryReturnsRowsOrRejectionCode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ri := newRig(t, Config{RowsPerReply: 2, Latency: Latency{Median: 10 * time.Millisecond}})
		re, err := ri.cl.Do(context.Background(), ri.ta, request("r1"))
		c.Assert(err, qt.IsNil)
		c.Check(string(re.Rows[1]), qt.Equals, `{"Shard":"a","Snapshot":"1.1","Number":1,"Query":{"Q":1}}`)
		for _, tc := range []struct {
			shard string
			id    snapshot.ID
			want  backend.ReplyCode
		}{
			{"c", snapshot.ID{Partition: 1, Version: 1}, backend.ReplyWrongShard},
			{"b", snapshot.ID{Partition: 1, Version: 2}, backend.ReplyVersionGone},
		} {
			rq := request("r2")
			rq.Shard, rq.Snapshot = tc.shard, tc.id
			c.Check(ri.do(time.Second, rq), qt.Equals, string(tc.want))
		}
	})
}

// With two slots and a queue of one, of four concurrent requests one is shed and one runs
// after the first two.
func TestRequestsBeyondSlotsAndQueueAreShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ri := newRig(t, Config{Slots: 2, Queue: 1, Latency: Latency{Median: 100 * time.Millisecond}})
		codes := make(chan string, 4)
		for i := range 4 {
			go func() { codes <- ri.do(time.Second, request(fmt.Sprint(i))) }()
			synctest.Wait()
		}
		c.Check(<-codes, qt.Equals, "Shed")
		began := time.Now()
		for range 3 {
			c.Check(<-codes, qt.Equals, "OK")
		}
		c.Check(time.Since(began), qt.Equals, 200*time.Millisecond)
		c.Check(ri.Counts().PeakRunning, qt.Equals, 2)
	})
}

// A request stops at its deadline or on a Cancel, and holds its slot for StopLag. A Cancel
// that arrives before its request also stops it.
func TestRequestStopsAtDeadlineAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const stopLag = 30 * time.Millisecond
		ri := newRig(t, Config{Slots: 2, StopLag: stopLag, Latency: Latency{Median: time.Hour}})
		rq := request("r1")
		rq.TimeoutMillis = 100
		began := time.Now()
		c.Check(ri.do(time.Second, rq), qt.Equals, "DeadlinePassed")
		c.Check(time.Since(began), qt.Equals, 100*time.Millisecond+stopLag)
		code := make(chan string)
		go func() { code <- ri.do(time.Second, request("r2")) }()
		synctest.Wait()
		cr, err := ri.cl.Cancel(context.Background(), ri.ta, "r2")
		c.Assert(err, qt.IsNil)
		c.Check(cr.Stopped, qt.IsFalse)
		synctest.Wait()
		c.Check(ri.Counts().RunningAfterStop, qt.Equals, 1)
		c.Check(<-code, qt.Equals, "Cancelled")
		cr, _ = ri.cl.Cancel(context.Background(), ri.ta, "r3")
		c.Check(cr.Stopped, qt.IsTrue)
		c.Check(ri.do(time.Second, request("r3")), qt.Equals, "Cancelled")
		c.Check(ri.Counts().Stopped, qt.Equals, 2)
	})
}

// Executions of non-repeatable requests are counted by key, also when the reply is lost.
func TestExecutionsAreCountedByKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ri := newRig(t, Config{Faults: Faults{Lost: 1}})
		for _, key := range []string{"k1", "k2", "k1"} {
			rq := request("")
			rq.Key = key
			c.Check(ri.do(time.Second, rq), qt.Equals, "Cut")
		}
		ri.SetFaults(Faults{Cut: 1})
		c.Check(ri.do(time.Second, request("")), qt.Equals, "Cut")
		c.Check(ri.Counts().Executed, qt.DeepEquals, map[string]int{"k1": 2, "k2": 1})
		c.Check(ri.Counts().RanTwice, qt.Equals, 1)
	})
}

func TestFaultsTakeEffectAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ri := newRig(t, Config{Slots: 1, ConnectionLimit: 3, Latency: Latency{Median: time.Millisecond}})
		c.Check(ri.do(time.Second, request("")), qt.Equals, "OK")
		ri.SetFaults(Faults{Silent: true})
		c.Check(ri.do(5*time.Second, request("")), qt.Equals, "Silent")
		c.Check(ri.do(5*time.Second, request("")), qt.Equals, "OK")
		ri.SetFaults(Faults{Shed: 1})
		c.Check(ri.do(time.Second, request("")), qt.Equals, "Shed")
		ri.SetFaults(Faults{SlowShare: 1, SlowFactor: 10})
		began := time.Now()
		c.Check(ri.do(time.Second, request("")), qt.Equals, "OK")
		c.Check(time.Since(began), qt.Equals, 10*time.Millisecond)
		ri.SetFaults(Faults{Stuck: true})
		c.Check(ri.do(100*time.Millisecond, request("")), qt.Equals, "Deadline")
		c.Check(ri.Counts().Running, qt.Equals, 1)
		ri.SetFaults(Faults{})
		synctest.Wait()
		c.Check(ri.Counts().Running, qt.Equals, 0)
	})
}

// With SilentHeld, connections that the other end has closed still count against the limit,
// and further ones are closed.
func TestSilentHeldConnectionsCountAgainstLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ri := newRig(t, Config{ConnectionLimit: 1, AcceptDelay: 6 * time.Millisecond})
		ri.ta.MaxConnections = 1
		began := time.Now()
		c.Check(ri.do(time.Second, request("")), qt.Equals, "OK")
		c.Check(time.Since(began), qt.Equals, 6*time.Millisecond)
		ri.SetFaults(Faults{Silent: true, SilentHeld: true})
		c.Check(ri.do(5*time.Second, request("")), qt.Equals, "Silent")
		c.Check(ri.do(5*time.Second, request("")), qt.Equals, "Cut")
		co := ri.Counts()
		c.Check(co.OverLimit > 0, qt.IsTrue)
		c.Check(co.PeakConnections, qt.Equals, 1)
		ri.SetFaults(Faults{})
		c.Check(ri.do(5*time.Second, request("")), qt.Equals, "OK")
	})
}

// Leafs with the same interval publish the same versions, and hold the newest of them.
func TestPeriodicVersionsAgreeBetweenLeafs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cf := Config{PublishEvery: time.Minute, KeepVersions: 2}
		early := newRig(t, cf)
		time.Sleep(150 * time.Second)
		cf.PublishLag = 10 * time.Second
		late := newRig(t, cf)
		time.Sleep(105 * time.Second)
		c.Check(early.Record().Holdings, qt.DeepEquals, late.Record().Holdings)
		early.Repartition(snapshot.ID{Partition: 2}, []string{"a1", "a2"})
		var shards []string
		for _, ho := range early.Record().Holdings {
			shards = append(shards, ho.Shard)
		}
		c.Check(shards, qt.DeepEquals, []string{"a", "b", "a1", "a2"})
	})
}

// Health and load are as old as LoadLag, and false with Lie.
func TestReportedLoadIsDelayedOrFalse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ri := newRig(t, Config{LoadLag: 500 * time.Millisecond, Latency: Latency{Median: 900 * time.Millisecond}})
		synctest.Wait()
		done := make(chan string)
		go func() { done <- ri.do(time.Minute, request("")) }()
		time.Sleep(400 * time.Millisecond)
		c.Check(ri.reported().load.Running, qt.Equals, 0)
		time.Sleep(200 * time.Millisecond)
		c.Check(ri.reported().load.Running, qt.Equals, 1)
		ri.SetFaults(Faults{Lie: true})
		c.Check(ri.reported().load.Running, qt.Equals, 0)
		<-done
	})
}

func TestServiceTimeFallsDuringColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ri := newRig(t, Config{ColdFor: 10 * time.Second, ColdFactor: 5})
		c.Check(ri.Record().State, qt.Equals, backend.Cold)
		c.Check(ri.coldFactor(), qt.Equals, 5.0)
		time.Sleep(5 * time.Second)
		c.Check(ri.coldFactor(), qt.Equals, 3.0)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		c.Check(ri.Record().State, qt.Equals, backend.Serving)
		c.Check(ri.coldFactor(), qt.Equals, 1.0)
	})
}

// announcements records what instances have received from a Leaf.
type announcements struct {
	ch chan string
}

func (an *announcements) instance(name string, reply backend.AnnounceReply) http.Handler {
	return backend.NewAnnounceHandler(func(re backend.Record) backend.AnnounceReply {
		an.ch <- fmt.Sprintf("%s %s %d", name, re.State, len(re.Holdings))
		return reply
	}, zap.NewNop())
}

// A planned stop must not interrupt requests: instances receive Draining before the Leaf
// rejects requests, accepted requests finish, and Left is announced last.
func TestShutdownAnnouncesDrainingAndFinishesRequests(t *testing.T) {
	c := qt.New(t)
	an := &announcements{ch: make(chan string, 100)}
	second := httptest.NewServer(an.instance("second", backend.AnnounceReply{RepeatMillis: time.Hour.Milliseconds()}))
	defer second.Close()
	address := strings.TrimPrefix(second.URL, "http://")
	first := httptest.NewServer(an.instance("first", backend.AnnounceReply{Instances: []string{address}, RepeatMillis: time.Hour.Milliseconds()}))
	defer first.Close()
	le, err := New(Config{
		Server: "sv", Service: "s", Shards: []string{"a"}, Address: "127.0.0.1:0", Latency: Latency{Median: time.Hour},
		Announce: []string{"127.0.0.1:1", strings.TrimPrefix(first.URL, "http://")},
	}, timer.New(), zap.NewNop())
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- le.Serve(ctx) }()
	c.Check(<-an.ch, qt.Equals, "first Serving 1")
	le.Publish(0)
	c.Check(<-an.ch, qt.Equals, "second Serving 2")
	cl := backend.NewClient(timer.New(), zap.NewNop(), backend.ClientConfig{})
	ta := backend.Target{Server: "sv", Address: le.Address(), MaxConnections: 2}
	code := make(chan backend.ReplyCode, 1)
	go func() {
		re, _ := cl.Do(context.Background(), ta, request("r1"))
		code <- re.Code
	}()
	for le.Counts().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	c.Check(<-an.ch, qt.Equals, "second Draining 2")
	re, err := cl.Do(context.Background(), ta, request("r2"))
	c.Assert(err, qt.IsNil)
	c.Check(re.Code, qt.Equals, backend.ReplyDraining)
	_, err = cl.Cancel(context.Background(), ta, "r1")
	c.Assert(err, qt.IsNil)
	c.Check(<-code, qt.Equals, backend.ReplyCancelled)
	c.Check(<-an.ch, qt.Equals, "second Left 2")
	c.Check(<-served, qt.IsNil)
}

func TestControlEndpointChecksAndAppliesChanges(t *testing.T) {
	c := qt.New(t)
	le, err := New(Config{Server: "sv", Shards: []string{"a"}, Address: "127.0.0.1:0"}, timer.New(), zap.NewNop())
	c.Assert(err, qt.IsNil)
	defer le.Close()
	for _, tc := range []struct{ path, body, want string }{
		{FaultsPath, `{"Shed":2}`, "Shed: want a share from 0 to 1, got 2"},
		{FaultsPath, `{"Shef":1}`, `unknown field "Shef"`},
		{FaultsPath, `{"Crossed":0.5,"Lie":true}`, `"Crossed":0.5`},
		{VersionsPath, `{}`, `"Version":2`},
		{PartitionsPath, `{"Partition":0}`, "Partition: want a number from 1, got 0"},
		{PartitionsPath, `{"Partition":2,"Shards":["x"]}`, `{"Shard":"x","Snapshot":{"Partition":2,"Version":2}}`},
		{DrainPath, ``, `"State":"Draining"`},
	} {
		rw := httptest.NewRecorder()
		le.controlHandler().ServeHTTP(rw, httptest.NewRequest(http.MethodPost, tc.path, strings.NewReader(tc.body)))
		c.Check(rw.Body.String(), qt.Contains, tc.want)
	}
	rw := httptest.NewRecorder()
	le.queryHandler().ServeHTTP(rw, httptest.NewRequest(http.MethodGet, backend.HealthPath, nil))
	c.Check(rw.Body.String(), qt.Equals, `{"Server":"sv","State":"Serving"}`) // false: the Leaf is draining, but Lie is set
}

func TestParseConfigReportsAllFaults(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("testdata/*.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.Not(qt.HasLen), 0)
	for _, fi := range files {
		data, err := os.ReadFile(fi)
		c.Assert(err, qt.IsNil)
		_, fs := ParseConfig(filepath.Base(fi), data)
		got := []byte(fs.Error() + "\n")
		golden := strings.TrimSuffix(fi, ".yaml") + ".golden"
		if *update {
			c.Assert(os.WriteFile(golden, got, 0o644), qt.IsNil)
		}
		want, err := os.ReadFile(golden)
		c.Assert(err, qt.IsNil)
		c.Check(string(got), qt.Equals, string(bytes.TrimSpace(want))+"\n")
	}
}
