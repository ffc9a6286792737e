package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/keys"
	"balsamwinch.example/timer"
)

// payload is as long as the entry of a backend server on the wire.
var payload = note{strings.Repeat("x", 130)}

// listen returns a peer at a free port of the loopback interface.
func listen(b *testing.B, au *keys.Authority, name string, ha Handler) *Peer {
	pa, err := au.Issue(keys.Subject{Name: name, IPs: []net.IP{net.IPv4(127, 0, 0, 1)}})
	if err != nil {
		b.Fatal(err)
	}
	tc, err := au.Config(pa)
	if err != nil {
		b.Fatal(err)
	}
	cf := Config{Self: name, Address: "127.0.0.1:0", TLS: tc}
	pe, err := New(cf, NewCodec([]Message{note{}}), ha, timer.New(), zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(bg)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = pe.Serve(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return pe
}

// pair returns two peers with a connection from the first to the second.
func pair(b *testing.B, ha Handler) (pa, pb *Peer) {
	au, err := keys.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	pa, pb = listen(b, au, "a", ha), listen(b, au, "b", ha)
	if _, err := pa.Call(bg, "b", pb.Address(), payload); err != nil {
		b.Fatal(err)
	}
	return pa, pb
}

func echo(_ context.Context, _ string, ms Message) (Message, error) { return ms, nil }

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		panic(err)
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// wire returns the bytes in UDP packets and the packets of a peer's connections.
func wire(pe *Peer) (bytes, packets uint64) {
	for _, qc := range pe.connections() {
		st := qc.ConnectionStats()
		bytes += st.BytesSent + st.BytesReceived
		packets += st.PacketsSent + st.PacketsReceived
	}
	return bytes, packets
}

// report gives what n messages cost both ends together since the readings.
func report(b *testing.B, pe *Peer, n int, start time.Duration, bytes, packets uint64) {
	cpu := processorTime() - start
	by, pk := wire(pe)
	b.ReportMetric(float64(cpu.Nanoseconds())/1e3/float64(n), "cpu-µs/message")
	b.ReportMetric(float64(by-bytes)/float64(n), "UDP-B/message")
	b.ReportMetric(float64(pk-packets)/float64(n), "packets/message")
}

// BenchmarkCall gives the latency and the cost of both ends of a Call of 130
// bytes each way over a connection in use.
func BenchmarkCall(b *testing.B) {
	pa, pb := pair(b, echo)
	bytes, packets := wire(pa)
	start := processorTime()
	for b.Loop() {
		if _, err := pa.Call(bg, "b", pb.Address(), payload); err != nil {
			b.Fatal(err)
		}
	}
	report(b, pa, b.N, start, bytes, packets)
}

// BenchmarkSend gives the cost of both ends of a one-way message of 130 bytes,
// when each is alone and when many are queued at a time.
func BenchmarkSend(b *testing.B) {
	for _, batch := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("queued=%d", batch), func(b *testing.B) {
			got := make(chan struct{}, batch)
			pa, pb := pair(b, func(context.Context, string, Message) (Message, error) {
				got <- struct{}{}
				return nil, nil
			})
			<-got
			bytes, packets := wire(pa)
			start := processorTime()
			for b.Loop() {
				for range batch {
					pa.Send("b", pb.Address(), payload)
				}
				for range batch {
					<-got
				}
			}
			report(b, pa, b.N*batch, start, bytes, packets)
		})
	}
}

// BenchmarkDial gives the cost of both ends of a new connection and the first
// Call over it.
func BenchmarkDial(b *testing.B) {
	pa, pb := pair(b, echo)
	lk := pa.hold(target{"b", pb.Address()})
	start := processorTime()
	for b.Loop() {
		lk.retire(lk.cn)
		if _, err := pa.Call(bg, "b", pb.Address(), payload); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime()-start).Microseconds())/float64(b.N), "cpu-µs/connection")
}

// BenchmarkConnectionMemory gives the memory that both ends of a connection at
// rest hold together.
func BenchmarkConnectionMemory(b *testing.B) {
	pa, pb := pair(b, echo)
	heap := func() float64 {
		var ms runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&ms)
		return float64(ms.HeapAlloc + ms.StackInuse)
	}
	for _, connections := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				for range connections {
					lk := &link{pe: pa, ta: target{"b", pb.Address()}}
					if _, err := lk.exchange(bg, nil); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric((heap()-before)/float64(connections), "B/connection")
			}
		})
	}
}
