package settings

import (
	"os"
	"path/filepath"
	"slices"
	"time"

	"balsamwinch.example/result"
)

// Role is a job that an instance does.
type Role string

// The roles of an instance.
const (
	// Entry serves callers and asks backend servers.
	Entry Role = "Entry"
	// Control keeps the durable state and votes; it needs a data folder.
	Control Role = "Control"
)

// Instance is the settings file of one instance.
type Instance struct {
	Name       string // Name is unique among instances and stands in the certificate.
	Region     string
	DataCentre string
	Roles      []Role
	Addresses  Addresses
	Control    ControlGroup
	DataFolder string // DataFolder holds the journal of an instance with the role Control.
	Keys       Keys
	Log        Log
	Timing     Timing
	Limits     Limits
}

// Addresses are where an instance listens, each an IP number and a port. Port 0
// lets the kernel choose, except for a peer address with the role Control.
type Addresses struct {
	Caller   string // Caller takes queries by HTTP; only with the role Entry.
	Backend  string // Backend takes announcements of backend servers by HTTP.
	Operator string // Operator takes changes and serves metrics by HTTP.
	Peer     string // Peer takes messages of other instances by QUIC over UDP.
}

// ControlGroup names the instances that keep the durable state.
type ControlGroup struct {
	// Voters are those that vote when the tier starts for the first time, and
	// those that every instance turns to for its lease.
	Voters []Voter
}

// Voter is one instance with the role Control.
type Voter struct {
	Name    string
	Address string // Address is its peer address.
}

// Keys are the paths of PEM files. LoadInstance makes them relative to the
// folder of the settings file.
type Keys struct {
	Authority   string // Authority is the certificate of the authority that signed all instances.
	Certificate string
	Key         string
}

// Log says what is written to the log.
type Log struct {
	Level string // Level is debug, info, warn or error.
}

// Timing holds the times of the control path.
type Timing struct {
	Election   time.Duration // Election is the shortest time without a leader before a voter stands.
	Heartbeat  time.Duration // Heartbeat is how often a leader speaks to each voter.
	Lease      time.Duration // Lease is how long an instance may serve after control last answered it.
	Renewal    time.Duration // Renewal is how often an instance renews its lease.
	DrainGrace time.Duration // DrainGrace is how long a stopping instance waits for requests in flight, after address lists ran out.
	// SilentAfter is how long a connection to a backend server may make no progress
	// while a request waits, unless the query's own time is shorter.
	SilentAfter time.Duration
}

// Limits bound what an entry takes on.
type Limits struct {
	// LeafRequests is how many leaf requests all admitted queries together may
	// have in flight; it bounds memory, and services share it by their weights.
	LeafRequests int
}

// Has reports whether the instance has the role.
func (in Instance) Has(ro Role) bool {
	return slices.Contains(in.Roles, ro)
}

// The defaults of an instance's settings.
const (
	DefaultElection     = 500 * time.Millisecond
	DefaultHeartbeat    = 100 * time.Millisecond
	DefaultLease        = 5 * time.Second
	DefaultRenewal      = time.Second
	DefaultDrainGrace   = 10 * time.Second
	DefaultSilentAfter  = 2 * time.Second
	DefaultLeafRequests = 16384
	DefaultLogLevel     = "info"
)

// NewInstance returns the settings that hold for what a file does not name.
func NewInstance() Instance {
	return Instance{
		Log: Log{Level: DefaultLogLevel},
		Timing: Timing{
			Election:    DefaultElection,
			Heartbeat:   DefaultHeartbeat,
			Lease:       DefaultLease,
			Renewal:     DefaultRenewal,
			DrainGrace:  DefaultDrainGrace,
			SilentAfter: DefaultSilentAfter,
		},
		Limits: Limits{LeafRequests: DefaultLeafRequests},
	}
}

// LoadInstance reads and checks the settings file of an instance. The error is
// a *result.Error with the code BadSettings that wraps Faults.
func LoadInstance(path string) (Instance, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Instance{}, badSettings(err)
	}
	in, fs := ParseInstance(path, data)
	if err := fs.Err(); err != nil {
		return Instance{}, badSettings(err)
	}
	return in.withFolder(filepath.Dir(path)), nil
}

func badSettings(err error) error {
	return &result.Error{Code: result.BadSettings, Op: "load settings", Err: err}
}

// withFolder makes relative paths start at the folder of the settings file.
func (in Instance) withFolder(dir string) Instance {
	for _, pt := range []*string{&in.DataFolder, &in.Keys.Authority, &in.Keys.Certificate, &in.Keys.Key} {
		if *pt != "" && !filepath.IsAbs(*pt) {
			*pt = filepath.Join(dir, *pt)
		}
	}
	return in
}

// ParseInstance decodes and checks the content of a settings file.
func ParseInstance(file string, data []byte) (Instance, Faults) {
	in := NewInstance()
	tr, fs := Parse(file, data)
	ck := NewChecker(tr, append(fs, tr.Decode(&in)...))
	if len(tr.Keys()) == 0 && len(fs) > 0 {
		return in, ck.Faults()
	}
	in.checkIdentity(ck)
	in.checkAddresses(ck)
	in.checkControl(ck)
	in.checkKeys(ck)
	in.checkTiming(ck)
	in.checkLimits(ck)
	return in, ck.Faults()
}
