package feed

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/link"
	"balsamwinch.example/quota"
)

// grantRecorder records the grants that an entry instance gets, with their sources.
type grantRecorder struct {
	mu     sync.Mutex
	grants []string
}

func (gr *grantRecorder) granted(address string, qg QuotaGrant) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.grants = append(gr.grants, fmt.Sprint(address, " ", qg.ID, " ", qg.Refusal, " ", qg.Grants))
}

func (gr *grantRecorder) all() []string {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.grants
}

// Guards against requests for tokens that don't reach the owner that was chosen, answers
// that don't come back, numbers of spare tokens that get lost, and control instances that are asked although their link has ended.
// A control instance that owns no quotas says so.
func TestQuotaRequestsAndGrants(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cl.dataCentres = map[string]string{"two": "lima"}
		cos := cl.group("one", "two")
		cos[1].pu.cf.GrantQuotas = func(entry string, rq QuotaRequest) QuotaGrant {
			c.Check(entry, qt.Equals, "entry-1")
			c.Check(rq.Version, qt.Equals, uint64(9))
			return QuotaGrant{ID: rq.ID, Grants: []quota.Grant{{Count: rq.Wants[0].Count - 1, RetryMillis: 30, Spare: rq.Wants[0].Spare - 1}}}
		}
		re := &grantRecorder{}
		en := cl.subscribe(SubscriberConfig{
			Self: Entry{Name: "entry-1", DataCentre: "lima", State: Ready}, QuotaGranted: re.granted,
		}, []string{cos[0].member.Address})
		cl.advance(testLinkTimeout)
		c.Assert(en.su.QuotaOwners(), qt.DeepEquals, []quota.OwnerRef{{Address: "one:1", Name: "one"}, {Address: "two:1", Name: "two", Near: true}})
		rq := QuotaRequest{ID: 7, Version: 9, Wants: []quota.Want{{Customer: "k", Count: 3, Spare: 5}}}
		c.Assert(en.su.SendQuotaRequest("one:1", rq), qt.IsTrue)
		synctest.Wait()
		c.Assert(en.su.SendQuotaRequest("two:1", rq), qt.IsTrue)
		cl.advance(maxPropagation)
		c.Assert(re.all(), qt.DeepEquals, []string{"one:1 7 does not vote []", "two:1 7 grants [{2 30 4}]"})

		cos[1].kill()
		cl.advance(maxPropagation)
		c.Assert(en.su.QuotaOwners(), qt.HasLen, 1)
		c.Assert(en.su.SendQuotaRequest("two:1", rq), qt.IsFalse)
	})
}

// Guards against a message of an unknown kind to a control instance of the earlier release,
// which closes the link: it must not be listed as an owner. It gets a Subscribe with the
// features, which it ignores.
func TestEarlierReleaseIsNotAsked(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cf := cl.config()
		cf.Connect = func(context.Context, string) (net.Conn, error) {
			controlEnd, entryEnd := net.Pipe()
			co := link.New(controlEnd, cl.config())
			cl.wg.Go(func() {
				defer co.Close()
				ms, err := co.Receive()
				c.Check(err, qt.IsNil)
				c.Check(ms.(Subscribe).Features.Has(FeatureQuotas), qt.IsTrue)
				c.Check(co.Send(Snapshot{Name: "old"}), qt.IsNil)
				for err == nil {
					ms, err = co.Receive()
					_, asked := ms.(QuotaRequest)
					c.Check(asked, qt.IsFalse)
				}
			})
			return entryEnd, nil
		}
		en := &entry{cl: cl, name: "entry-1", seeds: []string{"old:1"}, done: make(chan struct{})}
		en.su = NewSubscriber(SubscriberConfig{Self: Entry{Name: "entry-1"}, Seeds: en.currentSeeds, Link: cf, RetentionTimeout: testRetention}, cl.ts, cl.lg, en)
		cl.wg.Go(func() { _ = en.su.Serve(cl.ctx) })
		cl.advance(maxPropagation)
		c.Assert(en.su.NumConnected(), qt.Equals, 1)
		c.Assert(en.su.QuotaOwners(), qt.HasLen, 0)
	})
}
