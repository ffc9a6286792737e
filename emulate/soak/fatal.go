package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"balsamwinch.example/emulate"
	"balsamwinch.example/result"
)

const (
	// quarantineDelay is how long after the third server has crashed an instance may be
	// unaware of the quarantine.
	quarantineDelay = 4 * time.Second
	// restartDelay is how long a server that has crashed on a request stays down.
	restartDelay = time.Second
	// restartTimeout is how long after the last attempt the last such server is back.
	restartTimeout = 2 * time.Second
	// fatalInterval is the interval at which the caller repeats such a request, and
	// popularInterval the interval at which other callers send a harmless request at the
	// same time.
	fatalInterval   = 250 * time.Millisecond
	popularInterval = 40 * time.Millisecond
	// The guarantee of the tier: a request on which quarantineCrashes servers have
	// crashed reaches servers in at most maxLateAttempts further attempts.
	quarantineCrashes = 3
	maxLateAttempts   = 3
)

// fatalRequest is what is known of a request that crashes servers.
type fatalRequest struct {
	crashes       int
	quarantinedAt time.Time           // when the third server crashed
	lateAttempts  map[string]struct{} // attempts that reached a server more than quarantineDelay after that
}

// serverCrashed records that a server crashed on a request. The third crash counts as an
// evaluation of CheckQuarantine: from then on each arrival is checked, and at best there
// is none.
func (ch *Checker) serverCrashed(ev emulate.ServerEvent) {
	fr := ch.fatalRequests[ev.Path]
	if fr == nil {
		fr = &fatalRequest{lateAttempts: make(map[string]struct{})}
		ch.fatalRequests[ev.Path] = fr
	}
	if fr.crashes++; fr.crashes == quarantineCrashes {
		fr.quarantinedAt = ev.At
		ch.check(CheckQuarantine, true, Violation{}, ev.At, nil)
	}
}

// checkQuarantine checks that a request that has crashed servers stops reaching servers.
func (ch *Checker) checkQuarantine(ev emulate.ServerEvent) {
	fr := ch.fatalRequests[ev.Path]
	if fr == nil || fr.crashes < quarantineCrashes || ev.At.Sub(fr.quarantinedAt) <= quarantineDelay {
		return
	}
	fr.lateAttempts[ev.Request] = struct{}{}
	ch.check(CheckQuarantine, len(fr.lateAttempts) <= maxLateAttempts, Violation{Request: ev.Request, Instance: ev.Server}, ev.At, func() string {
		return fmt.Sprintf("%d attempts of %s reached servers more than %v after the third crash, %d servers crashed in total", len(fr.lateAttempts), ev.Path, quarantineDelay, fr.crashes)
	})
}

// quarantineCode is in the body of a response that rejects a request because servers
// crash on it.
var quarantineCode = fmt.Appendf(nil, `"Code":%d,`, result.NotRunQuarantined)

// checkFalseQuarantine checks that no harmless request is rejected as one that crashes
// servers. A rightly rejected request counts as an evaluation that held.
func (ch *Checker) checkFalseQuarantine(at time.Time, rq *request, res emulate.Response) {
	if !bytes.Contains(res.Body, quarantineCode) {
		return
	}
	ch.check(CheckFalseQuarantine, strings.Contains(rq.Path, emulate.CrashPathMarker), Violation{Request: rq.ID, Instance: rq.Entry}, at, func() string {
		return "rejected as a request that crashes servers"
	})
}

// crashedServer is a server that crashed on a request.
type crashedServer struct {
	position int
	se       *emulate.Server
	at       time.Time
}

// recordCrash records that a server crashed on a request.
func (fl *fleet) recordCrash(position int, se *emulate.Server) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.crashed = append(fl.crashed, crashedServer{position, se, fl.ts.Now()})
}

// restartCrashed replaces the servers that crashed on a request at least restartDelay
// ago, and returns how many are still down.
func (fl *fleet) restartCrashed() (int, error) {
	fl.mu.Lock()
	var due, waiting []crashedServer
	for _, cs := range fl.crashed {
		if fl.ts.Now().Sub(cs.at) >= restartDelay {
			due = append(due, cs)
		} else {
			waiting = append(waiting, cs)
		}
	}
	fl.crashed = waiting
	fl.mu.Unlock()
	var errs []error
	for _, cs := range due {
		errs = append(errs, fl.replace(cs.position, cs.se, ""))
	}
	return len(waiting), errors.Join(errs...)
}

// queryOfDeath sends a request that crashes each server that runs it, to one instance
// after another, until well after all instances must know about it. At the same time it
// sends a popular, harmless request.
func (ij *injector) queryOfDeath(ctx context.Context, fa Fault) error {
	group := groups[int(fa.Value*float64(len(groups)))]
	suffix := strconv.FormatInt(int64(fa.At), 36)
	until := ij.ts.Now().Add(fa.For + quarantineDelay)
	var wg sync.WaitGroup
	var popularErr error
	wg.Go(func() { popularErr = ij.repeat(ctx, "popular-"+suffix, group, until, popularInterval) })
	err := ij.repeat(ctx, emulate.CrashPathMarker+"-"+suffix, group, until, fatalInterval)
	wg.Wait()
	err = errors.Join(err, popularErr)
	for ctx.Err() == nil {
		waiting, restartErr := ij.fl.restartCrashed()
		err = errors.Join(err, restartErr)
		if waiting == 0 {
			break
		}
		_ = ij.ts.Sleep(ctx, fatalInterval)
	}
	return err
}

// repeat sends requests with the same content to one instance after another, and restarts
// crashed servers meanwhile. The error lists the restarts that failed.
func (ij *injector) repeat(ctx context.Context, content, group string, until time.Time, interval time.Duration) (err error) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for nth := 0; ctx.Err() == nil && ij.ts.Now().Before(until); nth++ {
		list := *ij.ru.entries.Load()
		rq := Request{
			ID: fmt.Sprintf("%s-%s-%d", content, group, nth), Group: group, Path: "/" + group + "/" + content, Entry: list[nth%len(list)],
		}
		wg.Go(func() {
			ij.ch.RequestSent(ij.ts.Now(), rq)
			if res, err := ij.ru.ca.Send(ctx, rq.Entry, emulate.Request{ID: rq.ID, Host: host, Path: rq.Path, Timeout: ij.ru.timeout(group)}); err == nil {
				ij.ch.RequestAnswered(ij.ts.Now(), rq.ID, res)
			}
		})
		_ = ij.ts.Sleep(ctx, interval)
		_, restartErr := ij.fl.restartCrashed()
		err = errors.Join(err, restartErr)
	}
	return err
}
