package quota

import (
	"fmt"
	"testing"
	"time"

	"balsamwinch.example/customer"
)

// BenchmarkOwnerGrant answers requests for two of 10,000 customers.
func BenchmarkOwnerGrant(b *testing.B) {
	now := time.Unix(1000, 0)
	quotas := make(map[string]customer.Quota)
	for ix := range 10000 {
		quotas[fmt.Sprint("k", ix)] = customer.Quota{Rate: 1e6, Burst: 1e6}
	}
	ow := NewOwner(now, testLimits)
	ow.SetQuotas(now, 1, quotas)
	st := Standing{Voting: true, Voters: 5, LastContact: now}
	wants := []Want{{Customer: "k7", Count: 1, Ahead: 1}, {Customer: "k99", Count: 2}}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		st.LastContact = now
		ow.Grant(now, st, 1, wants)
	}
}

// BenchmarkLedgerRefused refuses a request whose owners are all known to be empty, as most
// requests of a customer far above its quota are.
func BenchmarkLedgerRefused(b *testing.B) {
	now := time.Unix(1000, 0)
	le := NewLedger(testLimits, 1)
	var ows []OwnerRef
	for ix := range 6 {
		ows = append(ows, OwnerRef{Address: fmt.Sprint("10.0.0.", ix, ":7740"), Name: fmt.Sprint("control-", ix)})
	}
	le.SetOwners(ows)
	ac := le.account("k")
	for _, ow := range ows {
		ac.emptyUntil[ow.Address] = now.Add(time.Hour)
	}
	b.ReportAllocs()
	for b.Loop() {
		if vd, _ := le.Take(now, "k"); vd.Outcome != OverQuota {
			b.Fatal(vd.Outcome)
		}
	}
}

// BenchmarkFleetMessages plays entry instances with 213 requests a second each, the share of
// one of 891 instances in 190,000 requests a second, and reports the messages and customers
// in them that each sends a second, and the part of the requests that waits for an answer.
func BenchmarkFleetMessages(b *testing.B) {
	const entries, perEntry, span = 30, 213, 4 * time.Second
	for _, customers := range []int{86, 1000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			for b.Loop() {
				quotas, names := skewed(customers, entries*perEntry/0.7)
				mo := newModel(1, 5, entries, quotas)
				for _, name := range names {
					mo.caller(name, 0.7*quotas[name].Rate, mo.now.Add(span), func() int { return mo.random.IntN(entries) })
				}
				mo.run(span)
				sent, waited := 0, 0
				for _, ta := range mo.results {
					sent, waited = sent+ta.sent, waited+ta.waited
				}
				b.ReportMetric(float64(waited)/float64(sent), "waited/sent")
				b.ReportMetric(float64(mo.asks)/span.Seconds()/entries, "requests/s")
				b.ReportMetric(float64(mo.numWants)/float64(mo.asks), "customers/request")
			}
		})
	}
}
