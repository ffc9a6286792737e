package emulate

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/result"
	"balsamwinch.example/tier"
	"balsamwinch.example/timer"
)

// LocalConfig describes a tier in this process.
type LocalConfig struct {
	Entries     int      // Entries is how many entry instances there are.
	Controls    int      // Controls is how many control instances there are.
	DataCentres []string // DataCentres are filled in turn.
	Folder      string   // Folder gets a data folder for each control instance.
	StopTimeout time.Duration
	// Program runs each instance in a process of its own, which calls ServeInstance
	// with its standard input; only such an instance can be killed. None: all run in
	// this process.
	Program []string
	// Logs is a folder for what the processes log, a file for each; empty: nowhere.
	LogFolder string
}

// Local is a tier on this machine, each instance at a loopback address of its
// own. Those in this process share the garbage collector and the memory limit,
// and all share the processors; what one costs can't be told apart. It is safe for
// concurrent use, as long as no two goroutines start or end the same instance.
type LocalTier struct {
	cf        LocalConfig
	ts        *timer.Service
	lg        *zap.Logger
	instances []*localInstance
}

// localInstance is one instance of a Local.
type localInstance struct {
	se tier.Settings

	mu sync.Mutex
	ru *running
}

const (
	// localTries bounds the tries to find addresses that are still free when the
	// instances open them.
	localTries = 5
	// localMegabytes is the memory limit of the whole process.
	localMegabytes = 4096
	// localPoll is how often is looked whether something has come about.
	localPoll      = 20 * time.Millisecond
	localSilence   = 200 * time.Millisecond
	localHostCount = 250
)

// StartLocal starts the instances and returns once all listen. The loopback
// addresses 127.x.y.z must be usable without being set up, as on Linux.
func StartLocalTier(ctx context.Context, cf LocalConfig, ts *timer.Service, lg *zap.Logger) (*LocalTier, error) {
	if cf.Entries < 1 || cf.Controls < 1 || cf.Entries+cf.Controls > localHostCount || len(cf.DataCentres) == 0 {
		return nil, &result.Error{Code: result.BadSettings, Op: "start a local tier", Detail: fmt.Sprintf("want at least one instance of each role, %d at most, and a data centre", localHostCount)}
	}
	var last error
	for try := range localTries {
		ses, err := cf.settings(filepath.Join(cf.Folder, strconv.Itoa(try)))
		if err != nil {
			return nil, err
		}
		lo := &LocalTier{cf: cf, ts: ts, lg: lg}
		for _, se := range ses {
			in := &localInstance{se: se}
			if err := lo.run(in, se); err != nil {
				return nil, errors.Join(err, lo.Close())
			}
			lo.instances = append(lo.instances, in)
		}
		if last = lo.await(ctx, (*localInstance).listens); last == nil {
			return lo, nil
		}
		last = errors.Join(last, lo.Close())
		// Another process may have taken a port between its choice and its use.
		var re *result.Error
		if ctx.Err() != nil || !errors.As(last, &re) || re.Op != "listen" {
			break
		}
	}
	return nil, last
}

// settings returns those of all instances, with ports that were free a moment ago.
func (cf LocalConfig) settings(folder string) ([]tier.Settings, error) {
	network := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	ips := make([]string, cf.Controls+cf.Entries)
	for ix := range ips {
		ips[ix] = network + strconv.Itoa(1+ix)
	}
	var ho holder
	defer ho.release()
	port, err := ho.common(ips)
	if err != nil {
		return nil, err
	}
	var ses []tier.Settings
	var seeds []string
	for ix, ip := range ips {
		se := tier.Defaults()
		se.DataCentre, se.Address, se.LinkPort = cf.DataCentres[ix%len(cf.DataCentres)], ip, port
		se.FirstStart = true
		se.Limits.MemoryMegabytes = localMegabytes
		if cf.StopTimeout > 0 {
			se.Timing.StopWithin = cf.StopTimeout
		}
		one, two := ho.hold(ip), ho.hold(ip)
		if ix < cf.Controls {
			se.Name = fmt.Sprintf("control-%d", ix+1)
			se.DataFolder = filepath.Join(folder, se.Name)
			se.Listen = tier.Listen{Control: one, Addresses: two}
			seeds = append(seeds, one)
		} else {
			se.Name = fmt.Sprintf("entry-%d", ix-cf.Controls+1)
			se.Listen = tier.Listen{Callers: one, Ready: two}
		}
		ses = append(ses, se)
	}
	for ix := range ses {
		ses[ix].Seeds = seeds
		if err := errors.Join(ho.err, ses[ix].Check()); err != nil {
			return nil, err
		}
	}
	return ses, nil
}

// holder holds ports, so that no two of them are alike, until all are chosen.
type holder struct {
	lis []net.Listener
	err error
}

