package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go/testutils/simnet"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"balsamwinch.example/keys"
	"balsamwinch.example/timer"
)

// note is the test message.
type note struct{ Text string }

func (note) Kind() Kind { return KindMember + 1 }

// network carries packets between peers under the simulated clock of a synctest bubble.
type network struct {
	c  *qt.C
	au *keys.Authority

	mu         sync.Mutex
	nodes      map[string]simnet.PacketReceiver
	knownIDs   map[string]bool // connection IDs of packets after the handshake
	droppedIDs map[string]bool // connection IDs whose packets are dropped
}

func runNetwork(t *testing.T, fn func(c *qt.C, nw *network)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		au, err := keys.NewAuthority()
		c.Assert(err, qt.IsNil)
		fn(c, &network{
			c: c, au: au, nodes: make(map[string]simnet.PacketReceiver),
			knownIDs: make(map[string]bool), droppedIDs: make(map[string]bool),
		})
	})
}

func (nw *network) AddNode(addr net.Addr, pr simnet.PacketReceiver) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.nodes[addr.String()] = pr
}

// SendPacket delivers a packet unless its connection is dropped. The first bit of a packet is
// zero after the handshake; the next four bytes are then the connection ID.
func (nw *network) SendPacket(pk simnet.Packet) error {
	nw.mu.Lock()
	pr := nw.nodes[pk.To.String()]
	if pk.Data[0]&0x80 == 0 {
		id := string(pk.Data[1:5])
		nw.knownIDs[id] = true
		if nw.droppedIDs[id] {
			pr = nil
		}
	}
	nw.mu.Unlock()
	if pr != nil {
		pr.RecvPacket(pk)
	}
	return nil
}

// dropConnections makes the network drop the packets of all existing connections.
func (nw *network) dropConnections() {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for id := range nw.knownIDs {
		nw.droppedIDs[id] = true
	}
}

// host is a peer on a network.
type host struct {
	*Peer
	nw     *network
	logs   *observer.ObservedLogs
	stop   func()
	killed bool
}

// start starts a peer with a key of the authority; a nil handler echoes.
func (nw *network) start(au *keys.Authority, name, address string, ha Handler) *host {
	ap, err := net.ResolveUDPAddr("udp", address)
	nw.c.Assert(err, qt.IsNil)
	pa, err := au.Issue(keys.Subject{Name: name, IPs: []net.IP{ap.IP}})
	nw.c.Assert(err, qt.IsNil)
	return nw.startWith(au, pa, name, address, ha)
}

func (nw *network) startWith(au *keys.Authority, pa keys.Pair, name, address string, ha Handler) *host {
	ho := nw.listen(au, pa, name, address, ha)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- ho.Serve(ctx) }()
	ho.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; !ho.killed {
			nw.c.Assert(err, qt.ErrorIs, context.Canceled)
		}
	})
	nw.c.Cleanup(ho.stop)
	return ho
}

// listen returns a peer that accepts no connections; its caller must run Serve or close.
func (nw *network) listen(au *keys.Authority, pa keys.Pair, name, address string, ha Handler) *host {
	if ha == nil {
		ha = func(_ context.Context, _ string, ms Message) (Message, error) { return ms, nil }
	}
	ap, err := net.ResolveUDPAddr("udp", address)
	nw.c.Assert(err, qt.IsNil)
	tc, err := au.Config(pa)
	nw.c.Assert(err, qt.IsNil)
	core, logs := observer.New(zap.WarnLevel)
	pc := simnet.NewBlockingSimConn(ap, nw)
	pe, err := newPeer(Config{Self: name, TLS: tc}, NewCodec([]Message{note{}}), ha, timer.New(), zap.New(core), pc)
	nw.c.Assert(err, qt.IsNil)
	return &host{Peer: pe, nw: nw, logs: logs}
}

// kill ends a peer without notifying the others, as kill -9 does.
func (ho *host) kill() {
	ho.nw.mu.Lock()
	delete(ho.nw.nodes, ho.Address())
	ho.nw.mu.Unlock()
	ho.killed = true
	ho.pc.Close()
	ho.stop()
}

// lines returns the logged messages with the values of their peer, address, kind and error
// fields.
func (ho *host) lines() []string {
	var ls []string
	for _, en := range ho.logs.All() {
		ls = append(ls, en.Message+" "+fields(en.ContextMap()))
	}
	return ls
}

func fields(ma map[string]any) string {
	st := ""
	for _, key := range []string{"peer", "address", "kind", "error"} {
		if va, ok := ma[key].(string); ok {
			st += va + " "
		}
	}
	return st
}

func errorKind(c *qt.C, err error) ErrorKind {
	var er *Error
	c.Assert(errors.As(err, &er), qt.IsTrue, qt.Commentf("%v", err))
	return er.Kind
}
