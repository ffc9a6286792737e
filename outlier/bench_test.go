package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// samples returns the samples of an entry instance for the given number of backend servers.
func samples(count int) []Sample {
	sas := make([]Sample, count)
	for ix := range sas {
		sas[ix] = Sample{ID: fmt.Sprintf("i-%010x", ix), Count: 2, LogSum: 0.31, Served: 2}
	}
	return sas
}

// BenchmarkAdd measures adding one message of samples at the control instance, and reports
// its size.
func BenchmarkAdd(b *testing.B) {
	for _, count := range []int{12, 48} {
		b.Run(fmt.Sprintf("samples=%d", count), func(b *testing.B) {
			de, sas, now := New(), samples(count), time.Unix(1000, 0)
			body, err := cbor.Marshal(sas)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				de.Add(now, "e1", sas)
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
	}
}

// BenchmarkFindings measures one evaluation of all backend servers.
func BenchmarkFindings(b *testing.B) {
	for _, count := range []int{100, 1000, 6900} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			de, sas, now := New(), samples(count), time.Unix(1000, 0)
			for b.Loop() {
				de.Add(now, "e1", sas)
				now = now.Add(100 * time.Millisecond)
				de.Findings(now)
			}
		})
	}
}
