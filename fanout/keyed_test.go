package fanout

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/backend"
	"balsamwinch.example/once"
	"balsamwinch.example/result"
	"balsamwinch.example/view"
)

func (ti *tier) order() Query {
	qu := ti.query()
	qu.Repeatable = false
	qu.Key = "k"
	return qu
}

func TestRunOnce(t *testing.T) {
	says := func(st once.Status) func(ti *tier, qu *Query) {
		return func(ti *tier, _ *Query) {
			ti.begin = func() (once.Decision, error) {
				return once.Decision{Status: st, Code: result.Complete, Answer: []byte(`{"Covered":["a"],"Cost":{"LeafRequests":9}}`)}, nil
			}
		}
	}
	shed := func(ti *tier, _ *Query) {
		ti.reply = func(_ context.Context, rq backend.Request, server string) (backend.Reply, error) {
			rp := ok(rq, server)
			rp.Code = backend.ReplyBad
			return rp, nil
		}
	}
	lost := errors.New("lost")
	tests := []struct {
		name    string
		change  func(ti *tier, qu *Query)
		want    string
		records []string
	}{
		{"fresh", says(once.Fresh), "Complete [a b] []", []string{"begin, 0 sent", "finish Complete"}},
		{"finished", says(once.Finished), "Complete [a] []", []string{"begin, 0 sent"}},
		{"running", says(once.Running), "OutcomeUnknown [] [] another arrival of the key is running or was lost", []string{"begin, 0 sent"}},
		{"too old", says(once.TooOld), "OutcomeUnknown [] [] the key is older than what is kept", []string{"begin, 0 sent"}},
		{"reused", says(once.KeyReused), "NotRunKeyReused [] [] the key was used before with another request", []string{"begin, 0 sent"}},
		{"full", says(once.Full), "NotRunNoControl [] [] no room for another intent", []string{"begin, 0 sent"}},
		{"rows not kept", func(ti *tier, _ *Query) {
			ti.begin = func() (once.Decision, error) {
				return once.Decision{Status: once.Finished, Code: result.Complete}, nil
			}
		}, "Incomplete [] [{a NotKept} {b NotKept}] the request ran once with Complete; its rows are no longer kept", []string{"begin, 0 sent"}},
		{"not recorded", func(ti *tier, _ *Query) {
			ti.begin = func() (once.Decision, error) { return once.Decision{}, lost }
		}, "NotRunNoControl [] [] the intent could not be recorded: lost", []string{"begin, 0 sent", "finish NotRunNoControl"}},
		{"all refused frees the key", shed, "NotRunBadRequest [] [{a BadRequest} {b BadRequest}] 2 of 2 shards missing: a (BadRequest) and others", []string{"begin, 0 sent", "finish NotRunBadRequest"}},
		{"record kept later", func(ti *tier, _ *Query) {
			ti.finish = func(try int) error {
				if try < 4 {
					return lost
				}
				return nil
			}
		}, "Complete [a b] []", []string{"begin, 0 sent", "finish Complete"}},
		{"lease out while recording", func(ti *tier, _ *Query) {
			ti.begin = func() (once.Decision, error) {
				ti.publish(func(vi *view.View) { vi.LeaseUntil = time.Now() })
				return once.Decision{Status: once.Fresh}, nil
			}
		}, "NotRunStale [] [] the lease from control has run out", []string{"begin, 0 sent", "finish NotRunStale"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			play(t, func(c *qt.C, ti *tier) {
				qu := ti.order()
				tc.change(ti, &qu)
				an := ti.en.Run(c.Context(), qu)
				c.Check(brief(an), qt.Equals, tc.want)
				c.Check(an.Cost.LeafRequests, qt.Equals, len(ti.sent()))
				c.Check(ti.en.Wait(c.Context()), qt.IsNil)
				c.Check(ti.records, qt.DeepEquals, tc.records)
			})
		})
	}
}

// A parent's booking ran, but its answer was lost, and the parent's program
// sends it again to an instance that has lost control. "Not run" would be true of
// the second arrival, and the parent would book again under another key.
func TestRunOnceResendRefused(t *testing.T) {
	play(t, func(c *qt.C, ti *tier) {
		ti.publish(func(vi *view.View) { vi.LeaseUntil = time.Now() })
		qu := ti.order()
		c.Assert(ti.en.Run(c.Context(), qu).Code, qt.Equals, result.NotRunStale)
		qu.Resend = true
		c.Assert(ti.en.Run(c.Context(), qu).Code, qt.Equals, result.OutcomeUnknown)
	})
}

// A studio desk loses its connection while its booking runs. If the instance
// gave the booking up with the caller, a resend would hear "outcome unknown" for
// good; so it goes on, and the resend gets the recorded answer. Its hedge delay
// passes without a second request.
func TestRunOnceCallerGone(t *testing.T) {
	play(t, func(c *qt.C, ti *tier) {
		ctx, cancel := context.WithCancel(c.Context())
		ti.reply = func(_ context.Context, rq backend.Request, server string) (backend.Reply, error) {
			cancel()
			time.Sleep(50 * time.Millisecond)
			return ok(rq, server), nil
		}
		an := ti.en.Run(ctx, ti.order())
		c.Assert(brief(an), qt.Equals, "Complete [a b] []")
		c.Assert(ti.records, qt.DeepEquals, []string{"begin, 0 sent", "finish Complete"})
		c.Assert(len(ti.sent()), qt.Equals, 2)
	})
}
