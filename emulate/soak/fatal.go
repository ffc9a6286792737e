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
	// newsWithin is how long after the third server has ended an instance may not know of
	// the request.
	newsWithin = 4 * time.Second
	// downFor is how long a server is away that has ended under a request.
	downFor = time.Second
	// restartedWithin is how long after the last attempt the last such server is back.
	restartedWithin = 2 * time.Second
	// fatalEvery is how often the caller of such a request sends it again, and
	// popularEvery how often others ask the same beside it.
	fatalEvery   = 250 * time.Millisecond
	popularEvery = 40 * time.Millisecond
	// threeServers and threeAttempts are what the tier promises: a request under which so
	// many servers have ended reaches servers in so many more attempts at most.
	threeServers  = 3
	threeAttempts = 3
)

// harm is what a request did to servers.
type harm struct {
	ended    int
	third    time.Time           // third is when the third one ended.
	attempts map[string]struct{} // attempts are those that reached a server later than newsWithin after that.
}

// ended notes that a server has ended under a request. The third end counts as a look:
// from then on each arrival is judged, and at best none comes.
func (ju *Checker) ended(sn emulate.ServerEvent) {
	ha := ju.harms[sn.Path]
	if ha == nil {
		ha = &harm{attempts: make(map[string]struct{})}
		ju.harms[sn.Path] = ha
	}
	if ha.ended++; ha.ended == threeServers {
		ha.third = sn.At
		ju.look(CheckQuarantine, true, Violation{}, sn.At, nil)
	}
}

// fatal checks that a request under which servers ended reaches no more of them.
func (ju *Checker) fatal(sn emulate.ServerEvent) {
	ha := ju.harms[sn.Path]
	if ha == nil || ha.ended < threeServers || sn.At.Sub(ha.third) <= newsWithin {
		return
	}
	ha.attempts[sn.Request] = struct{}{}
	ju.look(CheckQuarantine, len(ha.attempts) <= threeAttempts, Violation{Request: sn.Request, Instance: sn.Server}, sn.At, func() string {
		return fmt.Sprintf("%d attempts of %s reached servers later than %v after the third had ended, %d ended in all", len(ha.attempts), sn.Path, newsWithin, ha.ended)
	})
}

// quarantined is in the body of an answer that refuses a request as one under which
// servers end.
var quarantined = fmt.Appendf(nil, `"Code":%d,`, result.NotRunQuarantined)

// blame checks that a request which harms nobody is not refused as one that does, and
// counts a look where one that does is refused.
func (ju *Checker) blame(at time.Time, rq *request, an emulate.Response) {
	if !bytes.Contains(an.Body, quarantined) {
		return
	}
	ju.look(CheckFalseQuarantine, strings.Contains(rq.Path, emulate.CrashPathMarker), Violation{Request: rq.ID, Instance: rq.Entry}, at, func() string {
		return "refused as a request under which servers end"
	})
}

// crashed is a server that ended under a request.
type crashed struct {
	position int
	se       *emulate.Server
	at       time.Time
}

// noteCrash notes that a server has ended under a request.
func (fl *fleet) noteCrash(position int, se *emulate.Server) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.ended = append(fl.ended, crashed{position, se, fl.ts.Now()})
}

// restartCrashed puts new servers in the places of those that ended long enough ago under a
// request, and returns how many are still to come.
func (fl *fleet) restartCrashed() (int, error) {
	fl.mu.Lock()
	var due, left []crashed
	for _, fa := range fl.ended {
		if fl.ts.Now().Sub(fa.at) >= downFor {
			due = append(due, fa)
		} else {
			left = append(left, fa)
		}
	}
	fl.ended = left
	fl.mu.Unlock()
	var errs []error
	for _, fa := range due {
		errs = append(errs, fl.replace(fa.position, fa.se, ""))
	}
	return len(left), errors.Join(errs...)
}

// fatal has a caller send a request that ends each server that runs it, at one instance
// after the other, until long after all instances must know it, while others ask a
// popular one beside it.
func (pl *player) fatal(ctx context.Context, fa Fault) error {
	group := groups[int(fa.Value*float64(len(groups)))]
	mark := strconv.FormatInt(int64(fa.At), 36)
	until := pl.ts.Now().Add(fa.For + newsWithin)
	var wg sync.WaitGroup
	var beside error
	wg.Go(func() { beside = pl.repeat(ctx, "popular-"+mark, group, until, popularEvery) })
	err := pl.repeat(ctx, emulate.CrashPathMarker+"-"+mark, group, until, fatalEvery)
	wg.Wait()
	err = errors.Join(err, beside)
	for ctx.Err() == nil {
		left, er := pl.fl.restartCrashed()
		err = errors.Join(err, er)
		if left == 0 {
			break
		}
		_ = pl.ts.Sleep(ctx, fatalEvery)
	}
	return err
}

// repeat sends a request of one content at one instance after the other, and restarts
// servers meanwhile. The error names those that could not be.
func (pl *player) repeat(ctx context.Context, content, group string, until time.Time, every time.Duration) (err error) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for nth := 0; ctx.Err() == nil && pl.ts.Now().Before(until); nth++ {
		list := *pl.ru.at.Load()
		rq := Request{
			ID: fmt.Sprintf("%s-%s-%d", content, group, nth), Group: group, Path: "/" + group + "/" + content, Entry: list[nth%len(list)],
		}
		wg.Go(func() {
			pl.ju.RequestSent(rq)
			if an, err := pl.ru.ca.Send(ctx, rq.Entry, emulate.Request{ID: rq.ID, Host: host, Path: rq.Path, Timeout: pl.ru.timeout(group)}); err == nil {
				pl.ju.RequestAnswered(pl.ts.Now(), rq.ID, an)
			}
		})
		_ = pl.ts.Sleep(ctx, every)
		_, er := pl.fl.restartCrashed()
		err = errors.Join(err, er)
	}
	return err
}
