package member

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"balsamwinch.example/backend"
	"balsamwinch.example/chart"
	"balsamwinch.example/view"
)

// instanceList is the list of listed instances, computed at the first use.
type instanceList struct {
	once         sync.Once
	list         []view.Instance
	incarnations map[string]uint64
}

// serverList is the list of listed servers, computed at the first use.
type serverList struct {
	once      sync.Once
	list      []backend.Record
	conflicts []AddressConflict
}

// AddressConflict is an address that two backend servers claim. Only the server
// with the later incarnation is listed.
type AddressConflict struct {
	Address string
	Winner  string
	Loser   string
}

// ServerStatus says why a backend server is listed or not.
type ServerStatus string

// The statuses of a backend server.
const (
	Listed        ServerStatus = "Listed"
	Silent        ServerStatus = "Silent"       // the owner no longer receives announcements; listed until the TTL expires
	Expired       ServerStatus = "Gone"         // no announcement arrived within the TTL
	Departed      ServerStatus = "Departed"     // the server announced that it left
	Orphaned      ServerStatus = "Unclaimed"    // the owner is gone; listed until the TTL expires
	OrphanExpired ServerStatus = "Forsaken"     // the owner is gone and no other instance took ownership within the TTL
	AddressTaken  ServerStatus = "AddressTaken" // a later server has the same address
)

// Explanation is what an instance knows of a backend server and why it is listed or
// not.
type Explanation struct {
	Record           backend.Record
	Status           ServerStatus
	Owner            string // instance that vouches for the server or did so last
	OwnerIncarnation uint64
	Winner           string // server that has the address if Status is AddressTaken
}

// Member is an instance with its state in the state chart.
type Member struct {
	Instance view.Instance
	Phase    chart.State
}

// Servers returns the records of the listed backend servers, live or draining,
// sorted by name. The slice is shared and must not be modified; while no record in
// it changes, the same slice is returned.
func (st State) Servers() []backend.Record {
	return st.serverList().list
}

// AddressConflicts returns the addresses that more than one live server claims,
// sorted by address and loser.
func (st State) AddressConflicts() []AddressConflict {
	return st.serverList().conflicts
}

func (st State) serverList() *serverList {
	sl := st.servers
	sl.once.Do(func() {
		records := make([]*backend.Record, 0, st.table.count)
		st.table.each(func(it *item) {
			if it.record != nil && it.listed {
				records = append(records, it.record)
			}
		})
		slices.SortFunc(records, func(aa, bb *backend.Record) int { return strings.Compare(aa.Server, bb.Server) })
		losers := sl.findConflicts(records)
		sl.list = make([]backend.Record, 0, len(records))
		for _, re := range records {
			if !losers[re.Server] {
				sl.list = append(sl.list, *re)
			}
		}
	})
	return sl
}

// findConflicts decides which server keeps an address that several claim, and
// returns the names of the others. All instances decide the same way, because the
// result depends only on the records.
//
// It prevents answers from the wrong server: when a server starts at the address of
// another whose record has not expired, requests for both would reach the one that
// listens there, which is the one started last.
func (sl *serverList) findConflicts(records []*backend.Record) map[string]bool {
	losers := make(map[string]bool)
	holders := make(map[string]*backend.Record, len(records))
	for _, re := range records {
		ho, ok := holders[re.Address]
		if !ok || newerRecord(re, ho) {
			holders[re.Address] = re
		}
	}
	for _, re := range records {
		if ho := holders[re.Address]; ho != re {
			losers[re.Server] = true
			sl.conflicts = append(sl.conflicts, AddressConflict{Address: re.Address, Winner: ho.Server, Loser: re.Server})
		}
	}
	slices.SortStableFunc(sl.conflicts, func(aa, bb AddressConflict) int { return strings.Compare(aa.Address, bb.Address) })
	return losers
}

func newerRecord(re, ot *backend.Record) bool {
	return cmp.Or(
		cmp.Compare(re.Incarnation, ot.Incarnation),
		cmp.Compare(re.Sequence, ot.Sequence),
		strings.Compare(re.Server, ot.Server),
	) > 0
}

