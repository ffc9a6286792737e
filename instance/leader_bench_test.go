package instance_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/instance"
	"balsamwinch.example/operator"
	"balsamwinch.example/timer"
)

// BenchmarkLeaderKilled measures how long no change is accepted after the leader was killed,
// with the default timing: an election, and the lease of the killed instance, which has to
// expire.
func BenchmarkLeaderKilled(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		ts := timer.New()
		lo, err := instance.StartLocal(instance.LocalConfig{
			Instances: 3, ControlInstances: 3, Region: "lima", DataCentres: []string{"a", "b", "c"}, Folder: b.TempDir(),
		}, ts, zap.NewNop())
		if err != nil {
			b.Fatal(err)
		}
		change(b, lo, 1)
		killLeader(b, lo)
		b.StartTimer()
		change(b, lo, 2)
		b.StopTimer()
		_ = lo.Close()
		b.StartTimer()
	}
}

func change(b *testing.B, lo *instance.Local, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	text := fmt.Sprintf("Services:\n  archivo:\n    Partitions: [{Number: 1, Shards: 2}]\n    Weight: %d\nLimits: {AddressTTLMillis: 100}\n", number)
	err := lo.Apply(ctx, fmt.Sprint("change", number), []operator.File{{Name: "a.yaml", Content: []byte(text)}})
	if err != nil {
		b.Fatal(err)
	}
}

func killLeader(b *testing.B, lo *instance.Local) {
	st, err := lo.Instances()[0].Status(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	for ix, in := range lo.Instances() {
		if in.View().Self.Name == st.Leader {
			if err := lo.Kill(ix); err != nil {
				b.Fatal(err)
			}
			return
		}
	}
	b.Fatal("no leader")
}
