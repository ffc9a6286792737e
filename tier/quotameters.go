package tier

import (
	"strings"
	"sync"

	vm "github.com/VictoriaMetrics/metrics"

	"balsamwinch.example/feed"
	"balsamwinch.example/quota"
)

const (
	// maxCustomerLabels bounds the customers that have series of their own; further ones share
	// otherCustomers.
	maxCustomerLabels = 32
	otherCustomers    = "other"
	// maxCustomerLabelBytes bounds the length of a label.
	maxCustomerLabelBytes = 64
)

// customerCounters counts by customer.
type customerCounters struct {
	set *vm.Set

	mu     sync.Mutex
	labels map[string]string // by name
}

// newCustomerCounters returns counters that expose a series of otherCustomers for each prefix
// from the start.
func newCustomerCounters(set *vm.Set, prefixes ...string) *customerCounters {
	for _, prefix := range prefixes {
		set.NewCounter(prefix + `customer="` + otherCustomers + `"}`)
	}
	return &customerCounters{set: set, labels: make(map[string]string)}
}

// Prefixes of the series by customer.
const (
	tokensGranted = "balsamwinch_quota_tokens_granted_total{"
	tokensSpent   = "balsamwinch_quota_tokens_spent_total{"
)

// refusals returns the prefix of the series of refusals.
func refusals(ou quota.Outcome) string {
	return `balsamwinch_quota_refusals_total{outcome="` + ou.String() + `",`
}

// add adds to the counter of a customer. The prefix is the name of the metric with an opening
// brace and its other labels.
func (cc *customerCounters) add(prefix, customer string, count int) {
	if count > 0 {
		cc.set.GetOrCreateCounter(prefix + `customer="` + cc.label(customer) + `"}`).Add(count)
	}
}

func (cc *customerCounters) label(customer string) string {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if la, ok := cc.labels[customer]; ok {
		return la
	}
	if len(cc.labels) >= maxCustomerLabels {
		return otherCustomers
	}
	la := strings.Map(func(ru rune) rune {
		if ru < ' ' || ru > '~' || strings.ContainsRune(`"\{}`, ru) {
			return '_'
		}
		return ru
	}, customer[:min(len(customer), maxCustomerLabelBytes)])
	cc.labels[customer] = la
	return la
}

// ownerMetrics counts what a control instance grants.
type ownerMetrics struct {
	set      *vm.Set
	cc       *customerCounters
	requests *vm.Counter
	grants   *vm.Counter
}

func newOwnerMetrics() *ownerMetrics {
	set := vm.NewSet()
	return &ownerMetrics{
		set: set, cc: newCustomerCounters(set, tokensGranted),
		requests: set.NewCounter("balsamwinch_quota_requests_received_total"),
		grants:   set.NewCounter("balsamwinch_quota_grants_sent_total"),
	}
}

// count counts a request and its answer; grants is empty if the owner grants nothing to
// anyone.
func (om *ownerMetrics) count(rq feed.QuotaRequest, grants []quota.Grant) {
	om.requests.Inc()
	if len(grants) > 0 {
		om.grants.Inc()
	}
	for ix, gr := range grants {
		om.cc.add(tokensGranted, rq.Wants[ix].Customer, int(gr.Count+gr.Spare))
	}
}

// clientMetrics counts the requests of customers with a quota at an entry instance.
type clientMetrics struct {
	set      *vm.Set
	cc       *customerCounters
	requests *vm.Counter
	grants   *vm.Counter
}

func newClientMetrics() *clientMetrics {
	set := vm.NewSet()
	return &clientMetrics{
		set: set, cc: newCustomerCounters(set, tokensSpent, refusals(quota.OverQuota), refusals(quota.NoOwner)),
		requests: set.NewCounter("balsamwinch_quota_requests_sent_total"),
		grants:   set.NewCounter("balsamwinch_quota_grants_received_total"),
	}
}

// count counts a verdict.
func (cm *clientMetrics) count(customer string, vd quota.Verdict) {
	if vd.Outcome == quota.Admitted {
		cm.cc.add(tokensSpent, customer, 1)
		return
	}
	cm.cc.add(refusals(vd.Outcome), customer, 1)
}
