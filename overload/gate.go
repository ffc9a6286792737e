package overload

import "time"

// Gate admits the requests of an entry instance by the levels of control instances.
type Gate struct {
	levels map[string]map[string]heard // by group and control instance
	credit map[string]map[Source]float64
	phase  float64
}

// heard holds levels and when they were received.
type heard struct {
	ls Levels
	at time.Time
}

// NewGate returns a Gate that admits everything. The phase, from 0 to 1, should differ
// between entry instances, so that they don't all refuse their first requests.
func NewGate(phase float64) *Gate {
	return &Gate{levels: make(map[string]map[string]heard), credit: make(map[string]map[Source]float64), phase: phase}
}

// Update records the levels that a control instance sent.
func (ga *Gate) Update(now time.Time, control string, ls Levels) {
	if !ls.Watched {
		delete(ga.levels[ls.Group], control)
		return
	}
	by := ga.levels[ls.Group]
	if by == nil {
		if len(ga.levels) >= maxGroups {
			return
		}
		by = make(map[string]heard)
		ga.levels[ls.Group] = by
	}
	by[control] = heard{ls, now}
}

// Level returns the admitted fraction of a source and the age of the level: the strictest
// one of those that control instances sent within LevelsTTL. Without any, the fraction is 1.
func (ga *Gate) Level(now time.Time, group string, so Source) (fraction float64, age time.Duration) {
	fraction = 1
	by, ok := ga.levels[group]
	if !ok {
		return fraction, 0
	}
	for control, he := range by {
		if now.Sub(he.at) >= LevelsTTL {
			delete(by, control)
			continue
		}
		if own := he.ls.of(so); own < fraction {
			fraction, age = own, now.Sub(he.at)
		}
	}
	if len(by) == 0 {
		delete(ga.levels, group)
		delete(ga.credit, group)
	}
	return fraction, age
}

// Watched reports whether a control instance wants reports of a group.
func (ga *Gate) Watched(now time.Time, group string) bool {
	for _, he := range ga.levels[group] {
		if now.Sub(he.at) < LevelsTTL {
			return true
		}
	}
	return false
}

// Admit reports whether a request is admitted. Of the requests of a source, the level's
// fraction is, evenly spaced.
func (ga *Gate) Admit(now time.Time, group string, so Source) bool {
	fraction, _ := ga.Level(now, group, so)
	if fraction >= 1 {
		return true
	}
	by := ga.credit[group]
	if by == nil {
		by = make(map[Source]float64)
		ga.credit[group] = by
	}
	credit, ok := by[so]
	if !ok {
		if len(by) >= maxCustomers {
			so.Customer = ""
			credit, ok = by[so]
		}
		if !ok {
			credit = ga.phase
		}
	}
	credit += fraction
	admitted := credit >= 1
	if admitted {
		credit--
	}
	by[so] = credit
	return admitted
}
