package stall

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// minSearchDelay and maxSearchDelay bound the time between two searches for the period of
	// a group, which doubles while none is found.
	minSearchDelay = time.Second
	maxSearchDelay = 8 * time.Second
	// maxDroppedFraction is the fraction of the servers of a group whose forecasts may fail
	// within dropSpan, and minDropped the lower bound of their number, until its period is
	// dropped.
	maxDroppedFraction = 0.3
	minDropped         = 4
	dropSpan           = 15 * time.Second
	// judgedPerAdjustment is how many forecast stalls are judged between two adjustments of
	// the period, and maxAdjustment bounds one adjustment.
	judgedPerAdjustment = 100
	maxAdjustment       = 5 * time.Millisecond
	// maxChanges bounds the changes that wait for TakeChanges, and maxWithdrawn the withdrawn
	// forecasts that wait for TakeForecasts. Others expire at the entry instances.
	maxChanges   = 64
	maxWithdrawn = 48
)

// group is the state of servers that share a period.
type group struct {
	period      time.Duration // 0 if unknown
	usual       time.Duration // usual length
	searchedAt  time.Duration
	searchDelay time.Duration
	moved       time.Duration // by how much forecasts were moved since the period was last adjusted
	numJudged   int           // forecast stalls that were judged since then
	dropped     int           // forecasts that failed since droppedAt
	droppedAt   time.Duration
}

// Counts counts what became of forecasts.
type Counts struct {
	Made  uint64
	Right uint64 // Right counts forecast stalls that came, or that no request contradicts.
	Wrong uint64 // Wrong counts forecast stalls during which a request was answered as usual.
}

// Change is a forecast that was made or dropped.
type Change struct {
	ID     string
	Period time.Duration
	Length time.Duration
	Reason string // why it was dropped; empty if it was made
}

// Counts returns the counts so far.
func (tr *Tracker) Counts() Counts { return tr.counts }

// TakeChanges returns the forecasts that were made and dropped since the last call.
func (tr *Tracker) TakeChanges() []Change {
	out := tr.changes
	tr.changes = nil
	return out
}

func (tr *Tracker) addChange(ch Change) {
	if len(tr.changes) < maxChanges {
		tr.changes = append(tr.changes, ch)
	}
}

// updateForecasts judges the forecasts, looks for periods and makes forecasts.
func (tr *Tracker) updateForecasts(at time.Duration) {
	members := make(map[uint32][]*server)
	all := make([]*server, 0, len(tr.servers))
	for _, se := range tr.servers {
		members[se.group] = append(members[se.group], se)
		all = append(all, se)
	}
	maps.DeleteFunc(tr.groups, func(number uint32, _ *group) bool { return number != allServers && members[number] == nil })
	members[allServers] = all
	tr.searchOne(at, members)
	for _, se := range all {
		tr.updateForecast(at, se)
	}
	for number, ses := range members {
		gr := tr.group(number)
		gr.adjust()
		tr.checkPeriod(at, gr, ses)
	}
}

// searchOne looks for the period of the group without one that was last searched the longest
// ago. A search takes some milliseconds, so there is one at a time.
func (tr *Tracker) searchOne(at time.Duration, members map[uint32][]*server) {
	var next *group
	var number uint32
	for nu := range members {
		gr := tr.group(nu)
		if gr.period > 0 || at-gr.searchedAt < gr.searchDelay {
			continue
		}
		if next == nil || gr.searchedAt < next.searchedAt || gr.searchedAt == next.searchedAt && nu < number {
			next, number = gr, nu
		}
	}
	if next != nil {
		tr.search(at, next, members[number])
	}
}

// allServers is the group of all servers together.
const allServers = 0

// maxGroups bounds the groups; the servers of others belong to allServers only.
const maxGroups = 256

func (tr *Tracker) group(number uint32) *group {
	gr := tr.groups[number]
	if gr == nil {
		gr = &group{searchedAt: -maxSearchDelay, searchDelay: minSearchDelay}
		tr.groups[number] = gr
	}
	return gr
}

// groupOf returns the group whose period a server has: its own, or that of all servers if
// that one's is unknown.
func (tr *Tracker) groupOf(se *server) *group {
	if gr := tr.group(se.group); gr.period > 0 {
		return gr
	}
	return tr.group(allServers)
}

