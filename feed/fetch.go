package feed

import (
	"time"

	"go.uber.org/zap"
)

// Times of a fetch.
const (
	// fetchWait is the time after which another control instance is asked. It
	// doubles with each further one up to fetchMost: a large configuration on a
	// slow link must not be sent over and over.
	fetchWait = 250 * time.Millisecond
	fetchMost = 2 * time.Second
	// refusalPause is the time after which a version that the observer refused is
	// fetched again.
	refusalPause = time.Second
)

// fetch is the state of fetching a configuration. One Fetch is on its way at a
// time, but a late answer to an earlier one is taken as well.
type fetch struct {
	announced uint64 // announced is the highest version that any control instance announced.
	order     uint64 // order counts the announcements.
	asked     *source
	askedAt   time.Time
	firstAt   time.Time // firstAt is when the first control instance was asked.
	wait      time.Duration
	tried     map[*source]struct{}
	refused   uint64 // refused is the version that the observer refused last.
	retryAt   time.Time
}

// announced takes in the newest version that a control instance holds.
func (su *Subscriber) announced(so *source, version uint64) {
	if version <= so.version {
		return
	}
	fe := &su.fetch
	fe.order++
	so.version, so.order = version, fe.order
	if version > fe.announced {
		fe.announced = version
		su.lg.Info("configuration-announced", zap.Uint64("Version", version), zap.String("Control", so.name))
	}
}

// seek asks for a configuration if one is announced that is newer than the one
// held, and another control instance if the one asked does not answer.
func (su *Subscriber) seek(now time.Time) {
	fe := &su.fetch
	so := su.candidate(now)
	if so == nil {
		fe.asked, fe.tried = nil, nil
		return
	}
	if fe.asked != nil {
		due := fe.askedAt.Add(fe.wait)
		if fe.asked.up && now.Before(due) {
			su.wakeAt(now, due)
			return
		}
		su.lg.Warn("configuration-late", zap.Uint64("Version", fe.asked.version),
			zap.String("Control", fe.asked.name), zap.Duration("After", now.Sub(fe.askedAt)))
	}
	su.ask(now, so)
}

// candidate returns the control instance to ask next: one that was not asked yet
// if there is any, with the highest version, and of these the first to announce
// it. It returns nil if there is nothing to fetch now.
func (su *Subscriber) candidate(now time.Time) *source {
	fe := &su.fetch
	if su.cf.Own != "" {
		return nil // A control instance has the configuration from its group.
	}
	var best *source
	for _, so := range su.sources {
		if !so.up || so.version <= su.held {
			continue
		}
		if so.version == fe.refused && now.Before(fe.retryAt) {
			su.wakeAt(now, fe.retryAt)
			continue
		}
		if best == nil || fe.better(so, best) {
			best = so
		}
	}
	return best
}

// better returns whether a control instance is to be asked before another one.
func (fe *fetch) better(so, other *source) bool {
	_, tried := fe.tried[so]
	_, otherTried := fe.tried[other]
	switch {
	case tried != otherTried:
		return otherTried
	case so.version != other.version:
		return so.version > other.version
	default:
		return so.order < other.order
	}
}

func (su *Subscriber) ask(now time.Time, so *source) {
	fe := &su.fetch
	if fe.asked == nil {
		fe.wait, fe.firstAt = fetchWait, now
	} else {
		fe.wait = min(2*fe.wait, fetchMost)
	}
	if _, tried := fe.tried[so]; tried || fe.tried == nil {
		fe.tried = make(map[*source]struct{}) // All were asked: the next round begins.
	}
	fe.tried[so] = struct{}{}
	fe.asked, fe.askedAt = so, now
	su.wakeAt(now, now.Add(fe.wait))
	su.mu.Lock()
	co := su.conns[so]
	su.mu.Unlock()
	if co != nil {
		_ = co.Send(Fetch{Version: so.version}) // The end of the link is seen where it is read.
	}
}

// document takes in a configuration that was fetched.
func (su *Subscriber) document(so *source, do Document) {
	fe := &su.fetch
	now := su.ts.Now()
	if fe.asked == so {
		fe.asked, fe.tried = nil, nil
	}
	if do.Version <= su.held || do.Version == fe.refused && now.Before(fe.retryAt) {
		return
	}
	su.lg.Info("configuration-fetched", zap.Uint64("Version", do.Version), zap.Int("Bytes", len(do.Data)),
		zap.String("Control", so.name), zap.Duration("Took", now.Sub(fe.firstAt)))
	su.tellServers(now) // The servers of its services may have come just before it.
	if err := su.ob.ConfigurationChanged(do.Version, do.Data); err != nil {
		fe.refused, fe.retryAt = do.Version, now.Add(refusalPause)
		fe.order++
		so.order = fe.order // Another control instance is asked first then.
		su.lg.Error("configuration-refused", zap.Uint64("Version", do.Version), zap.Error(err))
		return
	}
	su.mu.Lock()
	su.held = do.Version
	su.mu.Unlock()
}
