package stall

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// model is a tier of entry instances whose queries ask one of three servers of each shard:
// 83 instances that send 1.4 requests a second to each of 108 servers. All instances hear
// news and forecasts at the same time, 5 ms after the control instance has them, so that one
// Outlook for each server is enough.
type model struct {
	rn      *rand.Rand
	tr      *Tracker
	servers []*modelServer
	now     time.Duration
	due     map[time.Duration][]func()
	reasons map[string]int // of dropped forecasts

	requests, met int // requests, and those that met a stall
	sent          func(se *modelServer)
}

// modelServer is a backend server.
type modelServer struct {
	se     Server
	ou     Outlook
	stalls []interval // all stalls, the earliest first
	extra  time.Duration
}

const (
	modelShards  = 36
	modelQueries = 0.117 * 10 // queries in 10 ms: 117 a second, 39 requests a second to a server
	modelStep    = 10 * ms
)

// newModel returns a tier whose servers stall at the times that the function returns for
// each of them.
func newModel(seed uint64, stalls func(rn *rand.Rand, ix int) []interval) *model {
	mo := &model{rn: rand.New(rand.NewPCG(seed, 7)), tr: NewTracker(), reasons: make(map[string]int), due: make(map[time.Duration][]func()), sent: func(*modelServer) {}}
	for ix := range 3 * modelShards {
		mo.servers = append(mo.servers, &modelServer{
			se: Server{ID: fmt.Sprint("s", ix), Group: 1}, stalls: stalls(mo.rn, ix),
		})
	}
	return mo
}

// regular returns stalls of a length at regular times, each up to jitter sooner or later.
func regular(period, length, jitter time.Duration) func(rn *rand.Rand, ix int) []interval {
	return func(rn *rand.Rand, _ int) []interval {
		var out []interval
		for at := time.Duration(rn.Int64N(int64(period))); at < 3*time.Minute; at += period {
			start := at
			if jitter > 0 {
				start += time.Duration(rn.Int64N(int64(2*jitter))) - jitter
			}
			out = append(out, interval{start: start, end: start + length})
		}
		return out
	}
}

// random returns stalls of a length whose distances are random.
func random(mean, length time.Duration) func(rn *rand.Rand, ix int) []interval {
	return func(rn *rand.Rand, _ int) []interval {
		var out []interval
		for at := time.Duration(0); at < 3*time.Minute; {
			at += length + time.Duration(rn.ExpFloat64()*float64(mean))
			out = append(out, interval{start: at, end: at + length})
		}
		return out
	}
}

// answerAt returns when a server answers a request that is sent now, and whether it meets a
// stall.
func (ms *modelServer) answerAt(now, work time.Duration) (time.Duration, bool) {
	end := now + work + ms.extra
	for _, in := range ms.stalls {
		if in.end > now && in.start < end {
			return in.end + (end - max(in.start, now)), true
		}
	}
	return end, false
}

func (mo *model) after(delay time.Duration, fn func()) {
	at := (mo.now + delay + modelStep/10 - 1) / modelStep * modelStep
	mo.due[at] = append(mo.due[at], fn)
}

// report sends an observation to the control instance.
func (mo *model) report(se *modelServer, ki Kind, sent time.Duration) {
	ob := Observation{ID: se.se.ID, Born: se.se.Born, Group: se.se.Group, Kind: ki, AgeMillis: millis(mo.now - sent)}
	mo.tr.Add(mo.now, []Observation{ob})
}

// request sends a request to one of the servers.
func (mo *model) request(replicas []*modelServer) {
	work := 4*ms + time.Duration(mo.rn.Int64N(int64(10*ms)))
	var free []*modelServer
	first, firstUntil := replicas[0], time.Duration(0)
	for _, se := range replicas {
		until, forecast, stalled := se.ou.Until(mo.now, 10*ms)
		if !stalled || forecast && mo.rn.Float64() < 0.04 {
			free = append(free, se)
		} else if firstUntil == 0 || until < firstUntil {
			first, firstUntil = se, until
		}
	}
	if len(free) > 0 {
		first = free[mo.rn.IntN(len(free))]
	}
	sent := mo.now
	mo.sent(first)
	end, met := first.answerAt(sent, work)
	mo.requests++
	if met {
		mo.met++
	}
	wait := StuckAfter(10 * ms)
	if end-sent < wait {
		mo.after(end-sent, func() {
			if first.ou.Contradicts(mo.now, sent) {
				mo.report(first, Quick, sent)
			}
		})
		return
	}
	mo.after(wait, func() { mo.report(first, Stuck, sent) })
	if end-sent > 50*ms {
		mo.after(50*ms, func() { mo.report(first, Abandoned, sent) })
		return
	}
	mo.after(end-sent, func() { mo.report(first, Answered, sent) })
}

// run lets time pass and returns the fraction of requests that met a stall.
func (mo *model) run(until time.Duration) float64 {
	mo.requests, mo.met = 0, 0
	for ; mo.now < until; mo.now += modelStep {
		for _, fn := range mo.due[mo.now] {
			fn()
		}
		delete(mo.due, mo.now)
		if mo.now%(250*ms) == 0 {
			mo.tr.Update(mo.now)
			for _, ch := range mo.tr.TakeChanges() {
				mo.reasons[ch.Reason]++
			}
			for _, fc := range mo.tr.TakeForecasts(mo.now) {
				if se := mo.find(fc.ID); se.se.Born == fc.Born {
					se.ou.SetForecast(mo.now, 0, fc)
				}
			}
		}
		for _, st := range mo.tr.TakeNews(mo.now) {
			mo.find(st.ID).ou.Hear(mo.now, 0, st)
		}
		for rest := modelQueries; rest > 0; rest-- {
			if mo.rn.Float64() > rest {
				break
			}
			for shard := range modelShards {
				mo.request(mo.servers[3*shard : 3*shard+3])
			}
		}
	}
	return float64(mo.met) / float64(mo.requests)
}

