package overload

import (
	"cmp"
	"slices"
)

// Meter counts the requests of an entry instance between two reports.
type Meter struct {
	groups map[string]*counts
}

type counts struct {
	arrived                     map[Source]uint32
	admitted, ended, overloaded uint32
}

// NewMeter returns a Meter that has counted nothing.
func NewMeter() *Meter { return &Meter{groups: make(map[string]*counts)} }

// group returns the counts of a group, or counts that are dropped if there are too many
// groups.
func (me *Meter) group(name string) *counts {
	co := me.groups[name]
	if co == nil {
		co = &counts{arrived: make(map[Source]uint32)}
		if len(me.groups) < maxGroups {
			me.groups[name] = co
		}
	}
	return co
}

// Arrived counts a request and whether it was admitted.
func (me *Meter) Arrived(group string, so Source, admitted bool) {
	co := me.group(group)
	if _, ok := co.arrived[so]; !ok && len(co.arrived) >= maxCustomers {
		so.Customer = ""
	}
	co.arrived[so]++
	if admitted {
		co.admitted++
	}
}

// Ended counts an admitted request that has ended, and whether it met backend servers
// without capacity.
func (me *Meter) Ended(group string, overloaded bool) {
	co := me.group(group)
	co.ended++
	if overloaded {
		co.overloaded++
	}
}

// Take returns the reports of the groups in which anything was counted since the last call,
// sorted by group, and forgets all counts. A group is left out if no request met overload
// and it isn't watched, so that nothing is sent in normal operation.
func (me *Meter) Take(watched func(group string) bool) []Report {
	var out []Report
	for name, co := range me.groups {
		if co.overloaded == 0 && !watched(name) {
			continue
		}
		re := Report{Group: name, Admitted: co.admitted, Ended: co.ended, Overloaded: co.overloaded}
		for so, count := range co.arrived {
			re.Arrived = append(re.Arrived, Arrivals{Source: so, Count: count})
		}
		slices.SortFunc(re.Arrived, func(aa, bb Arrivals) int { return compareSources(aa.Source, bb.Source) })
		out = append(out, re)
	}
	clear(me.groups)
	slices.SortFunc(out, func(aa, bb Report) int { return cmp.Compare(aa.Group, bb.Group) })
	return out
}

func compareSources(aa, bb Source) int {
	return cmp.Or(cmp.Compare(aa.Class, bb.Class), cmp.Compare(aa.Customer, bb.Customer))
}
