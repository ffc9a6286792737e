package feed

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"balsamwinch.example/peer"
	"balsamwinch.example/stall"
)

const (
	// minStallDelay is how long news of a stall waits for others at least.
	minStallDelay = 3 * time.Millisecond
	// stallDelayPerLink is the same for each entry instance: it bounds the messages that a
	// control instance sends to 8,000 a second, whatever the number of its links.
	stallDelayPerLink = 125 * time.Microsecond
	// stallUpdateInterval is the time between two updates of the tracker, and stallGap the
	// time from which the process is assumed to have stood still in between.
	stallUpdateInterval = 250 * time.Millisecond
	stallGap            = time.Second
	// stallTickGap is the time between two ticks of outlierInterval from which the process is
	// assumed to have paused. What arrives then, and for stallTickTTL after it, has waited for
	// an unknown time and is dropped.
	stallTickGap = 150 * time.Millisecond
	stallTickTTL = 50 * time.Millisecond
	// newsRate and newsBurst bound the news sent to each entry instance, 31 bytes each, to
	// 1.5 KB a second. Most stalls are forecast, and there are no news of these.
	newsRate  = 48
	newsBurst = 24
	// primarySpan is how long a control instance publishes news and forecasts after the last
	// report that was sent to it as the first of two.
	primarySpan = 10 * time.Second
	// maxObservations bounds the observations taken from one message.
	maxObservations = 256
	// Limits for log lines about stalls. A tier has dozens of them a second.
	stallLogRate  = 1  // lines per second in the long run
	stallLogBurst = 10 // lines at once
)

// StallReport tells a control instance what an entry instance saw of stalled backend
// servers.
type StallReport struct {
	Observations []stall.Observation `cbor:"1,keyasint"`
	// Secondary is set in the report to the second of two control instances. It evaluates the
	// reports, so that it knows all when the first one is lost, and publishes nothing.
	Secondary bool `cbor:"2,keyasint,omitempty"`
}

// Kind returns the kind of the message.
func (StallReport) Kind() peer.Kind { return kindStallReport }

// Stalls tells the entry instances which backend servers are stalled, and when they will be.
type Stalls struct {
	// UptimeMillis is the age of the control instance. It shows which messages were
	// delayed.
	UptimeMillis uint64           `cbor:"1,keyasint"`
	Stalls       []stall.Stall    `cbor:"2,keyasint,omitempty"`
	Forecasts    []stall.Forecast `cbor:"3,keyasint,omitempty"`
}

// Kind returns the kind of the message.
func (Stalls) Kind() peer.Kind { return kindStalls }

// stallShare is the part of a publisher that evaluates stalls.
type stallShare struct {
	mu        sync.Mutex
	tr        *stall.Tracker
	start     time.Time     // times of the tracker are since then
	tickAt    time.Duration // time of the last tick
	pausedAt  time.Duration // time of the last tick that came late
	updatedAt time.Duration
	flushedAt time.Duration
	scheduled bool
	primaryAt time.Duration // time of the last report that wasn't Secondary
	news      *rate.Limiter
	ll        *limitedLogger
	heard     atomic.Uint64 // observations
	sent      atomic.Uint64 // news, counted once for all entry instances
}

func newStallShare(now time.Time, lg *zap.Logger) *stallShare {
	return &stallShare{tr: stall.NewTracker(), start: now, primaryAt: -primarySpan, pausedAt: -stallTickTTL, news: rate.NewLimiter(newsRate, newsBurst), ll: newStallLogger(lg)}
}

func newStallLogger(lg *zap.Logger) *limitedLogger {
	return &limitedLogger{lg: lg, li: rate.NewLimiter(stallLogRate, stallLogBurst)}
}

// stallFeature returns the feature that a snapshot announces.
func (pu *Publisher) stallFeature() Features {
	if pu.stalls == nil {
		return 0
	}
	return FeatureStalls
}

// StallCounts counts what a control instance did about stalls.
type StallCounts struct {
	Heard     uint64 // Heard counts the observations that were received.
	Published uint64 // Published counts the news, once for all entry instances.
	Forecasts stall.Counts
}

// StallCounts returns the counts so far.
func (pu *Publisher) StallCounts() StallCounts {
	ss := pu.stalls
	if ss == nil {
		return StallCounts{}
	}
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return StallCounts{Heard: ss.heard.Load(), Published: ss.sent.Load(), Forecasts: ss.tr.Counts()}
}

// addStalls evaluates the observations of an entry instance.
func (pu *Publisher) addStalls(sb *subscriber, sr StallReport) {
	ss := pu.stalls
	if ss == nil || len(sr.Observations) == 0 {
		return
	}
	now := pu.ts.Now()
	numLinks := pu.numSubscribers()
	ss.mu.Lock()
	defer ss.mu.Unlock()
	at := now.Sub(ss.start)
	obs := sr.Observations[:min(len(sr.Observations), maxObservations)]
	ss.heard.Add(uint64(len(obs)))
	if at-ss.tickAt >= stallTickGap || at-ss.pausedAt < stallTickTTL {
		return
	}
	if !sr.Secondary {
		ss.primaryAt = at
	}
	ss.tr.Add(at, obs)
	if !ss.tr.HasNews() || ss.scheduled {
		return
	}
	ss.ll.info(now, "stall-reported", zap.String("ID", obs[0].ID), zap.String("Entry", sb.en.Name), zap.Uint32("AgeMillis", obs[0].AgeMillis))
	ss.scheduled = true
	interval := time.Duration(numLinks) * stallDelayPerLink
	pu.ts.Timeout(max(minStallDelay, ss.flushedAt+interval-at), pu.flushStalls)
}

