package feed

import (
	"fmt"
	"testing"

	"balsamwinch.example/link"
	"balsamwinch.example/peer"
	"balsamwinch.example/quota"
)

// BenchmarkQuotaRoundTrip encodes and decodes a request for tokens and its answer, as the
// entry instance and the owner do together, and reports their size with the frames' length
// prefixes.
func BenchmarkQuotaRoundTrip(b *testing.B) {
	for _, customers := range []int{1, 2, 8} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			codec := peer.NewCodec(link.Messages(), Messages())
			rq, gr := QuotaRequest{ID: 1e6, Version: 300}, QuotaGrant{ID: 1e6}
			for ix := range customers {
				rq.Wants = append(rq.Wants, quota.Want{Customer: fmt.Sprintf("customer-%03d", ix), Count: 1, Ahead: 2})
				gr.Grants = append(gr.Grants, quota.Grant{Count: 3})
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				size = 0
				for _, ms := range []peer.Message{rq, gr} {
					frame, err := codec.Encode(ms)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := codec.Decode(frame); err != nil {
						b.Fatal(err)
					}
					size += 4 + len(frame)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
