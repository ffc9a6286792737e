package registry

import (
	"fmt"
	"testing"
)

// benchServers returns the servers of 90 services with 4 servers each.
func benchServers() []Server {
	var ses []Server
	for ix := range 360 {
		se := ready(fmt.Sprintf("i-%08x", ix*7919), 1)
		se.Service = fmt.Sprint("service", ix%90)
		ses = append(ses, se)
	}
	return ses
}

func BenchmarkUnionReplace(b *testing.B) {
	ses := benchServers()
	un := NewUnion(testRetention)
	b.ReportAllocs()
	for ix := 0; b.Loop(); ix++ {
		un.Replace(t0, fmt.Sprint(ix%9), ses)
		un.Servers()
	}
}

func BenchmarkUnionApply(b *testing.B) {
	ses := benchServers()
	un := NewUnion(testRetention)
	un.Replace(t0, "1", ses)
	chs := []Change{{Server: ses[0]}}
	b.ReportAllocs()
	for b.Loop() {
		chs[0].Server.Sequence++
		chs[0].Server.Slots ^= 1
		un.Apply(t0, "1", chs)
		un.Servers()
	}
}

func BenchmarkUnionExpire(b *testing.B) {
	ses := benchServers()
	un := NewUnion(testRetention)
	for ix := range 9 {
		un.Replace(t0, fmt.Sprint(ix), ses)
	}
	b.ReportAllocs()
	for b.Loop() {
		un.Expire(t0)
	}
}

func BenchmarkCatalogAnnounce(b *testing.B) {
	ct := NewCatalog(testSilenceTimeout)
	se := ready("a", 0)
	b.ReportAllocs()
	for b.Loop() {
		se.Sequence++
		ct.Announce(t0, se)
	}
}