func (pu *Publisher) numSubscribers() int {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	return len(pu.subscribers)
}

// flushStalls publishes the news that wait.
func (pu *Publisher) flushStalls() {
	ss := pu.stalls
	ss.mu.Lock()
	defer ss.mu.Unlock()
	now := pu.ts.Now()
	at := now.Sub(ss.start)
	ss.scheduled, ss.flushedAt = false, at
	sts := ss.tr.TakeNews(at)
	count := 0
	for count < len(sts) && at-ss.primaryAt < primarySpan && ss.news.AllowN(now, 1) {
		count++
	}
	pu.publishStalls(at, Stalls{Stalls: sts[:count]})
}

// publishStalls sends a message to the entry instances that understand it. The lock of the
// share is held.
func (pu *Publisher) publishStalls(at time.Duration, st Stalls) {
	if len(st.Stalls)+len(st.Forecasts) == 0 {
		return
	}
	pu.stalls.sent.Add(uint64(len(st.Stalls)))
	st.UptimeMillis = uint64(max(at, 0) / time.Millisecond)
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.broadcastTo(st, func(sb *subscriber) bool { return !sb.fromControl && sb.features.Has(FeatureStalls) })
}

// updateStalls brings the tracker up to date. After the process stood still it drops what it
// had: the ages of what arrived meanwhile are unknown.
func (pu *Publisher) updateStalls(now time.Time) {
	ss := pu.stalls
	if ss == nil {
		return
	}
	ss.mu.Lock()
	defer ss.mu.Unlock()
	at := now.Sub(ss.start)
	if at-ss.tickAt >= stallTickGap {
		ss.pausedAt = at
	}
	ss.tickAt = at
	if at-ss.updatedAt < stallUpdateInterval {
		return
	}
	if at-ss.updatedAt >= stallGap {
		ss.tr.Drop()
	}
	ss.updatedAt = at
	ss.tr.Update(at)
	for _, ch := range ss.tr.TakeChanges() {
		fields := []zap.Field{zap.String("ID", ch.ID), zap.Duration("Period", ch.Period), zap.Duration("Length", ch.Length)}
		if ch.Reason == "" {
			ss.ll.info(now, "stall-forecast-made", fields...)
		} else {
			ss.ll.info(now, "stall-forecast-dropped", append(fields, zap.String("Reason", ch.Reason))...)
		}
	}
	if at-ss.primaryAt < primarySpan {
		pu.publishStalls(at, Stalls{Forecasts: ss.tr.TakeForecasts(at)})
	}
}

// stallSource is what a subscriber knows of a control instance's messages about stalls.
type stallSource struct {
	late stall.Lateness
}

// reset prepares for a new link, and perhaps a new process.
func (so *stallSource) reset() { so.late = stall.Lateness{} }

// stallFeature returns the feature that is announced to control instances.
func (su *Subscriber) stallFeature() Features {
	if su.cf.StallsHeard == nil || su.cf.OwnAddress != "" {
		return 0
	}
	return FeatureStalls
}

// SendStalls sends observations of stalls to the control instances that also get the samples
// of SendSamples, if they understand them. It returns to how many of them.
func (su *Subscriber) SendStalls(obs []stall.Observation) int {
	if len(obs) == 0 {
		return 0
	}
	su.mu.Lock()
	defer su.mu.Unlock()
	count := 0
	for _, co := range su.collectorLinks(FeatureStalls) {
		_ = co.Send(StallReport{Observations: obs, Secondary: count > 0}) // Reading from the link reports its end.
		count++
	}
	return count
}

// receiveStalls passes on news of stalls, with the time by which they were delayed.
func (su *Subscriber) receiveStalls(so *source, st Stalls) {
	if su.cf.StallsHeard == nil || !so.connected.Load() {
		return
	}
	now := su.ts.Now()
	age := time.Duration(min(st.UptimeMillis, uint64(maxUptime/time.Millisecond))) * time.Millisecond
	late := so.stalls.late.Of(now.Sub(su.startedAt), age)
	if len(st.Stalls) > 0 {
		su.stallLog.info(now, "stall-heard", zap.String("ID", st.Stalls[0].ID), zap.Int("Stalls", len(st.Stalls)),
			zap.Uint32("AgeMillis", st.Stalls[0].AgeMillis), zap.Duration("Late", late), zap.String("Control", so.name))
	}
	su.cf.StallsHeard(late, st)
}

// maxUptime bounds the age that a control instance may state.
const maxUptime = 100 * 365 * 24 * time.Hour
