package wal

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	"balsamwinch.example/quorum"
)

// BenchmarkSave measures the time of one Save on the disk of the test folder, for which a
// voter waits before it acknowledges, and the bytes written beyond the data.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("entries=%d", batch), func(b *testing.B) {
			jo, _, err := Open(b.TempDir(), zap.NewNop())
			if err != nil {
				b.Fatal(err)
			}
			defer jo.Close()
			data := make([]byte, 400)
			next, first := uint64(1), jo.syncedBytes
			for b.Loop() {
				var sv quorum.Save
				for range batch {
					sv.Entries = append(sv.Entries, quorum.Entry{Index: next, Term: 1, Data: data})
					next++
				}
				if err := jo.Save(sv); err != nil {
					b.Fatal(err)
				}
			}
			if len(jo.segments) == 1 {
				b.ReportMetric(float64(jo.syncedBytes-first)/float64(next-1)-float64(len(data)), "overhead-bytes/entry")
			}
		})
	}
}
