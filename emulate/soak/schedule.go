package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	ControlStop   Kind = "ControlStop"   // ControlStop stops a control instance as planned and starts it again.
	ControlKill   Kind = "ControlKill"   // ControlKill kills a control instance and starts it again.
	ControlLose   Kind = "ControlLose"   // ControlLose is ControlKill and the data is lost.
	ControlAll    Kind = "ControlAll"    // ControlAll kills all control instances and starts them again.
	EntryStop     Kind = "EntryStop"     // EntryStop stops an entry instance as planned and replaces it.
	EntryKill     Kind = "EntryKill"     // EntryKill kills an entry instance and replaces it.
	ServerCrash   Kind = "ServerCrash"   // ServerCrash ends a backend server at once; a new one comes at its address.
	ServerSilent  Kind = "ServerSilent"  // ServerSilent accepts requests and never answers them.
	ServerSlow    Kind = "ServerSlow"    // ServerSlow takes several times as long.
	ServerShed    Kind = "ServerShed"    // ServerShed refuses a part of the requests.
	ServerHalt    Kind = "ServerHalt"    // ServerHalt stands still.
	ReplyTwice    Kind = "ReplyTwice"    // ReplyTwice sends a part of the answers twice.
	ReplyLate     Kind = "ReplyLate"     // ReplyLate answers a part of the requests late.
	ReplyCut      Kind = "ReplyCut"      // ReplyCut cuts a part of the answers short, or sends none, or bytes that are none.
	ReplyOther    Kind = "ReplyOther"    // ReplyOther answers a part of the requests for another one.
	ServerDrain   Kind = "ServerDrain"   // ServerDrain is replaced and leaves as planned.
	ServerReplace Kind = "ServerReplace" // ServerReplace ends a server at once; its address goes to one of another service.
	ServiceCrash  Kind = "ServiceCrash"  // ServiceCrash is ServerCrash of all servers of a service.
	ServiceShed   Kind = "ServiceShed"   // ServiceShed is all servers of a service that refuse all requests.
	Repartition   Kind = "Repartition"   // Repartition gives all shards new services, then the old ones leave.
	ConfigBurst   Kind = "ConfigBurst"   // ConfigBurst is several configurations without a wait between.
	ConfigTwo     Kind = "ConfigTwo"     // ConfigTwo is two operators at once, with different versions.
	ConfigAgain   Kind = "ConfigAgain"   // ConfigAgain sends the newest acknowledged configuration again.
	ConfigInvalid Kind = "ConfigInvalid" // ConfigInvalid sends one that must be refused.
	ServerAgain   Kind = "ServerAgain"   // ServerAgain ends a backend server at once; it starts again under its id.
	RequestFatal  Kind = "RequestFatal"  // RequestFatal is a request that ends each server that runs it, sent again and again.
	Evacuate      Kind = "Evacuate"      // Evacuate has a data centre evacuated, and that withdrawn.
	ControlHang   Kind = "ControlHang"   // ControlHang makes a control instance stand still with its connections open.
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{
		ControlStop, ControlKill, ControlLose, ControlAll, EntryStop, EntryKill,
		ServerCrash, ServerSilent, ServerSlow, ServerShed, ServerHalt,
		ReplyTwice, ReplyLate, ReplyCut, ReplyOther, ServerDrain, ServerReplace, ServiceCrash, ServiceShed,
		Repartition, ConfigBurst, ConfigTwo, ConfigAgain, ConfigInvalid,
		ServerAgain, ControlHang, RequestFatal, Evacuate, // At the end, so that seeds of before draw what they drew.
	}
}

// part is the part of the tier in which a fault is.
type part int

const (
	partControl part = iota
	partEntry
	partServer
	partShards
	partOperator
	partRequest
	partDataCentre
)

func (ki Kind) part() part {
	switch ki {
	case ControlStop, ControlKill, ControlLose, ControlAll, ControlHang:
		return partControl
	case EntryStop, EntryKill:
		return partEntry
	case Repartition:
		return partShards
	case RequestFatal:
		return partRequest
	case Evacuate:
		return partDataCentre
	case ConfigBurst, ConfigTwo, ConfigAgain, ConfigInvalid:
		return partOperator
	default:
		return partServer
	}
}

const (
	// stopWithin is how long an instance may take to stop. Callers keep an address
	// for 2 s, and an entry instance keeps 1.8 s of the stop for its last answers.
	stopWithin = 4 * time.Second
	// lingerFor is how long a server that has drained goes on listening, so that a
	// request that comes too late is seen.
	lingerFor = 2 * time.Second
	// applyWithin is how long the operator waits from the word that new shards are
	// accepted to the leaving of the old ones.
	applyWithin = 3 * time.Second
)