// Instances returns the instances in this instance's view, sorted by name. It
// includes this instance unless it left. The slice is shared and must not be
// modified.
func (st State) Instances() []view.Instance {
	return st.instanceList().list
}

func (st State) instanceList() *instanceList {
	il := st.instances
	il.once.Do(func() {
		listed := make(map[string]view.Instance)
		st.table.each(func(it *item) {
			if it.instance != nil && it.listed {
				listed[it.instance.Name] = *it.instance
			}
		})
		if st.grantValid {
			st.addGranted(listed)
		}
		il.incarnations = make(map[string]uint64, len(listed))
		for name, in := range listed {
			il.list = append(il.list, in)
			il.incarnations[name] = in.Incarnation
		}
		slices.SortFunc(il.list, func(aa, bb view.Instance) int { return strings.Compare(aa.Name, bb.Name) })
	})
	return il
}

// addGranted adds the instances that control names, except those that the table has
// as left or with a later incarnation.
func (st State) addGranted(listed map[string]view.Instance) {
	for _, in := range st.granted {
		it, ok := st.instanceItem(in.Name)
		switch {
		case !ok || it.version.incarnation < in.Incarnation:
			listed[in.Name] = in
		case it.version.incarnation == in.Incarnation && it.version.status != statusLeft:
			listed[in.Name] = *it.instance
		}
	}
}

// Members returns every known instance, sorted by name, with its state in the state
// chart. An instance that is known only from control is Joining.
func (st State) Members() []Member {
	var ms []Member
	st.table.each(func(it *item) {
		if it.instance != nil {
			ms = append(ms, Member{Instance: *it.instance, Phase: it.phase})
		}
	})
	for _, in := range st.granted {
		if _, ok := st.instanceItem(in.Name); !ok {
			ms = append(ms, Member{Instance: in, Phase: instanceChart.Initial()})
		}
	}
	slices.SortFunc(ms, func(aa, bb Member) int { return strings.Compare(aa.Instance.Name, bb.Instance.Name) })
	return ms
}

// Explain returns what is known of a backend server and why it is listed or not, or
// false if nothing is known of it.
func (st State) Explain(server string) (Explanation, bool) {
	it, ok := st.table.get(xxhash.Sum64String(serverPrefix + server))
	if !ok || it.record == nil {
		return Explanation{}, false
	}
	ex := Explanation{
		Record: *it.record, Status: st.serverStatus(&it),
		Owner: it.version.owner, OwnerIncarnation: it.version.ownerIncarnation,
	}
	for _, co := range st.AddressConflicts() {
		if co.Loser == server {
			ex.Status, ex.Winner = AddressTaken, co.Winner
		}
	}
	return ex, true
}

func (st State) serverStatus(it *item) ServerStatus {
	suspected := it.version.status == statusSuspected
	switch {
	case it.version.status == statusLeft:
		return Departed
	case it.listed && it.unavailableSince == 0:
		return Listed
	case it.listed && suspected:
		return Silent
	case it.listed:
		return Orphaned
	case suspected:
		return Expired
	default:
		return OrphanExpired
	}
}

// instanceItem returns the item of an instance.
func (st *State) instanceItem(name string) (item, bool) {
	it, ok := st.table.get(xxhash.Sum64String(instancePrefix + name))
	return it, ok && it.instance != nil
}

// ownerAlive reports whether the owner of a server is listed with the incarnation
// that vouched for the server.
func (st *State) ownerAlive(it *item) bool {
	in, ok := st.instanceList().incarnations[it.version.owner]
	return ok && in == it.version.ownerIncarnation
}

// peerAddress returns the peer address of an instance, or "" if it is unknown.
func (st *State) peerAddress(name string) string {
	it, ok := st.instanceItem(name)
	for _, in := range st.granted {
		if in.Name == name && (!ok || in.Incarnation > it.version.incarnation) {
			return in.PeerAddress
		}
	}
	if !ok {
		return ""
	}
	return it.instance.PeerAddress
}

func isDraining(en *entry) bool {
	if en.instance != nil {
		return en.instance.Draining
	}
	return en.record.State == backend.Draining
}
