package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"balsamwinch.example/link"
)

// peerLink is an open link to another instance.
type peerLink struct {
	co       *link.Conn
	name     string // name is the other instance's name.
	start    uint64 // start identifies the process at the other end.
	outgoing bool
	sequence uint64 // sequence numbers the links.
}

// peerReport is the last report of a linked instance.
type peerReport struct {
	report     Report
	receivedAt time.Time // receivedAt is when the report arrived.
}

// linkSet holds the open links. It doesn't depend on the node's goroutine, so that requests
// are forwarded even while that goroutine hangs in a write to its disk.
type linkSet struct {
	self string

	mu           sync.Mutex
	lastSequence uint64
	links        []*peerLink // links is never modified in place.
	reports      map[string]peerReport
	changed      chan struct{} // changed is closed and replaced when a link is added or removed.
}

func newLinkSet(self string) *linkSet {
	return &linkSet{self: self, reports: make(map[string]peerReport), changed: make(chan struct{})}
}

// add adds a link and the report that opened it, and returns a link that is now a
// duplicate, or nil. Two instances that dial each other at the same time have two links;
// the one with the greater name closes the link that it opened.
func (ls *linkSet) add(li *peerLink, re Report, now time.Time) *peerLink {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.lastSequence++
	li.sequence = ls.lastSequence
	ls.links = append(slices.Clone(ls.links), li)
	if was, ok := ls.reports[li.name]; !ok || re.Start != was.report.Start || re.Sequence >= was.report.Sequence {
		ls.reports[li.name] = peerReport{report: re, receivedAt: now}
	}
	ls.signalChange()
	if ls.self < li.name {
		return nil
	}
	var in, out *peerLink
	for _, ot := range ls.links {
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

// remove removes a link, and the instance's report with its last link.
func (ls *linkSet) remove(li *peerLink) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.links = slices.DeleteFunc(slices.Clone(ls.links), func(ot *peerLink) bool { return ot == li })
	if !slices.ContainsFunc(ls.links, func(ot *peerLink) bool { return ot.name == li.name }) {
		delete(ls.reports, li.name)
	}
	ls.signalChange()
}

func (ls *linkSet) signalChange() {
	close(ls.changed)
	ls.changed = make(chan struct{})
}

// updateReport stores a newer report of a linked instance.
func (ls *linkSet) updateReport(li *peerLink, re Report, now time.Time) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	was, ok := ls.reports[li.name]
	if ok && re.Name == li.name && re.Start == was.report.Start && re.Sequence >= was.report.Sequence {
		ls.reports[li.name] = peerReport{report: re, receivedAt: now}
	}
}

// find returns the newest link to an instance, or nil.
func (ls *linkSet) find(name string) *peerLink {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, li := range slices.Backward(ls.links) {
		if li.name == name {
			return li
		}
	}
	return nil
}

// newestPerInstance returns the newest link to each instance, by name.
func (ls *linkSet) newestPerInstance() []*peerLink {
	ls.mu.Lock()
	all := ls.links
	ls.mu.Unlock()
	var lis []*peerLink
	for _, li := range slices.Backward(all) {
		if !slices.ContainsFunc(lis, func(ot *peerLink) bool { return ot.name == li.name }) {
			lis = append(lis, li)
		}
	}
	slices.SortFunc(lis, func(aa, bb *peerLink) int { return strings.Compare(aa.name, bb.name) })
	return lis
}

// latestReports returns the reports of the linked instances, by name.
func (ls *linkSet) latestReports() []peerReport {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var prs []peerReport
	for _, pr := range ls.reports {
		prs = append(prs, pr)
	}
	slices.SortFunc(prs, func(aa, bb peerReport) int { return strings.Compare(aa.report.Name, bb.report.Name) })
	return prs
}

// isLinked reports whether an instance with the address is linked, and returns a channel
// that is closed when that may have changed.
func (ls *linkSet) isLinked(address string) (bool, <-chan struct{}) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, pr := range ls.reports {
		if pr.report.Address == address {
			return true, ls.changed
		}
	}
	return false, ls.changed
}
