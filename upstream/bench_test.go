package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/timer"
)

// BenchmarkExchange measures one exchange on a reused connection over loopback, with a
// request and a reply of typical size. It includes the server's work, which is to read up
// to the empty line and write a prepared reply.
func BenchmarkExchange(be *testing.B) {
	for _, cancellable := range []bool{false, true} {
		be.Run(fmt.Sprintf("Cancellable=%v", cancellable), func(be *testing.B) {
			ta := Target{ID: "i-1", Address: benchServer(be), MaxConnections: 1}
			cl := New(Config{Names: testNames}, timer.New(), zap.NewNop())
			defer cl.Close()
			ctx := context.Background()
			if cancellable {
				cx, cancel := context.WithCancel(ctx)
				defer cancel()
				ctx = cx
			}
			rq := &Request{
				Method: http.MethodGet, URI: "/nono601/no91/2f", Host: "leno12.example", RequestID: "id-1", SendTargetID: true,
				Header: http.Header{"Request-Id": {"id-1"}, "Accept": {"*/*"}},
			}
			be.ReportAllocs()
			be.ResetTimer()
			for range be.N {
				rq.Deadline = time.Now().Add(time.Second)
				if re := cl.Do(ctx, ta, rq); re.Outcome != Answered {
					be.Fatal(re)
				}
			}
		})
	}
}

// benchServer starts a server that answers every request with the same bytes.
func benchServer(be *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		be.Fatal(err)
	}
	be.Cleanup(func() { _ = ln.Close() })
	reply := "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nStamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nLoad: 3,0,8\r\n" +
		"Content-Length: 1008\r\nKeep-Alive: timeout=5\r\n\r\n" + fmt.Sprintf("%01008d", 0)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				rd := bufio.NewReader(nc)
				for {
					li, err := rd.ReadSlice('\n')
					if err != nil {
						return
					}
					if len(li) == len("\r\n") {
						if _, err := nc.Write([]byte(reply)); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

var testNames = Names{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", Expect: "Expect-Server",
	Stamp: "Stamp", NotRun: "Not-Run", Load: "Load",
}
