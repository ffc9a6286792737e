package feed

import (
	"fmt"
	"testing"

	"balsamwinch.example/delta"
)

// BenchmarkDeltaEncode measures what a version that changes one route costs a control
// instance: processor time per version, whoever fetches it, and bytes per entry instance,
// as a delta and, as an earlier release requests it, in full.
func BenchmarkDeltaEncode(b *testing.B) {
	for _, count := range []int{100, 1800, 5000} {
		one, two := routes(1, count), routes(2, count)
		b.Run(fmt.Sprintf("routes=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				fr, err := delta.Encode(one, two)
				if err != nil {
					b.Fatal(err)
				}
				size = len(fr.Data) + len(fr.Digest)
			}
			b.ReportMetric(float64(size), "bytes/instance")
			b.ReportMetric(float64(len(two)), "whole/instance")
		})
	}
}

// BenchmarkDeltaDecode measures what the same version costs an entry instance before it
// is parsed.
func BenchmarkDeltaDecode(b *testing.B) {
	for _, count := range []int{100, 1800, 5000} {
		one, two := routes(1, count), routes(2, count)
		fr, err := delta.Encode(one, two)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("routes=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := delta.Decode(one, fr, maxConfigurationBytes); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
