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

// LocalConfig describes a tier on this machine.
type LocalConfig struct {
	Entries     int      // number of entry instances
	Controls    int      // number of control instances
	DataCentres []string // assigned to the instances in turn
	Folder      string   // gets a data folder for each control instance
	StopTimeout time.Duration
	// Program runs each instance in a process of its own, which must call ServeInstance
	// with its standard input; only such an instance can be killed. If empty, all
	// instances run in this process.
	Program []string
	// LogFolder gets a log file for each process; if empty, their logs are discarded.
	LogFolder string
}

// LocalTier is a tier on this machine, with a loopback address for each instance.
// Instances in this process share the garbage collector and the memory limit, and all
// instances share the processors, so the cost of one can't be measured separately. It is
// safe for concurrent use, as long as no two goroutines start or end the same instance.
type LocalTier struct {
	cf        LocalConfig
	ts        *timer.Service
	lg        *zap.Logger
	instances []*localInstance
}

// localInstance is one instance of a LocalTier.
type localInstance struct {
	se tier.Settings

	mu sync.Mutex
	ru *instanceRun
}

const (
	// maxStartAttempts bounds the attempts to find addresses that are still free when the
	// instances listen on them.
	maxStartAttempts = 5
	// memoryLimitMegabytes is the memory limit of the whole process.
	memoryLimitMegabytes = 4096
	// pollInterval is the interval between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	readyTimeout = 200 * time.Millisecond
	maxInstances = 250
)

// StartLocalTier starts the instances and returns once all of them listen. The loopback
// addresses 127.x.y.z must be usable without configuration, as on Linux.
func StartLocalTier(ctx context.Context, cf LocalConfig, ts *timer.Service, lg *zap.Logger) (*LocalTier, error) {
	if cf.Entries < 1 || cf.Controls < 1 || cf.Entries+cf.Controls > maxInstances || len(cf.DataCentres) == 0 {
		return nil, &result.Error{Code: result.BadSettings, Op: "start a local tier", Detail: fmt.Sprintf("want at least one instance of each role, at most %d in total, and a data centre", maxInstances)}
	}
	var lastErr error
	for try := range maxStartAttempts {
		ses, err := cf.settings(filepath.Join(cf.Folder, strconv.Itoa(try)))
		if err != nil {
			return nil, err
		}
		lo := &LocalTier{cf: cf, ts: ts, lg: lg}
		for _, se := range ses {
			in := &localInstance{se: se}
			if err := lo.launch(in, se); err != nil {
				return nil, errors.Join(err, lo.Close())
			}
			lo.instances = append(lo.instances, in)
		}
		if lastErr = lo.await(ctx, (*localInstance).listens); lastErr == nil {
			return lo, nil
		}
		lastErr = errors.Join(lastErr, lo.Close())
		// Another process may have taken a port since it was reserved.
		var re *result.Error
		if ctx.Err() != nil || !errors.As(lastErr, &re) || re.Op != "listen" {
			break
		}
	}
	return nil, lastErr
}

// settings returns the settings of all instances, with ports that were free when they
// were reserved.
func (cf LocalConfig) settings(folder string) ([]tier.Settings, error) {
	network := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	ips := make([]string, cf.Controls+cf.Entries)
	for ix := range ips {
		ips[ix] = network + strconv.Itoa(1+ix)
	}
	var pr portReserver
	defer pr.release()
	port, err := pr.reserveCommon(ips)
	if err != nil {
		return nil, err
	}
	var ses []tier.Settings
	var seeds []string
	for ix, ip := range ips {
		se := tier.Defaults()
		se.DataCentre, se.Address, se.LinkPort = cf.DataCentres[ix%len(cf.DataCentres)], ip, port
		se.FirstStart = true
		se.Limits.MemoryMegabytes = memoryLimitMegabytes
		if cf.StopTimeout > 0 {
			se.Timing.StopWithin = cf.StopTimeout
		}
		first, second := pr.reserve(ip), pr.reserve(ip)
		if ix < cf.Controls {
			se.Name = fmt.Sprintf("control-%d", ix+1)
			se.DataFolder = filepath.Join(folder, se.Name)
			se.Listen = tier.Listen{Control: first, Addresses: second}
			seeds = append(seeds, first)
		} else {
			se.Name = fmt.Sprintf("entry-%d", ix-cf.Controls+1)
			se.Listen = tier.Listen{Callers: first, Ready: second}
		}
		ses = append(ses, se)
	}
	for ix := range ses {
		ses[ix].Seeds = seeds
		if err := errors.Join(pr.err, ses[ix].Check()); err != nil {
			return nil, err
		}
	}
	return ses, nil
}

// portReserver keeps ports open until all are chosen, so that no two are equal.
type portReserver struct {
	lis []net.Listener
	err error
}