func (ho *holder) hold(ip string) string {
	li, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		ho.err = err
		return ""
	}
	ho.lis = append(ho.lis, li)
	return li.Addr().String()
}

// common holds one port that is free at all addresses.
func (ho *holder) common(ips []string) (int, error) {
	var last error
	for range localTries * len(ips) {
		_, port, err := net.SplitHostPort(ho.hold(ips[0]))
		if err != nil {
			return 0, ho.err
		}
		last = nil
		for _, ip := range ips[1:] {
			li, err := net.Listen("tcp4", net.JoinHostPort(ip, port))
			if err != nil {
				last = err
				break
			}
			ho.lis = append(ho.lis, li)
		}
		if last == nil {
			return strconv.Atoi(port)
		}
	}
	return 0, last
}

func (ho *holder) release() {
	for _, li := range ho.lis {
		_ = li.Close()
	}
}

// run begins a life of an instance with settings.
func (lo *LocalTier) run(in *localInstance, se tier.Settings) error {
	ru, err := (*running)(nil), error(nil)
	if len(lo.cf.Program) > 0 {
		ru, err = runProcess(se, lo.cf.Program, lo.cf.LogFolder)
	} else {
		ru = runHere(se, lo.lg)
	}
	if err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ru = ru
	return nil
}

// life returns the newest life of the instance.
func (in *localInstance) life() *running {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.ru
}

// listens reports whether the instance answers.
func (in *localInstance) listens(ctx context.Context) bool {
	address := in.se.Listen.Addresses
	if in.se.Entry() {
		address = in.se.Listen.Ready
	}
	return statusOf(ctx, address) != 0
}

// ready reports whether the instance serves callers, if it is there for them.
func (in *localInstance) ready(ctx context.Context) bool {
	return !in.se.Entry() || statusOf(ctx, in.se.Listen.Ready) == http.StatusOK
}

// statusOf returns the status that GET /ready is answered with; 0 for no answer.
func statusOf(ctx context.Context, address string) int {
	ctx, cancel := context.WithTimeout(ctx, localSilence)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		return 0
	}
	rq.Close = true
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return 0
	}
	_ = rs.Body.Close()
	return rs.StatusCode
}

// await waits until something holds at all instances. An instance that ends is
// an error.
func (lo *LocalTier) await(ctx context.Context, holds func(*localInstance, context.Context) bool) error {
	for _, in := range lo.instances {
		if err := lo.awaitOne(ctx, in, holds); err != nil {
			return err
		}
	}
	return nil
}

func (lo *LocalTier) awaitOne(ctx context.Context, in *localInstance, holds func(*localInstance, context.Context) bool) error {
	ru := in.life()
	for !holds(in, ctx) {
		select {
		case <-ru.done:
			return errors.Join(ru.err, fmt.Errorf("%s has ended", in.se.Name))
		default:
		}
		if err := lo.ts.Sleep(ctx, localPoll); err != nil {
			return fmt.Errorf("wait for %s: %w", in.se.Name, err)
		}
	}
	return nil
}

// Configure has a configuration accepted, and waits until every entry instance
// serves.
func (lo *LocalTier) Configure(ctx context.Context, cf Configuration) error {
	co := NewControlClient(lo.ControlAddresses())
	defer co.Close()
	for {
		err := co.Configure(ctx, cf.Encode())
		var re *result.Error
		if err == nil || errors.As(err, &re) && re.Code == result.NotRunBadRequest {
			return errors.Join(err, lo.await(ctx, (*localInstance).ready))
		}
		if lo.ts.Sleep(ctx, localPoll) != nil {
			return err
		}
	}
}

// Callers returns where the entry instances take requests.
func (lo *LocalTier) CallerAddresses() []string {
	return lo.addresses(func(li tier.Listen) string { return li.Callers })
}

// Control returns where the control instances take the calls of operators and
// backend servers.
func (lo *LocalTier) ControlAddresses() []string {
	return lo.addresses(func(li tier.Listen) string { return li.Control })
}

// Addresses returns where control instances tell which entry instances to use.
func (lo *LocalTier) LookupAddresses() []string {
	return lo.addresses(func(li tier.Listen) string { return li.Addresses })
}

func (lo *LocalTier) addresses(of func(tier.Listen) string) []string {
	var out []string
	for _, in := range lo.instances {
		if ad := of(in.se.Listen); ad != "" {
			out = append(out, ad)
		}
	}
	return out
}

// Close stops all instances at once and waits for their end.
func (lo *LocalTier) Close() error {
	var errs []error
	for _, in := range lo.instances {
		in.life().stop()
	}
	for _, in := range lo.instances {
		ru := in.life()
		<-ru.done
		errs = append(errs, ru.err)
	}
	return errors.Join(errs...)
}
