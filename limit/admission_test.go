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

// fixedRoom returns a config for servers that run one query at a time in 10 ms.
func fixedRoom(queries float64) AdmissionConfig {
	return AdmissionConfig{ServiceCapacity: func(string) ServiceCapacity {
		return ServiceCapacity{Concurrency: queries / roomFactor, MedianLatency: 10 * ms}
	}}.withDefaults()
}

// A burst finds the queue longer than the deadline allows. Whoever can't be
// served hears so at once and not after waiting, and those refused are sent
// back one after another, so that they don't return as a second burst.
func TestRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	qu := newQueue(fixedRoom(1))
	deadline := t0.Add(100 * ms)
	queued := 0
	var back []time.Duration
	for range 20 {
		wa, retryAfter := qu.arrive(t0, "s", 1, 3, deadline)
		if wa != nil {
			queued++
			continue
		}
		back = append(back, retryAfter)
	}
	c.Assert(queued, qt.Equals, 10)
	c.Assert(back[0] >= 80*ms && back[9] >= back[0]+80*ms, qt.IsTrue, qt.Commentf("%v", back))
	wa, _ := qu.arrive(t0, "s", 1, 3, t0.Add(time.Second))
	c.Assert(wa, qt.IsNotNil, qt.Commentf("a later deadline has time to wait"))
	_, now := qu.arrive(t0, "s", 1, 3, t0)
	c.Assert(now, qt.Not(qt.Equals), time.Duration(0), qt.Commentf("the deadline has passed"))
}

// One service has a surge of ten times what the instance can run. Another sends
// as much as before; its queries must not queue behind the surge.
func TestSurgeStarvesNobody(t *testing.T) {
	c := qt.New(t)
	cf := AdmissionConfig{MaxLeafRequests: 4, Target: -1}.withDefaults()
	qu := newQueue(cf)
	now, deadline := t0, t0.Add(time.Hour)
	var runs []*waiting
	started := map[string]int{}
	all := map[*waiting]bool{}
	arrive := func(service string, weight int) {
		wa, _ := qu.arrive(now, service, weight, 1, deadline)
		all[wa] = true
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
		for wa := range all {
			if wa.state == running {
				started[wa.li.name]++
				runs = append(runs, wa)
				delete(all, wa)
			}
		}
		for _, wa := range runs {
			qu.end(now, wa)
		}
	}
	c.Assert(started["calm"] >= 995, qt.IsTrue, qt.Commentf("%v", started))
	c.Assert(started["heavy"] >= 1990, qt.IsTrue, qt.Commentf("%v", started))
	c.Assert(started["surge"] >= 990, qt.IsTrue, qt.Commentf("%v", started))
}

// A leaf without a replica is stuck, and each query waits for it until its
// deadline. If those queries kept their room, the instance would refuse what
// the other leafs could well answer in part.
func TestStuckLeafTakesNoRoom(t *testing.T) {
	c := qt.New(t)
	qu := newQueue(fixedRoom(1))
	stuck, _ := qu.arrive(t0, "s", 1, 3, t0.Add(time.Second))
	c.Assert(stuck.state, qt.Equals, running)
	next, _ := qu.arrive(t0, "s", 1, 3, t0.Add(time.Second))
	c.Assert(next.state, qt.Equals, queued)
	at, ok := qu.nextAged()
	c.Assert([]any{at, ok}, qt.DeepEquals, []any{t0.Add(agedFactor * 10 * ms), true})
	qu.advance(at.Add(1))
	c.Assert(next.state, qt.Equals, running)
	qu.end(at, stuck)
	c.Assert(qu.cost, qt.Equals, 3)
}

// Admit lets queries start, wait, give up and run out of time on the clock.
func TestAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ad := NewAdmission(timer.New(), fixedRoom(1))
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

// Callers send twice what the servers can take, for seconds. Without a bound
// the entry sends work whose time is over when it ends, answers nothing in
// time and needs long to recover.
func TestSurge(t *testing.T) {
	c := qt.New(t)
	tr := trial{
		entries: 2, leafs: 3, slots: 4, length: 9 * time.Second, deadline: 250 * ms, hop: 200 * time.Microsecond,
		tactics: "Adaptive", admit: &AdmissionConfig{}, seed: 1, load: steady(1),
	}
	capacity := tr.run()
	tr.load = surge
	ta := tr.run()
	for se := 3; se < 6; se++ {
		c.Check(ta.bySecond[se]*10 >= capacity.bySecond[se]*9, qt.IsTrue, qt.Commentf("second %d: %d of %d", se, ta.bySecond[se], capacity.bySecond[se]))
	}
	c.Check(ta.shed*100 < ta.sent, qt.IsTrue, qt.Commentf("%d of %d shed", ta.shed, ta.sent))
	late := millis(ta.refusals, 0.99)
	c.Check(len(ta.refusals) > 0 && late <= 20, qt.IsTrue, qt.Commentf("%v ms", late))
	before, after := ta.bySecond[0]+ta.bySecond[1], ta.bySecond[7]+ta.bySecond[8]
	c.Check(after*10 >= before*9, qt.IsTrue, qt.Commentf("%d after, %d before", after, before))
}
