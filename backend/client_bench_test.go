package backend_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/leaf"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/timer"
)

const benchConnections = 16

var benchRequest = backend.Request{
	RequestID: "b1", Service: "quote-desk", Shard: "a", Snapshot: snapshot.ID{Partition: 1, Version: 1},
	Repeatable: true, Query: json.RawMessage(`{"Building":"Av. Larco 345","Limit":20}`),
}

// BenchmarkDo measures one leaf request over loopback: "canned" against a
// server with a fixed reply, which shows the client's own cost, and "leaf"
// against an emulated backend server in the same process.
func BenchmarkDo(b *testing.B) {
	for _, bc := range []struct {
		name  string
		serve func(c *qt.C) (address string)
	}{{"canned", serveCanned}, {"leaf", serveLeaf}} {
		b.Run(bc.name, func(b *testing.B) {
			ad := bc.serve(qt.New(b))
			cl := backend.NewClient(timer.New(), zap.NewNop(), backend.ClientConfig{SilenceTimeout: 5 * time.Second})
			ta := backend.Target{Server: "bench", Address: ad, MaxConnections: benchConnections}
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			b.ReportAllocs()
			before := processorTime()
			for b.Loop() {
				if _, err := cl.Do(ctx, ta, benchRequest); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

func processorTime() time.Duration {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

func serveLeaf(c *qt.C) string {
	le, err := leaf.New(leaf.Config{
		Server: "bench", Address: "127.0.0.1:0", Shards: []string{"a"}, Slots: benchConnections, ConnectionLimit: benchConnections,
	}, timer.New(), zap.NewNop())
	c.Assert(err, qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- le.Serve(context.Background()) }()
	c.Cleanup(func() {
		le.Close()
		<-ended
	})
	return le.Address()
}

func serveCanned(c *qt.C) string {
	body, err := json.Marshal(backend.Reply{
		RequestID: "b1", Server: "bench", Shard: "a", Snapshot: benchRequest.Snapshot, Code: backend.ReplyOK,
		Rows: []json.RawMessage{json.RawMessage(`{"Shard":"a","Snapshot":"1.1","Number":0}`)},
	})
	c.Assert(err, qt.IsNil)
	reply := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go answerCanned(nc, reply)
		}
	}()
	return ln.Addr().String()
}

// answerCanned writes the reply after each read: each request of this benchmark
// arrives in one read.
func answerCanned(nc net.Conn, reply []byte) {
	defer nc.Close()
	buf := make([]byte, 4096)
	for {
		if _, err := nc.Read(buf); err != nil {
			return
		}
		if _, err := nc.Write(reply); err != nil {
			return
		}
	}
}

// BenchmarkTransport measures the same request through net/http's own pool, for
// comparison with "canned".
func BenchmarkTransport(b *testing.B) {
	ad := serveCanned(qt.New(b))
	hc := http.Client{Transport: &http.Transport{MaxConnsPerHost: benchConnections}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	b.ReportAllocs()
	before := processorTime()
	for b.Loop() {
		if err := postWith(ctx, &hc, ad); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
}

func postWith(ctx context.Context, hc *http.Client, ad string) error {
	body, err := json.Marshal(benchRequest)
	if err != nil {
		return err
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ad+backend.QueryPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	rs, err := hc.Do(hr)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	bs, err := io.ReadAll(rs.Body)
	if err != nil {
		return err
	}
	var re backend.Reply
	return json.Unmarshal(bs, &re)
}
