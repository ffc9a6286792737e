package emulate

import (
	"encoding/json"
	"time"

	"balsamwinch.example/route"
	"balsamwinch.example/settings"
)

// Configuration is what an operator writes, in YAML or JSON. Times are written like
// 250ms.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Customers are those whose keys requests need; nil means that requests need no key,
	// and an empty list that no key is valid.
	Customers []Customer
}

// Route configures the requests for one host whose path begins with one prefix. Exactly
// one of Service, Weights and Shards is set.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        string // Repeatable or NotRepeatable; default NotRepeatable
	Timeout     time.Duration
	Aim         time.Duration
	Priority    int  // 0 is the highest
	Public      bool // requests need no key
	MaxAttempts int
	Service     string
	Weights     map[string]int // share of the requests for each service
	Shards      []string
	TopK        int
	LeastShare  float64
}

// Service is a service that routes refer to.
type Service struct {
	Name        string
	HealthPath  string
	Connections int           // maximum connections of one backend server, from all callers together
	Warmup      time.Duration // length of the warm-up after a server starts
	WarmupRate  float64       // requests per second that a server can take during warm-up; 0 for no limit
}

// Limits bound the size of a caller's requests and how long it may take to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Encode returns the configuration as JSON.
func (cf Configuration) Encode() []byte {
	type document struct {
		Version  uint64
		Routes   []map[string]any
		Services []map[string]any
		Limits   map[string]any
		// Not written if it is nil; an empty list is.
		Customers *[]Customer `json:",omitempty"`
	}
	doc := document{Version: cf.Version, Limits: map[string]any{
		"HeaderBytes": cf.Limits.HeaderBytes, "BodyBytes": cf.Limits.BodyBytes,
		"HeaderTimeout": cf.Limits.HeaderTimeout.String(), "IdleTimeout": cf.Limits.IdleTimeout.String(),
	}}
	for _, ro := range cf.Routes {
		doc.Routes = append(doc.Routes, ro.encode())
	}
	for _, se := range cf.Services {
		doc.Services = append(doc.Services, se.encode())
	}
	if cf.Customers != nil {
		cus := encodable(cf.Customers)
		doc.Customers = &cus
	}
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err) // Numbers and strings can always be encoded, except for an infinite LeastShare.
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
	if ro.Priority != 0 {
		out["Priority"] = ro.Priority
	}
	if ro.Public {
		out["Public"] = true
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

// parseTable parses a configuration. The error is settings.Faults or a
// *route.ConfigError.
func parseTable(data []byte) (*route.Table, error) {
	var cf Configuration
	if fs := settings.Decode("configuration", data, &cf); len(fs) > 0 {
		return nil, withoutKeys(fs)
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
	tb, err := route.New(cf.Version, ros, ses, route.Limits(cf.Limits))
	if err != nil {
		return nil, err
	}
	ix, err := newCustomers(cf.Customers)
	if err != nil {
		return nil, err
	}
	return tb.WithCustomers(ix), nil
}

func (ro Route) route() (route.Route, error) {
	out := route.Route{
		Name: ro.Name, Host: ro.Host, Prefix: ro.Prefix, Timeout: ro.Timeout, TargetLatency: ro.Aim,
		MaxAttempts: ro.MaxAttempts, Shards: ro.Shards, Priority: ro.Priority, Public: ro.Public,
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
