package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/fanout"
	"balsamwinch.example/instance"
	"balsamwinch.example/leaf"
	"balsamwinch.example/operator"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
)

// Sizes and limits of the demo's tier.
const (
	demoInstances    = 3
	demoShards       = 4
	demoReplicas     = 2
	demoReadyTimeout = 30 * time.Second
	demoService      = "archivo"
)

// demoFile is the operators' configuration of the demo.
const demoFile = `Services:
  archivo:
    Partitions:
      - Number: 1
        Shards: [a, b, c, d]
    Selector:
      Service: archivo
    Policy: Best
    DeadlineMillis: 1000
    ExtraLoadPercent: 5
Limits:
  MaxEntries: 10
  AddressTTLMillis: 500
`

var demoShardNames = [demoShards]string{"a", "b", "c", "d"}

// demo runs a complete tier with emulated backend servers in this process. With -once it sends
// one query, prints the answer as JSON and stops. With -routed it runs the routed tier
// instead.
func demo(ctx context.Context, args []string, out, errOut io.Writer) error {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	fs.SetOutput(errOut)
	once := fs.Bool("once", false, "send one query, print the answer as JSON and stop")
	routed := fs.Bool("routed", false, "run the routed tier")
	verbose := fs.Bool("v", false, "print the logs of the instances on standard error")
	if err := fs.Parse(args); err != nil {
		return asUsageError(err)
	}
	lg := zap.NewNop()
	if *verbose {
		lg = newLogger(errOut, "info")
	}
	folder, err := os.MkdirTemp("", "balsamwinch-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if *routed {
		return runRoutedDemo(ctx, folder, *once, out, lg)
	}
	return runDemo(ctx, folder, *once, out, lg)
}

func runDemo(ctx context.Context, folder string, once bool, out io.Writer, lg *zap.Logger) error {
	ts := timer.New()
	lo, err := instance.StartLocal(instance.LocalConfig{
		Instances:        demoInstances,
		ControlInstances: demoInstances,
		Region:           "Lima",
		DataCentres:      []string{"miraflores", "surquillo", "san-isidro"},
		Folder:           folder,
		Timing:           demoTiming(),
	}, ts, lg)
	if err != nil {
		return err
	}
	leavesCtx, cancel := context.WithCancel(context.Background())
	done := startLeaves(leavesCtx, lo.Addresses("Backend"), ts, lg)
	err = serveDemo(ctx, lo, once, out)
	cancel()
	<-done
	return errors.Join(err, lo.Close())
}

// demoTiming returns a timing with a shorter lease, because the first leader waits for the
// length of a lease before it grants one.
func demoTiming() settings.Timing {
	ti := settings.NewInstance().Timing
	ti.Lease = time.Second
	ti.Renewal = 200 * time.Millisecond
	return ti
}

// startLeaves starts the emulated backend servers under a supervisor.
func startLeaves(ctx context.Context, announce []string, ts *timer.Service, lg *zap.Logger) <-chan error {
	su := suture.NewSimple("leafs")
	for _, sh := range demoShardNames {
		for re := range demoReplicas {
			le, err := leaf.New(leaf.Config{
				Server:          fmt.Sprintf("%s-%s-%d", demoService, sh, re+1),
				Service:         demoService,
				DataCentre:      "miraflores",
				Address:         "127.0.0.1:0",
				Announce:        announce,
				Shards:          []string{sh},
				Slots:           6,
				ConnectionLimit: 110,
				Latency:         leaf.Latency{Median: 5 * time.Millisecond, Sigma: 0.3},
			}, ts, lg)
			if err != nil {
				lg.Error("leaf-not-started", zap.Error(err))
				continue
			}
			su.Add(le)
		}
	}
	return su.ServeBackground(ctx)
}

func serveDemo(ctx context.Context, lo *instance.Local, once bool, out io.Writer) error {
	readyCtx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	if err := lo.Apply(readyCtx, "demo", []operator.File{{Name: "10-archivo.yaml", Content: []byte(demoFile)}}); err != nil {
		return err
	}
	allReady := func(in *instance.Instance) bool {
		return len(in.View().Servers) == demoShards*demoReplicas && in.Ready()
	}
	if err := lo.Wait(readyCtx, allReady); err != nil {
		return err
	}
	address := lo.Addresses("Caller")[0]
	if once {
		return askOnce(ctx, address, out)
	}
	fmt.Fprintf(out, "The tier serves: %d instances, %d backend servers.\n", demoInstances, demoShards*demoReplicas)
	fmt.Fprintf(out, "Ask which instances to use:\n  curl 'http://%s/addresses?Service=%s'\n", address, demoService)
	fmt.Fprintf(out, "Send a query:\n  curl -d '{\"Query\":{\"Building\":\"Calle Berlin 12\"}}' http://%s/services/%s/query\n", address, demoService)
	fmt.Fprintf(out, "See the tier:\n  go run ./cmd/balsamctl status -instances %s\n", lo.Addresses("Operator")[0])
	fmt.Fprintln(out, "Press Ctrl-C to stop.")
	<-ctx.Done()
	return nil
}

// askOnce sends one query and prints the answer.
func askOnce(ctx context.Context, address string, out io.Writer) error {
	url := fmt.Sprintf("http://%s/services/%s/query", address, demoService)
	body := []byte(`{"Query":{"Building":"Calle Berlin 12"}}`)
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	var an fanout.Answer
	if err := json.NewDecoder(rs.Body).Decode(&an); err != nil {
		return err
	}
	en := json.NewEncoder(out)
	en.SetIndent("", "  ")
	return en.Encode(an)
}
