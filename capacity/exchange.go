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
	// packetHeaders is the size of the IP and UDP headers of a packet in bytes.
	packetHeaders = 28
	leaderName    = "leader"
)

// relay forwards packets between one instance and the leader and counts them.
type relay struct {
	front, back    net.PacketConn
	client         atomic.Pointer[net.UDPAddr]
	packets, bytes atomic.Int64
}

func newRelay(leader string) (*relay, error) {
	leaderAddress, err := net.ResolveUDPAddr("udp", leader)
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
	go re.forward(front, back, func(from net.Addr) net.Addr {
		re.client.Store(from.(*net.UDPAddr))
		return leaderAddress
	})
	go re.forward(back, front, func(net.Addr) net.Addr { return re.client.Load() })
	return re, nil
}

func (re *relay) forward(from, to net.PacketConn, target func(net.Addr) net.Addr) {
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

// renewalCluster is a leader and the peers that renew their leases with it over real
// connections.
type renewalCluster struct {
	au     *keys.Authority
	co     *peer.Codec
	ts     *timer.Service
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	leader *peer.Peer

	mu     sync.Mutex
	leases control.LeaseTable
}

func newRenewalCluster(holders int) (*renewalCluster, error) {
	au, err := keys.NewAuthority()
	if err != nil {
		return nil, err
	}
	rc := &renewalCluster{au: au, co: peer.NewCodec(control.Messages()), ts: timer.New(), leases: leaseTableOf(holders)}
	rc.ctx, rc.cancel = context.WithCancel(context.Background())
	grant := func(_ context.Context, _ string, ms peer.Message) (peer.Message, error) {
		rc.mu.Lock()
		defer rc.mu.Unlock()
		lt, gr := grantOf(rc.leases, startTime, ms.(control.Renewal), holders)
		rc.leases = lt
		return gr, nil
	}
	rc.leader, err = rc.join(leaderName, grant)
	if err != nil {
		return nil, errors.Join(err, rc.close())
	}
	return rc, nil
}

func (rc *renewalCluster) join(name string, ha peer.Handler) (*peer.Peer, error) {
	pr, err := rc.au.Issue(keys.Subject{Name: name, IPs: []net.IP{net.ParseIP(loopback)}})
	if err != nil {
		return nil, err
	}
	tl, err := rc.au.Config(pr)
	if err != nil {
		return nil, err
	}
	pe, err := peer.New(peer.Config{Self: name, Address: loopback + ":0", TLS: tl}, rc.co, ha, rc.ts, zap.NewNop())
	if err != nil {
		return nil, err
	}
	rc.wg.Go(func() { _ = pe.Serve(rc.ctx) })
	return pe, nil
}

func (rc *renewalCluster) close() error {
	rc.cancel()
	rc.wg.Wait()
	return nil
}

func noReply(context.Context, string, peer.Message) (peer.Message, error) { return nil, nil }

func renewalOf(ix, holders int) control.Renewal {
	return control.Renewal{Instance: instanceOf(ix), InForce: 1, Leased: true, Entries: holders}
}

// renewAll renews the lease of every peer once, one after the other.
func (rc *renewalCluster) renewAll(ctx context.Context, pes []*peer.Peer, address string) error {
	for ix, pe := range pes {
		if _, err := pe.Call(ctx, leaderName, address, renewalOf(ix, len(pes))); err != nil {
			return err
		}
	}
	return nil
}

// exchanges measures lease renewals over real connections.
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
		Take: takeExchanges,
	}
}

func takeExchanges(ctx context.Context, tr Trial) (vas []float64, err error) {
	const targetCalls = 2000 // approximate number of renewals that are averaged
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	rc, err := newRenewalCluster(tr.Size)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, rc.close()) }()
	var pes []*peer.Peer
	for ix := range tr.Size {
		pe, err := rc.join(instanceOf(ix).Name, noReply)
		if err != nil {
			return nil, err
		}
		pes = append(pes, pe)
	}
	empty := liveBytes()
	first := cpuMicrosPerRun(1, func(int) { err = rc.renewAll(ctx, pes, rc.leader.Address()) })
	if err != nil {
		return nil, err
	}
	connection := liveBytes() - empty
	rounds := max(2, targetCalls/tr.Size)
	renewal := cpuMicrosPerRun(rounds, func(int) {
		if er := rc.renewAll(ctx, pes, rc.leader.Address()); er != nil {
			err = er
		}
	})
	if err != nil {
		return nil, err
	}
	traffic, err := rc.measureTraffic(ctx, pes[0], tr.Size)
	if err != nil {
		return nil, err
	}
	each := float64(tr.Size)
	return append([]float64{connection / each, first / each, renewal / each}, traffic...), nil
}

// measureTraffic returns the bytes and packets of a renewal on an established connection, and
// the additional bytes of the first renewal.
func (rc *renewalCluster) measureTraffic(ctx context.Context, pe *peer.Peer, holders int) ([]float64, error) {
	const calls = 50
	re, err := newRelay(rc.leader.Address())
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
	// Packets that confirm the handshake may still be in transit after the first renewal, but
	// not after the second.
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
