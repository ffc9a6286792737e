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
	ControlStop     Kind = "ControlStop"     // stops a control instance gracefully and restarts it
	ControlKill     Kind = "ControlKill"     // kills a control instance and restarts it
	ControlLose     Kind = "ControlLose"     // kills a control instance and restarts it without its data
	ControlAll      Kind = "ControlAll"      // kills all control instances and restarts them
	EntryStop       Kind = "EntryStop"       // stops an entry instance gracefully and replaces it
	EntryKill       Kind = "EntryKill"       // kills an entry instance and replaces it
	ServerCrash     Kind = "ServerCrash"     // crashes a backend server; a new one takes its address
	ServerSilent    Kind = "ServerSilent"    // makes a server accept requests and never respond
	ServerSlow      Kind = "ServerSlow"      // makes a server several times slower
	ServerShed      Kind = "ServerShed"      // makes a server reject some requests
	ServerHalt      Kind = "ServerHalt"      // pauses a server
	ReplyTwice      Kind = "ReplyTwice"      // sends some responses twice
	ReplyLate       Kind = "ReplyLate"       // delays some responses
	ReplyCut        Kind = "ReplyCut"        // truncates some responses, or sends none, or invalid bytes
	ReplyOther      Kind = "ReplyOther"      // answers some requests with the response to another one
	ServerDrain     Kind = "ServerDrain"     // replaces a server, which drains gracefully
	ServerReplace   Kind = "ServerReplace"   // crashes a server; its address goes to one of another service
	ServiceCrash    Kind = "ServiceCrash"    // crashes all servers of a service; new ones take their addresses
	ServiceShed     Kind = "ServiceShed"     // makes all servers of a service reject all requests
	Repartition     Kind = "Repartition"     // gives all shards new services, then drains the old servers
	ConfigBurst     Kind = "ConfigBurst"     // sends several configurations without a delay in between
	ConfigTwo       Kind = "ConfigTwo"       // two operators send different versions concurrently
	ConfigAgain     Kind = "ConfigAgain"     // sends the latest acknowledged configuration again
	ConfigInvalid   Kind = "ConfigInvalid"   // sends a configuration that must be rejected
	ServerAgain     Kind = "ServerAgain"     // crashes a backend server and restarts it under its ID
	RequestFatal    Kind = "RequestFatal"    // repeats a request that crashes each server that runs it
	Evacuate        Kind = "Evacuate"        // evacuates a data centre and withdraws the evacuation
	ControlHang     Kind = "ControlHang"     // suspends a control instance with its connections open
	LeaveKill       Kind = "LeaveKill"       // a server leaves; the control instance that acknowledged it is killed at once, in half of the cases without its data
	AnnounceInvalid Kind = "AnnounceInvalid" // sends announcements that no backend server can have sent
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{
		ControlStop, ControlKill, ControlLose, ControlAll, EntryStop, EntryKill,
		ServerCrash, ServerSilent, ServerSlow, ServerShed, ServerHalt,
		ReplyTwice, ReplyLate, ReplyCut, ReplyOther, ServerDrain, ServerReplace, ServiceCrash, ServiceShed,
		Repartition, ConfigBurst, ConfigTwo, ConfigAgain, ConfigInvalid,
		ServerAgain, ControlHang, RequestFatal, Evacuate, LeaveKill, AnnounceInvalid, // Appended, so that existing seeds draw the same faults as before.
	}
}

// component is the part of the tier in which a fault occurs.
type component int

const (
	componentControl component = iota
	componentEntry
	componentServer
	componentShards
	componentOperator
	componentRequest
	componentDataCentre
	componentAnnouncer
)

func (ki Kind) component() component {
	switch ki {
	case ControlStop, ControlKill, ControlLose, ControlAll, ControlHang, LeaveKill:
		return componentControl
	case EntryStop, EntryKill:
		return componentEntry
	case Repartition:
		return componentShards
	case RequestFatal:
		return componentRequest
	case Evacuate:
		return componentDataCentre
	case AnnounceInvalid:
		return componentAnnouncer
	case ConfigBurst, ConfigTwo, ConfigAgain, ConfigInvalid:
		return componentOperator
	default:
		return componentServer
	}
}

const (
	// stopTimeout is how long an instance may take to stop. Callers keep using an
	// address for 2 s, and an entry instance reserves 1.8 s of the stop for its last
	// responses.
	stopTimeout = 4 * time.Second
	// lingerDelay is how long a server continues to listen after it has drained, so that
	// a request that arrives too late is recorded.
	lingerDelay = 2 * time.Second
	// applyDelay is how long the operator waits from the acknowledgement of new shards to
	// the draining of the old ones.
	applyDelay = 3 * time.Second
)

