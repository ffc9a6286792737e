package settings

import (
	"os"
	"path/filepath"
	"slices"
	"time"

	"balsamwinch.example/result"
)

// Role is a function of an instance in the tier.
type Role string

// Roles of an instance.
const (
	// Entry serves callers and sends requests to backend servers.
	Entry Role = "Entry"
	// Control stores the durable state and votes; it needs a data folder.
	Control Role = "Control"
)

// Instance is the settings file of one instance.
type Instance struct {
	Name       string // unique among instances; also the name in the certificate
	Region     string
	DataCentre string
	Roles      []Role
	Addresses  Addresses
	Control    ControlGroup
	DataFolder string // folder of the write-ahead log; required for the role Control
	Keys       Keys
	Log        Log
	Timing     Timing
	Limits     Limits
}

// Addresses are the listen addresses of an instance, each an IP address and a port. With port
// 0 the kernel chooses the port; a peer address with the role Control must not use it.
type Addresses struct {
	Caller   string // queries over HTTP; only with the role Entry
	Backend  string // announcements of backend servers over HTTP
	Operator string // operator requests and metrics over HTTP
	Peer     string // messages of other instances over QUIC (UDP)
}

// ControlGroup lists the instances that store the durable state.
type ControlGroup struct {
	// Voters are the voters at the first start of the tier. Every instance also requests its
	// lease from them.
	Voters []Voter
}

// Voter is one instance with the role Control.
type Voter struct {
	Name    string
	Address string // peer address
}

// Keys are the paths of PEM files. LoadInstance resolves relative paths from the folder of the
// settings file.
type Keys struct {
	Authority   string // certificate of the authority that signed the certificates of all instances
	Certificate string
	Key         string
}

// Log configures the log.
type Log struct {
	Level string // debug, info, warn or error
}

// Timing holds the timeouts and intervals of the control path.
type Timing struct {
	Election   time.Duration // minimum time without a leader before a voter stands for election
	Heartbeat  time.Duration // interval of the leader's heartbeats to each voter
	Lease      time.Duration // how long an instance may serve after the last response from control
	Renewal    time.Duration // interval at which an instance renews its lease
	DrainGrace time.Duration // how long a stopping instance waits for requests in flight after address lists have expired
	// SilentAfter is how long a connection to a backend server may make no progress while a
	// request waits, unless the remaining time of the query is shorter.
	SilentAfter time.Duration
}

// Limits bound the load of an entry instance.
type Limits struct {
	// LeafRequests bounds the leaf requests in flight of all admitted queries together, which
	// also bounds memory. Services share it by their weights.
	LeafRequests int
}

// Has reports whether the instance has the role.
func (in Instance) Has(ro Role) bool {
	return slices.Contains(in.Roles, ro)
}

// Defaults of an instance's settings.
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

// NewInstance returns the default settings of an instance.
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

// LoadInstance reads and checks the settings file of an instance. The error is a *result.Error
// with the code BadSettings; faults of the content are wrapped as Faults.
func LoadInstance(path string) (Instance, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Instance{}, badSettings(err)
	}
	in, fs := ParseInstance(path, data)
	if err := fs.Err(); err != nil {
		return Instance{}, badSettings(err)
	}
	return in.resolvePaths(filepath.Dir(path)), nil
}

func badSettings(err error) error {
	return &result.Error{Code: result.BadSettings, Op: "load settings", Err: err}
}

// resolvePaths resolves relative paths from the folder of the settings file.
func (in Instance) resolvePaths(dir string) Instance {
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
