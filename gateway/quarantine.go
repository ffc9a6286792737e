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

// Events of the lines about requests under which servers end.
const (
	eventSuspected = "request-suspected" // No server answered an attempt, and some ended under it.
	eventCleared   = "request-cleared"   // A server has answered a request that was suspected.
)

// content stands for the content of the request, in whatever attempt it comes.
func (ca *call) content() quarantine.Key {
	if ca.key == (quarantine.Key{}) {
		ca.key = quarantine.Content{
			Method: ca.rq.Method, Host: ca.rq.Host, URI: ca.rq.RequestURI,
			Authorization: ca.rq.Header.Get("Authorization"), Body: ca.body,
		}.Key()
	}
	return ca.key
}

// allowed reports whether the request may run, and refuses it if not: it would end the
// servers that run it, whichever they are, and all who are served by them would wait.
func (ca *call) allowed() bool {
	qa := ca.sv.qa
	if qa.Empty() {
		return true
	}
	ve, left := qa.Check(ca.start, ca.content())
	switch ve {
	case quarantine.Refuse:
		ca.sv.mt.refused.Inc()
		ca.setRetryAfter(left)
		ca.fail(http.StatusServiceUnavailable, result.NotRunQuarantined, refusalQuarantined)
		return false
	case quarantine.Probe:
		ca.sv.mt.probed.Inc()
		ca.probe = true
	}
	return true
}

// asProbe makes a plan ask one server of some shard before all others. Were it always the
// same shard, that one would lose all its servers.
func (ca *call) asProbe(pl scatter.Plan) scatter.Plan {
	if ca.probe {
		pl.Probe, pl.FirstShard = true, rand.IntN(pl.Shards)
	}
	return pl
}

// learn tells the quarantine what became of an attempt. An answer of any server clears
// the request, unless it is a failure, which a server may give without having run it or at
// a deadline before it would end. No answer, where servers broke off, speaks against it.
// Whether a connection ended because its server did isn't known: that is why it takes
// several servers, one after the other.
func (ca *call) learn() {
	qa := ca.sv.qa
	if ca.anyAnswer() {
		if !qa.Empty() && qa.RequestAnswered(ca.sv.ts.Now(), ca.content()) {
			ca.sv.lg.Info(eventCleared, zap.Stringer("Content", ca.content()))
		}
		return
	}
	ended := ca.brokeOff()
	if len(ended) == 0 {
		return
	}
	rc := qa.RecordLoss(ca.sv.ts.Now(), quarantine.Loss{
		Key: ca.content(), Attempt: ca.id, Start: ca.start, Probe: ca.probe, Service: ca.onlyService(), Servers: ended,
	})
	// The line of the request itself holds its id beside the content.
	ca.sv.lg.Warn(eventSuspected, zap.Stringer("Content", ca.content()), zap.Bool("Probe", ca.probe),
		zap.Int("BrokeOff", len(ended)), zap.Int("Losses", len(rc.Losses)), zap.Strings("Servers", rc.Servers), zap.Stringer("Verdict", rc.Verdict()))
}

// anyAnswer reports whether any server has answered the request with other than a failure.
func (ca *call) anyAnswer() bool {
	for number := range ca.cr.notes {
		if no := &ca.cr.notes[number]; no.ended && no.outcome == upstream.Answered && no.status < http.StatusInternalServerError {
			return true
		}
	}
	return false
}

// onlyService returns the service whose servers broke off, or nothing if there were several.
func (ca *call) onlyService() string {
	only := ""
	for number := range ca.cr.notes {
		no := &ca.cr.notes[number]
		if !no.brokeOff() {
			continue
		}
		service := ca.cr.services[no.shard]
		if only != "" && only != service {
			return ""
		}
		only = service
	}
	return only
}
