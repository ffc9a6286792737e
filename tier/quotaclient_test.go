package tier

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"balsamwinch.example/feed"
	"balsamwinch.example/fleet"
	"balsamwinch.example/quota"
	"balsamwinch.example/timer"
)

// fakeSender is an entry instance's links to owners. It answers with one token for each
// wanted one, unless the owner is listed below.
type fakeSender struct {
	qc     *quotaClient
	owners []quota.OwnerRef
	broken map[string]bool // owners without a link
	empty  map[string]bool // owners without tokens
	delay  time.Duration

	mu   sync.Mutex
	sent []string
}

func (fs *fakeSender) QuotaOwners() []quota.OwnerRef { return fs.owners }

func (fs *fakeSender) SendQuotaRequest(address string, rq feed.QuotaRequest) bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.sent = append(fs.sent, fmt.Sprint(address, " ", len(rq.Wants)))
	if fs.broken[address] {
		return false
	}
	gr := feed.QuotaGrant{ID: rq.ID}
	for _, wa := range rq.Wants {
		if fs.empty[address] {
			gr.Grants = append(gr.Grants, quota.Grant{RetryMillis: 900})
		} else {
			gr.Grants = append(gr.Grants, quota.Grant{Count: wa.Count})
		}
	}
	time.AfterFunc(fs.delay, func() { fs.qc.granted(address, gr) })
	return true
}

// newFakeClient returns a client of two owners in a synctest bubble.
func newFakeClient(lg *zap.Logger) (*quotaClient, *fakeSender) {
	fs := &fakeSender{
		owners: []quota.OwnerRef{{Address: "a", Name: "c-a"}, {Address: "b", Name: "c-b"}},
		broken: map[string]bool{}, empty: map[string]bool{}, delay: time.Millisecond,
	}
	fs.qc = newQuotaClient(Defaults().Quota.limits(), 1, timer.New(), lg)
	fs.qc.su = fs
	return fs.qc, fs
}

// Guards against messages for each request where one is enough, against waiting for an owner
// whose link is lost or full, against a timer in the way of a request, and against a caller that waits for an answer after it left.
func TestQuotaClientAsks(t *testing.T) {
	for _, tt := range []struct {
		name     string
		change   func(fs *fakeSender)
		requests int
		sent     int
		want     quota.Outcome
		within   time.Duration
	}{
		{"together", func(*fakeSender) {}, 20, 2, quota.Admitted, 2 * time.Millisecond},
		{"link lost or full", func(fs *fakeSender) { fs.broken["b"] = true }, 1, 2, quota.Admitted, time.Millisecond},
		{"one owner empty", func(fs *fakeSender) { fs.empty["b"] = true }, 1, 2, quota.Admitted, 2 * time.Millisecond},
		{"all owners empty", func(fs *fakeSender) { fs.empty["a"], fs.empty["b"] = true, true }, 5, 2, quota.OverQuota, 4 * time.Millisecond},
		{"all links lost", func(fs *fakeSender) { fs.broken["a"], fs.broken["b"] = true, true }, 1, 2, quota.NoOwner, 0},
		{"all owners silent", func(fs *fakeSender) { fs.delay = time.Hour }, 1, 2, quota.NoOwner, 40 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				qc, fs := newFakeClient(zap.NewNop())
				tt.change(fs)
				start := time.Now()
				var wg sync.WaitGroup
				for range tt.requests {
					wg.Go(func() { qt.Check(t, qc.Take(t.Context(), 1, "k").Outcome, qt.Equals, tt.want) })
				}
				wg.Wait()
				qt.Check(t, time.Since(start) <= tt.within, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
				if tt.sent > 0 {
					qt.Check(t, fs.sent, qt.HasLen, tt.sent)
				}
				qt.Check(t, qc.waiting, qt.HasLen, 0)
			})
		})
	}
}

// Guards against a token that is lost because its caller left while it waited.
func TestQuotaClientCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qc, fs := newFakeClient(zap.NewNop())
		fs.delay = 10 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		qt.Assert(t, qc.Take(ctx, 1, "k").Outcome, qt.Equals, quota.Waiting)
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		qt.Assert(t, qc.Take(t.Context(), 1, "k").Outcome, qt.Equals, quota.Admitted)
		qt.Assert(t, time.Since(start), qt.Equals, time.Duration(0))
	})
}

// Guards against a log that does not tell when a customer starts and stops being refused, or
// that has a line for each refusal.
func TestQuotaClientLogs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		qc, fs := newFakeClient(zap.New(core))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = qc.serve(ctx)
		}()
		fs.empty["a"], fs.empty["b"] = true, true
		for range 100 {
			qc.Take(t.Context(), 1, "k")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		lines := logs.All()
		qt.Assert(t, lines, qt.HasLen, 2)
		qt.Assert(t, lines[0].Message, qt.Equals, "customer-refused")
		qt.Assert(t, lines[0].ContextMap()["QuotaOwners"], qt.DeepEquals, []any{"c-a: empty", "c-b: empty"})
		qt.Assert(t, lines[1].Message, qt.Equals, "customer-not-refused")
		qt.Assert(t, lines[1].ContextMap()["Refused"], qt.Equals, int64(100))
		cancel()
		<-done
	})
}

// Guards against an owner that does not say why it grants nothing, and against a line for
// each request while it does not.
func TestQuotaOwnerLogs(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	ts := timer.New()
	var fs fleet.Standing
	qo := newQuotaOwner(Defaults().Quota.limits(), func() fleet.Standing { return fs }, func() []feed.Entry { return nil }, ts, zap.New(core))
	for range 50 {
		gr := qo.grant("entry-1", feed.QuotaRequest{ID: 4, Wants: []quota.Want{{Customer: "k", Count: 1}}})
		qt.Assert(t, gr.ID, qt.Equals, uint64(4))
		qt.Assert(t, gr.Refusal, qt.Equals, quota.NotVoting)
	}
	lines := logs.FilterMessage("quotas-not-granted").All()
	qt.Assert(t, lines, qt.HasLen, 1)
	qt.Assert(t, lines[0].ContextMap()["Reason"], qt.Equals, "does not vote")
}

// Guards against series without bound, and against names that break the format.
func TestCustomerSeriesAreBounded(t *testing.T) {
	cm := newClientMetrics()
	cm.count("a\"\n{b}", quota.Verdict{Outcome: quota.OverQuota})
	for ix := range 500 {
		cm.count(fmt.Sprint("k", ix), quota.Verdict{Outcome: quota.Admitted})
	}
	var sb strings.Builder
	cm.set.WritePrometheus(&sb)
	text := sb.String()
	qt.Assert(t, strings.Count(text, "balsamwinch_quota_tokens_spent_total{"), qt.Equals, maxCustomerLabels)
	qt.Assert(t, text, qt.Contains, `balsamwinch_quota_tokens_spent_total{customer="other"} 469`)
	qt.Assert(t, text, qt.Contains, `balsamwinch_quota_refusals_total{outcome="OverQuota",customer="a___b_"} 1`)
}
