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

// payload is as large as the encoded entry of a backend server.
var payload = note{strings.Repeat("x", 130)}

// startPeer starts a peer on a free port of the loopback interface.
func startPeer(b *testing.B, au *keys.Authority, name string, ha Handler) *Peer {
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

// pair returns two peers, of which the first is connected to the second.
func pair(b *testing.B, ha Handler) (pa, pb *Peer) {
	au, err := keys.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	pa, pb = startPeer(b, au, "a", ha), startPeer(b, au, "b", ha)
	if _, err := pa.Call(bg, "b", pb.Address(), payload); err != nil {
		b.Fatal(err)
	}
	return pa, pb
}

func echo(_ context.Context, _ string, ms Message) (Message, error) { return ms, nil }

// processorTime returns the CPU time that the process has used.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		panic(err)
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// udpTraffic returns the bytes and the number of UDP packets that a peer's connections have
// sent and received.
func udpTraffic(pe *Peer) (bytes, packets uint64) {
	for _, qc := range pe.connections() {
		st := qc.ConnectionStats()
		bytes += st.BytesSent + st.BytesReceived
		packets += st.PacketsSent + st.PacketsReceived
	}
	return bytes, packets
}

// report reports the cost of n messages at both ends together, given the readings at the
// start.
func report(b *testing.B, pe *Peer, n int, start time.Duration, bytes, packets uint64) {
	cpu := processorTime() - start
	by, pk := udpTraffic(pe)
	b.ReportMetric(float64(cpu.Nanoseconds())/1e3/float64(n), "cpu-µs/message")
	b.ReportMetric(float64(by-bytes)/float64(n), "UDP-B/message")
	b.ReportMetric(float64(pk-packets)/float64(n), "packets/message")
}

// BenchmarkCall measures the latency of a Call of 130 bytes each way over an open connection,
// and its cost at both ends.
func BenchmarkCall(b *testing.B) {
	pa, pb := pair(b, echo)
	bytes, packets := udpTraffic(pa)
	start := processorTime()
	for b.Loop() {
		if _, err := pa.Call(bg, "b", pb.Address(), payload); err != nil {
			b.Fatal(err)
		}
	}
	report(b, pa, b.N, start, bytes, packets)
}

// BenchmarkSend measures the cost at both ends of a one-way message of 130 bytes, sent alone
// and with many queued at once.
func BenchmarkSend(b *testing.B) {
	for _, batch := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("queued=%d", batch), func(b *testing.B) {
			got := make(chan struct{}, batch)
			pa, pb := pair(b, func(context.Context, string, Message) (Message, error) {
				got <- struct{}{}
				return nil, nil
			})
			<-got
			bytes, packets := udpTraffic(pa)
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

// BenchmarkDial measures the cost at both ends of a new connection and the first Call over it.
func BenchmarkDial(b *testing.B) {
	pa, pb := pair(b, echo)
	lk := pa.acquireLink(target{"b", pb.Address()})
	start := processorTime()
	for b.Loop() {
		lk.retire(lk.cn)
		if _, err := pa.Call(bg, "b", pb.Address(), payload); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime()-start).Microseconds())/float64(b.N), "cpu-µs/connection")
}

// BenchmarkConnectionMemory measures the memory that both ends of an idle connection use
// together.
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
