package gateway

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"balsamwinch.example/customer"
)

const (
	// maxCustomerLabels bounds the customers that have series of their own. A configuration
	// may have 100,000 customers, and a metrics page of that size is of no use.
	maxCustomerLabels = 32
	// Limits for log lines about requests without a valid key. Anyone who can reach an
	// instance causes them, at no cost, as fast as it answers.
	unauthorizedLogRate  = 1  // lines per second in the long run
	unauthorizedLogBurst = 10 // lines at once
)

// customerMetrics counts requests by customer, and those rejected for lack of a valid key.
// It must be registered before use.
type customerMetrics struct {
	unauthorized [numKeyStates]*metrics.Counter
	requests     sync.Map      // *atomic.Uint64 by name of the customer
	removed      atomic.Uint64 // requests of customers that are no longer in the configuration

	logLimit     *rate.Limiter
	skippedLines atomic.Int64
}

func (cm *customerMetrics) register(set *metrics.Set) {
	for ks := keyMissing; ks < numKeyStates; ks++ {
		cm.unauthorized[ks] = set.NewCounter(`balsamwinch_requests_unauthorized_total{reason="` + ks.label() + `"}`)
	}
	cm.logLimit = rate.NewLimiter(unauthorizedLogRate, unauthorizedLogBurst)
}

// count counts a request of a customer.
func (cm *customerMetrics) count(name string) {
	co, ok := cm.requests.Load(name)
	if !ok {
		co, _ = cm.requests.LoadOrStore(name, new(atomic.Uint64))
	}
	co.(*atomic.Uint64).Add(1)
}

// retain drops the counters of customers that are not in the index, so that their number
// does not grow with every version. Their requests count as those of other customers.
func (cm *customerMetrics) retain(ix *customer.Index) {
	cm.requests.Range(func(name, co any) bool {
		known := false
		if ix != nil {
			_, known = ix.ByName(name.(string))
		}
		if !known {
			cm.requests.Delete(name)
			cm.removed.Add(co.(*atomic.Uint64).Load())
		}
		return true
	})
}

// customerCount is the number of requests of one customer.
type customerCount struct {
	name  string
	count uint64
}

// write writes the requests of the maxCustomerLabels customers with the most requests, and
// the sum of the others, in the Prometheus text format. The sum of all series never falls;
// that of the others does when one of them becomes one of the largest.
func (cm *customerMetrics) write(wr io.Writer) {
	var ccs []customerCount
	cm.requests.Range(func(name, co any) bool {
		ccs = append(ccs, customerCount{name.(string), co.(*atomic.Uint64).Load()})
		return true
	})
	others := cm.removed.Load()
	slices.SortFunc(ccs, func(a, b customerCount) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.name, b.name))
	})
	byLabel := make(map[string]uint64) // Two names may have the same label.
	var labels []string
	add := func(label string, count uint64) {
		if _, ok := byLabel[label]; !ok {
			labels = append(labels, label)
		}
		byLabel[label] += count
	}
	for ix, cc := range ccs {
		if ix < maxCustomerLabels {
			add(sanitizeLabel(cc.name), cc.count)
		} else {
			others += cc.count
		}
	}
	add(otherLabel, others)
	for _, label := range labels {
		_, _ = fmt.Fprintf(wr, "balsamwinch_customer_requests_total{customer=\"%s\"} %d\n", label, byLabel[label])
	}
}

// logUnauthorized writes the log line of a request that was rejected for lack of a valid
// key, or counts it as skipped. The next line that is written gives the number of skipped
// ones.
func (ca *call) logUnauthorized(took time.Duration) {
	cm := &ca.sv.customers
	if !cm.logLimit.AllowN(ca.start, 1) {
		cm.skippedLines.Add(1)
		return
	}
	fields := []zap.Field{zap.Inline(requestLine{ca: ca, took: took})}
	if skipped := cm.skippedLines.Swap(0); skipped > 0 {
		fields = append(fields, zap.Int64("SkippedLines", skipped))
	}
	ca.sv.lg.Info(eventFailed, fields...)
}