func (mo *model) find(id string) *modelServer {
	for _, se := range mo.servers {
		if se.se.ID == id {
			return se
		}
	}
	return nil
}

// numForecasts returns how many servers have a forecast, and how many of these forecasts
// overlap most of the true stall.
func (mo *model) numForecasts() (count, right int) {
	for _, se := range mo.servers {
		st := mo.tr.servers[se.se.ID]
		if st == nil || st.forecast == nil {
			continue
		}
		count++
		fc := st.forecast
		for _, in := range se.stalls {
			middle := (in.start + in.end) / 2
			if middle > fc.next-fc.spread && middle < fc.next+fc.length+fc.spread {
				right++
				break
			}
		}
	}
	return count, right
}

// Guards against forecasts that come late, that are wrong, or that are lost once the servers
// are avoided and hardly any stall is seen any more.
func TestRegularStallsAreForecast(t *testing.T) {
	tests := []struct {
		period, length, jitter time.Duration
		avoided                float64 // least fraction of the stalls that requests don't meet
		right                  int     // least number of right forecasts after a minute
	}{
		{3 * time.Second, 120 * ms, 10 * ms, 0.85, 105},
		{2995 * ms, 120 * ms, 30 * ms, 0.8, 105},
		{3 * time.Second, 120 * ms, 50 * ms, 0.75, 92},
		{4500 * ms, 200 * ms, 30 * ms, 0.85, 105},
		{6 * time.Second, 150 * ms, 20 * ms, 0.85, 105},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.period, tt.length, tt.jitter), func(t *testing.T) {
			c := qt.New(t)
			mo := newModel(1, regular(tt.period, tt.length, tt.jitter))
			mo.run(3*tt.period + time.Second)
			count, right := mo.numForecasts()
			t.Logf("after 3 periods: %d forecasts, %d right", count, right)
			c.Check(right >= 92, qt.IsTrue) // 85 %
			share := float64(tt.length+10*ms) / float64(tt.period)
			met := mo.run(60 * time.Second)
			count, right = mo.numForecasts()
			t.Logf("after 60 s: %d forecasts, %d right; %.4f of the requests met a stall, %.4f without forecasts; period %v; %+v %v", count, right, met, share, mo.tr.groups[allServers].period, mo.tr.counts, mo.reasons)
			c.Check(right >= tt.right, qt.IsTrue)
			c.Check(met <= (1-tt.avoided)*share, qt.IsTrue)
			off := mo.tr.groups[allServers].period - tt.period
			c.Check(off < 10*ms && off > -10*ms, qt.IsTrue)
		})
	}
}

// Guards against forecasts made from stalls that come at random.
func TestRandomStallsAreNotForecast(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(5) {
		mo := newModel(seed, random(3*time.Second, 120*ms))
		mo.run(40 * time.Second)
		c.Check(mo.tr.counts.Made, qt.Equals, uint64(0))
	}
}

// Guards against forecasts of a server that is slow for seconds, and against the others'
// being lost by it.
func TestSlowServerIsNotForecast(t *testing.T) {
	c := qt.New(t)
	mo := newModel(1, regular(3*time.Second, 120*ms, 30*ms))
	mo.servers[0].extra, mo.servers[0].stalls = 60*ms, nil
	mo.servers[1].stalls = random(time.Second, 150*ms)(mo.rn, 1)
	mo.run(40 * time.Second)
	c.Check(mo.tr.servers["s0"].forecast, qt.IsNil)
	c.Check(mo.tr.servers["s1"].forecast, qt.IsNil)
	count, right := mo.numForecasts()
	c.Check(right >= 97, qt.IsTrue, qt.Commentf("%d of %d", right, count))
}

// Guards against the forecast of a server that started again, whose phase is a new one.
func TestRestartedServerStartsFromNothing(t *testing.T) {
	c := qt.New(t)
	mo := newModel(1, regular(3*time.Second, 120*ms, 20*ms))
	mo.run(20 * time.Second)
	se := mo.servers[5]
	c.Assert(mo.tr.servers["s5"].forecast, qt.Not(qt.IsNil))
	se.se.Born, se.ou = 2, Outlook{}
	for ix := range se.stalls {
		se.stalls[ix].start += 1300 * ms
		se.stalls[ix].end += 1300 * ms
	}
	mo.run(23 * time.Second)
	c.Check(mo.tr.servers["s5"].forecast, qt.IsNil)
	c.Check(mo.reasons[reasonRestarted], qt.Equals, 1)
	mo.run(33 * time.Second)
	_, right := mo.numForecasts()
	c.Check(mo.tr.servers["s5"].forecast, qt.Not(qt.IsNil))
	c.Check(right >= 97, qt.IsTrue)
}

// Guards against forecasts that are kept when the stalls end or come at other times.
func TestForecastIsDroppedWhenItFails(t *testing.T) {
	c := qt.New(t)
	mo := newModel(1, regular(3*time.Second, 120*ms, 20*ms))
	mo.run(20 * time.Second)
	for _, se := range mo.servers[:20] {
		se.stalls = nil
	}
	mo.run(90 * time.Second) // Each was unconfirmed for more than maxUnconfirmed periods.
	count, right := mo.numForecasts()
	t.Logf("%d forecasts, %d right, %+v", count, right, mo.tr.counts)
	c.Check(count-right <= 4, qt.IsTrue)
	c.Check(right >= 78, qt.IsTrue)
}
