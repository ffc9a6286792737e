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

func (et *engineTest) onceQuery() Query {
	qu := et.query()
	qu.Repeatable = false
	qu.Key = "k"
	return qu
}

func TestNotRepeatableQueryOutcomes(t *testing.T) {
	withStatus := func(st once.Status) func(et *engineTest, qu *Query) {
		return func(et *engineTest, _ *Query) {
			et.begin = func() (once.Decision, error) {
				return once.Decision{Status: st, Code: result.Complete, Answer: []byte(`{"Covered":["a"],"Cost":{"LeafRequests":9}}`)}, nil
			}
		}
	}
	refuse := func(et *engineTest, _ *Query) {
		et.reply = func(_ context.Context, rq backend.Request, server string) (backend.Reply, error) {
			rp := okReply(rq, server)
			rp.Code = backend.ReplyBad
			return rp, nil
		}
	}
	lost := errors.New("lost")
	tests := []struct {
		name    string
		change  func(et *engineTest, qu *Query)
		want    string
		records []string
	}{
		{"fresh", withStatus(once.Fresh), "Complete [a b] []", []string{"begin, 0 sent", "finish Complete"}},
		{"finished", withStatus(once.Finished), "Complete [a] []", []string{"begin, 0 sent"}},
		{"running", withStatus(once.Running), "OutcomeUnknown [] [] another arrival of the key is running or was lost", []string{"begin, 0 sent"}},
		{"too old", withStatus(once.TooOld), "OutcomeUnknown [] [] the key is older than what is kept", []string{"begin, 0 sent"}},
		{"reused", withStatus(once.KeyReused), "NotRunKeyReused [] [] the key was used before with another request", []string{"begin, 0 sent"}},
		{"full", withStatus(once.Full), "NotRunNoControl [] [] no room for another intent", []string{"begin, 0 sent"}},
		{"rows not kept", func(et *engineTest, _ *Query) {
			et.begin = func() (once.Decision, error) {
				return once.Decision{Status: once.Finished, Code: result.Complete}, nil
			}
		}, "Incomplete [] [{a NotKept} {b NotKept}] the request ran once with Complete; its rows are no longer kept", []string{"begin, 0 sent"}},
		{"not recorded", func(et *engineTest, _ *Query) {
			et.begin = func() (once.Decision, error) { return once.Decision{}, lost }
		}, "NotRunNoControl [] [] the intent could not be recorded: lost", []string{"begin, 0 sent", "finish NotRunNoControl"}},
		{"refused by all servers frees the key", refuse, "NotRunBadRequest [] [{a BadRequest} {b BadRequest}] 2 of 2 shards missing: a (BadRequest) and others", []string{"begin, 0 sent", "finish NotRunBadRequest"}},
		{"recording is retried", func(et *engineTest, _ *Query) {
			et.finish = func(try int) error {
				if try < 4 {
					return lost
				}
				return nil
			}
		}, "Complete [a b] []", []string{"begin, 0 sent", "finish Complete"}},
		{"lease expired while recording", func(et *engineTest, _ *Query) {
			et.begin = func() (once.Decision, error) {
				et.publish(func(vi *view.View) { vi.LeaseExpiry = time.Now() })
				return once.Decision{Status: once.Fresh}, nil
			}
		}, "NotRunStale [] [] the lease from control has run out", []string{"begin, 0 sent", "finish NotRunStale"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			runEngineTest(t, func(c *qt.C, et *engineTest) {
				qu := et.onceQuery()
				tc.change(et, &qu)
				an := et.en.Run(c.Context(), qu)
				c.Check(summary(an), qt.Equals, tc.want)
				c.Check(an.Cost.LeafRequests, qt.Equals, len(et.sentRequests()))
				c.Check(et.en.Wait(c.Context()), qt.IsNil)
				c.Check(et.records, qt.DeepEquals, tc.records)
			})
		})
	}
}

// A booking ran but its answer was lost, and the caller resends it to an
// instance that has lost control. "Not run" would be true of the second arrival
// only, and the caller would book again under another key.
func TestResendWithoutControlIsOutcomeUnknown(t *testing.T) {
	runEngineTest(t, func(c *qt.C, et *engineTest) {
		et.publish(func(vi *view.View) { vi.LeaseExpiry = time.Now() })
		qu := et.onceQuery()
		c.Assert(et.en.Run(c.Context(), qu).Code, qt.Equals, result.NotRunStale)
		qu.Resend = true
		c.Assert(et.en.Run(c.Context(), qu).Code, qt.Equals, result.OutcomeUnknown)
	})
}

// The caller disconnects while its booking runs. If the instance cancelled the
// booking, a resend would get "outcome unknown" forever; so the booking
// continues, and the resend gets the recorded answer. Its hedge delay passes
// without a second request.
func TestNotRepeatableQueryOutlivesCaller(t *testing.T) {
	runEngineTest(t, func(c *qt.C, et *engineTest) {
		ctx, cancel := context.WithCancel(c.Context())
		et.reply = func(_ context.Context, rq backend.Request, server string) (backend.Reply, error) {
			cancel()
			time.Sleep(50 * time.Millisecond)
			return okReply(rq, server), nil
		}
		an := et.en.Run(ctx, et.onceQuery())
		c.Assert(summary(an), qt.Equals, "Complete [a b] []")
		c.Assert(et.records, qt.DeepEquals, []string{"begin, 0 sent", "finish Complete"})
		c.Assert(len(et.sentRequests()), qt.Equals, 2)
	})
}
