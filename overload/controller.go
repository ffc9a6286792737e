package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// overloadedFraction is the fraction of ended requests that must have met servers
	// without capacity for an overload. Single slow or paused servers cause less.
	overloadedFraction = 0.3
	// minEnded is how many requests must have ended to judge.
	minEnded = 10
	// decreaseFactor scales the admitted rate, or the rate of ended requests if that is
	// lower, down on overload. maxDecrease bounds one step: while all servers pause for a
	// moment, hardly any request ends.
	decreaseFactor = 0.85
	maxDecrease    = 0.5
	// drainingFraction is the fraction of the rate of ended requests below which the limit
	// is not reduced further. Until the queues have drained, requests still meet overload,
	// and further decreases would leave servers idle afterwards.
	drainingFraction = 0.86
	// drainFactor scales the limit while requests meet overload, so that the queues at the
	// servers drain and answers are in time again soon.
	drainFactor = 0.7
	// decreaseInterval is the least time between two decreases. Requests that were admitted
	// before the last one must have ended, and been reported, before it shows.
	decreaseInterval = 300 * time.Millisecond
	// minLimit is the least limit as a fraction of the demand. While instances that are cut
	// off overload the servers, the others could not help by admitting less.
	minLimit = 0.15
	// slowIncrease is by how much the limit rises at each evaluation without overload. After
	// fastIncreaseAfter it rises by fastIncrease, and by as much more after each further
	// fastIncreaseAfter, up to maxIncrease, so that the normal state is soon back.
	slowIncrease      = 0.015
	fastIncrease      = 0.03
	maxIncrease       = 0.3
	fastIncreaseAfter = 600 * time.Millisecond
	// demandWeight is the weight of the latest interval in the mean demand.
	demandWeight = 0.2
	// unlimitedAfter is how long the limit must have been above the demand until everything
	// is admitted again.
	unlimitedAfter = 500 * time.Millisecond
	// watchCount is the number of requests that met overload, halved every 300 ms, from
	// which all entry instances are asked to report a group. settleTime is how long their
	// first reports may take, and watchTime how long they go on without any overload.
	watchCount = 3
	settleTime = 250 * time.Millisecond
	watchTime  = 2 * time.Second
	// resendInterval is the least time between two updates of the levels of a group, which
	// is every second evaluation, unless one is urgent. Within LevelsTTL one may be lost.
	resendInterval = 150 * time.Millisecond
	// urgentChange is the relative change of the overall fraction that is sent at once, as
	// when queues at the servers must drain or have drained.
	urgentChange = 0.2
	// minChange is the change of a fraction that is logged, and the difference from its
	// class from which a customer has a level of its own.
	minChange = 0.05
	// maxLevels bounds the levels in one message. With about 20 bytes each, from two
	// control instances five times a second, an entry instance receives 5 KB/s at most.
	maxLevels = 24
	// forgetAfter is how long a group without reports is kept.
	forgetAfter = 10 * time.Second
)

// Controller derives levels from the reports of all entry instances.
type Controller struct {
	groups map[string]*groupState
}

// groupState is the state of one group of services.
type groupState struct {
	sum        Report             // counts since the last evaluation, without arrivals
	arrived    map[Source]float64 // arrivals since the last evaluation
	demand     map[Source]float64 // mean arrivals per second
	admitted   float64            // mean admitted requests per second
	finished   float64            // mean ended requests per second
	ended      float64            // ended requests not judged yet
	overloaded float64
	limit      float64   // admitted requests per second; infinite if unlimited
	troubled   float64   // decaying count of requests that met overload
	watched    time.Time // since when all entry instances report; zero if they don't
	rounds     int       // evaluations since all entry instances report
	reduced    time.Time // when the limit was last reduced
	draining   bool      // the last requests judged met overload
	met        time.Time // when an overload was last seen
	spareSince time.Time // when the limit last rose above the demand; zero if it is below
	reportedAt time.Time
	evaluated  time.Time
	sent       Levels
	sentAt     time.Time
}

// NewController returns a Controller without reports. All groups are unlimited.
func NewController() *Controller { return &Controller{groups: make(map[string]*groupState)} }