func (pr *portReserver) reserve(ip string) string {
	li, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		pr.err = err
		return ""
	}
	pr.lis = append(pr.lis, li)
	return li.Addr().String()
}

// reserveCommon reserves one port that is free at all addresses.
func (pr *portReserver) reserveCommon(ips []string) (int, error) {
	var lastErr error
	for range maxStartAttempts * len(ips) {
		_, port, err := net.SplitHostPort(pr.reserve(ips[0]))
		if err != nil {
			return 0, pr.err
		}
		lastErr = nil
		for _, ip := range ips[1:] {
			li, err := net.Listen("tcp4", net.JoinHostPort(ip, port))
			if err != nil {
				lastErr = err
				break
			}
			pr.lis = append(pr.lis, li)
		}
		if lastErr == nil {
			return strconv.Atoi(port)
		}
	}
	return 0, lastErr
}

func (pr *portReserver) release() {
	for _, li := range pr.lis {
		_ = li.Close()
	}
}

// launch starts an instance with the settings.
func (lo *LocalTier) launch(in *localInstance, se tier.Settings) error {
	ru, err := (*instanceRun)(nil), error(nil)
	if len(lo.cf.Program) > 0 {
		ru, err = runSubprocess(se, lo.cf.Program, lo.cf.LogFolder)
	} else {
		ru = runInProcess(se, lo.lg)
	}
	if err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ru = ru
	return nil
}

// current returns the latest run of the instance.
func (in *localInstance) current() *instanceRun {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.ru
}

// listens reports whether the instance responds.
func (in *localInstance) listens(ctx context.Context) bool {
	address := in.se.Listen.Addresses
	if in.se.Entry() {
		address = in.se.Listen.Ready
	}
	return readyStatus(ctx, address) != 0
}

// ready reports whether the instance serves callers. It is always true for a control
// instance.
func (in *localInstance) ready(ctx context.Context) bool {
	return !in.se.Entry() || readyStatus(ctx, in.se.Listen.Ready) == http.StatusOK
}

// readyStatus returns the status of the response to GET /ready; 0 for no response.
func readyStatus(ctx context.Context, address string) int {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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

// await waits until a condition holds for all instances. An instance that exits is an
// error.
func (lo *LocalTier) await(ctx context.Context, condition func(*localInstance, context.Context) bool) error {
	for _, in := range lo.instances {
		if err := lo.awaitInstance(ctx, in, condition); err != nil {
			return err
		}
	}
	return nil
}

func (lo *LocalTier) awaitInstance(ctx context.Context, in *localInstance, condition func(*localInstance, context.Context) bool) error {
	ru := in.current()
	for !condition(in, ctx) {
		select {
		case <-ru.done:
			return errors.Join(ru.err, fmt.Errorf("%s has exited", in.se.Name))
		default:
		}
		if err := lo.ts.Sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("wait for %s: %w", in.se.Name, err)
		}
	}
	return nil
}

// Configure submits a configuration until it is accepted, and waits until every entry
// instance is ready. An invalid configuration is an error at once.
func (lo *LocalTier) Configure(ctx context.Context, cf Configuration) error {
	co := NewControlClient(lo.ControlAddresses())
	defer co.Close()
	for {
		err := co.Configure(ctx, cf.Encode())
		var re *result.Error
		if err == nil || errors.As(err, &re) && re.Code == result.NotRunBadRequest {
			return errors.Join(err, lo.await(ctx, (*localInstance).ready))
		}
		if lo.ts.Sleep(ctx, pollInterval) != nil {
			return err
		}
	}
}

// CallerAddresses returns the addresses at which the entry instances accept requests.
func (lo *LocalTier) CallerAddresses() []string {
	return lo.addresses(func(li tier.Listen) string { return li.Callers })
}

// ControlAddresses returns the addresses at which the control instances serve operators
// and backend servers.
func (lo *LocalTier) ControlAddresses() []string {
	return lo.addresses(func(li tier.Listen) string { return li.Control })
}

// LookupAddresses returns the addresses at which control instances serve the list of
// entry instances to use.
func (lo *LocalTier) LookupAddresses() []string {
	return lo.addresses(func(li tier.Listen) string { return li.Addresses })
}

func (lo *LocalTier) addresses(addressOf func(tier.Listen) string) []string {
	var out []string
	for _, in := range lo.instances {
		if ad := addressOf(in.se.Listen); ad != "" {
			out = append(out, ad)
		}
	}
	return out
}

// Close stops all instances concurrently and waits until they have exited.
func (lo *LocalTier) Close() error {
	var errs []error
	for _, in := range lo.instances {
		in.current().stop()
	}
	for _, in := range lo.instances {
		ru := in.current()
		<-ru.done
		errs = append(errs, ru.err)
	}
	return errors.Join(errs...)
}
