package feed

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/link"
	"balsamwinch.example/peer"
	"balsamwinch.example/registry"
	"balsamwinch.example/timer"
)

// newBenchPublisher returns a publisher with backend servers and with entry instances
// whose links discard everything sent.
func newBenchPublisher(b *testing.B, servers, entries int) (*Publisher, *link.Conn) {
	b.Helper()
	ts := timer.New()
	cf := link.Config{
		Codec: peer.NewCodec(link.Messages(), Messages()), Timers: ts,
		DialTimeout: time.Second, PingInterval: time.Hour, SilenceTimeout: time.Hour,
	}
	pu := NewPublisher(PublisherConfig{Name: "control-1", SilenceTimeout: time.Hour}, ts, zap.NewNop())
	for ii := range servers {
		pu.Announce(server(fmt.Sprintf("a%03d", ii), 1, registry.Ready), "")
	}
	var first *link.Conn
	for ii := range entries {
		controlEnd, entryEnd := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, entryEnd) }()
		co := link.New(controlEnd, cf)
		b.Cleanup(co.Close)
		pu.addSubscriber(co, Subscribe{Name: fmt.Sprintf("entry-%02d", ii), Address: "10.1.0.39:8226", State: Ready})
		if first == nil {
			first = co
		}
	}
	return pu, first
}

// BenchmarkSnapshot encodes the snapshot of a large system, which each control instance
// sends to each entry instance that connects.
func BenchmarkSnapshot(b *testing.B) {
	pu, co := newBenchPublisher(b, 450, 78)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		pu.mu.Lock()
		pa, err := co.Prepare(pu.snapshot(pu.ts.Now()))
		pu.mu.Unlock()
		if err != nil {
			b.Fatal(err)
		}
		size = pa.Size()
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkUpdate sends one change to 78 entry instances.
func BenchmarkUpdate(b *testing.B) {
	pu, _ := newBenchPublisher(b, 450, 78)
	b.ReportAllocs()
	sequence := uint64(1)
	for b.Loop() {
		sequence++
		se := server("a001", sequence, registry.Ready)
		se.WarmMillis = int64(sequence % 2)
		pu.Announce(se, "")
		pu.flush()
	}
}

// BenchmarkAnnounce records an announcement without a change.
func BenchmarkAnnounce(b *testing.B) {
	pu, _ := newBenchPublisher(b, 450, 1)
	b.ReportAllocs()
	sequence := uint64(1)
	for b.Loop() {
		sequence++
		pu.Announce(server("a001", sequence, registry.Ready), "")
	}
}

// BenchmarkConnectBurst connects 191 entry instances at once to a control instance that
// hears 126 backend servers, as after a power loss of all machines.
func BenchmarkConnectBurst(b *testing.B) {
	pu, _ := newBenchPublisher(b, 126, 1)
	cos := make([]*link.Conn, 191)
	for ix := range cos {
		controlEnd, entryEnd := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, entryEnd) }()
		cos[ix] = link.New(controlEnd, link.Config{Codec: peer.NewCodec(link.Messages(), Messages()), Timers: pu.ts, DialTimeout: time.Second, PingInterval: time.Hour, SilenceTimeout: time.Hour})
		b.Cleanup(cos[ix].Close)
	}
	for b.Loop() {
		sbs := make([]*subscriber, len(cos))
		for ix, co := range cos {
			sbs[ix] = pu.addSubscriber(co, Subscribe{Name: fmt.Sprintf("joins-%03d", ix), Address: "10.1.0.39:8226", State: Starting})
		}
		b.StopTimer()
		for _, sb := range sbs {
			pu.removeSubscriber(sb, nil)
		}
		pu.flush()
		b.StartTimer()
	}
}