// Add adds the reports of an entry instance.
func (co *Controller) Add(now time.Time, res []Report) {
	for _, re := range res {
		gr := co.groups[re.Group]
		if gr == nil {
			if len(co.groups) >= maxGroups {
				continue
			}
			gr = &groupState{arrived: make(map[Source]float64), demand: make(map[Source]float64), limit: math.Inf(1), evaluated: now}
			co.groups[re.Group] = gr
		}
		gr.add(now, re)
	}
}

func (gr *groupState) add(now time.Time, re Report) {
	gr.reportedAt = now
	gr.sum.Admitted += re.Admitted
	gr.sum.Ended += re.Ended
	gr.sum.Overloaded += min(re.Overloaded, re.Ended)
	for _, ar := range re.Arrived {
		so := Source{Class: min(ar.Class, NumClasses-1), Customer: ar.Customer}
		if _, ok := gr.demand[so]; !ok && len(gr.demand) >= maxCustomers {
			so.Customer = ""
		}
		gr.arrived[so] += float64(ar.Count)
		if _, ok := gr.demand[so]; !ok {
			gr.demand[so] = 0
		}
	}
}

// Evaluate returns the levels that should be sent now, sorted by group. It should be called
// every ReportInterval.
func (co *Controller) Evaluate(now time.Time) []Levels {
	var out []Levels
	for name, gr := range co.groups {
		if now.Sub(gr.reportedAt) >= forgetAfter {
			delete(co.groups, name)
			continue
		}
		gr.measure(now)
		gr.watch(now)
		gr.adjust(now)
		ls := gr.levels()
		ls.Group = name
		if due := ls.Watched && now.Sub(gr.sentAt) >= resendInterval; due || ls.urgent(&gr.sent) {
			gr.sent, gr.sentAt = ls, now
			out = append(out, ls)
		}
	}
	slices.SortFunc(out, func(aa, bb Levels) int { return cmp.Compare(aa.Group, bb.Group) })
	return out
}

// measure updates the mean rates.
func (gr *groupState) measure(now time.Time) {
	seconds := now.Sub(gr.evaluated).Seconds()
	if seconds <= 0 {
		return
	}
	gr.evaluated = now
	gr.rounds++
	weight := max(demandWeight, 1/float64(gr.rounds)) // The first intervals weigh the same.
	const negligible = 0.01
	for so, mean := range gr.demand {
		mean += weight * (gr.arrived[so]/seconds - mean)
		gr.demand[so] = mean
		if mean < negligible {
			delete(gr.demand, so)
		}
	}
	gr.admitted += weight * (float64(gr.sum.Admitted)/seconds - gr.admitted)
	gr.finished += weight * (float64(gr.sum.Ended)/seconds - gr.finished)
	const decay = 0.8 // in a ReportInterval
	gr.troubled = decay*gr.troubled + float64(gr.sum.Overloaded)
	gr.ended += float64(gr.sum.Ended)
	gr.overloaded += float64(gr.sum.Overloaded)
	gr.sum = Report{}
	clear(gr.arrived)
}

// watch decides whether all entry instances should report the group. Without trouble only
// those report that met overload, which says nothing about the others.
func (gr *groupState) watch(now time.Time) {
	if gr.troubled >= watchCount {
		gr.met = now
		if gr.watched.IsZero() {
			gr.watched = now
		}
	}
	if !gr.watched.IsZero() && math.IsInf(gr.limit, 1) && now.Sub(gr.met) >= watchTime {
		gr.watched = time.Time{}
	}
	if gr.settling(now) {
		gr.rounds, gr.ended, gr.overloaded = 0, 0, 0
	}
}

// settling reports whether some entry instances may not report yet.
func (gr *groupState) settling(now time.Time) bool {
	return gr.watched.IsZero() || now.Sub(gr.watched) < settleTime
}

