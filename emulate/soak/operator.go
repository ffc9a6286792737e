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
	host       = "soak.example"
	bodyBytes  = 1 << 20
	headBytes  = 16 << 10
	headWithin = 3 * time.Second
	idleWithin = 30 * time.Second
	// sendAgain is how long an operator waits until he sends again what had no clear
	// answer.
	sendAgain = 50 * time.Millisecond
	// callWithin bounds what an operator does until it counts as not done.
	callWithin = 20 * time.Second
)

// operator writes configurations. It is safe for concurrent use, as several
// operators would be.
type operator struct {
	cf Settings
	ju *Checker
	ts *timer.Service
	co *emulate.ControlClient

	mu         sync.Mutex
	version    uint64
	generation int
	newest     []byte // newest is what was acknowledged last, of the highest version.
	newestAs   uint64
}

// layout returns what a version leads requests to.
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

// configuration returns a version.
func (cf Settings) configuration(version uint64, la Layout) emulate.Configuration {
	out := emulate.Configuration{
		Version: version,
		Limits:  emulate.Limits{HeaderBytes: headBytes, BodyBytes: bodyBytes, HeaderTimeout: headWithin, IdleTimeout: idleWithin},
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

// write makes a new version and returns what it is sent as. It is a new generation
// of shards if wanted.
func (op *operator) write(repartition bool) (uint64, []byte) {
	op.mu.Lock()
	defer op.mu.Unlock()
	op.version++
	if repartition {
		op.generation++
	}
	la := op.cf.layout(op.version, op.generation)
	data := op.cf.configuration(op.version, la).Encode()
	op.ju.ConfigurationSent(op.ts.Now(), op.version, la, data)
	return op.version, data
}

// send sends a version until it is acknowledged.
func (op *operator) send(ctx context.Context, version uint64, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	for {
		err := op.co.Configure(ctx, data)
		if err == nil {
			op.ju.ConfigurationAcknowledged(version)
			op.mu.Lock()
			defer op.mu.Unlock()
			if version > op.newestAs {
				op.newest, op.newestAs = data, version
			}
			return nil
		}
		if refused(err) || op.ts.Sleep(ctx, sendAgain) != nil {
			return fmt.Errorf("version %d: %w", version, err)
		}
	}
}

// order sends an order until it is acknowledged.
func (op *operator) order(ctx context.Context, send func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	for {
		err := send(ctx)
		if err == nil || op.ts.Sleep(ctx, sendAgain) != nil {
			return err
		}
	}
}

// refused reports whether control said that a configuration is invalid.
func refused(err error) bool {
	var re *result.Error
	return errors.As(err, &re) && re.Code == result.NotRunBadRequest
}

// again sends the newest acknowledged configuration once more.
func (op *operator) again(ctx context.Context) error {
	op.mu.Lock()
	version, data := op.newestAs, op.newest
	op.mu.Unlock()
	err := op.send(ctx, version, data)
	if err == nil || refused(err) {
		op.ju.CheckRefusal(op.ts.Now(), fmt.Sprintf("version %d was refused when it was sent again: %v", version, err), err == nil)
	}
	return err
}

// invalid sends a configuration whose merged route asks a service that there is
// none of, with a version far above all others: were it in force, all would show.
func (op *operator) invalid(ctx context.Context) error {
	op.mu.Lock()
	version := op.version + invalidAbove
	op.mu.Unlock()
	cf := op.cf.configuration(version, op.cf.layout(version, 0))
	cf.Routes[0].Shards = append(cf.Routes[0].Shards, "nobody")
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	for {
		err := op.co.Configure(ctx, cf.Encode())
		if err == nil || refused(err) {
			op.ju.CheckRefusal(op.ts.Now(), "a configuration that names an unknown service was accepted", err != nil)
			return nil
		}
		if op.ts.Sleep(ctx, sendAgain) != nil {
			return err
		}
	}
}

// invalidAbove is how far the version of an invalid configuration is above others.
const invalidAbove = 1_000_000

// readBack reads the configuration until somebody answers, and has it judged.
func (op *operator) readBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	for {
		before := op.ju.LatestAcknowledged()
		data, err := op.co.LatestConfiguration(ctx)
		if err == nil {
			var he struct{ Version uint64 }
			_ = json.Unmarshal(data, &he) // What can't be read has version 0 and is a breach.
			op.ju.ConfigurationRead(op.ts.Now(), before, he.Version, data)
			return
		}
		if op.ts.Sleep(ctx, sendAgain) != nil {
			op.ju.ConfigurationRead(op.ts.Now(), before, 0, nil)
			return
		}
	}
}
