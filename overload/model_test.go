package overload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// model is a tier whose backend servers run one queue of requests. Two control instances
// get all reports, unless they are cut off.
type model struct {
	instances int
	capacity  float64 // requests per second
	shared    bool    // levels are used
	// rate returns the requests per second of a source at a time.
	rate map[Source]func(at time.Duration) float64
	// lost returns the part of the capacity that is gone at a time.
	lost func(at time.Duration) float64
	// reaches reports whether an instance and a control instance hear each other.
	reaches func(at time.Duration, instance, control int) bool
	patient bool // rejected callers wait before their one retry
}

// tally is what a source's callers got.
type tally struct{ sent, inTime, refused, refusedTwice int }

type modelRequest struct {
	so    Source
	at    time.Duration // when the caller first sent it
	retry bool
}

type modelEnd struct {
	instance   int
	overloaded bool
}

const (
	modelStep     = 5 * time.Millisecond
	modelTarget   = 200 * time.Millisecond
	modelDeadline = 600 * time.Millisecond // how long callers wait
	overloadLag   = 40 * time.Millisecond  // wait from which servers report a queue
)

var base = time.Unix(1000, 0)

// run runs the model and returns the tallies of requests sent from start to end, and how
// many requests were refused at or after quiet.
func (mo model) run(span, start, end, quiet time.Duration) (map[Source]*tally, int) {
	rn := rand.New(rand.NewPCG(1, uint64(mo.instances)))
	var mes []*Meter
	var gas []*Gate
	for range mo.instances {
		mes, gas = append(mes, NewMeter()), append(gas, NewGate(rn.Float64()))
	}
	cos := []*Controller{NewController(), NewController()}
	var busyUntil time.Duration
	due, ends := make(map[time.Duration][]modelRequest), make(map[time.Duration][]modelEnd)
	out, refusedLate, owed := make(map[Source]*tally), 0, make(map[Source]float64)
	for so := range mo.rate {
		out[so] = &tally{}
	}
	serve := func(at time.Duration, rq modelRequest) {
		in := rn.IntN(mo.instances)
		counted := rq.at >= start && rq.at < end
		admitted := !mo.shared || gas[in].Admit(base.Add(at), "g", rq.so)
		mes[in].Arrived("g", rq.so, admitted)
		ta := out[rq.so]
		if !admitted {
			if at >= quiet {
				refusedLate++
			}
			if counted && rq.retry {
				ta.refusedTwice++
			}
			if counted && !rq.retry {
				ta.refused++
			}
			if !rq.retry {
				wait := modelStep
				if mo.patient {
					wait = modelTarget / 4
				}
				due[at+wait] = append(due[at+wait], modelRequest{rq.so, rq.at, true})
			}
			return
		}
		wait := max(0, busyUntil-at)
		if wait >= modelDeadline { // The caller leaves before a server starts to work.
			ends[at+modelDeadline] = append(ends[at+modelDeadline], modelEnd{in, true})
			return
		}
		busyUntil = max(busyUntil, at) + time.Duration(float64(time.Second)/(mo.capacity*(1-mo.lost(at))))
		done := (busyUntil/modelStep + 1) * modelStep
		ends[done] = append(ends[done], modelEnd{in, wait >= overloadLag})
		if counted && done-rq.at <= modelTarget {
			ta.inTime++
		}
	}
	sources := make([]Source, 0, len(mo.rate))
	for so := range mo.rate {
		sources = append(sources, so)
	}
	slices.SortFunc(sources, compareSources)
	for at := time.Duration(0); at < span; at += modelStep {
		for _, so := range sources {
			for owed[so] += mo.rate[so](at) * modelStep.Seconds() * 2 * rn.Float64(); owed[so] >= 1; owed[so]-- {
				if at >= start && at < end {
					out[so].sent++
				}
				serve(at, modelRequest{so, at, false})
			}
		}
		for _, rq := range due[at] {
			serve(at, rq)
		}
		for _, en := range ends[at] {
			mes[en.instance].Ended("g", en.overloaded)
		}
		delete(due, at)
		delete(ends, at)
		if at%ReportInterval != 0 {
			continue
		}
		for in, me := range mes {
			res := me.Take(func(group string) bool { return gas[in].Watched(base.Add(at), group) })
			for ix, co := range cos {
				if mo.reaches(at, in, ix) {
					co.Add(base.Add(at), res)
				}
			}
		}
		for ix, co := range cos {
			for _, ls := range co.Evaluate(base.Add(at)) {
				for in, ga := range gas {
					if mo.reaches(at, in, ix) {
						ga.Update(base.Add(at), string(rune('a'+ix)), ls)
					}
				}
			}
		}
	}
	return out, refusedLate
}