// recoveryTime returns how long the effects of a fault may last beyond its duration.
func (cf Settings) recoveryTime(ki Kind) time.Duration {
	switch ki {
	case EntryStop:
		return stopTimeout
	case ServerDrain, LeaveKill:
		return cf.Checks.Drain + lingerDelay
	case RequestFatal:
		return quarantineDelay + restartTimeout
	case Repartition:
		return applyDelay + cf.Checks.Drain + lingerDelay
	default:
		return 0
	}
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind   Kind
	At     time.Duration // since the start of the load
	For    time.Duration
	Target int     // index of the instance or backend server
	Value  float64 // severity from 0 to 1, for kinds that have degrees
}

// generator generates a schedule.
type generator struct {
	cf  Settings
	rd  *rand.Rand
	out []Fault
}

// DrawSchedule returns the faults of a run in the order of their starts. Equal arguments
// give equal faults. No fault extends into Quiet, at most AtOnce are active at a time,
// at any time at least one entry instance has no fault, no backend server has two faults
// (but LeaveKill may take one that has a fault), and control has one at a time with Mend in between.
func DrawSchedule(seed uint64, cf Settings) []Fault {
	ge := &generator{cf: cf, rd: rand.New(rand.NewPCG(seed, scheduleStream))}
	for at := ge.drawGap(); at < cf.Length-cf.Quiet; at += ge.drawGap() {
		fa, ok := ge.drawFault(at)
		if ok && ge.allowed(fa) {
			ge.out = append(ge.out, fa)
		}
	}
	return ge.out
}

// scheduleStream separates the random numbers of the schedule from others of the seed.
const scheduleStream = 7

func (ge *generator) drawGap() time.Duration {
	return max(time.Millisecond, time.Duration(ge.rd.ExpFloat64()*float64(ge.cf.Faults.Every)))
}

// drawFault draws a fault that starts at the time; false if no kind has a weight.
func (ge *generator) drawFault(at time.Duration) (Fault, bool) {
	ki, ok := ge.drawKind()
	if !ok {
		return Fault{}, false
	}
	fc := ge.cf.Faults
	fa := Fault{Kind: ki, At: at, For: fc.Least + time.Duration(ge.rd.Float64()*float64(fc.Most-fc.Least)), Value: ge.rd.Float64()}
	numTargets := map[component]int{componentControl: ge.cf.Tier.Controls, componentEntry: ge.cf.Tier.Entries, componentServer: ge.cf.numPositions(), componentDataCentre: len(ge.cf.Tier.DataCentres)}[ki.component()]
	target := ge.rd.Uint64()
	if numTargets > 0 {
		fa.Target = int(target % uint64(numTargets))
	}
	return fa, true
}

func (ge *generator) drawKind() (Kind, bool) {
	sum := 0
	for _, weight := range ge.cf.Faults.Weights {
		sum += weight
	}
	if sum == 0 {
		return "", false
	}
	remaining := ge.rd.IntN(sum)
	for _, ki := range Kinds() {
		if remaining -= ge.cf.Faults.Weights[ki]; remaining < 0 {
			return ki, true
		}
	}
	return "", false
}

// end returns when the effects of the fault have ended.
func (fa Fault) end(cf Settings) time.Duration { return fa.At + fa.For + cf.recoveryTime(fa.Kind) }

// allowed reports whether a fault may be active together with those drawn before it.
func (ge *generator) allowed(fa Fault) bool {
	if fa.end(ge.cf) > ge.cf.Length-ge.cf.Quiet {
		return false
	}
	numActive, entries := 0, 0
	for _, other := range ge.out {
		end := other.end(ge.cf)
		if other.Kind.component() == componentControl && fa.Kind.component() == componentControl && end+ge.cf.Faults.Mend > fa.At {
			return false
		}
		if end <= fa.At {
			continue
		}
		numActive++
		if other.Kind.component() != fa.Kind.component() {
			continue
		}
		switch fa.Kind.component() {
		case componentShards, componentRequest, componentDataCentre, componentAnnouncer:
			return false
		case componentEntry:
			entries++
			fallthrough
		case componentServer:
			if fa.overlaps(other, ge.cf) {
				return false
			}
		}
	}
	if fa.Kind.component() == componentEntry && entries+1 >= ge.cf.Tier.Entries {
		return false
	}
	return numActive < ge.cf.Faults.AtOnce
}

// numPositions returns the number of backend servers at a time.
func (cf Settings) numPositions() int {
	return (cf.Servers.Shards + cf.PlainServices) * cf.Servers.Replicas
}

// targets returns the positions of the backend servers that a fault affects.
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

// overlaps reports whether two faults of backend servers, or of entry instances, have a
// target in common.
func (fa Fault) overlaps(other Fault, cf Settings) bool {
	return slices.ContainsFunc(fa.targets(cf), func(ta int) bool { return slices.Contains(other.targets(cf), ta) })
}

// countKinds returns how many faults of each kind a schedule has.
func countKinds(fas []Fault) map[Kind]int {
	out := make(map[Kind]int)
	for _, fa := range fas {
		out[fa.Kind]++
	}
	return out
}
