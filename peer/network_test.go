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

// note is the message of these tests.
type note struct{ Text string }

func (note) Kind() Kind { return KindMember + 1 }

// network carries packets between peers under the clock of a synctest bubble.
type network struct {
	c  *qt.C
	au *keys.Authority

	mu    sync.Mutex
	nodes map[string]simnet.PacketReceiver
	seen  map[string]bool // seen are the connection IDs of packets after the handshake.
	lost  map[string]bool // lost are the connection IDs that the network lost track of.
}

func run(t *testing.T, fn func(c *qt.C, nw *network)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		au, err := keys.NewAuthority()
		c.Assert(err, qt.IsNil)
		fn(c, &network{
			c: c, au: au, nodes: make(map[string]simnet.PacketReceiver),
			seen: make(map[string]bool), lost: make(map[string]bool),
		})
	})
}

func (nw *network) AddNode(addr net.Addr, pr simnet.PacketReceiver) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.nodes[addr.String()] = pr
}

// SendPacket delivers a packet unless its connection is lost. The first bit of
// a packet is unset after the handshake; the next four bytes are then the ID.
func (nw *network) SendPacket(pk simnet.Packet) error {
	nw.mu.Lock()
	pr := nw.nodes[pk.To.String()]
	if pk.Data[0]&0x80 == 0 {
		id := string(pk.Data[1:5])
		nw.seen[id] = true
		if nw.lost[id] {
			pr = nil
		}
	}
	nw.mu.Unlock()
	if pr != nil {
		pr.RecvPacket(pk)
	}
	return nil
}

// loseConnections makes the network drop what belongs to connections of today.
func (nw *network) loseConnections() {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for id := range nw.seen {
		nw.lost[id] = true
	}
}

// host is a peer in a network.
type host struct {
	*Peer
	nw     *network
	logs   *observer.ObservedLogs
	stop   func()
	killed bool
}

// start makes a peer with a key of the authority; a nil handler echoes.
func (nw *network) start(au *keys.Authority, name, address string, ha Handler) *host {
	ap, err := net.ResolveUDPAddr("udp", address)
	nw.c.Assert(err, qt.IsNil)
	pa, err := au.Issue(keys.Subject{Name: name, IPs: []net.IP{ap.IP}})
	nw.c.Assert(err, qt.IsNil)
	return nw.startWith(au, pa, name, address, ha)
}

func (nw *network) startWith(au *keys.Authority, pa keys.Pair, name, address string, ha Handler) *host {
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
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- pe.Serve(ctx) }()
	ho := &host{Peer: pe, nw: nw, logs: logs}
	ho.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; !ho.killed {
			nw.c.Assert(err, qt.ErrorIs, context.Canceled)
		}
	})
	nw.c.Cleanup(ho.stop)
	return ho
}

// kill ends a peer without a word to the others, as kill -9 does.
func (ho *host) kill() {
	ho.nw.mu.Lock()
	delete(ho.nw.nodes, ho.Address())
	ho.nw.mu.Unlock()
	ho.killed = true
	ho.pc.Close()
	ho.stop()
}

// lines returns the logged lines with their fields' names and errors.
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