func always(time.Duration, int, int) bool { return true }
func noneLost(time.Duration) float64      { return 0 }
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// during returns a rate that is multiplied from 4 s to 12 s.
func during(rate, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 4*time.Second && at < 12*time.Second {
			return rate * factor
		}
		return rate
	}
}

var fleets = []int{32, 83, 191}

// threeClasses returns rates of 700 requests per second in three classes and 12 customers.
func threeClasses(factor float64) map[Source]func(time.Duration) float64 {
	rate := make(map[Source]func(time.Duration) float64)
	for ix := range 12 {
		rate[Source{Class(ix % 3), string(rune('a' + ix))}] = during(700.0/12, factor)
	}
	return rate
}

// summary returns the fractions in time: overall, by class, and the lowest of a customer,
// and the fraction of requests refused twice.
func summary(out map[Source]*tally) (overall float64, classes [3]float64, lowest, twice float64) {
	var sum tally
	var byClass [3]tally
	lowest = 1
	for so, ta := range out {
		sum.sent += ta.sent
		sum.inTime += ta.inTime
		sum.refusedTwice += ta.refusedTwice
		byClass[so.Class].sent += ta.sent
		byClass[so.Class].inTime += ta.inTime
		lowest = min(lowest, float64(ta.inTime)/float64(ta.sent))
	}
	for ix, ta := range byClass {
		classes[ix] = float64(ta.inTime) / float64(max(1, ta.sent))
	}
	return float64(sum.inTime) / float64(sum.sent), classes, lowest, float64(sum.refusedTwice) / float64(sum.sent)
}

// Callers send three times the load, or half of the servers are gone. Each instance has too
// few requests to see it, so all requests queued and were late together. Now most of what
// the servers can do is in time, the urgent ones first, no customer gets less than a quarter
// of the average, and three seconds later nothing is refused. The same holds if callers
// ignore when to retry.
func TestOverloadOfAllInstances(t *testing.T) {
	half := func(at time.Duration) float64 {
		if at >= 4*time.Second && at < 12*time.Second {
			return 0.5
		}
		return 0
	}
	tests := []struct {
		name     string
		factor   float64
		lost     func(time.Duration) float64
		patient  bool
		possible float64 // the fraction that the servers can run
	}{
		{"three times the load", 3, noneLost, true, 1000.0 / 2100},
		{"callers that retry at once", 3, noneLost, false, 1000.0 / 2100},
		{"half of the servers gone", 1, half, true, 500.0 / 700},
	}
	for _, tt := range tests {
		for _, instances := range fleets {
			mo := model{instances: instances, capacity: 1000, rate: threeClasses(tt.factor), lost: tt.lost, reaches: always, patient: tt.patient}
			before, _ := mo.run(20*time.Second, 5*time.Second, 12*time.Second, 19*time.Second)
			mo.shared = true
			after, late := mo.run(20*time.Second, 5*time.Second, 12*time.Second, 15*time.Second)
			was, _, _, _ := summary(before)
			overall, classes, lowest, twice := summary(after)
			co := qt.Commentf("%s, %d instances: in time %.2f before, %.2f after, of possible %.2f; classes %.2f, lowest customer %.2f, refused twice %.2f, refused after 3 s %d",
				tt.name, instances, was, overall, tt.possible, classes, lowest, twice, late)
			t.Log(co)
			qt.Check(t, overall >= 0.75*tt.possible && overall > was, qt.IsTrue, co)
			qt.Check(t, classes[0] >= classes[1]-0.02 && classes[1] >= classes[2]-0.02, qt.IsTrue, co)
			qt.Check(t, lowest >= overall/4, qt.IsTrue, co)
			qt.Check(t, late, qt.Equals, 0, co)
		}
	}
}
