package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"balsamwinch.example/link"
)

// line is an open link to another instance.
type line struct {
	co       *link.Conn
	name     string // name is the other instance's.
	start    uint64 // start is that of the other end's process.
	outgoing bool
	order    uint64 // order numbers the lines.
}

// partner is another instance that a line is open to.
type partner struct {
	report Report
	at     time.Time // at is when the report came.
}

// lines are the open links. They outlive a node's goroutine that hangs in a
// write to its disk, so that requests are passed on all the same.
type lines struct {
	self string

	mu       sync.Mutex
	order    uint64
	all      []*line // all is never changed in place.
	partners map[string]partner
	changed  chan struct{} // changed is closed and replaced when a line comes or goes.
}

func newLines(self string) *lines {
	return &lines{self: self, partners: make(map[string]partner), changed: make(chan struct{})}
}

// add notes a line and the report that opened it, and returns a line that it
// makes superfluous, or nil. Two instances that dial each other at the same time
// have two lines; the one with the greater name gives its own up.
func (ls *lines) add(li *line, re Report, now time.Time) *line {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.order++
	li.order = ls.order
	ls.all = append(slices.Clone(ls.all), li)
	if was, ok := ls.partners[li.name]; !ok || re.Start != was.report.Start || re.Sequence >= was.report.Sequence {
		ls.partners[li.name] = partner{report: re, at: now}
	}
	ls.signal()
	if ls.self < li.name {
		return nil
	}
	var in, out *line
	for _, ot := range ls.all {
		switch {
		case ot.name != li.name || ot.start != li.start:
		case ot.outgoing:
			out = ot
		default:
			in = ot
		}
	}
	if in == nil {
		return nil
	}
	return out
}

// remove forgets a line, and its partner with the last one.
func (ls *lines) remove(li *line) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.all = slices.DeleteFunc(slices.Clone(ls.all), func(ot *line) bool { return ot == li })
	if !slices.ContainsFunc(ls.all, func(ot *line) bool { return ot.name == li.name }) {
		delete(ls.partners, li.name)
	}
	ls.signal()
}

func (ls *lines) signal() {
	close(ls.changed)
	ls.changed = make(chan struct{})
}

// note keeps a newer report of a partner.
func (ls *lines) note(li *line, re Report, now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	was, ok := ls.partners[li.name]
	if ok && re.Name == li.name && re.Start == was.report.Start && re.Sequence >= was.report.Sequence {
		ls.partners[li.name] = partner{report: re, at: now}
	}
}

// find returns the newest line to an instance, or nil.
func (ls *lines) find(name string) *line {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, li := range slices.Backward(ls.all) {
		if li.name == name {
			return li
		}
	}
	return nil
}

// each returns the newest line to each instance, by name.
func (ls *lines) each() []*line {
	ls.mu.Lock()
	all := ls.all
	ls.mu.Unlock()
	var lis []*line
	for _, li := range slices.Backward(all) {
		if !slices.ContainsFunc(lis, func(ot *line) bool { return ot.name == li.name }) {
			lis = append(lis, li)
		}
	}
	slices.SortFunc(lis, func(aa, bb *line) int { return strings.Compare(aa.name, bb.name) })
	return lis
}

// known returns the partners, by name.
func (ls *lines) known() []partner {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var pas []partner
	for _, pa := range ls.partners {
		pas = append(pas, pa)
	}
	slices.SortFunc(pas, func(aa, bb partner) int { return strings.Compare(aa.report.Name, bb.report.Name) })
	return pas
}

// linked reports whether an instance at the address is a partner, and returns a
// channel that is closed when that may have changed.
func (ls *lines) linked(address string) (bool, <-chan struct{}) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, pa := range ls.partners {
		if pa.report.Address == address {
			return true, ls.changed
		}
	}
	return false, ls.changed
}
