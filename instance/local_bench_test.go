package instance_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/instance"
	"balsamwinch.example/leaf"
	"balsamwinch.example/operator"
	"balsamwinch.example/settings"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/timer"
)

// numShards is the number of shards of the largest service in production.
const numShards = 13

// BenchmarkQueryOverhead compares a query over 13 shards through an entry with direct requests
// to the same backend servers, alternately and without contention. The difference is what the
// entry adds.
func BenchmarkQueryOverhead(b *testing.B) {
	ts := timer.New()
	lo, records := startTier(b, ts)
	cl := backend.NewClient(ts, zap.NewNop(), backend.ClientConfig{})
	defer cl.Close()
	url := "http://" + lo.Addresses("Caller")[0] + "/services/archivo/query"
	direct := hdrhistogram.New(1, 10_000_000_000, 3)
	through := hdrhistogram.New(1, 10_000_000_000, 3)
	for b.Loop() {
		record(direct, func() { askAll(b, cl, records) })
		record(through, func() { post(b, url) })
	}
	for _, qn := range []float64{50, 99} {
		di, th := direct.ValueAtQuantile(qn), through.ValueAtQuantile(qn)
		b.ReportMetric(float64(di)/1000, fmt.Sprintf("direct-p%.0f-µs", qn))
		b.ReportMetric(float64(th)/1000, fmt.Sprintf("entry-p%.0f-µs", qn))
		b.ReportMetric(float64(th-di)/1000, fmt.Sprintf("added-p%.0f-µs", qn))
	}
}

func record(hi *hdrhistogram.Histogram, do func()) {
	start := time.Now()
	do()
	_ = hi.RecordValue(time.Since(start).Nanoseconds())
}

func startTier(b *testing.B, ts *timer.Service) (*instance.Local, []backend.Record) {
	timing := settings.NewInstance().Timing
	timing.Lease = time.Second
	timing.Renewal = 200 * time.Millisecond
	lo, err := instance.StartLocal(instance.LocalConfig{
		Instances: 1, ControlInstances: 1, Region: "lima", DataCentres: []string{"miraflores"}, Folder: b.TempDir(), Timing: timing,
	}, ts, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(func() {
		cancel()
		_ = lo.Close()
	})
	text := "Services:\n  archivo:\n    Partitions: [{Number: 1, Shards: 13}]\n    Policy: Best\nLimits: {AddressTTLMillis: 100}\n"
	ready, stop := context.WithTimeout(ctx, 20*time.Second)
	defer stop()
	if err := lo.Apply(ready, "bench", []operator.File{{Name: "a.yaml", Content: []byte(text)}}); err != nil {
		b.Fatal(err)
	}
	for ix := range numShards {
		le, err := leaf.New(leaf.Config{
			Server: fmt.Sprintf("l%02d", ix), Service: "archivo", DataCentre: "miraflores", Address: "127.0.0.1:0",
			Announce: lo.Addresses("Backend"), Shards: []string{fmt.Sprintf("%02d", ix)}, Slots: 6, ConnectionLimit: 110,
		}, ts, zap.NewNop())
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = le.Serve(ctx) }()
	}
	all := func(in *instance.Instance) bool {
		return len(in.View().Servers) == numShards && in.View().Leased(ts.Now())
	}
	if err := lo.Wait(ready, all); err != nil {
		b.Fatal(err)
	}
	return lo, lo.Instances()[0].View().Servers
}

// askAll sends a request to all backend servers concurrently and waits for the replies.
func askAll(b *testing.B, cl *backend.Client, records []backend.Record) {
	var wg sync.WaitGroup
	for _, re := range records {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			ta := backend.Target{Server: re.Server, Address: re.Address, Incarnation: re.Incarnation, MaxConnections: 4}
			_, err := cl.Do(ctx, ta, backend.Request{
				RequestID: fmt.Sprint(re.Server, time.Now().UnixNano()), Service: "archivo", Shard: re.Holdings[0].Shard,
				Snapshot: snapshot.ID{Partition: 1, Version: 1}, Repeatable: true, Query: []byte("{}"),
			})
			if err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
}

func post(b *testing.B, url string) {
	rs, err := http.Post(url, "application/json", bytes.NewReader([]byte(`{"Query":{}}`)))
	if err != nil {
		b.Fatal(err)
	}
	defer rs.Body.Close()
	if body, err := io.ReadAll(rs.Body); err != nil || rs.StatusCode != http.StatusOK {
		b.Fatalf("%s %v %s", rs.Status, err, body)
	}
}
