package stall

import "time"

const (
	// mergeGap is the time between two stuck requests up to which they belong to one
	// stall. A server gets a request every 30 ms or so.
	mergeGap = 100 * time.Millisecond
	// troubleLength is the length from which a series of stuck requests is no stall. Its
	// first request may have been sent before the stall, and the last one is answered
	// after the requests that waited with it.
	troubleLength = MaxLength + 100*time.Millisecond
	// troubleTTL is how long a server counts as in trouble after the last stuck request of
	// such a series. Its stalls are neither announced nor recorded meanwhile.
	troubleTTL = 2 * time.Second
	// maxAge is the age from which an observation is dropped.
	maxAge = 3 * time.Second
	// minLeft is the time for which a stall is announced again that lasts longer than
	// expected.
	minLeft = 40 * time.Millisecond
	// minStuck is the time for which a request must be stuck, and sameRequest the difference of
	// send times from which two requests are different ones. A series of one shorter request
	// may be work that took long by itself, and is no stall.
	minStuck    = 40 * time.Millisecond
	sameRequest = 4 * time.Millisecond
	// minRealFraction is the fraction of the series that were stalls from which one stuck
	// request is enough for news; below it two are needed. realGain is the weight of one
	// series in that fraction.
	minRealFraction = 0.5
	realGain        = 0.03
	// maxServers bounds the servers that are tracked, maxStalls the stalls recorded of one,
	// maxNews the news that wait to be sent.
	maxServers = 16384
	maxStalls  = 12
	maxNews    = 512
	// idleTTL is the time without an observation after which a server is forgotten.
	idleTTL = time.Minute
)

// Tracker combines the observations of all entry instances at a control instance. It is
// not safe for concurrent use.
type Tracker struct {
	servers   map[string]*server
	groups    map[uint32]*group
	news      []announced
	withdrawn []Forecast // that wait to be sent
	changes   []Change
	counts    Counts
	real      float64 // fraction of the last series of stuck requests that were stalls
	swept     time.Duration
}

// server is the state of one start of a backend server.
type server struct {
	id           string
	group        uint32
	born         int64
	seen         time.Duration // time of the last observation
	current      interval      // the newest series of stuck requests
	recorded     bool          // current is in stalls
	stalls       []interval    // earlier ones, the oldest first
	announced    time.Duration // until when the current one has been announced
	troubleUntil time.Duration
	forecast     *forecast     // nil if there is none
	period       time.Duration // of the forecast
}

// interval is a time in which requests were stuck at a server.
type interval struct {
	start, end time.Duration
	answered   bool // end is the time of an answer
	lastSent   time.Duration
	requests   int // requests that were stuck
}

// isStall reports whether the requests show a stall, and not just work that took long.
func (in interval) isStall() bool { return in.requests > 1 || in.end-in.start >= minStuck }

// announced is news that waits to be sent.
type announced struct {
	id           string
	born         int64
	began, until time.Duration
	since        time.Duration
}

// NewTracker returns a Tracker without observations.
func NewTracker() *Tracker {
	return &Tracker{real: 1, servers: make(map[string]*server), groups: make(map[uint32]*group)}
}

// Add adds observations that arrived now. Those of an earlier start of a server, and those
// that are too old, are dropped.
func (tr *Tracker) Add(at time.Duration, obs []Observation) {
	for _, ob := range obs {
		age, end := fromMillis(ob.AgeMillis), fromMillis(ob.EndMillis)
		if ob.ID == "" || age > maxAge || end > age {
			continue
		}
		if se := tr.server(at, ob); se != nil {
			tr.observe(at, ob, se, interval{
				start: at - age, end: at - end, answered: ob.Kind == Answered, lastSent: at - age, requests: 1,
			})
		}
	}
}

// server returns the state of the server of an observation, or nil if the observation is of
// an earlier start.
func (tr *Tracker) server(at time.Duration, ob Observation) *server {
	se := tr.servers[ob.ID]
	switch {
	case se == nil && len(tr.servers) >= maxServers:
		return nil
	case se != nil && ob.Born < se.born:
		return nil
	case se == nil || ob.Born > se.born:
		if se != nil && se.forecast != nil {
			tr.drop(se, reasonRestarted)
		}
		se = &server{id: ob.ID, born: ob.Born, group: ob.Group}
		if _, ok := tr.groups[ob.Group]; !ok && len(tr.groups) >= maxGroups {
			se.group = allServers
		}
		tr.servers[ob.ID] = se
	}
	se.seen = at
	return se
}

