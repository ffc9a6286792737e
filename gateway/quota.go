package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwinch.example/quota"
	"balsamwinch.example/result"
)

// Reasons of rejections of requests of customers with a quota.
const (
	reasonOverQuota    = "the quota of the customer is used up"
	reasonNoQuotaOwner = "no control instance grants requests of the customer"
)

// Quotas admits the requests of customers with a quota, over all entry instances together.
type Quotas interface {
	// Take decides about a request of the customer under the configuration of a version. It
	// may wait some milliseconds for an answer of a control instance. If the context ends
	// first, the outcome is quota.Waiting.
	Take(ctx context.Context, version uint64, customer string) quota.Verdict
	// Return gives back the token of an admitted request, named by its expiry, that no
	// backend server has run and none will.
	Return(customer string, expires time.Time)
}

// limited reports whether the request counts against a quota.
func (ca *call) limited() bool {
	return ca.sv.cf.Quotas != nil && ca.customer != nil && ca.customer.Quota.Bounded()
}

// takeToken reports whether the customer's quota admits the request, and answers it if not.
func (ca *call) takeToken() bool {
	if !ca.limited() {
		return true
	}
	vd := ca.sv.cf.Quotas.Take(ca.rq.Context(), ca.tb.Version(), ca.customer.Name)
	ca.owners = vd.Owners
	switch vd.Outcome {
	case quota.Admitted:
		ca.token = vd.Expires
		return true
	case quota.OverQuota:
		// A caller that comes back after the target latency would get its answer late, with a
		// token that a new request could have used in time.
		ca.setRetryAfter(min(vd.RetryAfter, ca.retryAfter()))
		ca.respondError(http.StatusTooManyRequests, result.NotRunOverQuota, reasonOverQuota)
	case quota.Waiting:
		ca.callerLeft()
	default:
		ca.setRetryAfter(vd.RetryAfter)
		ca.respondError(http.StatusServiceUnavailable, result.NotRunStale, reasonNoQuotaOwner)
	}
	return false
}

// returnToken gives back the token of a request that no backend server can have run.
func (ca *call) returnToken() {
	if !ca.token.IsZero() && (ca.ex == nil || !ca.ex.qu.MayHaveRun()) {
		ca.sv.cf.Quotas.Return(ca.customer.Name, ca.token)
	}
}

// addQuotaFields adds what the owners of the quota said to a request that was refused for it.
func (ca *call) addQuotaFields(oe zapcore.ObjectEncoder) {
	if len(ca.owners) == 0 {
		return
	}
	said := make([]string, len(ca.owners))
	for ix, st := range ca.owners {
		said[ix] = st.String()
	}
	zap.Strings("QuotaOwners", said).AddTo(oe)
}