// adjust raises or reduces the limit.
func (gr *groupState) adjust(now time.Time) {
	if gr.settling(now) {
		return
	}
	if gr.ended >= minEnded {
		overload := gr.overloaded >= overloadedFraction*gr.ended
		gr.ended, gr.overloaded = 0, 0
		gr.draining = overload
		if overload {
			gr.met, gr.spareSince = now, time.Time{}
			rate := min(gr.limit, gr.admitted)
			if now.Sub(gr.reduced) >= decreaseInterval && rate >= drainingFraction*gr.finished {
				gr.limit, gr.reduced = max(maxDecrease*rate, decreaseFactor*min(rate, gr.finished), minLimit*gr.total()), now
			}
			return
		}
	}
	if math.IsInf(gr.limit, 1) {
		return
	}
	gr.limit *= 1 + increase(now.Sub(gr.met))
	switch {
	case gr.limit < gr.total():
		gr.spareSince = time.Time{}
	case gr.spareSince.IsZero():
		gr.spareSince = now
	case now.Sub(gr.spareSince) >= unlimitedAfter:
		gr.limit, gr.spareSince = math.Inf(1), time.Time{}
	}
}

// increase returns by which part the limit rises, by the time since the last overload.
func increase(since time.Duration) float64 {
	if since < fastIncreaseAfter {
		return slowIncrease
	}
	return min(maxIncrease, fastIncrease*float64(since/fastIncreaseAfter))
}

func (gr *groupState) total() float64 {
	sum := 0.0
	for _, de := range gr.demand {
		sum += de
	}
	return sum
}

// levels divides the limit among the classes, and within a class among the customers.
func (gr *groupState) levels() Levels {
	total := gr.total()
	if math.IsInf(gr.limit, 1) || total == 0 {
		return Levels{Watched: !gr.watched.IsZero(), Fraction: 1, Demand: total}
	}
	rate := gr.limit
	if gr.draining {
		rate *= drainFactor
	}
	fraction := min(1, rate/total)
	out := Levels{Watched: true, Limited: true, Fraction: float32(fraction), Demand: total, Limit: rate}
	var classes [NumClasses]float64
	var members [NumClasses][]Source
	for so, de := range gr.demand {
		classes[so.Class] += de
		members[so.Class] = append(members[so.Class], so)
	}
	for class, share := range byClass(classes[:], rate) {
		if classes[class] > 0 {
			out.addClass(gr.demand, Class(class), members[class], share, fraction)
		}
	}
	return out
}

// addClass adds the level of a class, and those of its customers that differ from it.
func (ls *Levels) addClass(demand map[Source]float64, class Class, sos []Source, rate, overall float64) {
	slices.SortFunc(sos, func(aa, bb Source) int {
		return cmp.Or(cmp.Compare(demand[bb], demand[aa]), compareSources(aa, bb))
	})
	demands, total := make([]float64, len(sos)), 0.0
	for ix, so := range sos {
		demands[ix] = demand[so]
		total += demands[ix]
	}
	rates := allocate(demands, rate, minShare*overall)
	mean := min(1, rate/total)
	ls.Levels = append(ls.Levels, Level{Source{Class: class}, float32(mean)})
	if len(sos) == 1 {
		return
	}
	for ix, so := range sos {
		own := rates[ix] / max(demands[ix], math.SmallestNonzeroFloat64)
		if so.Customer != "" && math.Abs(own-mean) >= minChange && len(ls.Levels) < maxLevels {
			ls.Levels = append(ls.Levels, Level{so, float32(own)})
		}
	}
}

// urgent reports whether the levels should be sent at once after those sent before.
func (ls *Levels) urgent(sent *Levels) bool {
	return ls.Limited != sent.Limited || ls.Watched != sent.Watched ||
		math.Abs(float64(ls.Fraction-sent.Fraction)) >= urgentChange*float64(sent.Fraction) && ls.Limited
}

// differs reports whether the levels differ from those sent before by enough to be sent.
func (ls *Levels) differs(sent *Levels) bool {
	if ls.Limited != sent.Limited || ls.Watched != sent.Watched {
		return true
	}
	for _, le := range ls.Levels {
		if math.Abs(float64(le.Fraction)-sent.of(le.Source)) >= minChange {
			return true
		}
	}
	return false
}