// observe adds an interval to the series of stuck requests that it belongs to, or begins a
// new one.
func (tr *Tracker) observe(at time.Duration, ob Observation, se *server, in interval) {
	if se.forecast != nil {
		se.forecast.observe(ob, in)
	}
	if ob.Kind == Quick {
		return
	}
	cu := &se.current
	switch {
	case cu.end == 0 || in.start > cu.end+mergeGap:
		tr.record(se)
		*cu, se.recorded, se.announced = in, false, 0
	case in.end < cu.start-mergeGap:
		return // A late observation of an earlier stall.
	default:
		if in.start > cu.lastSent+sameRequest || in.start < cu.start-sameRequest {
			cu.requests++
		}
		cu.start, cu.lastSent = min(cu.start, in.start), max(cu.lastSent, in.start)
		if in.end > cu.end {
			cu.end, cu.answered = in.end, in.answered
		}
	}
	if cu.end-cu.start > troubleLength {
		se.troubleUntil = cu.end + troubleTTL
	}
	if at < se.troubleUntil {
		se.recorded = true // It is not recorded later, either.
		return
	}
	if (tr.real >= minRealFraction || cu.requests > 1) && (ob.Kind == Stuck || ob.Kind == Abandoned && at-in.end < minLeft) {
		tr.announce(at, ob.ID, se)
	}
}

// record appends the series of stuck requests that has ended to the recorded stalls.
func (tr *Tracker) record(se *server) {
	if se.current.end == 0 || se.recorded {
		return
	}
	se.recorded = true
	if !se.current.isStall() {
		tr.real -= realGain * tr.real
		return
	}
	tr.real += realGain * (1 - tr.real)
	if fc := se.forecast; fc != nil {
		if !fc.near(se.current) {
			fc.numIrregular++
		}
		return // It is observed in part only.
	}
	if len(se.stalls) >= maxStalls {
		se.stalls = se.stalls[1:]
	}
	se.stalls = append(se.stalls, se.current)
}

// announce queues news of the current stall unless it has been announced already.
func (tr *Tracker) announce(at time.Duration, id string, se *server) {
	if at < se.announced || len(tr.news) >= maxNews {
		return
	}
	if se.forecast != nil && se.forecast.covers(interval{start: at, end: at}) {
		return // The entry instances avoid it already.
	}
	until := max(se.current.start+tr.length(se), at+minLeft)
	se.announced = until
	tr.news = append(tr.news, announced{id: id, born: se.born, began: se.current.start, until: until, since: at})
}

// length returns how long the stalls of a server are expected to last: the longest of its
// recent ones, since a request that was abandoned has not seen the end.
func (tr *Tracker) length(se *server) time.Duration {
	if len(se.stalls) == 0 {
		return defaultLength
	}
	longest := MinLength
	for _, in := range se.stalls[max(0, len(se.stalls)-3):] {
		longest = max(longest, in.end-in.start)
	}
	return min(longest, MaxLength)
}

// HasNews reports whether TakeNews would return news.
func (tr *Tracker) HasNews() bool { return len(tr.news) > 0 }

// TakeNews returns the news to be sent to the entry instances and removes them. News that
// have waited for MaxNewsAge are left out.
func (tr *Tracker) TakeNews(at time.Duration) []Stall {
	var out []Stall
	for _, an := range tr.news {
		if at-an.since < MaxNewsAge && at < an.until {
			out = append(out, Stall{ID: an.id, Born: an.born, AgeMillis: millis(at - an.began), LeftMillis: millis(an.until - at)})
		}
	}
	tr.news = tr.news[:0]
	return out
}

// Drop drops everything, because the process stood still.
func (tr *Tracker) Drop() {
	tr.servers, tr.groups = make(map[string]*server), make(map[uint32]*group)
	tr.news, tr.withdrawn = nil, nil
}

// Update brings the state up to date. It should be called a few times a second.
func (tr *Tracker) Update(at time.Duration) {
	for _, se := range tr.servers {
		if at-se.current.end > mergeGap {
			tr.record(se)
		}
	}
	tr.updateForecasts(at)
	if at-tr.swept < idleTTL/4 {
		return
	}
	tr.swept = at
	for id, se := range tr.servers {
		if at-se.seen >= idleTTL && se.forecast == nil {
			delete(tr.servers, id)
		}
	}
}
