package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got.
type answer struct {
	id     string
	status int // 0 if there was none
	header http.Header
	body   string
	err    error
}

var lastRequest atomic.Int64

// newID returns the ID of one client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1)) }

// request sends one client attempt on a new connection to an entry instance.
func (wo *world) request(in *instance, method, host, path, body, id string, deadline time.Duration) answer {
	rq, err := http.NewRequest(method, "http://"+in.at(portFrontend)+path, strings.NewReader(body))
	if err != nil {
		return answer{id: id, err: err}
	}
	rq.Host = host
	rq.Header.Set("Balsamwinch-Request-Id", id)
	rq.Header.Set("Balsamwinch-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	cl := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	rs, err := cl.Do(rq)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	return answer{id: id, status: rs.StatusCode, header: rs.Header, body: string(data), err: err}
}

// config returns a configuration with a route of one type to one service.
func config(version int, routeType string, services ...string) string {
	var list []string
	for _, se := range services {
		list = append(list, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}`, se))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":"sheets.example","path_prefix":"/goka902/","route_type":%q,`+
		`"timeout_ms":5000,"target_latency_ms":800,"priority":2,"service":%q,"max_attempts":2}],"services":[%s],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, routeType, services[0], strings.Join(list, ","))
}
