package gateway

import (
	"math/rand/v2"
	"net/http"

	"go.uber.org/zap"

	"balsamwinch.example/quarantine"
	"balsamwinch.example/result"
	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

// Events of the log lines about requests during which backend servers end.
const (
	eventSuspected = "request-suspected" // no server answered the request, and some ended during it
	eventCleared   = "request-cleared"   // a server has answered a suspected request
)

// quarantineKey returns the key of the request's content, which is the same for all
// attempts of the request.
func (ca *call) quarantineKey() quarantine.Key {
	if ca.contentKey == (quarantine.Key{}) {
		ca.contentKey = quarantine.Content{
			Method: ca.rq.Method, Host: ca.rq.Host, URI: ca.rq.RequestURI,
			Credentials: ca.credentials(), Body: ca.body,
		}.Key()
	}
	return ca.contentKey
}

// checkQuarantine reports whether the request may run, and rejects it if not. A quarantined
// request would crash every server that runs it, and all other callers of these servers
// would wait.
func (ca *call) checkQuarantine() bool {
	qa := ca.sv.qa
	if qa.Empty() {
		return true
	}
	ve, left := qa.Check(ca.start, ca.quarantineKey())
	switch ve {
	case quarantine.Refuse:
		ca.sv.metrics.quarantined.Inc()
		ca.setRetryAfter(left)
		ca.respondError(http.StatusServiceUnavailable, result.NotRunQuarantined, reasonQuarantined)
		return false
	case quarantine.Probe:
		ca.sv.metrics.probed.Inc()
		ca.probe = true
	}
	return true
}

// withProbe makes the plan of a suspected request ask one server before all others. Its
// shard is random: otherwise the same shard would lose all its servers.
func (ca *call) withProbe(pl scatter.Plan) scatter.Plan {
	if ca.probe {
		pl.Probe, pl.FirstShard = true, rand.IntN(pl.Shards)
	}
	return pl
}

// updateQuarantine reports the outcome of the request to the quarantine. An answer of any
// server clears the request, except for a failure, which a server may return without having
// run the request, or at a deadline before it would crash. Lost connections without any
// answer count against the request. It is not known whether a connection was lost because
// its server crashed, so it takes several servers, one after the other.
func (ca *call) updateQuarantine() {
	qa := ca.sv.qa
	if ca.anyServerAnswered() {
		if !qa.Empty() && qa.RequestAnswered(ca.sv.ts.Now(), ca.quarantineKey()) {
			ca.sv.lg.Info(eventCleared, zap.Stringer("Content", ca.quarantineKey()))
		}
		return
	}
	lost := ca.lostServers()
	if len(lost) == 0 {
		return
	}
	rc := qa.RecordLoss(ca.sv.ts.Now(), quarantine.Loss{
		Key: ca.quarantineKey(), Attempt: ca.id, Start: ca.start, Probe: ca.probe, Service: ca.lostService(), Servers: lost,
	})
	// The log line of the request holds both its ID and the content key.
	ca.sv.lg.Warn(eventSuspected, zap.Stringer("Content", ca.quarantineKey()), zap.Bool("Probe", ca.probe),
		zap.Int("BrokeOff", len(lost)), zap.Int("Losses", len(rc.Losses)), zap.Strings("Servers", rc.Servers), zap.Stringer("Verdict", rc.Verdict()))
}

// anyServerAnswered reports whether any server has answered the request with something
// other than a failure.
func (ca *call) anyServerAnswered() bool {
	for index := range ca.ex.attempts {
		if ar := &ca.ex.attempts[index]; ar.ended && ar.outcome == upstream.Answered && ar.status < http.StatusInternalServerError {
			return true
		}
	}
	return false
}

// lostService returns the service whose servers lost the connection, or "" if there are
// several.
func (ca *call) lostService() string {
	only := ""
	for index := range ca.ex.attempts {
		ar := &ca.ex.attempts[index]
		if !ar.connectionLost() {
			continue
		}
		service := ca.ex.services[ar.shard]
		if only != "" && only != service {
			return ""
		}
		only = service
	}
	return only
}
