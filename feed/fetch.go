package feed

import (
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/delta"
)

// Timeouts and limits of fetches.
const (
	// fetchTimeout is the time after which another control instance is asked. It doubles
	// with each further one, up to maxFetchTimeout, so that a large configuration isn't
	// sent over and over on a slow link.
	fetchTimeout    = 250 * time.Millisecond
	maxFetchTimeout = 2 * time.Second
	// sameDataCentreTimeout bounds the wait for a control instance in the same data
	// centre to announce a version that another control instance has announced already.
	// It applies only while the former holds the version that this instance has in force.
	// Five control instances learn of a version within 4 to 39 ms of each other (26 of 33
	// versions, by the configuration-published lines; for the others, one of them hung or
	// was down). With the wait, 97 to 100 of 100 fetches stayed within the data centre.
	sameDataCentreTimeout = 100 * time.Millisecond
	// refusedBackoff is the time after which a version that the observer refused is
	// fetched again.
	refusedBackoff = time.Second
	// maxConfigurationBytes limits a decoded configuration. It exceeds the size that
	// control instances accept.
	maxConfigurationBytes = 4 << 20
)

// fetch is the state of fetching a configuration. Only one Fetch is in flight at a time,
// but a late answer to an earlier one is used as well.
type fetch struct {
	highestAnnounced uint64 // highest version that any control instance announced
	numAnnouncements uint64 // announcements so far
	inFlight         *source
	sentAt           time.Time
	firstSentAt      time.Time // when the first control instance was asked
	timeout          time.Duration
	tried            map[*source]struct{}
	behindSince      time.Time // since when a newer version than the one in force is announced; zero if none is
	needFull         bool      // the last delta didn't apply, so the full configuration is requested
	refusedVersion   uint64    // last version that the observer refused
	retryAt          time.Time
}

// versionAnnounced records the newest version that a control instance holds.
func (su *Subscriber) versionAnnounced(so *source, version uint64) {
	if version <= so.version {
		return
	}
	fe := &su.fetch
	fe.numAnnouncements++
	so.version, so.announceOrder = version, fe.numAnnouncements
	if version > fe.highestAnnounced {
		fe.highestAnnounced = version
		su.lg.Info("configuration-announced", zap.Uint64("Version", version), zap.String("Control", so.name))
	}
	if fe.behindSince.IsZero() && version > su.version {
		fe.behindSince = su.ts.Now()
	}
}

// fetchNewest requests a configuration if a newer one than that in force is announced. If
// the control instance that was asked doesn't answer in time, it asks another one.
func (su *Subscriber) fetchNewest(now time.Time) {
	fe := &su.fetch
	so := su.fetchCandidate(now)
	if so == nil {
		fe.inFlight, fe.tried, fe.behindSince = nil, nil, time.Time{}
		return
	}
	if fe.inFlight != nil {
		due := fe.sentAt.Add(fe.timeout)
		if fe.inFlight.connected.Load() && now.Before(due) {
			su.wakeAt(now, due)
			return
		}
		su.lg.Warn("configuration-late", zap.Uint64("Version", fe.inFlight.version),
			zap.String("Control", fe.inFlight.name), zap.Duration("After", now.Sub(fe.sentAt)))
	} else if due := fe.behindSince.Add(sameDataCentreTimeout); !so.sameDataCentre && now.Before(due) && su.sameDataCentreKeepsUp() {
		su.wakeAt(now, due)
		return
	}
	su.sendFetch(now, so)
}

// sameDataCentreKeepsUp reports whether a control instance in the same data centre has
// the version that this instance has in force, and so is expected to announce the next
// one shortly. One that lags behind has been late before; it isn't waited for until it
// has caught up.
func (su *Subscriber) sameDataCentreKeepsUp() bool {
	for _, so := range su.sources {
		if so.sameDataCentre && so.connected.Load() && so.version == su.version {
			return true
		}
	}
	return false
}

// fetchCandidate returns the control instance to ask next, or nil if there is nothing to
// fetch now. It prefers, in this order, those not yet asked, those in the same data
// centre, the highest version and the earliest announcement.
func (su *Subscriber) fetchCandidate(now time.Time) *source {
	fe := &su.fetch
	if su.cf.OwnAddress != "" {
		return nil // A control instance gets the configuration through its consensus group.
	}
	var best *source
	for _, so := range su.sources {
		if !so.connected.Load() || so.version <= su.version {
			continue
		}
		if so.version == fe.refusedVersion && now.Before(fe.retryAt) {
			su.wakeAt(now, fe.retryAt)
			continue
		}
		if best == nil || fe.preferred(so, best) {
			best = so
		}
	}
	return best
}

