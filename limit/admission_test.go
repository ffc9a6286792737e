package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

// fixedCapacity returns a config for servers that run the given number of
// queries at a time, each in 10 ms.
func fixedCapacity(queries float64) AdmissionConfig {
	return AdmissionConfig{ServiceCapacity: func(string) ServiceCapacity {
		return ServiceCapacity{Concurrency: queries / concurrencyFactor, MedianLatency: 10 * ms}
	}}.withDefaults()
}

// In a burst, the queue gets longer than the deadline allows. Queries that can't
// be served must be rejected at once instead of after waiting. Their retry
// delays must be spaced, or they come back as a second burst.
func TestAdmissionRejectsWhenQueueExceedsDeadline(t *testing.T) {
	c := qt.New(t)
	qu := newQueue(fixedCapacity(1))
	deadline := t0.Add(100 * ms)
	queued := 0
	var retries []time.Duration
	for range 20 {
		qy, retryAfter := qu.enqueue(t0, "s", 1, 3, deadline)
		if qy != nil {
			queued++
			continue
		}
		retries = append(retries, retryAfter)
	}
	c.Assert(queued, qt.Equals, 10)
	c.Assert(retries[0] >= 80*ms && retries[9] >= retries[0]+80*ms, qt.IsTrue, qt.Commentf("%v", retries))
	qy, _ := qu.enqueue(t0, "s", 1, 3, t0.Add(time.Second))
	c.Assert(qy, qt.IsNotNil, qt.Commentf("a later deadline has time to wait"))
	_, now := qu.enqueue(t0, "s", 1, 3, t0)
	c.Assert(now, qt.Not(qt.Equals), time.Duration(0), qt.Commentf("the deadline has passed"))
}

// One service has a surge of ten times what the instance can run, another sends
// as much as before. The other service's queries must not queue behind the
// surge.
func TestAdmissionIsFairDuringSurge(t *testing.T) {
	c := qt.New(t)
	cf := AdmissionConfig{MaxLeafRequests: 4, Target: -1}.withDefaults()
	qu := newQueue(cf)
	now, deadline := t0, t0.Add(time.Hour)
	var runs []*query
	started := map[string]int{}
	all := map[*query]bool{}
	arrive := func(service string, weight int) {
		qy, _ := qu.enqueue(now, service, weight, 1, deadline)
		all[qy] = true
	}
	for range 1000 {
		now = now.Add(ms)
		for range 10 {
			arrive("surge", 1)
		}
		arrive("calm", 1)
		arrive("heavy", 2)
		arrive("heavy", 2)
		runs = runs[:0]
		for qy := range all {
			if qy.state == running {
				started[qy.sq.name]++
				runs = append(runs, qy)
				delete(all, qy)
			}
		}
		for _, qy := range runs {
			qu.end(now, qy)
		}
	}
	c.Assert(started["calm"] >= 995, qt.IsTrue, qt.Commentf("%v", started))
	c.Assert(started["heavy"] >= 1990, qt.IsTrue, qt.Commentf("%v", started))
	c.Assert(started["surge"] >= 990, qt.IsTrue, qt.Commentf("%v", started))
}

// A leaf without a replica is stuck, and each query waits for it until its
// deadline. If those queries kept their places, the instance would reject
// queries that the other leafs could answer in part.
func TestAgedQueryFreesItsPlace(t *testing.T) {
	c := qt.New(t)
	qu := newQueue(fixedCapacity(1))
	stuck, _ := qu.enqueue(t0, "s", 1, 3, t0.Add(time.Second))
	c.Assert(stuck.state, qt.Equals, running)
	next, _ := qu.enqueue(t0, "s", 1, 3, t0.Add(time.Second))
	c.Assert(next.state, qt.Equals, queued)
	at, ok := qu.nextAgedAt()
	c.Assert([]any{at, ok}, qt.DeepEquals, []any{t0.Add(agedFactor * 10 * ms), true})
	qu.advance(at.Add(1))
	c.Assert(next.state, qt.Equals, running)
	qu.end(at, stuck)
	c.Assert(qu.runningCost, qt.Equals, 3)
}

// Queries start, are rejected, are cancelled and expire.
func TestAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ad := NewAdmission(timer.New(), fixedCapacity(1))
		start := time.Now()
		admit := func(ctx context.Context, wait time.Duration) (func(bool), *result.Error) {
			return ad.Admit(ctx, "s", 1, 3, start.Add(wait))
		}
		release, err := admit(t.Context(), 60*ms)
		c.Assert(err == nil, qt.IsTrue)

		_, err = admit(t.Context(), 50*ms)
		c.Assert(err.Code, qt.Equals, result.NotRunOverloaded)
		c.Assert(time.Since(start) <= 50*ms, qt.IsTrue, qt.Commentf("refused when it could no longer start in time"))

		ctx, cancel := context.WithTimeout(t.Context(), ms)
		defer cancel()
		_, err = admit(ctx, time.Second)
		c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)

		done := make(chan struct{})
		go func() {
			defer close(done)
			second, err := admit(t.Context(), time.Second)
			c.Check(err == nil, qt.IsTrue)
			second(false)
			second(false)
		}()
		synctest.Wait()
		release(true)
		release(true)
		<-done
		c.Assert(ad.Stats("s"), qt.Equals, AdmissionStats{Admitted: 2, Expired: 1, Unserved: 1})
	})
}

// For seconds, callers send twice what the servers can take. Without a bound,
// the instance would send queries that end after their deadlines, answer nothing
// in time and take long to recover.
func TestGoodputDuringOverload(t *testing.T) {
	c := qt.New(t)
	sc := simConfig{
		entries: 2, leafs: 3, slots: 4, length: 9 * time.Second, deadline: 250 * ms, hop: 200 * time.Microsecond,
		tactics: "Adaptive", admission: &AdmissionConfig{}, seed: 1, load: steady(1),
	}
	capacity := sc.run()
	sc.load = surge
	sr := sc.run()
	for se := 3; se < 6; se++ {
		c.Check(sr.bySecond[se]*10 >= capacity.bySecond[se]*9, qt.IsTrue, qt.Commentf("second %d: %d of %d", se, sr.bySecond[se], capacity.bySecond[se]))
	}
	c.Check(sr.shed*100 < sr.sent, qt.IsTrue, qt.Commentf("%d of %d shed", sr.shed, sr.sent))
	late := quantileMillis(sr.refusals, 0.99)
	c.Check(len(sr.refusals) > 0 && late <= 20, qt.IsTrue, qt.Commentf("%v ms", late))
	before, after := sr.bySecond[0]+sr.bySecond[1], sr.bySecond[7]+sr.bySecond[8]
	c.Check(after*10 >= before*9, qt.IsTrue, qt.Commentf("%d after, %d before", after, before))
}
