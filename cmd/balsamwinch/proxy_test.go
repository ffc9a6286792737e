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

// proxy forwards UDP packets to one instance, and drops those from and to the
// instances that it is told to cut off.
type proxy struct {
	front *net.UDPConn
	to    *net.UDPAddr
	mu    sync.Mutex
	back  map[string]*net.UDPConn // back has one socket for each sender.
	cut   map[string]bool
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
	px := &proxy{front: front, to: ta, back: make(map[string]*net.UDPConn), cut: make(map[string]bool)}
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
		if uc := px.backOf(from); uc != nil {
			_, _ = uc.Write(buf[:count])
		}
	}
}

// backOf returns the socket for a sender, or nil if the sender is cut off.
func (px *proxy) backOf(from *net.UDPAddr) *net.UDPConn {
	px.mu.Lock()
	defer px.mu.Unlock()
	if px.cut[from.String()] {
		return nil
	}
	if uc, ok := px.back[from.String()]; ok {
		return uc
	}
	uc, err := net.DialUDP("udp", nil, px.to)
	if err != nil {
		return nil
	}
	px.back[from.String()] = uc
	go px.backward(uc, from)
	return uc
}

func (px *proxy) backward(uc *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 65536)
	for {
		count, err := uc.Read(buf)
		if err != nil && count == 0 {
			if _, ok := err.(net.Error); ok && px.gone(uc) {
				return
			}
			continue
		}
		px.mu.Lock()
		cut := px.cut[to.String()]
		px.mu.Unlock()
		if !cut {
			_, _ = px.front.WriteToUDP(buf[:count], to)
		}
	}
}

// gone reports whether the socket was closed; a refused packet is not the end.
func (px *proxy) gone(uc *net.UDPConn) bool {
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

func (px *proxy) setCut(sender string, cut bool) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.cut[sender] = cut
}

func (px *proxy) heal() {
	px.mu.Lock()
	defer px.mu.Unlock()
	clear(px.cut)
}

func (px *proxy) close() {
	px.front.Close()
	px.mu.Lock()
	defer px.mu.Unlock()
	for _, uc := range px.back {
		uc.Close()
	}
}