// preferred reports whether so should be asked before other.
func (fe *fetch) preferred(so, other *source) bool {
	_, tried := fe.tried[so]
	_, otherTried := fe.tried[other]
	switch {
	case tried != otherTried:
		return otherTried
	case so.sameDataCentre != other.sameDataCentre:
		return so.sameDataCentre
	case so.version != other.version:
		return so.version > other.version
	default:
		return so.announceOrder < other.announceOrder
	}
}

func (su *Subscriber) sendFetch(now time.Time, so *source) {
	fe := &su.fetch
	if fe.inFlight == nil {
		fe.timeout, fe.firstSentAt = fetchTimeout, now
	} else {
		fe.timeout = min(2*fe.timeout, maxFetchTimeout)
	}
	if _, tried := fe.tried[so]; tried || fe.tried == nil {
		fe.tried = make(map[*source]struct{}) // All were asked; start another round.
	}
	fe.tried[so] = struct{}{}
	fe.inFlight, fe.sentAt = so, now
	su.wakeAt(now, now.Add(fe.timeout))
	su.mu.Lock()
	co := su.conns[so]
	su.mu.Unlock()
	fetch := Fetch{Version: so.version, Base: su.version, AcceptDelta: true}
	if fe.needFull {
		fetch.Base = 0
	}
	if co != nil {
		_ = co.Send(fetch) // Reading from the link reports its end.
	}
}

// receiveConfiguration handles a fetched configuration.
func (su *Subscriber) receiveConfiguration(so *source, cfg Configuration) {
	fe := &su.fetch
	now := su.ts.Now()
	if fe.inFlight == so {
		fe.inFlight, fe.tried = nil, nil
	}
	if cfg.Version <= su.version || cfg.Version == fe.refusedVersion && now.Before(fe.retryAt) {
		return
	}
	if cfg.Base != 0 && cfg.Base != su.version {
		return // A late answer whose base is no longer the version in force.
	}
	data, err := su.decodeConfiguration(cfg)
	if err != nil {
		su.handleBadDelta(now, so, cfg, err)
		return
	}
	su.lg.Info("configuration-fetched", zap.Uint64("Version", cfg.Version), zap.Int("Bytes", len(data)), zap.Int("Sent", len(cfg.Data)),
		zap.Uint64("Base", cfg.Base), zap.String("Control", so.name), zap.Duration("Took", now.Sub(fe.firstSentAt)))
	su.notifyServers(now) // Servers of the configuration's services may have arrived just before it.
	if err := su.ob.ConfigurationChanged(cfg.Version, data); err != nil {
		su.lg.Error("configuration-refused", zap.Uint64("Version", cfg.Version), zap.Error(err))
		su.deferVersion(now, so, cfg.Version)
		return
	}
	su.mu.Lock()
	su.version = cfg.Version
	su.mu.Unlock()
	su.configuration, fe.needFull, fe.behindSince = data, false, time.Time{}
	if fe.highestAnnounced > cfg.Version {
		fe.behindSince = now
	}
}

// decodeConfiguration returns the configuration in a message. Control instances without
// delta support send no digest and the plain configuration.
func (su *Subscriber) decodeConfiguration(cfg Configuration) ([]byte, error) {
	if len(cfg.Digest) == 0 {
		return cfg.Data, nil
	}
	var base []byte
	if cfg.Base != 0 {
		base = su.configuration
	}
	return delta.Decode(base, delta.Frame{Data: cfg.Data, Digest: cfg.Digest}, maxConfigurationBytes)
}

// handleBadDelta handles a configuration that failed to decode to its version. The full
// configuration is requested at once, or, if that one failed, from another control
// instance a little later.
func (su *Subscriber) handleBadDelta(now time.Time, so *source, cfg Configuration, err error) {
	fe := &su.fetch
	su.lg.Warn("configuration-difference-wrong", zap.Uint64("Version", cfg.Version), zap.Uint64("Base", cfg.Base),
		zap.Uint64("Held", su.version), zap.String("Control", so.name), zap.Error(err))
	if fe.needFull && cfg.Base == 0 {
		su.deferVersion(now, so, cfg.Version)
	}
	fe.needFull = true
}

// deferVersion delays the next fetch of a version, and makes that fetch prefer another
// control instance.
func (su *Subscriber) deferVersion(now time.Time, so *source, version uint64) {
	fe := &su.fetch
	fe.refusedVersion, fe.retryAt = version, now.Add(refusedBackoff)
	fe.numAnnouncements++
	so.announceOrder = fe.numAnnouncements
}
