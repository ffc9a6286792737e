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

// crowd returns a publisher with backend servers and with entry instances whose
// links take all that is sent.
func crowd(b *testing.B, servers, entries int) (*Publisher, *link.Conn) {
	b.Helper()
	ts := timer.New()
	cf := link.Config{
		Codec: peer.NewCodec(link.Messages(), Messages()), TS: ts,
		Dial: time.Second, Ping: time.Hour, Silence: time.Hour,
	}
	pu := NewPublisher(PublisherConfig{Name: "control-1", SilenceTimeout: time.Hour}, ts, zap.NewNop())
	for ii := range servers {
		pu.Announce(server(fmt.Sprintf("a%03d", ii), 1, registry.Ready))
	}
	var first *link.Conn
	for ii := range entries {
		far, near := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		co := link.New(far, cf)
		b.Cleanup(co.Close)
		pu.join(co, Subscribe{Name: fmt.Sprintf("entry-%02d", ii), Address: "10.1.0.39:8226", State: Ready})
		if first == nil {
			first = co
		}
	}
	return pu, first
}

// BenchmarkPicture encodes the whole picture of a large system, which each entry
// instance gets from each control instance when it connects.
func BenchmarkPicture(b *testing.B) {
	pu, co := crowd(b, 450, 78)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		pu.mu.Lock()
		pa, err := co.Pack(pu.picture(pu.ts.Now()))
		pu.mu.Unlock()
		if err != nil {
			b.Fatal(err)
		}
		size = pa.Size()
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkUpdate tells 78 entry instances of one change.
func BenchmarkUpdate(b *testing.B) {
	pu, _ := crowd(b, 450, 78)
	b.ReportAllocs()
	sequence := uint64(1)
	for b.Loop() {
		sequence++
		se := server("a001", sequence, registry.Ready)
		se.WarmMillis = int64(sequence % 2)
		pu.Announce(se)
		pu.flush()
	}
}

// BenchmarkAnnounce takes in an announcement without news.
func BenchmarkAnnounce(b *testing.B) {
	pu, _ := crowd(b, 450, 1)
	b.ReportAllocs()
	sequence := uint64(1)
	for b.Loop() {
		sequence++
		pu.Announce(server("a001", sequence, registry.Ready))
	}
}

// BenchmarkJoins has 191 entry instances connect at once to a control instance that hears
// 126 backend servers, as after a loss of power of all.
func BenchmarkJoins(b *testing.B) {
	pu, _ := crowd(b, 126, 1)
	cos := make([]*link.Conn, 191)
	for ix := range cos {
		far, near := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		cos[ix] = link.New(far, link.Config{Codec: peer.NewCodec(link.Messages(), Messages()), TS: pu.ts, Dial: time.Second, Ping: time.Hour, Silence: time.Hour})
		b.Cleanup(cos[ix].Close)
	}
	for b.Loop() {
		sbs := make([]*subscriber, len(cos))
		for ix, co := range cos {
			sbs[ix] = pu.join(co, Subscribe{Name: fmt.Sprintf("joins-%03d", ix), Address: "10.1.0.39:8226", State: Starting})
		}
		b.StopTimer()
		for _, sb := range sbs {
			pu.part(sb, nil)
		}
		pu.flush()
		b.StartTimer()
	}
}
