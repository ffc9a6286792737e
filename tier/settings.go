// Package tier runs one instance of the routed tier: an entry instance, which forwards
// requests on routes to backend servers, or a control instance, which stores the
// configuration, tracks backend servers and tells callers which entry instances to use.
// It wires up the packages that implement these; header names, formats and HTTP APIs are
// supplied as a Dialect.
package tier

import (
	"fmt"
	"net"
	"time"

	"balsamwinch.example/result"
	"balsamwinch.example/settings"
)

// Settings configures one instance. It is read from a YAML file, with durations such as
// 250ms or 3s.
type Settings struct {
	Name       string
	DataCentre string
	Region     string
	// DataCentres maps each data centre of the whole tier to its region; empty if
	// unknown.
	DataCentres map[string]string
	Address     string // IP address for links between instances
	LinkPort    int    // port for links between instances, the same on all
	Listen      Listen
	Seeds       []string // addresses of control instances, IP:port; links use LinkPort instead of the port
	FirstStart  bool     // set when the whole tier starts for the first time, with empty disks
	Losses      int      // number of control instances that may fail at the same time
	DataFolder  string
	Limits      MachineLimits
	Timing      Timing
	Budget      Budget
	Warmup      Warmup
	Quota       Quota
	Stalls      Stalls
	Overload    Overload
	Metrics     string // IP:port that serves metrics; empty for none
}

// Listen holds the addresses, IP:port, that an instance serves everyone but other
// instances on. An instance with an address for callers is an entry instance, one with an
// address for control a control instance.
type Listen struct {
	Callers   string // requests of callers
	Ready     string // readiness check of an entry instance
	Control   string // API for operators and backend servers
	Addresses string // address look-ups of callers
}

// MachineLimits holds the resources that the instance may use.
type MachineLimits struct {
	MemoryMegabytes int
	Descriptors     int
}

// Timing holds the timeouts and intervals of an instance.
type Timing struct {
	Announcement time.Duration // interval between the announcements of a backend server
	AddressTTL   time.Duration // how long callers may keep an address list; see addressTTL
	StopWithin   time.Duration // timeout of a planned stop
	// Drain is how long a backend server that has said that it leaves may still get
	// requests. Apply is the deadline for a configuration to be in force. Silent links
	// are detected within a fraction of the shorter one.
	Drain          time.Duration
	Apply          time.Duration
	CallerDistance time.Duration // one-way delay to callers
	Election       time.Duration
	Heartbeat      time.Duration
}

// Budget bounds the requests to backend servers beyond the first one for each caller's
// request.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Warmup bounds the requests that a cold backend server receives in any second, to
// Overage times the rate in its service's configuration plus Slack.
type Warmup struct {
	Overage float64
	Slack   float64
}

// Quota bounds the requests of a customer with a rate and a burst that are run within any
// Window, at all entry instances together, to (rate x Window + burst) x (1 + Overage) + Slack.
type Quota struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Overload configures what instances do while the backend servers lack capacity.
type Overload struct {
	// Shared is set if entry instances admit requests by levels that control instances
	// derive from the reports of all of them; otherwise each decides alone.
	Shared bool
}

// Defaults returns the values of settings that a file may omit.
func Defaults() Settings {
	return Settings{
		Losses: 1,
		Timing: Timing{
			Announcement:   time.Second,
			AddressTTL:     4 * time.Second,
			StopWithin:     6 * time.Second,
			Drain:          3 * time.Second,
			Apply:          3 * time.Second,
			CallerDistance: 3 * time.Millisecond,
			Election:       400 * time.Millisecond,
			Heartbeat:      100 * time.Millisecond,
		},
		Budget: Budget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Warmup: Warmup{Overage: 1},
		Quota:  Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		Limits: MachineLimits{MemoryMegabytes: 256, Descriptors: 4096},
	}
}

