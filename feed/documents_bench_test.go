package feed

import (
	"fmt"
	"testing"

	"balsamwinch.example/delta"
)

// BenchmarkChange is what a version costs a control instance of which one route differs:
// processor time for each version, whoever fetches it, and the bytes for each entry
// instance, told as a difference and, as an earlier release asks for it, whole.
func BenchmarkChange(b *testing.B) {
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

// BenchmarkTake is what the same version costs an entry instance before it is read.
func BenchmarkTake(b *testing.B) {
	for _, count := range []int{100, 1800, 5000} {
		one, two := routes(1, count), routes(2, count)
		fr, err := delta.Encode(one, two)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("routes=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := delta.Decode(one, fr, mostDocument); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