// mending returns how long a fault goes on after its time, until all is as before.
func (cf Settings) mending(ki Kind) time.Duration {
	switch ki {
	case EntryStop:
		return stopWithin
	case ServerDrain:
		return cf.Checks.Drain + lingerFor
	case RequestFatal:
		return newsWithin + restartedWithin
	case Repartition:
		return applyWithin + cf.Checks.Drain + lingerFor
	default:
		return 0
	}
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind   Kind
	At     time.Duration // At counts from the start of the load.
	For    time.Duration
	Target int     // Target is the number of the instance or backend server, from 0.
	Value  float64 // Value is from 0 to 1 and says how bad it is, for kinds that know more and less.
}

// drawer draws a schedule.
type drawer struct {
	cf  Settings
	rd  *rand.Rand
	out []Fault
}

// Draw returns the faults of a run in the order of their beginnings. Equal
// arguments give equal faults. No fault reaches into Quiet, no more than AtOnce are
// under way, one entry instance is always left alone, no backend server has two
// faults, and control has one at a time with Mend between.
func DrawSchedule(seed uint64, cf Settings) []Fault {
	dr := &drawer{cf: cf, rd: rand.New(rand.NewPCG(seed, scheduleStream))}
	for at := dr.pause(); at < cf.Length-cf.Quiet; at += dr.pause() {
		fa, ok := dr.fault(at)
		if ok && dr.room(fa) {
			dr.out = append(dr.out, fa)
		}
	}
	return dr.out
}

// scheduleStream tells the random numbers of the schedule from others of the seed.
const scheduleStream = 7

func (dr *drawer) pause() time.Duration {
	return max(time.Millisecond, time.Duration(dr.rd.ExpFloat64()*float64(dr.cf.Faults.Every)))
}

// fault draws a fault that begins at the time; false if no kind has a weight.
func (dr *drawer) fault(at time.Duration) (Fault, bool) {
	ki, ok := dr.kind()
	if !ok {
		return Fault{}, false
	}
	fc := dr.cf.Faults
	fa := Fault{Kind: ki, At: at, For: fc.Least + time.Duration(dr.rd.Float64()*float64(fc.Most-fc.Least)), Value: dr.rd.Float64()}
	many := map[part]int{partControl: dr.cf.Tier.Controls, partEntry: dr.cf.Tier.Entries, partServer: dr.cf.positions(), partDataCentre: len(dr.cf.Tier.DataCentres)}[ki.part()]
	target := dr.rd.Uint64()
	if many > 0 {
		fa.Target = int(target % uint64(many))
	}
	return fa, true
}

func (dr *drawer) kind() (Kind, bool) {
	sum := 0
	for _, we := range dr.cf.Faults.Weights {
		sum += we
	}
	if sum == 0 {
		return "", false
	}
	left := dr.rd.IntN(sum)
	for _, ki := range Kinds() {
		if left -= dr.cf.Faults.Weights[ki]; left < 0 {
			return ki, true
		}
	}
	return "", false
}

// end returns when all is as before.
func (fa Fault) end(cf Settings) time.Duration { return fa.At + fa.For + cf.mending(fa.Kind) }

// room reports whether a fault may be under way with those drawn before it.
func (dr *drawer) room(fa Fault) bool {
	if fa.end(dr.cf) > dr.cf.Length-dr.cf.Quiet {
		return false
	}
	under, entries := 0, 0
	for _, ot := range dr.out {
		end := ot.end(dr.cf)
		if ot.Kind.part() == partControl && fa.Kind.part() == partControl && end+dr.cf.Faults.Mend > fa.At {
			return false
		}
		if end <= fa.At {
			continue
		}
		under++
		if ot.Kind.part() != fa.Kind.part() {
			continue
		}
		switch fa.Kind.part() {
		case partShards, partRequest, partDataCentre:
			return false
		case partEntry:
			entries++
			fallthrough
		case partServer:
			if fa.meets(ot, dr.cf) {
				return false
			}
		}
	}
	if fa.Kind.part() == partEntry && entries+1 >= dr.cf.Tier.Entries {
		return false
	}
	return under < dr.cf.Faults.AtOnce
}

// positions returns how many backend servers there are at a time.
func (cf Settings) positions() int {
	return (cf.Servers.Shards + cf.PlainServices) * cf.Servers.Replicas
}

// targets returns the positions of the backend servers that a fault is at.
func (fa Fault) targets(cf Settings) []int {
	if fa.Kind != ServiceCrash && fa.Kind != ServiceShed {
		return []int{fa.Target}
	}
	var out []int
	first := fa.Target - fa.Target%cf.Servers.Replicas
	for nth := range cf.Servers.Replicas {
		out = append(out, first+nth)
	}
	return out
}

// meets reports whether two faults of backend servers, or of entry instances, have
// a target in common.
func (fa Fault) meets(ot Fault, cf Settings) bool {
	return slices.ContainsFunc(fa.targets(cf), func(ta int) bool { return slices.Contains(ot.targets(cf), ta) })
}

// count returns how many faults of each kind a schedule has.
func count(fas []Fault) map[Kind]int {
	out := make(map[Kind]int)
	for _, fa := range fas {
		out[fa.Kind]++
	}
	return out
}
