// Package tier runs one instance of the routed tier: an entry instance, which
// passes requests on routes to backend servers, or a control instance, which
// keeps the configuration, hears backend servers and tells callers which entry
// instances to use. It wires the packages that decide; how the outside speaks is
// given to it as a Dialect.
package tier

import (
	"fmt"
	"net"
	"time"

	"balsamwinch.example/result"
	"balsamwinch.example/settings"
)

// Settings are those of one instance, in a YAML file. Times are written like
// 250ms or 3s.
type Settings struct {
	Name       string
	DataCentre string
	Region     string
	// DataCentres holds the region of each data centre of the whole tier; empty if not known.
	DataCentres map[string]string
	Address     string // Address is the IP number for links between instances.
	LinkPort    int    // LinkPort is the same on all instances.
	Listen      Listen
	Seeds       []string // Seeds are addresses of control instances, IP:port; the port is not used for links.
	FirstStart  bool     // FirstStart says that the whole tier starts for the first time, with empty disks.
	Losses      int      // Losses is how many control instances may be lost at once.
	DataFolder  string
	Limits      MachineLimits
	Timing      Timing
	Budget      Budget
	Warmup      Warmup
	Metrics     string // Metrics is the IP:port for metrics; none if empty.
}

// Listen names the addresses, IP:port, that an instance listens on for others
// than instances. One with an address for callers is an entry instance, one with
// an address for control a control instance.
type Listen struct {
	Callers   string // Callers is for requests.
	Ready     string // Ready tells whether this instance serves callers.
	Control   string // Control is for operators and backend servers.
	Addresses string // Addresses tells callers which entry instances to use.
}

// MachineLimits are what the instance may use.
type MachineLimits struct {
	MemoryMegabytes int
	Descriptors     int
}

// Timing holds the times of an instance.
type Timing struct {
	Announcement time.Duration // Announcement is how often a backend server announces itself.
	AddressTTL   time.Duration // AddressTTL is how long callers may keep an address list; see addressTTL.
	StopWithin   time.Duration // StopWithin is how long a planned stop may take.
	// Drain is how long a backend server that says that it leaves may still get
	// requests, and Apply is within what a configuration must be in force. Links that
	// fall silent are found within a part of the shorter one.
	Drain          time.Duration
	Apply          time.Duration
	CallerDistance time.Duration // CallerDistance is the one-way time to callers.
	Election       time.Duration
	Heartbeat      time.Duration
}

// Budget bounds arrivals at backend servers beyond the first of each request.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Warmup bounds what arrives at a cold backend server in any second: Overage times the
// rate that its service names, and Slack.
type Warmup struct {
	Overage float64
	Slack   float64
}

// Defaults returns the settings that a file need not name.
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
		Limits: MachineLimits{MemoryMegabytes: 256, Descriptors: 4096},
	}
}

// Parse reads a settings file. The error is a *result.Error with the code
// BadSettings that lists all faults.
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

// Entry reports whether the instance serves callers.
func (se Settings) Entry() bool { return se.Listen.Callers != "" }

// Control reports whether the instance is a control instance.
func (se Settings) Control() bool { return se.Listen.Control != "" }

// Check returns the first fault of the settings, or nil.
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

// LinkAddress returns where other instances reach this one.
func (se Settings) LinkAddress() string {
	return net.JoinHostPort(se.Address, fmt.Sprint(se.LinkPort))
}

// LinkSeeds returns where the seeds are reached by other instances: the port of
// links is the same on all.
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

// fieldError is a field with a value that can't be used.
type fieldError struct {
	field, want, got string
}

// Error says what was expected and found.
func (fe *fieldError) Error() string {
	return fmt.Sprintf("%s: want %s, got %s", fe.field, fe.want, fe.got)
}
