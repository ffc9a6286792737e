package registry

import (
	"fmt"
	"testing"
)

// benchBook returns a book of 90 services with 4 servers each.
func benchBook() []Server {
	var ses []Server
	for ix := range 360 {
		se := ready(fmt.Sprintf("i-%08x", ix*7919), 1)
		se.Service = fmt.Sprint("service", ix%90)
		ses = append(ses, se)
	}
	return ses
}

func BenchmarkUnionReplace(b *testing.B) {
	ses := benchBook()
	un := NewUnion(hold)
	b.ReportAllocs()
	for ix := 0; b.Loop(); ix++ {
		un.Replace(t0, fmt.Sprint(ix%9), ses)
		un.Servers()
	}
}

func BenchmarkUnionApply(b *testing.B) {
	ses := benchBook()
	un := NewUnion(hold)
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
	ses := benchBook()
	un := NewUnion(hold)
	for ix := range 9 {
		un.Replace(t0, fmt.Sprint(ix), ses)
	}
	b.ReportAllocs()
	for b.Loop() {
		un.Expire(t0)
	}
}

func BenchmarkBookAnnounce(b *testing.B) {
	bk := NewCatalog(silence)
	se := ready("a", 0)
	b.ReportAllocs()
	for b.Loop() {
		se.Sequence++
		bk.Announce(t0, se)
	}
}