// search looks for the period of a group. None is needed if the group agrees with the period
// of all servers, which is better known.
func (tr *Tracker) search(at time.Duration, gr *group, ses []*server) {
	gr.searchedAt = at
	gr.searchDelay = min(2*gr.searchDelay, maxSearchDelay)
	slices.SortFunc(ses, func(a, b *server) int { return strings.Compare(a.id, b.id) })
	var gaps []time.Duration
	for _, se := range ses {
		gaps = gapsOf(gaps, se.stalls)
	}
	if len(gaps) < minGaps {
		gr.searchDelay = minSearchDelay
		return
	}
	period, ok := findPeriod(gaps)
	if all := tr.group(allServers).period; ok && all > 0 && periodScore(gaps, all) >= sameScoreRatio*periodScore(gaps, period) {
		return
	}
	if ok {
		gr.period, gr.usual, gr.searchDelay = period, usualLength(ses), minSearchDelay
		gr.moved, gr.numJudged, gr.dropped, gr.droppedAt = 0, 0, 0, at
	}
}

// adjust adjusts the period. A period that is too short or too long has the forecasts of
// all servers moved later, or sooner, again and again.
func (gr *group) adjust() {
	if gr.period == 0 || gr.numJudged < judgedPerAdjustment {
		return
	}
	gr.period += min(max(gr.moved/time.Duration(gr.numJudged), -maxAdjustment), maxAdjustment)
	gr.moved, gr.numJudged = 0, 0
}

// updateForecast makes, judges or drops the forecast of a server.
func (tr *Tracker) updateForecast(at time.Duration, se *server) {
	gr := tr.groupOf(se)
	if se.forecast == nil {
		if gr.period == 0 || at < se.troubleUntil {
			return
		}
		if se.forecast = newForecast(at, gr.period, gr.usual, se.stalls); se.forecast != nil {
			se.period = gr.period
			tr.counts.Made++
			tr.addChange(Change{ID: se.id, Period: se.period, Length: se.forecast.length})
		}
		return
	}
	if gr.period > 0 {
		se.period = gr.period
	}
	reason := tr.judge(at, se, gr)
	if at < se.troubleUntil {
		reason = reasonTrouble
	}
	switch reason {
	case "":
	case reasonTrouble: // That says nothing about the period.
		tr.drop(se, reason)
	default:
		gr.dropped++
		tr.drop(se, reason)
	}
}

// drop drops the forecast of a server and what it was made from.
func (tr *Tracker) drop(se *server, reason string) {
	tr.addChange(Change{ID: se.id, Period: se.period, Length: se.forecast.length, Reason: reason})
	if len(tr.withdrawn) >= maxWithdrawn {
		tr.withdrawn = tr.withdrawn[1:]
	}
	tr.withdrawn = append(tr.withdrawn, Forecast{ID: se.id, Born: se.born})
	se.forecast, se.stalls = nil, nil
}

// checkPeriod drops the period of a group, and all forecasts with it, if many of them fail.
func (tr *Tracker) checkPeriod(at time.Duration, gr *group, ses []*server) {
	if gr.period == 0 {
		return
	}
	if at-gr.droppedAt >= dropSpan {
		gr.dropped, gr.droppedAt = 0, at
	}
	if gr.dropped < max(minDropped, int(maxDroppedFraction*float64(len(ses)))) {
		return
	}
	for _, se := range ses {
		if se.forecast != nil && tr.groupOf(se) == gr {
			tr.drop(se, reasonPeriod)
		}
	}
	gr.period, gr.dropped = 0, 0
}

// TakeForecasts returns the forecasts that should be sent now to all entry instances: those
// that are new, changed or withdrawn, and those that were sent resendInterval ago.
func (tr *Tracker) TakeForecasts(at time.Duration) []Forecast {
	count := min(len(tr.withdrawn), maxForecasts)
	out := slices.Clone(tr.withdrawn[:count])
	tr.withdrawn = tr.withdrawn[count:]
	for id, se := range tr.servers {
		fc := se.forecast
		if fc == nil || !fc.dirty && at-fc.sentAt < resendInterval {
			continue
		}
		if len(out) >= maxForecasts {
			break
		}
		fc.dirty, fc.moved, fc.sentAt = false, 0, at
		next := fc.next
		for next < at {
			next += se.period
		}
		out = append(out, Forecast{
			ID: id, Born: se.born, PeriodMicros: uint32(se.period / time.Microsecond), InMillis: millis(next - at),
			LengthMillis: millis(fc.length), SpreadMillis: millis(fc.spread),
		})
	}
	return out
}
