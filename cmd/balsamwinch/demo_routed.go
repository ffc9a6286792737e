package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/emulate"
	"balsamwinch.example/timer"
)

// Sizes and limits of the demo's routed tier.
const (
	routedEntries     = 2
	routedControls    = 3
	routedRecords     = 4
	routedTopK        = 5
	routedHost        = "archivo.example"
	routedPath        = "/search/curtains"
	routedCustomer    = "museo"
	routedKey         = "demo-key"
	routedTimeout     = time.Second
	routedStopTimeout = 2 * time.Second
)

// routedAnswer is the merged answer that the demo prints.
type routedAnswer struct {
	Status  int
	Records []string // greatest records of all shards, in descending order
	Stamps  []string // one for each shard, from the backend server that answered
	Missing int      // number of shards missing from the answer
}

// runRoutedDemo starts a routed tier with emulated backend servers, sends a query whose answer
// is merged from all shards, and prints it. Unless once is set, it then serves until the
// context ends.
func runRoutedDemo(ctx context.Context, folder string, once bool, out io.Writer, lg *zap.Logger) error {
	ts := timer.New()
	readyCtx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	lo, err := emulate.StartLocalTier(readyCtx, emulate.LocalConfig{
		Entries: routedEntries, Controls: routedControls, Folder: folder, StopTimeout: routedStopTimeout,
		DataCentres: []string{"miraflores", "surquillo", "san-isidro"},
	}, ts, lg)
	if err != nil {
		return err
	}
	ss, err := emulate.StartServers(routedServers(), lo.ControlAddresses(), ts, lg)
	if err != nil {
		return errors.Join(err, lo.Close())
	}
	defer ss.Close()
	err = lo.Configure(readyCtx, routedConfiguration())
	if err == nil {
		err = serveRouted(ctx, readyCtx, lo, ss, ts, once, out)
	}
	return errors.Join(err, lo.Close())
}

// routedServers returns the configurations of demoReplicas backend servers for each shard.
func routedServers() []emulate.Config {
	var cfs []emulate.Config
	for _, sh := range demoShardNames {
		for nth := range demoReplicas {
			cfs = append(cfs, emulate.Config{
				ID: fmt.Sprintf("%s-%d", sh, nth+1), Service: sh, DataCentre: "miraflores", Slots: 6, Queue: 6, Connections: 110,
				ServiceTime: emulate.ServiceTime{Median: 5 * time.Millisecond, Sigma: 0.3}, Records: routedRecords, ReportLoad: true,
				AnnounceInterval: 300 * time.Millisecond, Seed: uint64(len(cfs)),
			})
		}
	}
	return cfs
}

func routedConfiguration() emulate.Configuration {
	cf := emulate.Configuration{
		Version: 1,
		Routes: []emulate.Route{{
			Name: "search", Host: routedHost, Prefix: "/search/", Kind: "Repeatable", Timeout: routedTimeout, Aim: 200 * time.Millisecond,
			MaxAttempts: 3, Shards: demoShardNames[:], TopK: routedTopK, LeastShare: 0.5,
		}},
		Limits:    emulate.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second},
		Customers: []emulate.Customer{{Name: routedCustomer, Keys: []string{routedKey}}},
	}
	for _, sh := range demoShardNames {
		cf.Services = append(cf.Services, emulate.Service{Name: sh, HealthPath: emulate.HealthPath, Connections: 110})
	}
	return cf
}

// serveRouted repeats a query until all shards answer and prints that answer. Unless once is
// set, it then waits until the context ends.
func serveRouted(ctx, readyCtx context.Context, lo *emulate.LocalTier, ss *emulate.Servers, ts *timer.Service, once bool, out io.Writer) error {
	ca := emulate.NewCaller()
	defer ca.Close()
	address := lo.CallerAddresses()[0]
	res, err := ca.AwaitComplete(readyCtx, ts, address,
		emulate.Request{ID: "demo", Host: routedHost, Path: routedPath, Timeout: routedTimeout, Key: routedKey},
		emulate.Expectation{Services: demoShardNames[:], Service: ss.Service, Records: routedRecords, TopK: routedTopK})
	if err != nil {
		return err
	}
	if err := printRouted(res, out); err != nil || once {
		return err
	}
	fmt.Fprintf(out, "The routed tier serves: %d entry instances, %d control instances, %d backend servers.\n", routedEntries, routedControls, len(ss.All()))
	fmt.Fprintf(out, "Ask which entry instances to use:\n  curl 'http://%s/addresses?DataCentre=miraflores'\n", lo.LookupAddresses()[0])
	fmt.Fprintf(out, "Send a query with the key of a customer, and one without, which is answered with 401:\n")
	query := fmt.Sprintf("curl -i -H 'Host: %s' -H 'Request-Id: 1' http://%s%s", routedHost, address, routedPath)
	fmt.Fprintf(out, "  %s -H 'Authorization: Bearer %s' --output -\n  %s\n", query, routedKey, query)
	fmt.Fprintf(out, "See the configuration:\n  curl http://%s/configuration\n", lo.ControlAddresses()[0])
	fmt.Fprintln(out, "Press Ctrl-C to stop.")
	<-ctx.Done()
	return nil
}

func printRouted(res emulate.Response, out io.Writer) error {
	ra := routedAnswer{Status: res.Status, Stamps: res.Stamps, Missing: res.Missing}
	for body := res.Body; len(body) >= emulate.RecordBytes; body = body[emulate.RecordBytes:] {
		ra.Records = append(ra.Records, fmt.Sprintf("%x", body[:emulate.RecordBytes]))
	}
	en := json.NewEncoder(out)
	en.SetIndent("", "  ")
	return en.Encode(ra)
}
