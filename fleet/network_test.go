package fleet

import (
	"encoding/binary"
	"io"
	"net"
	"sync"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/peer"
)

// network carries the links between instances and holds back data between isolated ones, as
// a network does.
type network struct {
	codec *peer.Codec

	mu          sync.Mutex
	cond        *sync.Cond
	partitioned map[[2]string]bool
	closers     []io.Closer
	closed      bool
}

func newNetwork(codec *peer.Codec) *network {
	ne := &network{codec: codec, partitioned: make(map[[2]string]bool)}
	ne.cond = sync.NewCond(&ne.mu)
	return ne
}

// track registers what close closes. It reports false after close.
func (ne *network) track(cl io.Closer) bool {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.closed {
		_ = cl.Close()
		return false
	}
	ne.closers = append(ne.closers, cl)
	return true
}

func (ne *network) close() {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.closed = true
	ne.cond.Broadcast()
	for _, cl := range ne.closers {
		_ = cl.Close()
	}
}

// isolate cuts an instance off from the others.
func (ne *network) isolate(in *instance, others []*instance) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	for _, ot := range others {
		if ot != in {
			ne.partitioned[[2]string{in.name, ot.name}] = true
			ne.partitioned[[2]string{ot.name, in.name}] = true
		}
	}
}

func (ne *network) heal() {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	clear(ne.partitioned)
	ne.cond.Broadcast()
}

// awaitReachable waits until two instances are not isolated from each other. It reports
// false after close.
func (ne *network) awaitReachable(from, to string) bool {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	for ne.partitioned[[2]string{from, to}] && !ne.closed {
		ne.cond.Wait()
	}
	return !ne.closed
}

// listen returns an address whose connections are proxied to an instance, wherever its
// current process listens.
func (ne *network) listen(in *instance) string {
	li, err := net.Listen("tcp4", "127.0.0.1:0")
	in.gr.c.Assert(err, qt.IsNil)
	ne.track(li)
	go func() {
		for {
			nc, err := li.Accept()
			if err != nil {
				return
			}
			go ne.proxy(nc, in)
		}
	}()
	return li.Addr().String()
}

// proxy connects a connection to an instance's process. The Join at its start names the
// dialling instance.
func (ne *network) proxy(nc net.Conn, in *instance) {
	defer nc.Close()
	if !ne.track(nc) {
		return
	}
	firstFrame, from, ok := ne.readFirstFrame(nc)
	if !ok || !ne.awaitReachable(from, in.name) {
		return
	}
	at := in.currentListenAddress()
	if at == "" {
		return
	}
	out, err := net.Dial("tcp4", at)
	if err != nil {
		return
	}
	defer out.Close()
	if !ne.track(out) {
		return
	}
	if _, err := out.Write(firstFrame); err != nil {
		return
	}
	go ne.copy(nc, out, in.name, from)
	ne.copy(out, nc, from, in.name)
}

// readFirstFrame reads the first frame of a connection.
func (ne *network) readFirstFrame(nc net.Conn) (frame []byte, from string, ok bool) {
	frame = make([]byte, 4)
	if _, err := io.ReadFull(nc, frame); err != nil {
		return nil, "", false
	}
	frame = append(frame, make([]byte, binary.BigEndian.Uint32(frame))...)
	if _, err := io.ReadFull(nc, frame[4:]); err != nil {
		return nil, "", false
	}
	ms, err := ne.codec.Decode(frame[4:])
	if err != nil {
		return nil, "", false
	}
	jo, ok := ms.(Join)
	return frame, jo.Report.Name, ok
}

func (ne *network) copy(to, from net.Conn, sender, receiver string) {
	defer to.Close()
	defer from.Close()
	data := make([]byte, 64<<10)
	for {
		count, err := from.Read(data)
		if err != nil || !ne.awaitReachable(sender, receiver) {
			return
		}
		if _, err := to.Write(data[:count]); err != nil {
			return
		}
	}
}
