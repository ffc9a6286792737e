package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"path/filepath"

	"go.uber.org/zap"

	"balsamwinch.example/keys"
	"balsamwinch.example/operator"
	"balsamwinch.example/result"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
)

// loopback is the IP address of a local tier.
const loopback = "127.0.0.1"

// LocalConfig describes a tier on one machine for demos and tests. Its instances communicate
// over the network, as on separate machines.
type LocalConfig struct {
	Instances        int      // number of instances; each is an entry
	ControlInstances int      // number of instances, the first ones, with the control role
	Region           string   // region of all instances
	DataCentres      []string // assigned to the instances in turn
	Folder           string   // parent of the data folders
	Timing           settings.Timing
	Limits           settings.Limits
}

// Local is a running local tier.
type Local struct {
	ins    []*localInstance
	ts     *timer.Service
	lg     *zap.Logger
	client *operator.Client
}

// localInstance is one instance of a local tier and the settings to restart it with.
type localInstance struct {
	st   settings.Instance
	tl   *tls.Config
	in   *Instance
	done chan error
}

// StartLocal starts a tier. A zero Timing or Limits means the defaults. The tier has no
// configuration until Apply.
func StartLocal(cf LocalConfig, ts *timer.Service, lg *zap.Logger) (*Local, error) {
	au, err := keys.NewAuthority()
	if err != nil {
		return nil, err
	}
	all, err := localSettings(cf)
	if err != nil {
		return nil, err
	}
	lo := &Local{ts: ts, lg: lg}
	for _, st := range all {
		tl, err := issueTLS(au, st.Name)
		if err != nil {
			return nil, errors.Join(err, lo.Close())
		}
		li := &localInstance{st: st, tl: tl}
		if err := li.start(ts, lg); err != nil {
			return nil, errors.Join(err, lo.Close())
		}
		lo.ins = append(lo.ins, li)
	}
	lo.client = operator.NewClient(lo.Addresses("Operator"))
	return lo, nil
}

func issueTLS(au *keys.Authority, name string) (*tls.Config, error) {
	pa, err := au.Issue(keys.Subject{Name: name, IPs: []net.IP{net.ParseIP(loopback)}})
	if err != nil {
		return nil, err
	}
	return au.Config(pa)
}

// localSettings returns the settings of each instance.
func localSettings(cf LocalConfig) ([]settings.Instance, error) {
	pas, err := freeUDPAddresses(cf.Instances)
	if err != nil {
		return nil, err
	}
	var vrs []settings.Voter
	var all []settings.Instance
	for ix := range cf.Instances {
		st := settings.NewInstance()
		st.Name = fmt.Sprintf("entry-%02d", ix+1)
		st.Region = cf.Region
		st.DataCentre = cf.DataCentres[ix%len(cf.DataCentres)]
		st.Roles = []settings.Role{settings.Entry}
		st.Addresses = settings.Addresses{Caller: loopback + ":0", Backend: loopback + ":0", Operator: loopback + ":0", Peer: pas[ix]}
		if ix < cf.ControlInstances {
			st.Roles = append(st.Roles, settings.Control)
			st.DataFolder = filepath.Join(cf.Folder, st.Name)
			vrs = append(vrs, settings.Voter{Name: st.Name, Address: pas[ix]})
		}
		if cf.Timing != (settings.Timing{}) {
			st.Timing = cf.Timing
		}
		if cf.Limits != (settings.Limits{}) {
			st.Limits = cf.Limits
		}
		all = append(all, st)
	}
	for ix := range all {
		all[ix].Control.Voters = vrs
	}
	return all, nil
}

// freeUDPAddresses returns addresses whose ports were free when it was called. Voters must
// know each other's addresses before any of them starts.
func freeUDPAddresses(count int) ([]string, error) {
	var out []string
	var open []net.PacketConn
	defer func() {
		for _, pc := range open {
			_ = pc.Close()
		}
	}()
	for range count {
		pc, err := net.ListenPacket("udp", loopback+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, pc)
		out = append(out, pc.LocalAddr().String())
	}
	return out, nil
}

func (li *localInstance) start(ts *timer.Service, lg *zap.Logger) error {
	in, err := New(li.st, li.tl, ts, lg)
	if err != nil {
		return err
	}
	for name, at := range map[string]*string{
		"Caller": &li.st.Addresses.Caller, "Backend": &li.st.Addresses.Backend, "Operator": &li.st.Addresses.Operator,
	} {
		*at = in.Address(name) // After a restart the instance listens at the same address.
	}
	li.in = in
	li.done = make(chan error, 1)
	go func() { li.done <- in.Serve(context.Background()) }()
	return nil
}

// Instances returns the instances in the order in which they were started.
func (lo *Local) Instances() []*Instance {
	var out []*Instance
	for _, li := range lo.ins {
		out = append(out, li.in)
	}
	return out
}

// Kill ends the instance with the given index without notifying the others.
func (lo *Local) Kill(ix int) error {
	li := lo.ins[ix]
	li.in.Kill()
	err := <-li.done
	li.done <- nil
	return err
}

// Restart starts a killed instance again, from its disk if it has one.
func (lo *Local) Restart(ix int) error {
	return lo.ins[ix].start(lo.ts, lo.lg)
}

// Addresses returns the address of the named listener (Caller, Backend, Operator or Peer) of
// each instance.
func (lo *Local) Addresses(name string) []string {
	var out []string
	for _, li := range lo.ins {
		out = append(out, li.in.Address(name))
	}
	return out
}

// Apply adds files to the configuration or replaces those with the same names. It returns once
// they are in force everywhere.
func (lo *Local) Apply(ctx context.Context, changeID string, fis []operator.File) error {
	known, err := lo.client.Files(ctx)
	if err != nil {
		return err
	}
	base := make(map[string]uint64)
	for _, sf := range known.Files {
		base[sf.Name] = sf.Revision
	}
	cr := operator.ChangeRequest{ChangeID: changeID, Author: "local"}
	for _, fi := range fis {
		cr.Files = append(cr.Files, operator.FileChange{Name: fi.Name, Base: base[fi.Name], Content: fi.Content})
	}
	rp, err := lo.client.Change(ctx, cr)
	if err != nil {
		return err
	}
	if rp.Code != result.Accepted {
		return &result.Error{Code: rp.Code, Op: "apply", Detail: fmt.Sprint(rp.Faults, rp.Conflict, rp.WaitingFor)}
	}
	return nil
}

// Wait returns once cond holds for every instance, or with the context's error.
func (lo *Local) Wait(ctx context.Context, cond func(*Instance) bool) error {
	for _, li := range lo.ins {
		for !cond(li.in) {
			if err := lo.ts.Sleep(ctx, tickInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close stops all instances gracefully and concurrently, and returns their errors.
func (lo *Local) Close() error {
	for _, li := range lo.ins {
		li.in.Stop()
	}
	var errs []error
	for _, li := range lo.ins {
		errs = append(errs, <-li.done)
	}
	return errors.Join(errs...)
}
