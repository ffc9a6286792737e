package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"balsamwinch.example/customer"
	"balsamwinch.example/quota"
	"balsamwinch.example/route"
)

// fakeQuotas answers every request with the same verdict and records what it is asked.
type fakeQuotas struct {
	vd       quota.Verdict
	mu       sync.Mutex
	taken    []string
	returned []string
}

func (fq *fakeQuotas) Take(_ context.Context, _ uint64, name string) quota.Verdict {
	fq.mu.Lock()
	defer fq.mu.Unlock()
	fq.taken = append(fq.taken, name)
	return fq.vd
}

func (fq *fakeQuotas) Return(name string, _ time.Time) {
	fq.mu.Lock()
	defer fq.mu.Unlock()
	fq.returned = append(fq.returned, name)
}

// serveCustomer serves a request of a customer and returns the response and its call.
func (rg *rig) serveCustomer(ctx context.Context, cu *customer.Customer, uri string) (*httptest.ResponseRecorder, *call) {
	rq := rg.register(request{uri: uri})
	hr := httptest.NewRequest(rq.method, uri, http.NoBody).WithContext(ctx)
	hr.Host, hr.RequestURI = host, uri
	hr.Header.Set(names.RequestID, rq.id)
	wr := httptest.NewRecorder()
	ca := &call{sv: rg.gw, wr: wr, rq: hr, tb: rg.gw.Table(), start: rg.ts.Now(), id: rq.id, customer: cu}
	ca.serve()
	ca.finish()
	rg.hist.update(func() {
		rg.hist.requests[rq.id].answer = &answer{
			id: rq.id, status: wr.Code, header: wr.Header(), body: wr.Body.Bytes(), length: int64(wr.Body.Len()),
		}
	})
	return wr, ca
}

// Guards, for each verdict about a customer's request, against a request that is sent
// without a token, an answer that does not say that nothing has run, and a log line that does
// not say why. Customers without a quota must not take tokens.
func TestQuotaVerdicts(t *testing.T) {
	bounded := &customer.Customer{Name: "k", Quota: customer.Quota{Rate: 5, Burst: 1}}
	said := []quota.Statement{{Owner: "c1", Empty: true}, {Owner: "c2", Refusal: quota.NoContact}}
	refused := quota.Verdict{Outcome: quota.OverQuota, RetryAfter: 120 * time.Millisecond, Owners: said}
	for _, tt := range []struct {
		name       string
		cu         *customer.Customer
		vd         quota.Verdict
		status     int
		retryAfter string
		taken      int
	}{
		{"admitted", bounded, quota.Verdict{Outcome: quota.Admitted, Expires: time.Unix(9e9, 0)}, 200, "", 1},
		{"over the quota", bounded, refused, 429, "0.1", 1},
		{"no owner", bounded, quota.Verdict{Outcome: quota.NoOwner, RetryAfter: 100 * time.Millisecond, Owners: said}, 503, "0.1", 1},
		{"customer without a quota", &customer.Customer{Name: "k"}, refused, 200, "", 0},
		{"no customer", nil, refused, 200, "", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				rg.startServers("s", 1)
				rg.setTable(route.Route{Prefix: "/", MaxAttempts: 2, Targets: singleTarget("s")})
				fq := &fakeQuotas{vd: tt.vd}
				core, logs := observer.New(zap.InfoLevel)
				rg.gw.cf.Quotas, rg.gw.lg = fq, zap.New(core)
				wr, ca := rg.serveCustomer(t.Context(), tt.cu, "/a")
				qt.Assert(t, wr.Code, qt.Equals, tt.status)
				qt.Assert(t, wr.Header().Get("Retry-After"), qt.Equals, tt.retryAfter)
				qt.Assert(t, fq.taken, qt.HasLen, tt.taken)
				qt.Assert(t, fq.returned, qt.HasLen, 0)
				qt.Assert(t, rg.gw.ad.Acquire("s"), qt.IsTrue)
				if tt.status == http.StatusOK {
					return
				}
				qt.Assert(t, ca.code.NotRun(), qt.IsTrue)
				qt.Assert(t, rg.hist.arrivalsOf(ca.id), qt.HasLen, 0)
				fields := logs.FilterMessage(eventFailed).All()[0].ContextMap()
				qt.Assert(t, fields["Customer"], qt.Equals, "k")
				qt.Assert(t, fields["QuotaOwners"], qt.DeepEquals, []any{"c1: empty", "c2: has no contact with the leader"})
			})
		})
	}
}

// Guards against a refused request that keeps its place among the requests in flight: the
// limit would be reached after that many refusals.
func TestRefusalReturnsAdmission(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{maxInFlight: 3})
		rg.startServers("s", 1)
		rg.setTable(route.Route{Prefix: "/", MaxAttempts: 2, Targets: singleTarget("s")})
		rg.gw.cf.Quotas = &fakeQuotas{vd: quota.Verdict{Outcome: quota.OverQuota, RetryAfter: time.Second}}
		for range 10 {
			wr, _ := rg.serveCustomer(t.Context(), &customer.Customer{Name: "k", Quota: customer.Quota{Rate: 1}}, "/a")
			qt.Assert(t, wr.Code, qt.Equals, http.StatusTooManyRequests)
		}
	})
}

// Guards against a token that is lost although nothing was run, and one that comes back
// although something may have run.
func TestTokenIsReturnedIfNothingRan(t *testing.T) {
	cu := &customer.Customer{Name: "k", Quota: customer.Quota{Rate: 5, Burst: 1}}
	for _, tt := range []struct {
		name     string
		servers  int
		bh       behavior
		returned int
	}{
		{"no server", 0, respondOK, 1},
		{"servers reject it", 2, rejectNotRun(http.StatusServiceUnavailable), 1},
		{"answered", 1, respondOK, 0},
		{"connection lost", 1, resetUnanswered, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				rg.startServers("s", tt.servers, tt.bh)
				rg.setTable(route.Route{Prefix: "/", MaxAttempts: 2, Targets: singleTarget("s"), Timeout: 300 * time.Millisecond})
				fq := &fakeQuotas{vd: quota.Verdict{Outcome: quota.Admitted, Expires: time.Unix(9e9, 0)}}
				rg.gw.cf.Quotas = fq
				rg.serveCustomer(t.Context(), cu, "/a")
				qt.Assert(t, fq.returned, qt.HasLen, tt.returned)
			})
		})
	}
}
