package main

import (
	"net"
	"os"
	"sync"
	"syscall"
)

var signals = map[string]os.Signal{
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
}

// proxy forwards UDP packets to one instance. It drops packets from and to blocked senders.
type proxy struct {
	front   *net.UDPConn
	target  *net.UDPAddr
	mu      sync.Mutex
	conns   map[string]*net.UDPConn // one socket for each sender
	blocked map[string]bool
}

func newProxy(to string) (*proxy, error) {
	ta, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP("127.0.0.1")})
	if err != nil {
		return nil, err
	}
	px := &proxy{front: front, target: ta, conns: make(map[string]*net.UDPConn), blocked: make(map[string]bool)}
	go px.forward()
	return px, nil
}

func (px *proxy) address() string {
	return px.front.LocalAddr().String()
}

func (px *proxy) forward() {
	buf := make([]byte, 65536)
	for {
		count, from, err := px.front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if uc := px.senderConn(from); uc != nil {
			_, _ = uc.Write(buf[:count])
		}
	}
}

// senderConn returns the socket for a sender, or nil if the sender is blocked.
func (px *proxy) senderConn(from *net.UDPAddr) *net.UDPConn {
	px.mu.Lock()
	defer px.mu.Unlock()
	if px.blocked[from.String()] {
		return nil
	}
	if uc, ok := px.conns[from.String()]; ok {
		return uc
	}
	uc, err := net.DialUDP("udp", nil, px.target)
	if err != nil {
		return nil
	}
	px.conns[from.String()] = uc
	go px.forwardReplies(uc, from)
	return uc
}

func (px *proxy) forwardReplies(uc *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 65536)
	for {
		count, err := uc.Read(buf)
		if err != nil && count == 0 {
			if _, ok := err.(net.Error); ok && px.isClosed(uc) {
				return
			}
			continue
		}
		px.mu.Lock()
		blocked := px.blocked[to.String()]
		px.mu.Unlock()
		if !blocked {
			_, _ = px.front.WriteToUDP(buf[:count], to)
		}
	}
}

// isClosed reports whether the socket was closed. A refused packet doesn't count.
func (px *proxy) isClosed(uc *net.UDPConn) bool {
	_, err := uc.Write(nil)
	return err != nil && !isRefused(err)
}

func isRefused(err error) bool {
	op, ok := err.(*net.OpError)
	if !ok {
		return false
	}
	se, ok := op.Err.(*os.SyscallError)
	return ok && se.Err == syscall.ECONNREFUSED
}

func (px *proxy) setBlocked(sender string, blocked bool) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.blocked[sender] = blocked
}

func (px *proxy) unblockAll() {
	px.mu.Lock()
	defer px.mu.Unlock()
	clear(px.blocked)
}

func (px *proxy) close() {
	px.front.Close()
	px.mu.Lock()
	defer px.mu.Unlock()
	for _, uc := range px.conns {
		uc.Close()
	}
}
