package emulate

import (
	"encoding/json"
	"time"

	"balsamwinch.example/route"
	"balsamwinch.example/settings"
)

// Configuration is what an operator writes, in YAML or JSON. Times are written
// like 250ms.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route says what happens to the requests of one host whose path begins with one
// prefix. Either Service, Weights or Shards is given.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        string // Kind is Repeatable or NotRepeatable; default NotRepeatable.
	Timeout     time.Duration
	Aim         time.Duration
	MaxAttempts int
	Service     string
	Weights     map[string]int // Weights divides the requests among services.
	Shards      []string
	TopK        int
	LeastShare  float64
}

// Service is a service that routes name.
type Service struct {
	Name        string
	HealthPath  string
	Connections int           // Connections is what one backend server accepts from all callers together.
	Warmup      time.Duration // Warmup is how long a server is cold after it starts.
	WarmupRate  float64       // WarmupRate is how many requests a second it bears then; 0 if that isn't bounded.
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Encode returns the configuration as JSON.
func (cf Configuration) Encode() []byte {
	type plain struct {
		Version  uint64
		Routes   []map[string]any
		Services []map[string]any
		Limits   map[string]any
	}
	pl := plain{Version: cf.Version, Limits: map[string]any{
		"HeaderBytes": cf.Limits.HeaderBytes, "BodyBytes": cf.Limits.BodyBytes,
		"HeaderTimeout": cf.Limits.HeaderTimeout.String(), "IdleTimeout": cf.Limits.IdleTimeout.String(),
	}}
	for _, ro := range cf.Routes {
		pl.Routes = append(pl.Routes, ro.encode())
	}
	for _, se := range cf.Services {
		pl.Services = append(pl.Services, se.encode())
	}
	data, err := json.Marshal(pl)
	if err != nil {
		panic(err) // A map of numbers and texts can always be encoded, but for infinite shares.
	}
	return data
}

func (se Service) encode() map[string]any {
	return map[string]any{
		"Name": se.Name, "HealthPath": se.HealthPath, "Connections": se.Connections,
		"Warmup": se.Warmup.String(), "WarmupRate": se.WarmupRate,
	}
}

func (ro Route) encode() map[string]any {
	out := map[string]any{
		"Name": ro.Name, "Host": ro.Host, "Prefix": ro.Prefix, "Timeout": ro.Timeout.String(), "Aim": ro.Aim.String(),
		"MaxAttempts": ro.MaxAttempts,
	}
	if ro.Kind != "" {
		out["Kind"] = ro.Kind
	}
	if ro.Service != "" {
		out["Service"] = ro.Service
	}
	if len(ro.Weights) > 0 {
		out["Weights"] = ro.Weights
	}
	if len(ro.Shards) > 0 {
		out["Shards"], out["TopK"], out["LeastShare"] = ro.Shards, ro.TopK, ro.LeastShare
	}
	return out
}

// table reads a configuration. The error is settings.Faults or a *route.Fault.
func table(data []byte) (*route.Table, error) {
	var cf Configuration
	if fs := settings.Decode("configuration", data, &cf); len(fs) > 0 {
		return nil, fs
	}
	ros := make([]route.Route, 0, len(cf.Routes))
	for _, ro := range cf.Routes {
		out, err := ro.route()
		if err != nil {
			return nil, err
		}
		ros = append(ros, out)
	}
	ses := make([]route.Service, 0, len(cf.Services))
	for _, se := range cf.Services {
		ses = append(ses, route.Service{Name: se.Name, HealthPath: se.HealthPath, MaxConnections: se.Connections, Warmup: se.Warmup, WarmupRate: se.WarmupRate})
	}
	return route.New(cf.Version, ros, ses, route.Limits(cf.Limits))
}

func (ro Route) route() (route.Route, error) {
	out := route.Route{
		Name: ro.Name, Host: ro.Host, Prefix: ro.Prefix, Timeout: ro.Timeout, TargetLatency: ro.Aim,
		MaxAttempts: ro.MaxAttempts, Shards: ro.Shards,
	}
	switch ro.Kind {
	case route.Repeatable.String():
	case route.NotRepeatable.String(), "":
		out.Kind = route.NotRepeatable
	default:
		return out, &route.ConfigError{Route: ro.Name, Field: "Kind", Detail: "want Repeatable or NotRepeatable, got " + ro.Kind}
	}
	if len(ro.Shards) > 0 {
		out.Merge = route.Merge{TopK: ro.TopK, RecordBytes: RecordBytes, LeastShare: ro.LeastShare}
	}
	if ro.Service != "" {
		out.Targets = append(out.Targets, route.Target{Service: ro.Service, Weight: 1})
	}
	for _, name := range sortedKeys(ro.Weights) {
		out.Targets = append(out.Targets, route.Target{Service: name, Weight: ro.Weights[name]})
	}
	return out, nil
}
