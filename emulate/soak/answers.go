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

// groups are in the order of the streams of arrivals.
var groups = [...]string{groupMerged, groupPlain, groupOnce}

// Request is a caller's request.
type Request struct {
	ID    string
	Group string
	Path  string
	Entry string // Entry is where it was sent.
}

// request is what is known of a request.
type request struct {
	Request
	life   int    // life is that of the entry instance.
	floor  uint64 // floor is the version that was surely in force there when it was sent.
	ran    int    // ran counts the backend servers that began it, for all shards.
	notRun int    // notRun is the status that says that nothing ran; 0 for none.
	at     map[string]bool
}

// Sent tells of a request before it is sent.
func (ju *Checker) RequestSent(rq Request) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	li := ju.life(rq.Entry)
	ju.requests[rq.ID] = &request{Request: rq, life: li.number, floor: li.floor, at: make(map[string]bool)}
}

// saysNotRun reports whether a status says that a request has not run and never
// will.
func saysNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// Answered tells of an answer with any status.
func (ju *Checker) RequestAnswered(at time.Time, id string, an emulate.Response) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	rq, ok := ju.requests[id]
	if !ok {
		return
	}
	switch {
	case an.Status == http.StatusOK:
		ju.parts(at, rq, an)
	case saysNotRun(an.Status):
		rq.notRun = an.Status
		ju.blame(at, rq, an)
		ju.notRun(at, rq, "")
	}
}

// notRun checks that a request that was answered as not run has not run.
func (ju *Checker) notRun(at time.Time, rq *request, server string) {
	br := Violation{Request: rq.ID, Instance: server}
	ju.look(CheckNotRun, rq.ran == 0, br, at, func() string {
		return fmt.Sprintf("answered with %d by %s, and ran %d times", rq.notRun, rq.Entry, rq.ran)
	})
}

// parts checks what an answer is made of.
func (ju *Checker) parts(at time.Time, rq *request, an emulate.Response) {
	br := Violation{Request: rq.ID, Instance: rq.Entry}
	services, ok := ju.stamped(at, rq, an)
	if !ok {
		return // What belongs to another request says nothing of this one's shards.
	}
	seen := slices.Compact(slices.Sorted(slices.Values(services)))
	ju.look(CheckDuplicateParts, len(seen) == len(services), br, at, func() string { return fmt.Sprintf("parts of %v", services) })
	var among []offer
	for _, of := range ju.offers {
		if !of.at.After(at) && within(seen, of.layout.of(rq.Group)) {
			among = append(among, of)
		}
	}
	ju.look(CheckShards, len(among) > 0, br, at, func() string { return fmt.Sprintf("parts of %v are of no one version", seen) })
	if len(among) > 0 {
		full := slices.DeleteFunc(slices.Clone(among), func(of offer) bool {
			return len(services)+an.Missing != len(of.layout.of(rq.Group))
		})
		ju.look(CheckPartCount, len(services) > 0 && len(full) > 0, br, at, func() string {
			return fmt.Sprintf("%d parts and %d missing", len(services), an.Missing)
		})
		ju.version(at, rq, among)
	}
	ju.look(CheckRecords, ju.recorded(rq, services, an.Body), br, at, func() string {
		return fmt.Sprintf("%d bytes are not the greatest records of %v", len(an.Body), services)
	})
}

// stamped returns the services of an answer's parts; false if one is no part of
// the request.
func (ju *Checker) stamped(at time.Time, rq *request, an emulate.Response) ([]string, bool) {
	var out []string
	right := true
	for _, st := range an.Stamps {
		id, ok := emulate.VerifyStamp(st, rq.ID)
		service, known := ju.servers[id]
		ju.look(CheckStamp, ok && known, Violation{Request: rq.ID, Instance: rq.Entry}, at, func() string {
			return fmt.Sprintf("%q is no stamp for the request", st)
		})
		right = right && ok && known
		out = append(out, service)
	}
	return out, right
}

func within(some, all []string) bool {
	return !slices.ContainsFunc(some, func(one string) bool { return !slices.Contains(all, one) })
}

// recorded reports whether a body is made of the parts of services.
func (ju *Checker) recorded(rq *request, services []string, body []byte) bool {
	var parts [][]byte
	for _, service := range services {
		parts = append(parts, emulate.Records(service, rq.Path, ju.cf.Servers.Records))
	}
	if rq.Group == groupMerged {
		return bytes.Equal(body, scatter.MergeTopK(parts, emulate.RecordBytes, ju.cf.Merged.TopK))
	}
	return len(parts) == 1 && bytes.Equal(body, parts[0])
}

// version checks that an answer is of no older version than one whose answer had
// come before the request was sent, at one entry instance. The versions are those
// that it may be of: they are fewer than were sent, since each change of a version
// leads plain requests to another service.
func (ju *Checker) version(at time.Time, rq *request, among []offer) {
	li := ju.life(rq.Entry)
	if li.number != rq.life {
		return // The instance was replaced meanwhile, and which one answered is not known.
	}
	newest := among[len(among)-1].version
	ju.look(CheckVersion, newest >= rq.floor, Violation{Request: rq.ID, Instance: rq.Entry}, at, func() string {
		return fmt.Sprintf("answered by version %d or older, %d was in force before", newest, rq.floor)
	})
	for _, of := range among {
		if of.version >= rq.floor {
			li.floor = max(li.floor, of.version)
			return
		}
	}
}
