package feed

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/link"
	"balsamwinch.example/outlier"
	"balsamwinch.example/peer"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/timer"
)

// channelObserver is an observer that passes notifications on to channels.
type channelObserver struct {
	versions chan uint64
	servers  chan map[string][]registry.Server
}

func (ey *channelObserver) ConfigurationChanged(version uint64, _ []byte) error {
	ey.versions <- version
	return nil
}

func (ey *channelObserver) ServersChanged(servers map[string][]registry.Server) {
	ey.servers <- servers
}

func (*channelObserver) EntriesChanged([]Entry) {}

func (*channelObserver) EvacuationsChanged(evacuation.Set) {}

func (*channelObserver) SharersChanged(int) {}

func (*channelObserver) OutliersFound([]outlier.Finding) {}

func (*channelObserver) SuspectsReceived(string, []quarantine.Record) []quarantine.Record { return nil }

// waitFor receives notifications until one satisfies done.
func waitFor[T any](c *qt.C, from <-chan T, done func(T) bool) {
	c.Helper()
	for {
		select {
		case va := <-from:
			if done(va) {
				return
			}
		case <-c.Context().Done():
			c.Fatal("the test was ended while it waited")
		}
	}
}

// Guards the whole path over TCP: three control instances, an entry instance that knows
// one of them, a configuration that takes many writes, and a link that is reset.
func TestOverTCP(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	ts := timer.New()
	cf := link.Config{
		Codec: peer.NewCodec(link.Messages(), Messages()), Timers: ts,
		DialTimeout: 5 * time.Second, PingInterval: time.Second, SilenceTimeout: 30 * time.Second,
	}
	var ms []Member
	var pus []*Publisher
	var conns sync.Map
	for ii := range 3 {
		li, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		pu := NewPublisher(PublisherConfig{Name: fmt.Sprint("control-", ii), SilenceTimeout: time.Minute}, ts, zap.NewNop())
		ms = append(ms, Member{Name: fmt.Sprint("control-", ii), Address: li.Addr().String()})
		pus = append(pus, pu)
		wg.Go(func() { _ = pu.Serve(ctx) })
		wg.Go(func() {
			_ = link.Serve(ctx, li, cf, func(ctx context.Context, co *link.Conn) {
				ms, err := co.Receive()
				if err != nil {
					return
				}
				conns.Store(co, pu)
				defer conns.Delete(co)
				pu.Handle(ctx, co, ms.(Subscribe))
			})
		})
	}
	for _, pu := range pus {
		pu.SetMembers(ms)
	}
	ey := &channelObserver{versions: make(chan uint64, 100), servers: make(chan map[string][]registry.Server, 100)}
	su := NewSubscriber(SubscriberConfig{
		Self: Entry{Name: "entry-1", State: Ready}, Seeds: func() []string { return []string{ms[0].Address} },
		Link: cf, RetentionTimeout: time.Minute,
	}, ts, zap.NewNop(), ey)
	wg.Go(func() { _ = su.Serve(ctx) })

	for ii, pu := range pus {
		pu.Announce(server(fmt.Sprint("a", ii), 1, registry.Ready), "")
	}
	waitFor(c, ey.servers, func(ses map[string][]registry.Server) bool { return len(ses["svc-a"]) == 3 })
	for _, pu := range pus {
		pu.SetConfiguration(3, make([]byte, 3<<20))
	}
	waitFor(c, ey.versions, func(version uint64) bool { return version == 3 })
	conns.Range(func(co, _ any) bool {
		co.(*link.Conn).Close()
		return true
	})
	pus[1].Announce(server("a1", 2, registry.Draining), "")
	waitFor(c, ey.servers, func(ses map[string][]registry.Server) bool {
		return len(ses["svc-a"]) == 3 && ses["svc-a"][1].State == registry.Draining
	})
	pus[2].SetConfiguration(4, []byte("four"))
	waitFor(c, ey.versions, func(version uint64) bool { return version == 4 })
}
