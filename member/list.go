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

// instanceList is the list of instances shown, computed when first asked for.
type instanceList struct {
	once         sync.Once
	list         []view.Instance
	incarnations map[string]uint64
}

// serverList is the list of servers shown, computed when first asked for.
type serverList struct {
	once      sync.Once
	list      []backend.Record
	conflicts []AddressConflict
}

// Conflict is an address that two backend servers claim. The later incarnation
// is listed; the other one is not.
type AddressConflict struct {
	Address string
	Winner  string
	Loser   string
}

// Standing says why a backend server is listed or not.
type ServerStatus string

// The standings of a backend server.
const (
	Listed        ServerStatus = "Listed"
	Silent        ServerStatus = "Silent"       // Silent is no longer heard by its owner; listed until its time to live ends.
	Expired       ServerStatus = "Gone"         // Gone was silent for its time to live.
	Departed      ServerStatus = "Departed"     // Departed said that it left.
	Orphaned      ServerStatus = "Unclaimed"    // Unclaimed lost its owner; listed until its time to live ends.
	OrphanExpired ServerStatus = "Forsaken"     // Forsaken lost its owner and no other instance heard it in time.
	AddressTaken  ServerStatus = "AddressTaken" // AddressTaken lost its address to a later server.
)

// Explanation says what is held of a backend server and why.
type Explanation struct {
	Record           backend.Record
	Status           ServerStatus
	Owner            string // Owner is the instance that vouches or vouched for it.
	OwnerIncarnation uint64
	Winner           string // Winner is the server that holds the address now, if another does.
}

// Member is an instance with its state in the chart.
type Member struct {
	Instance view.Instance
	Phase    chart.State
}

// Servers returns the records of backend servers that are live or draining,
// sorted by name. The list is shared and must not be changed; as long as
// nothing in it changes, the same one is returned.
func (st State) Servers() []backend.Record {
	return st.serverList().list
}

// Conflicts returns the addresses that more than one live server claims, sorted
// by address and loser.
func (st State) AddressConflicts() []AddressConflict {
	return st.serverList().conflicts
}

func (st State) serverList() *serverList {
	sl := st.servers
	sl.once.Do(func() {
		records := make([]*backend.Record, 0, st.table.count)
		st.table.each(func(it *item) {
			if it.record != nil && it.shown {
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

// findConflicts decides which server holds an address that several claim. All
// instances decide alike, since it depends on the records alone.
//
// It guards against answers of the wrong server: when a server takes over the
// address of another whose record still lives, requests for both would arrive
// at the one that listens there now, and that is the one started last.
func (sl *serverList) findConflicts(records []*backend.Record) map[string]bool {
	losers := make(map[string]bool)
	holders := make(map[string]*backend.Record, len(records))
	for _, re := range records {
		ho, ok := holders[re.Address]
		if !ok || laterRecord(re, ho) {
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

func laterRecord(re, ot *backend.Record) bool {
	return cmp.Or(
		cmp.Compare(re.Incarnation, ot.Incarnation),
		cmp.Compare(re.Sequence, ot.Sequence),
		strings.Compare(re.Server, ot.Server),
	) > 0
}

// Instances returns the instances believed to be there, sorted by name, this
// one included unless it left. The list is shared and must not be changed.
func (st State) Instances() []view.Instance {
	return st.instanceList().list
}

func (st State) instanceList() *instanceList {
	il := st.instances
	il.once.Do(func() {
		shown := make(map[string]view.Instance)
		st.table.each(func(it *item) {
			if it.instance != nil && it.shown {
				shown[it.instance.Name] = *it.instance
			}
		})
		if st.fresh {
			st.addGranted(shown)
		}
		il.incarnations = make(map[string]uint64, len(shown))
		for name, in := range shown {
			il.list = append(il.list, in)
			il.incarnations[name] = in.Incarnation
		}
		slices.SortFunc(il.list, func(aa, bb view.Instance) int { return strings.Compare(aa.Name, bb.Name) })
	})
	return il
}

// addGranted adds the instances that control names, unless they say otherwise
// themselves.
func (st State) addGranted(shown map[string]view.Instance) {
	for _, in := range st.granted {
		it, ok := st.instanceItem(in.Name)
		switch {
		case !ok || it.version.incarnation < in.Incarnation:
			shown[in.Name] = in
		case it.version.incarnation == in.Incarnation && it.version.status != statusLeft:
			shown[in.Name] = *it.instance
		}
	}
}

// Members returns every instance that is known, sorted by name, with its state
// in the chart. An instance that only control has named is Joining.
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

// Explain says what is held of a backend server and why it is listed or not. It
// returns false if nothing is known of it.
func (st State) Explain(server string) (Explanation, bool) {
	it, ok := st.table.get(xxhash.Sum64String(serverPrefix + server))
	if !ok || it.record == nil {
		return Explanation{}, false
	}
	ex := Explanation{
		Record: *it.record, Status: st.standing(&it),
		Owner: it.version.owner, OwnerIncarnation: it.version.ownerIncarnation,
	}
	for _, co := range st.AddressConflicts() {
		if co.Loser == server {
			ex.Status, ex.Winner = AddressTaken, co.Winner
		}
	}
	return ex, true
}

func (st State) standing(it *item) ServerStatus {
	doubted := it.version.status == statusDoubted
	switch {
	case it.version.status == statusLeft:
		return Departed
	case it.shown && it.mark == 0:
		return Listed
	case it.shown && doubted:
		return Silent
	case it.shown:
		return Orphaned
	case doubted:
		return Expired
	default:
		return OrphanExpired
	}
}

// instanceItem returns what is held of an instance.
func (st *State) instanceItem(name string) (item, bool) {
	it, ok := st.table.get(xxhash.Sum64String(instancePrefix + name))
	return it, ok && it.instance != nil
}

// ownerAlive reports whether the instance that vouches for a server is listed
// under the incarnation that vouched.
func (st *State) ownerAlive(it *item) bool {
	in, ok := st.instanceList().incarnations[it.version.owner]
	return ok && in == it.version.ownerIncarnation
}

// address returns where an instance is reached, or "".
func (st *State) address(name string) string {
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

func draining(en *entry) bool {
	if en.instance != nil {
		return en.instance.Draining
	}
	return en.record.State == backend.Draining
}
