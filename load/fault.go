package load

import (
	"cmp"
	"slices"
	"time"

	"balsamwinch.example/leaf"
	"balsamwinch.example/settings"
)

// FaultKind names a kind of fault in an experiment file.
type FaultKind string

// Kinds of faults.
const (
	Slow         FaultKind = "Slow"         // makes a Share of leaf requests Factor times slower
	Stuck        FaultKind = "Stuck"        // requests hold their slots and are never answered
	Silent       FaultKind = "Silent"       // makes the open connections go silent
	Shed         FaultKind = "Shed"         // makes backend servers shed a Share of requests
	Crossed      FaultKind = "Crossed"      // sends a Share of replies with the ID of another request
	Doubled      FaultKind = "Doubled"      // sends a Share of replies twice
	Cut          FaultKind = "Cut"          // closes the connection of a Share of requests, which do not run
	LostReply    FaultKind = "LostReply"    // closes the connection of a Share of requests after they ran
	Lie          FaultKind = "Lie"          // makes health and load endpoints report an idle server
	Lost         FaultKind = "Lost"         // kills backend servers without a drain
	NewVersion   FaultKind = "NewVersion"   // publishes the next index version
	Repartition  FaultKind = "Repartition"  // splits the first shard, or merges it again
	KillInstance FaultKind = "KillInstance" // kills an instance without a drain
)

// FaultSpec is a fault as stated in an experiment file. It begins After into each block, so
// that every arm is exposed to it in the same way, and ends with the block or after For. With
// Every it is repeated at that interval.
type FaultSpec struct {
	Kind    FaultKind
	Service string // name of a group; empty means every service
	Shard   int    // number from 1; 0 means every shard
	Replica int    // number from 1; 0 means every replica
	// Number, from 1, of the instance to kill; 0 kills them in turn.
	Instance int
	After    time.Duration
	For      time.Duration
	Every    time.Duration
	Stagger  time.Duration // maximum random delay of a new version or partition at each backend server
	Share    float64
	Factor   float64
	Held     bool // silent connections still count against the backend server's limit after the other end closes them
}

// Fault is a fault that can be injected into a tier.
type Fault interface{ isFault() }

// Target selects backend servers.
type Target struct {
	Service string // name of a group; empty means every service
	Shard   int    // number from 1; 0 means every shard
	Replica int    // number from 1; 0 means every replica
}

// Faults of a tier.
type (
	// Misbehaviour makes backend servers misbehave until it ends.
	Misbehaviour struct {
		Target Target
		Faults leaf.Faults
	}
	// Loss kills backend servers; they restart when it ends.
	Loss struct{ Target Target }
	// Publication publishes the next index version of a group.
	Publication struct {
		Target  Target
		Stagger time.Duration
	}
	// Split switches between the two partition maps of a group.
	Split struct {
		Target  Target
		Stagger time.Duration
	}
	// InstanceLoss kills an instance; it restarts when it ends.
	InstanceLoss struct{ Number int }
)

func (Misbehaviour) isFault() {}
func (Loss) isFault()         {}
func (Publication) isFault()  {}
func (Split) isFault()        {}
func (InstanceLoss) isFault() {}

// Fault returns the fault that the specification describes.
func (fs FaultSpec) Fault() Fault {
	ta := Target{Service: fs.Service, Shard: fs.Shard, Replica: fs.Replica}
	switch fs.Kind {
	case Lost:
		return Loss{Target: ta}
	case NewVersion:
		return Publication{Target: ta, Stagger: fs.Stagger}
	case Repartition:
		return Split{Target: ta, Stagger: fs.Stagger}
	case KillInstance:
		return InstanceLoss{Number: fs.Instance}
	default:
		return Misbehaviour{Target: ta, Faults: fs.leafFaults()}
	}
}

func (fs FaultSpec) leafFaults() leaf.Faults {
	switch fs.Kind {
	case Slow:
		return leaf.Faults{SlowShare: fs.Share, SlowFactor: fs.Factor}
	case Stuck:
		return leaf.Faults{Stuck: true}
	case Silent:
		return leaf.Faults{Silent: true, SilentHeld: fs.Held}
	case Shed:
		return leaf.Faults{Shed: fs.Share}
	case Crossed:
		return leaf.Faults{Crossed: fs.Share}
	case Doubled:
		return leaf.Faults{Doubled: fs.Share}
	case Cut:
		return leaf.Faults{Cut: fs.Share}
	case LostReply:
		return leaf.Faults{Lost: fs.Share}
	case Lie:
		return leaf.Faults{Lie: true}
	default:
		return leaf.Faults{}
	}
}

// hasEnd reports whether the fault must be ended by a step.
func hasEnd(fa Fault) bool {
	switch fa.(type) {
	case Misbehaviour, Loss, InstanceLoss:
		return true
	default:
		return false
	}
}

// Step begins or ends a fault at a time within a block.
type Step struct {
	At    time.Duration
	Index int // index of the fault in the phase
	Fault Fault
	Ends  bool
}

// Schedule returns the steps of a block of the given length in order. A fault that lasts
// beyond the block has no step that ends it.
func (ph Phase) Schedule(length time.Duration) []Step {
	var sts []Step
	for ix, fs := range ph.Faults {
		for at := fs.After; at < length; at += fs.Every {
			sts = append(sts, Step{At: at, Index: ix, Fault: fs.Fault()})
			if end := at + fs.For; fs.For > 0 && end < length && hasEnd(fs.Fault()) {
				sts = append(sts, Step{At: end, Index: ix, Fault: fs.Fault(), Ends: true})
			}
			if fs.Every <= 0 {
				break
			}
		}
	}
	slices.SortStableFunc(sts, func(aa, bb Step) int { return cmp.Compare(aa.At, bb.At) })
	return sts
}

func (ex Experiment) checkFault(ck *settings.Checker, fs FaultSpec, path ...string) {
	at := func(field string) []string {
		return append(slices.Clone(path), field)
	}
	kinds := []FaultKind{Slow, Stuck, Silent, Shed, Crossed, Doubled, Cut, LostReply, Lie, Lost, NewVersion, Repartition, KillInstance}
	settings.OneOf(ck, fs.Kind, kinds, at("Kind")...)
	se, ok := ex.service(fs.Service)
	ck.Want(ok || fs.Service == "", "the name of a service above", fs.Service, at("Service")...)
	if ok {
		settings.Between(ck, fs.Shard, 0, se.Leaves, at("Shard")...)
		settings.Between(ck, fs.Replica, 0, se.Replicas, at("Replica")...)
	}
	settings.Between(ck, fs.Instance, 0, ex.Tier.Instances, at("Instance")...)
	settings.Between(ck, fs.After, 0, ex.Block, at("After")...)
	ck.Want(fs.Every == 0 || fs.Every >= 10*time.Millisecond, "at least 10ms", fs.Every, at("Every")...)
	ck.Want(fs.Every == 0 || fs.For < fs.Every, "less than Every", fs.For, at("For")...)
	settings.Between(ck, fs.Share, 0, 1, at("Share")...)
	switch fs.Kind {
	case Slow, Shed, Crossed, Doubled, Cut, LostReply:
		ck.Want(fs.Share > 0, "above 0 for this kind", fs.Share, at("Share")...)
	}
	if fs.Kind == Repartition {
		// One backend server holds both parts of a split shard and counts executions by key
		// alone: each key would seem to have run twice.
		ck.Want(ok && !se.NotRepeatable, "a service without NotRepeatable", fs.Service, at("Service")...)
	}
	if fs.Kind == Slow {
		settings.Between(ck, fs.Factor, 1, 1000, at("Factor")...)
	}
}