// Parse parses and checks a settings file. The error is a *result.Error with the code
// BadSettings that lists all syntax and type errors, or else the first value that is out
// of range.
func Parse(file string, data []byte) (Settings, error) {
	se := Defaults()
	fs := settings.Decode(file, data, &se)
	if len(fs) > 0 {
		return se, &result.Error{Code: result.BadSettings, Op: "read settings", Err: fs}
	}
	if err := se.Check(); err != nil {
		return se, &result.Error{Code: result.BadSettings, Op: "check settings", Detail: file, Err: err}
	}
	return se, nil
}

// Entry reports whether the instance is an entry instance.
func (se Settings) Entry() bool { return se.Listen.Callers != "" }

// Control reports whether the instance is a control instance.
func (se Settings) Control() bool { return se.Listen.Control != "" }

// Check returns an error for the first invalid setting, or nil.
func (se Settings) Check() error {
	switch {
	case se.Name == "":
		return &fieldError{"Name", "a name", "nothing"}
	case net.ParseIP(se.Address) == nil:
		return &fieldError{"Address", "an IP number", se.Address}
	case se.LinkPort <= 0 || se.LinkPort > 65535:
		return &fieldError{"LinkPort", "a port", fmt.Sprint(se.LinkPort)}
	case !se.Entry() && !se.Control():
		return &fieldError{"Listen", "an address for Callers or Control", "neither"}
	case len(se.Seeds) == 0:
		return &fieldError{"Seeds", "at least one address", "none"}
	case se.Control() && se.DataFolder == "":
		return &fieldError{"DataFolder", "a folder, since this is a control instance", "nothing"}
	case se.Entry() && se.Control():
		return &fieldError{"Listen", "an address for Callers or for Control", "both"}
	case se.Warmup.Overage < 1 || se.Warmup.Slack < 0:
		return &fieldError{"Warmup", "an Overage of at least 1 and a Slack of at least 0", fmt.Sprint(se.Warmup.Overage, " and ", se.Warmup.Slack)}
	case se.Quota.Window <= 0 || se.Quota.Overage < 0 || se.Quota.Slack < 0:
		return &fieldError{"Quota", "a Window above 0 and an Overage and a Slack of at least 0", fmt.Sprint(se.Quota.Window, ", ", se.Quota.Overage, " and ", se.Quota.Slack)}
	case se.Losses < 0:
		return &fieldError{"Losses", "0 or more", fmt.Sprint(se.Losses)}
	}
	return se.checkAddresses()
}

func (se Settings) checkAddresses() error {
	named := []struct{ field, address string }{
		{"Listen.Callers", se.Listen.Callers},
		{"Listen.Ready", se.Listen.Ready},
		{"Listen.Control", se.Listen.Control},
		{"Listen.Addresses", se.Listen.Addresses},
		{"Metrics", se.Metrics},
	}
	for _, sd := range se.Seeds {
		named = append(named, struct{ field, address string }{"Seeds", sd})
	}
	for _, na := range named {
		if na.address == "" {
			continue
		}
		host, _, err := net.SplitHostPort(na.address)
		if err != nil || net.ParseIP(host) == nil {
			return &fieldError{na.field, "IP:port", na.address}
		}
	}
	return nil
}

// LinkAddress returns the address at which other instances open links to this one.
func (se Settings) LinkAddress() string {
	return net.JoinHostPort(se.Address, fmt.Sprint(se.LinkPort))
}

// LinkSeeds returns the link addresses of the seeds. Seeds that aren't of the form
// IP:port are skipped.
func (se Settings) LinkSeeds() []string {
	var out []string
	for _, sd := range se.Seeds {
		host, _, err := net.SplitHostPort(sd)
		if err == nil {
			out = append(out, net.JoinHostPort(host, fmt.Sprint(se.LinkPort)))
		}
	}
	return out
}

// fieldError is an error about the value of one setting.
type fieldError struct {
	field, want, got string
}

// Error returns the field with the wanted and the actual value.
func (fe *fieldError) Error() string {
	return fmt.Sprintf("%s: want %s, got %s", fe.field, fe.want, fe.got)
}
