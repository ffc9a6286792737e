package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"balsamwinch.example/emulate"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

const (
	host           = "soak.example"
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	headerTimeout  = 3 * time.Second
	idleTimeout    = 30 * time.Second
	// retryDelay is how long an operator waits before retrying a call without a clear
	// outcome.
	retryDelay = 50 * time.Millisecond
	// operationTimeout bounds an operator's action, retries included.
	operationTimeout = 20 * time.Second
)

// operator writes configurations. It is safe for concurrent use and stands for several
// operators.
type operator struct {
	cf Settings
	ch *Checker
	ts *timer.Service
	co *emulate.ControlClient

	mu            sync.Mutex
	version       uint64
	generation    int
	latest        []byte // the highest acknowledged version
	latestVersion uint64
}

// layout returns where a version routes requests.
func (cf Settings) layout(version uint64, generation int) Layout {
	return Layout{Shards: cf.shards(generation), Plain: cf.plainServices()[version%uint64(cf.PlainServices)]}
}

// shards returns the services that hold the shards in a generation.
func (cf Settings) shards(generation int) []string {
	var out []string
	for ix := range cf.Servers.Shards {
		out = append(out, fmt.Sprintf("shard-%d-%02d", generation, ix+1))
	}
	return out
}

func (cf Settings) plainServices() []string {
	var out []string
	for ix := range cf.PlainServices {
		out = append(out, fmt.Sprintf("plain-%d", ix))
	}
	return out
}

// configuration returns the configuration of a version.
func (cf Settings) configuration(version uint64, la Layout) emulate.Configuration {
	out := emulate.Configuration{
		Version: version,
		Limits:  emulate.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	}
	for ix, st := range cf.streams() {
		ro := emulate.Route{
			Name: groups[ix], Host: host, Prefix: "/" + groups[ix] + "/", Kind: "Repeatable",
			Timeout: st.Timeout, Aim: st.Aim, MaxAttempts: cf.MaxAttempts, Service: la.Plain,
		}
		switch groups[ix] {
		case groupMerged:
			ro.Service, ro.Shards, ro.TopK, ro.LeastShare = "", la.Shards, st.TopK, st.LeastShare
		case groupOnce:
			ro.Kind = "NotRepeatable"
		}
		out.Routes = append(out.Routes, ro)
	}
	for _, name := range append(cf.plainServices(), la.Shards...) {
		out.Services = append(out.Services, emulate.Service{Name: name, HealthPath: emulate.HealthPath, Connections: cf.Servers.Connections})
	}
	return out
}

// newVersion returns a new version and its configuration, with a new generation of shards
// if repartition is set.
func (op *operator) newVersion(repartition bool) (uint64, []byte) {
	op.mu.Lock()
	defer op.mu.Unlock()
	op.version++
	if repartition {
		op.generation++
	}
	la := op.cf.layout(op.version, op.generation)
	data := op.cf.configuration(op.version, la).Encode()
	op.ch.ConfigurationSent(op.ts.Now(), op.version, la, data)
	return op.version, data
}

// send sends a version until it is acknowledged.
func (op *operator) send(ctx context.Context, version uint64, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for {
		err := op.co.Configure(ctx, data)
		if err == nil {
			op.ch.ConfigurationAcknowledged(op.ts.Now(), version)
			op.mu.Lock()
			defer op.mu.Unlock()
			if version > op.latestVersion {
				op.latest, op.latestVersion = data, version
			}
			return nil
		}
		if isRejected(err) || op.ts.Sleep(ctx, retryDelay) != nil {
			return fmt.Errorf("version %d: %w", version, err)
		}
	}
}

// retryUntilAcknowledged retries a call until it is acknowledged.
func (op *operator) retryUntilAcknowledged(ctx context.Context, send func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for {
		err := send(ctx)
		if err == nil || op.ts.Sleep(ctx, retryDelay) != nil {
			return err
		}
	}
}

// isRejected reports whether control rejected a configuration as invalid.
func isRejected(err error) bool {
	var re *result.Error
	return errors.As(err, &re) && re.Code == result.NotRunBadRequest
}

// resendLatest sends the latest acknowledged configuration again.
func (op *operator) resendLatest(ctx context.Context) error {
	op.mu.Lock()
	version, data := op.latestVersion, op.latest
	op.mu.Unlock()
	err := op.send(ctx, version, data)
	if err == nil || isRejected(err) {
		op.ch.CheckRefusal(op.ts.Now(), fmt.Sprintf("version %d was rejected when it was sent again: %v", version, err), err == nil)
	}
	return err
}

// sendInvalid sends a configuration whose merged route names a service that doesn't
// exist, with a version far above all others: if it came into force, all requests would
// be affected.
func (op *operator) sendInvalid(ctx context.Context) error {
	op.mu.Lock()
	version := op.version + invalidVersionOffset
	op.mu.Unlock()
	cf := op.cf.configuration(version, op.cf.layout(version, 0))
	cf.Routes[0].Shards = append(cf.Routes[0].Shards, "nobody")
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for {
		err := op.co.Configure(ctx, cf.Encode())
		if err == nil || isRejected(err) {
			op.ch.CheckRefusal(op.ts.Now(), "a configuration that names an unknown service was accepted", err != nil)
			return nil
		}
		if op.ts.Sleep(ctx, retryDelay) != nil {
			return err
		}
	}
}

// invalidVersionOffset is how far the version of an invalid configuration is above the
// others.
const invalidVersionOffset = 1_000_000

// readBack reads the configuration until there is a response, and passes it to the
// checker.
func (op *operator) readBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for {
		before := op.ch.LatestAcknowledged()
		data, err := op.co.LatestConfiguration(ctx)
		if err == nil {
			var header struct{ Version uint64 }
			_ = json.Unmarshal(data, &header) // Unreadable data has version 0 and is a violation.
			op.ch.ConfigurationRead(op.ts.Now(), before, header.Version, data)
			return
		}
		if op.ts.Sleep(ctx, retryDelay) != nil {
			op.ch.ConfigurationRead(op.ts.Now(), before, 0, nil)
			return
		}
	}
}
