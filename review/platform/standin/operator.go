package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Names of the configuration that the operator sends.
const (
	hostName    = "archivo.example"
	pathPrefix  = "/hojas/"
	serviceName = "archivo"
)

// call sends one request to a node and returns the status and the body.
func call(method, url string, body any) (int, []byte, error) {
	var rd io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		rd = bytes.NewReader(data)
	}
	rq, err := http.NewRequest(method, url, rd)
	if err != nil {
		return 0, nil, err
	}
	rq.Header.Set("Content-Type", "application/json")
	cl := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := cl.Do(rq)
	if err != nil {
		return 0, nil, err
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	return rs.StatusCode, data, err
}

// configuration returns a configuration with one route, whose requests may run once.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": hostName, "path_prefix": pathPrefix, "route_type": "unsafe",
			"timeout_ms": routeTimeout.Milliseconds(), "target_latency_ms": 800, "priority": 2, "service": serviceName, "max_attempts": 2,
		}},
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// configure sends a configuration until a control node has acknowledged it.
func (wo *world) configure(version int) error {
	nth := 0
	return await(fmt.Sprintf("configuration %d is acknowledged", version), 20*time.Second, func() bool {
		no := wo.controls[nth%len(wo.controls)]
		nth++
		status, _, err := call(http.MethodPut, "http://"+no.address(portControl)+"/config", configuration(version))
		if err != nil || status != http.StatusOK {
			return false
		}
		wo.rc.add("operator: %s acknowledges configuration %d", no.name, version)
		return true
	})
}

// resolve asks the directory of a control node for addresses.
func (wo *world) resolve(no *node) ([]string, float64) {
	status, data, err := call(http.MethodGet, "http://"+no.address(portDirectory)+"/resolve?name="+hostName+"&region=lima&zone="+zones[0], nil)
	var re struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(data, &re) != nil {
		return nil, 0
	}
	return re.Addrs, re.TTL
}
