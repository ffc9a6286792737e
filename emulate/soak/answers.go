package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	"balsamwinch.example/emulate"
	"balsamwinch.example/scatter"
)

// The groups of requests, which are also path segments.
const (
	groupMerged = "merged"
	groupPlain  = "plain"
	groupOnce   = "once"
)

// groups are in the order of the arrival streams.
var groups = [...]string{groupMerged, groupPlain, groupOnce}

// Request is a caller's request.
type Request struct {
	ID    string
	Group string
	Path  string
	Entry string // address of the entry instance that it was sent to
}

// request is the state of a request.
type request struct {
	Request
	incarnation  int             // incarnation of the entry instance
	minVersion   uint64          // version that was certainly in force there when it was sent
	dueVersion   uint64          // version that had to be in force there by then; 0 if none is certain
	starts       int             // number of times that a backend server started it, over all shards
	notRunStatus int             // status that reported that nothing ran; 0 for none
	arrivedAt    map[string]bool // services at whose servers it has arrived
}

// RequestSent records a request before it is sent.
func (ch *Checker) RequestSent(at time.Time, rq Request) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	en := ch.entry(rq.Entry)
	if en.since.IsZero() {
		en.since = at
	}
	ch.requests[rq.ID] = &request{
		Request: rq, incarnation: en.incarnation, minVersion: en.minVersion, dueVersion: ch.versionDue(at, en), arrivedAt: make(map[string]bool),
	}
}

// isNotRunStatus reports whether a status means that a request has not run and never
// will.
func isNotRunStatus(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// RequestAnswered checks a response with any status.
func (ch *Checker) RequestAnswered(at time.Time, id string, res emulate.Response) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	rq, ok := ch.requests[id]
	if !ok {
		return
	}
	switch {
	case res.Status == http.StatusOK:
		ch.checkParts(at, rq, res)
	case isNotRunStatus(res.Status):
		rq.notRunStatus = res.Status
		ch.checkFalseQuarantine(at, rq, res)
		ch.checkNotRun(at, rq, "")
	}
}

// checkNotRun checks that a request that was reported as not run has not run.
func (ch *Checker) checkNotRun(at time.Time, rq *request, server string) {
	vi := Violation{Request: rq.ID, Instance: server}
	ch.check(CheckNotRun, rq.starts == 0, vi, at, func() string {
		return fmt.Sprintf("got status %d from %s, but ran %d times", rq.notRunStatus, rq.Entry, rq.starts)
	})
}

// checkParts checks the parts of a response.
func (ch *Checker) checkParts(at time.Time, rq *request, res emulate.Response) {
	vi := Violation{Request: rq.ID, Instance: rq.Entry}
	services, ok := ch.verifyStamps(at, rq, res)
	if !ok {
		return // Parts of another request say nothing about the shards of this one.
	}
	seen := slices.Compact(slices.Sorted(slices.Values(services)))
	ch.check(CheckDuplicateParts, len(seen) == len(services), vi, at, func() string { return fmt.Sprintf("duplicate part among %v", services) })
	var candidates []sentVersion
	for _, sv := range ch.sentVersions {
		if !sv.at.After(at) && isSubset(seen, sv.layout.services(rq.Group)) {
			candidates = append(candidates, sv)
		}
	}
	ch.check(CheckShards, len(candidates) > 0, vi, at, func() string { return fmt.Sprintf("parts of %v do not belong to a single version", seen) })
	if len(candidates) > 0 {
		complete := slices.DeleteFunc(slices.Clone(candidates), func(sv sentVersion) bool {
			return len(services)+res.Missing != len(sv.layout.services(rq.Group))
		})
		ch.check(CheckPartCount, len(services) > 0 && len(complete) > 0, vi, at, func() string {
			return fmt.Sprintf("%d parts and %d missing", len(services), res.Missing)
		})
		ch.checkVersion(at, rq, candidates)
	}
	ch.check(CheckRecords, ch.bodyMatches(rq, services, res.Body), vi, at, func() string {
		return fmt.Sprintf("%d bytes are not the greatest records of %v", len(res.Body), services)
	})
}

// verifyStamps returns the services of a response's parts; false if one of them doesn't
// belong to the request.
func (ch *Checker) verifyStamps(at time.Time, rq *request, res emulate.Response) ([]string, bool) {
	var out []string
	valid := true
	for _, st := range res.Stamps {
		id, ok := emulate.VerifyStamp(st, rq.ID)
		service, known := ch.servers[id]
		ch.check(CheckStamp, ok && known, Violation{Request: rq.ID, Instance: rq.Entry}, at, func() string {
			return fmt.Sprintf("%q is not a valid stamp for the request", st)
		})
		valid = valid && ok && known
		out = append(out, service)
	}
	return out, valid
}

func isSubset(subset, all []string) bool {
	return !slices.ContainsFunc(subset, func(one string) bool { return !slices.Contains(all, one) })
}

// bodyMatches reports whether a body consists of the parts of the services.
func (ch *Checker) bodyMatches(rq *request, services []string, body []byte) bool {
	var parts [][]byte
	for _, service := range services {
		parts = append(parts, emulate.Records(service, rq.Path, ch.cf.Servers.Records))
	}
	if rq.Group == groupMerged {
		return bytes.Equal(body, scatter.MergeTopK(parts, emulate.RecordBytes, ch.cf.Merged.TopK))
	}
	return len(parts) == 1 && bytes.Equal(body, parts[0])
}

// checkVersion checks that a response is not of an older version than one that the same
// entry instance sent before the request was sent. The candidates are the versions that
// the response may be of. They are fewer than the versions that were sent, because each
// new version routes plain requests to another service.
func (ch *Checker) checkVersion(at time.Time, rq *request, candidates []sentVersion) {
	en := ch.entry(rq.Entry)
	if en.incarnation != rq.incarnation {
		return // The instance was replaced in the meantime, and it isn't known which one responded.
	}
	newest := candidates[len(candidates)-1].version
	ch.checkInForce(at, rq, newest)
	ch.check(CheckVersion, newest >= rq.minVersion, Violation{Request: rq.ID, Instance: rq.Entry}, at, func() string {
		return fmt.Sprintf("answered by version %d or older, %d was in force before", newest, rq.minVersion)
	})
	for _, sv := range candidates {
		if sv.version >= rq.minVersion {
			en.minVersion = max(en.minVersion, sv.version)
			return
		}
	}
}
