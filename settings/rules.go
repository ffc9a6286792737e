package settings

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Bounds of an instance's settings.
const (
	maxVoters       = 4 // the maximum number of instances that may be reserved for control
	minHeartbeat    = 10 * time.Millisecond
	maxHeartbeat    = 3 * time.Second
	maxElection     = 10 * time.Second
	minLease        = 500 * time.Millisecond
	maxLease        = 8 * time.Second // A change waits for the lease of a lost instance and must be in force within 10 s.
	maxDrainGrace   = 10 * time.Minute
	minSilentAfter  = 100 * time.Millisecond
	maxSilentAfter  = time.Minute
	maxLeafRequests = 1_000_000
	// heartbeatsPerElection is the number of consecutive heartbeats that must be lost before a
	// voter may stand for election, so that one lost packet does not depose a leader.
	heartbeatsPerElection = 3
	// renewalsPerLease is the minimum number of renewals during a lease, so that one lost
	// response does not stop an instance.
	renewalsPerLease = 3
)

func (in Instance) checkIdentity(ck *Checker) {
	ck.Name(in.Name, "Name")
	ck.Name(in.Region, "Region")
	ck.Name(in.DataCentre, "DataCentre")
	OneOf(ck, in.Log.Level, []string{"debug", "info", "warn", "error"}, "Log", "Level")
	ck.Want(len(in.Roles) > 0, "at least one of Entry, Control", in.Roles, "Roles")
	values := make([]string, len(in.Roles))
	paths := make([][]string, len(in.Roles))
	for i, ro := range in.Roles {
		values[i] = string(ro)
		paths[i] = []string{"Roles", strconv.Itoa(i)}
		OneOf(ck, ro, []Role{Entry, Control}, paths[i]...)
	}
	ck.Unique("role", values, paths)
}

func (in Instance) checkAddresses(ck *Checker) {
	ad := in.Addresses
	in.checkAddress(ck, ad.Peer, "Peer", true)
	in.checkAddress(ck, ad.Operator, "Operator", true)
	in.checkAddress(ck, ad.Backend, "Backend", in.Has(Entry))
	in.checkAddress(ck, ad.Caller, "Caller", in.Has(Entry))
	unexpected := ad.Caller != "" && in.lacksRole(Entry)
	ck.Want(!unexpected, "no caller address without the role Entry", ad.Caller, "Addresses", "Caller")
	var values []string
	var paths [][]string
	for _, it := range []struct{ field, address string }{
		{"Caller", ad.Caller},
		{"Backend", ad.Backend},
		{"Operator", ad.Operator},
		{"Peer", ad.Peer},
	} {
		if !hasEphemeralPort(it.address) {
			values = append(values, it.address)
			paths = append(paths, []string{"Addresses", it.field})
		}
	}
	ck.Unique("address", values, paths)
}

func (in Instance) checkAddress(ck *Checker, ad, field string, needed bool) {
	if ad != "" || needed {
		ck.Address(ad, true, "Addresses", field)
	}
}

func hasEphemeralPort(ad string) bool {
	return len(ad) > 2 && ad[len(ad)-2:] == ":0"
}

func (in Instance) checkControl(ck *Checker) {
	vs := in.Control.Voters
	ck.Want(len(vs) >= 1 && len(vs) <= maxVoters, fmt.Sprintf("1 to %d voters", maxVoters), len(vs), "Control", "Voters")
	names := make([]string, len(vs))
	addresses := make([]string, len(vs))
	namePaths := make([][]string, len(vs))
	addressPaths := make([][]string, len(vs))
	for i, vo := range vs {
		names[i] = vo.Name
		addresses[i] = vo.Address
		namePaths[i] = []string{"Control", "Voters", strconv.Itoa(i), "Name"}
		addressPaths[i] = []string{"Control", "Voters", strconv.Itoa(i), "Address"}
		ck.Name(vo.Name, namePaths[i]...)
		ck.Address(vo.Address, false, addressPaths[i]...)
		in.checkOwnVoter(ck, vo, addressPaths[i])
	}
	ck.Unique("voter", names, namePaths)
	ck.Unique("address", addresses, addressPaths)
	in.checkControlRole(ck)
}

// checkOwnVoter checks that the voters list this instance under its own name and address.
// Another name at its address, or another address under its name, would let a voter count
// twice or not at all.
func (in Instance) checkOwnVoter(ck *Checker, vo Voter, path []string) {
	switch {
	case vo.Name == in.Name && in.Has(Control):
		ck.Want(vo.Address == in.Addresses.Peer, "the instance's own peer address "+in.Addresses.Peer, vo.Address, path...)
	case vo.Name == in.Name && in.lacksRole(Control):
		ck.Want(false, "the role Control too for a voter of this name", vo.Name, path[:len(path)-1]...)
	case vo.Name != in.Name && vo.Address != "":
		ck.Want(vo.Address != in.Addresses.Peer, "another address than this instance's own", vo.Address, path...)
	}
}

func (in Instance) checkControlRole(ck *Checker) {
	if !in.Has(Control) {
		return
	}
	ck.Want(in.DataFolder != "", "a folder for the role Control", in.DataFolder, "DataFolder")
	names := make([]string, len(in.Control.Voters))
	for i, vo := range in.Control.Voters {
		names[i] = vo.Name
	}
	ck.Want(slices.Contains(names, in.Name), "a voter named "+strconv.Quote(in.Name)+" for the role Control", names, "Control", "Voters")
}

// lacksRole reports whether all roles are valid and the given one is not among them.
func (in Instance) lacksRole(ro Role) bool {
	for _, it := range in.Roles {
		if it != Entry && it != Control {
			return false
		}
	}
	return len(in.Roles) > 0 && !in.Has(ro)
}

func (in Instance) checkKeys(ck *Checker) {
	ck.Want(in.Keys.Authority != "", "the path of a PEM file", in.Keys.Authority, "Keys", "Authority")
	ck.Want(in.Keys.Certificate != "", "the path of a PEM file", in.Keys.Certificate, "Keys", "Certificate")
	ck.Want(in.Keys.Key != "", "the path of a PEM file", in.Keys.Key, "Keys", "Key")
}

func (in Instance) checkTiming(ck *Checker) {
	ti := in.Timing
	Between(ck, ti.Heartbeat, minHeartbeat, maxHeartbeat, "Timing", "Heartbeat")
	Between(ck, ti.Election, heartbeatsPerElection*ti.Heartbeat, maxElection, "Timing", "Election")
	Between(ck, ti.Lease, minLease, maxLease, "Timing", "Lease")
	Between(ck, ti.Renewal, minHeartbeat, ti.Lease/renewalsPerLease, "Timing", "Renewal")
	Between(ck, ti.DrainGrace, 0, maxDrainGrace, "Timing", "DrainGrace")
	Between(ck, ti.SilentAfter, minSilentAfter, maxSilentAfter, "Timing", "SilentAfter")
}

func (in Instance) checkLimits(ck *Checker) {
	Between(ck, in.Limits.LeafRequests, 1, maxLeafRequests, "Limits", "LeafRequests")
}
