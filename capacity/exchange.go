package capacity

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/control"
	"balsamwinch.example/keys"
	"balsamwinch.example/peer"
	"balsamwinch.example/timer"
)

const (
	loopback = "127.0.0.1"
	// packetHeaders are the bytes of the IP and UDP headers of a packet.
	packetHeaders = 28
	leaderName    = "leader"
)

// relay passes packets between one instance and the leader and counts them.
type relay struct {
	front, back    net.PacketConn
	client         atomic.Pointer[net.UDPAddr]
	packets, bytes atomic.Int64
}

func newRelay(leader string) (*relay, error) {
	to, err := net.ResolveUDPAddr("udp", leader)
	if err != nil {
		return nil, err
	}
	front, err := net.ListenPacket("udp", loopback+":0")
	if err != nil {
		return nil, err
	}
	back, err := net.ListenPacket("udp", loopback+":0")
	if err != nil {
		return nil, errors.Join(err, front.Close())
	}
	re := &relay{front: front, back: back}
	go re.pass(front, back, func(from net.Addr) net.Addr {
		re.client.Store(from.(*net.UDPAddr))
		return to
	})
	go re.pass(back, front, func(net.Addr) net.Addr { return re.client.Load() })
	return re, nil
}

func (re *relay) pass(from, to net.PacketConn, target func(net.Addr) net.Addr) {
	buf := make([]byte, 1<<16)
	for {
		le, ad, err := from.ReadFrom(buf)
		if err != nil {
			return
		}
		re.packets.Add(1)
		re.bytes.Add(int64(le + packetHeaders))
		if _, err := to.WriteTo(buf[:le], target(ad)); err != nil {
			return
		}
	}
}

func (re *relay) close() {
	re.front.Close()
	re.back.Close()
}

// party is a leader and the stand-ins that renew their leases with it over real
// connections.
type party struct {
	au     *keys.Authority
	co     *peer.Codec
	ts     *timer.Service
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	leader *peer.Peer

	mu sync.Mutex
	bo control.LeaseTable
}

func newParty(holders int) (*party, error) {
	au, err := keys.NewAuthority()
	if err != nil {
		return nil, err
	}
	pa := &party{au: au, co: peer.NewCodec(control.Messages()), ts: timer.New(), bo: bookOf(holders)}
	pa.ctx, pa.cancel = context.WithCancel(context.Background())
	grant := func(_ context.Context, _ string, ms peer.Message) (peer.Message, error) {
		pa.mu.Lock()
		defer pa.mu.Unlock()
		bo, gr := grantOf(pa.bo, began, ms.(control.Renewal), holders)
		pa.bo = bo
		return gr, nil
	}
	pa.leader, err = pa.join(leaderName, grant)
	if err != nil {
		return nil, errors.Join(err, pa.close())
	}
	return pa, nil
}

func (pa *party) join(name string, ha peer.Handler) (*peer.Peer, error) {
	pr, err := pa.au.Issue(keys.Subject{Name: name, IPs: []net.IP{net.ParseIP(loopback)}})
	if err != nil {
		return nil, err
	}
	tl, err := pa.au.Config(pr)
	if err != nil {
		return nil, err
	}
	pe, err := peer.New(peer.Config{Self: name, Address: loopback + ":0", TLS: tl}, pa.co, ha, pa.ts, zap.NewNop())
	if err != nil {
		return nil, err
	}
	pa.wg.Go(func() { _ = pe.Serve(pa.ctx) })
	return pe, nil
}

func (pa *party) close() error {
	pa.cancel()
	pa.wg.Wait()
	return nil
}

func refuse(context.Context, string, peer.Message) (peer.Message, error) { return nil, nil }

func renewalOf(ix, holders int) control.Renewal {
	return control.Renewal{Instance: instanceOf(ix), InForce: 1, Leased: true, Entries: holders}
}

// round lets every stand-in renew once, one after the other.
func (pa *party) round(ctx context.Context, pes []*peer.Peer, address string) error {
	for ix, pe := range pes {
		if _, err := pe.Call(ctx, leaderName, address, renewalOf(ix, len(pes))); err != nil {
			return err
		}
	}
	return nil
}

// exchanges measures renewals over real connections between instances.
func exchanges() Measurement {
	return Measurement{
		Name: "leader/exchanges", SizeUnit: "instances", Sizes: []int{9, 30, 100}, Quick: []int{3, 9, 30}, Target: TargetInstances,
		Columns: []Column{
			{"leader", "connection to an instance, both ends", "bytes held for each", Constant},
			{"leader", "first renewal of an instance, both ends", "processor µs", Linear},
			{"leader", "a renewal over a connection, both ends", "processor µs", Linear},
			{"leader", "a renewal on the wire, both ways", "bytes", Linear},
			{"leader", "a renewal on the wire, both ways", "packets", Linear},
			{"entry", "first renewal of an instance on the wire, both ways", "bytes", Linear},
		},
		Sample: takeExchanges,
	}
}

func takeExchanges(ctx context.Context, tr Trial) (vas []float64, err error) {
	const callsEach = 2000 // callsEach is about how many renewals are averaged.
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	pa, err := newParty(tr.Size)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, pa.close()) }()
	var pes []*peer.Peer
	for ix := range tr.Size {
		pe, err := pa.join(instanceOf(ix).Name, refuse)
		if err != nil {
			return nil, err
		}
		pes = append(pes, pe)
	}
	empty := held()
	first := spent(1, func(int) { err = pa.round(ctx, pes, pa.leader.Address()) })
	if err != nil {
		return nil, err
	}
	connection := held() - empty
	rounds := max(2, callsEach/tr.Size)
	renewal := spent(rounds, func(int) {
		if er := pa.round(ctx, pes, pa.leader.Address()); er != nil {
			err = er
		}
	})
	if err != nil {
		return nil, err
	}
	wire, err := pa.wire(ctx, pes[0], tr.Size)
	if err != nil {
		return nil, err
	}
	each := float64(tr.Size)
	return append([]float64{connection / each, first / each, renewal / each}, wire...), nil
}

// wire counts what goes over the wire for a renewal once the connection is made,
// and for the first one.
func (pa *party) wire(ctx context.Context, pe *peer.Peer, holders int) ([]float64, error) {
	const calls = 50
	re, err := newRelay(pa.leader.Address())
	if err != nil {
		return nil, err
	}
	defer re.close()
	call := func() error {
		_, err := pe.Call(ctx, leaderName, re.front.LocalAddr().String(), renewalOf(0, holders))
		return err
	}
	if err := call(); err != nil {
		return nil, err
	}
	// What confirms the handshake may still be on its way; the second renewal
	// leaves it behind.
	if err := call(); err != nil {
		return nil, err
	}
	bytes, packets := re.bytes.Load(), re.packets.Load()
	for range calls {
		if err := call(); err != nil {
			return nil, err
		}
	}
	each := float64(re.bytes.Load()-bytes) / calls
	return []float64{each, float64(re.packets.Load()-packets) / calls, float64(bytes) - each}, nil
}
