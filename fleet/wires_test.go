package fleet

import (
	"encoding/binary"
	"io"
	"net"
	"sync"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/peer"
)

// wires carry the links between instances, and hold up what is sent between two
// that are cut off from each other, as a network does.
type wires struct {
	codec *peer.Codec

	mu   sync.Mutex
	cond *sync.Cond
	cut  map[[2]string]bool
	ends []io.Closer
	done bool
}

func newWires(codec *peer.Codec) *wires {
	wi := &wires{codec: codec, cut: make(map[[2]string]bool)}
	wi.cond = sync.NewCond(&wi.mu)
	return wi
}

// keep notes what close closes. It reports false after close.
func (wi *wires) keep(cl io.Closer) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	if wi.done {
		_ = cl.Close()
		return false
	}
	wi.ends = append(wi.ends, cl)
	return true
}

func (wi *wires) close() {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.done = true
	wi.cond.Broadcast()
	for _, cl := range wi.ends {
		_ = cl.Close()
	}
}

// isolate cuts one instance off from the others.
func (wi *wires) isolate(in *instance, others []*instance) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	for _, ot := range others {
		if ot != in {
			wi.cut[[2]string{in.name, ot.name}] = true
			wi.cut[[2]string{ot.name, in.name}] = true
		}
	}
}

func (wi *wires) heal() {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	clear(wi.cut)
	wi.cond.Broadcast()
}

// pass waits until two instances are not cut off from each other.
func (wi *wires) pass(from, to string) bool {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	for wi.cut[[2]string{from, to}] && !wi.done {
		wi.cond.Wait()
	}
	return !wi.done
}

// open returns an address whose connections go to an instance, wherever its
// process listens at the time.
func (wi *wires) open(in *instance) string {
	li, err := net.Listen("tcp4", "127.0.0.1:0")
	in.gr.c.Assert(err, qt.IsNil)
	wi.keep(li)
	go func() {
		for {
			nc, err := li.Accept()
			if err != nil {
				return
			}
			go wi.carry(nc, in)
		}
	}()
	return li.Addr().String()
}

// carry joins a connection with the process of an instance. The Join that begins
// it says whose it is.
func (wi *wires) carry(nc net.Conn, in *instance) {
	defer nc.Close()
	if !wi.keep(nc) {
		return
	}
	begin, from, ok := wi.begin(nc)
	if !ok || !wi.pass(from, in.name) {
		return
	}
	at := in.listening()
	if at == "" {
		return
	}
	out, err := net.Dial("tcp4", at)
	if err != nil {
		return
	}
	defer out.Close()
	if !wi.keep(out) {
		return
	}
	if _, err := out.Write(begin); err != nil {
		return
	}
	go wi.copy(nc, out, in.name, from)
	wi.copy(out, nc, from, in.name)
}

// begin reads the first frame of a connection.
func (wi *wires) begin(nc net.Conn) (frame []byte, from string, ok bool) {
	frame = make([]byte, 4)
	if _, err := io.ReadFull(nc, frame); err != nil {
		return nil, "", false
	}
	frame = append(frame, make([]byte, binary.BigEndian.Uint32(frame))...)
	if _, err := io.ReadFull(nc, frame[4:]); err != nil {
		return nil, "", false
	}
	ms, err := wi.codec.Decode(frame[4:])
	if err != nil {
		return nil, "", false
	}
	jo, ok := ms.(Join)
	return frame, jo.Report.Name, ok
}

func (wi *wires) copy(to, from net.Conn, sender, receiver string) {
	defer to.Close()
	defer from.Close()
	data := make([]byte, 64<<10)
	for {
		count, err := from.Read(data)
		if err != nil || !wi.pass(sender, receiver) {
			return
		}
		if _, err := to.Write(data[:count]); err != nil {
			return
		}
	}
}
