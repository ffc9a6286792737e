package tier

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"balsamwinch.example/feed"
	"balsamwinch.example/roster"
)

// savedEntry is an entry instance that a control instance saves for its next start.
type savedEntry struct {
	Name, DataCentre string
	Address          string // where it accepts invitations, as IP:port
}

// entryList holds the entry instances to save, with the time when each last had a link.
type entryList struct {
	lastLinked map[savedEntry]time.Time
}

func newEntryList(now time.Time, saved []savedEntry) entryList {
	el := entryList{lastLinked: make(map[savedEntry]time.Time)}
	for _, se := range saved {
		el.lastLinked[se] = now
	}
	return el
}

// update records the entry instances that have a link now, and reports whether the list
// changed.
func (el entryList) update(now time.Time, linked []feed.Entry, port int) (changed bool) {
	for _, en := range linked {
		host, _, err := net.SplitHostPort(en.Address)
		if err != nil {
			continue
		}
		se := savedEntry{Name: en.Name, DataCentre: en.DataCentre, Address: net.JoinHostPort(host, strconv.Itoa(port))}
		if _, ok := el.lastLinked[se]; !ok {
			changed = true
		}
		el.lastLinked[se] = now
	}
	for se, at := range el.lastLinked {
		if now.Sub(at) >= entryTTL {
			delete(el.lastLinked, se)
			changed = true
		}
	}
	return changed
}

// entries returns the entry instances sorted by address.
func (el entryList) entries() []savedEntry {
	out := make([]savedEntry, 0, len(el.lastLinked))
	for se := range el.lastLinked {
		out = append(out, se)
	}
	slices.SortFunc(out, func(a, b savedEntry) int {
		return cmp.Or(strings.Compare(a.Address, b.Address), strings.Compare(a.Name, b.Name))
	})
	return out
}

// invitees returns the saved entry instances in the order in which a control instance of
// the data centre invites them: first those that callers are sent to according to the
// saved roster sizes, and among these the ones of its own data centre first. An
// invitation and the link and snapshot that follow cost a control instance about 3 ms at
// 0.24 of a core. Invited in the order of addresses, the instances of the last of five
// data centres served 0.4 s after those of the first.
func invitees(saved []savedEntry, gs roster.Groups, dataCentre string) []feed.Invitee {
	ins := make([]roster.Instance, len(saved))
	for ix, se := range saved {
		ins[ix] = roster.Instance{Name: se.Name, DataCentre: se.DataCentre, Address: se.Address}
	}
	members := gs.Members(ins)
	rank := func(in roster.Instance) int {
		out := 0
		if !members[in.Name] {
			out += 2
		}
		if in.DataCentre != dataCentre {
			out++
		}
		return out
	}
	slices.SortStableFunc(ins, func(a, b roster.Instance) int { return cmp.Compare(rank(a), rank(b)) })
	out := make([]feed.Invitee, len(ins))
	for ix, in := range ins {
		out[ix] = feed.Invitee{Name: in.Name, Address: in.Address}
	}
	return out
}
