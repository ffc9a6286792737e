package gateway

import (
	"net/http"
	"strconv"

	"balsamwinch.example/result"
	"balsamwinch.example/route"
	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

func (ca *call) repeatable() bool { return ca.ro.Kind == route.Repeatable }

// serveOne forwards the request to one backend server of the chosen service.
func (ca *call) serveOne(services []string) {
	ex, ok := ca.execute(ca.plan(1, 1), services)
	if !ok {
		ca.callerLeft()
		return
	}
	if rp := ex.replies[0]; rp != nil {
		// A failure reported by the backend server is forwarded unchanged.
		ca.forward(rp)
		return
	}
	ca.respondFailure(ex)
}

// forward returns a backend server's answer unchanged, except for hop-by-hop headers.
func (ca *call) forward(rp *upstream.Reply) {
	hd := ca.wr.Header()
	for name, vs := range rp.Header {
		hd[name] = vs
	}
	if _, ok := hd["Content-Type"]; !ok {
		hd["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	if _, ok := hd["Date"]; !ok {
		hd["Date"] = nil
	}
	if bodyAllowed(ca.rq.Method, rp.Status) {
		hd.Set("Content-Length", strconv.Itoa(len(rp.Body)))
	}
	ca.status, ca.code = rp.Status, result.Complete
	ca.wr.WriteHeader(rp.Status)
	_, _ = ca.wr.Write(rp.Body)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// serveShards asks one backend server of each shard and merges the parts. All shards come
// from one version of the configuration.
func (ca *call) serveShards() {
	ro := ca.ro
	defer func() { ca.sv.mergedTime.Add(int64(ca.sv.ts.Now().Sub(ca.start))) }()
	ex, ok := ca.execute(ca.plan(len(ro.Shards), scatter.MinParts(len(ro.Shards), ro.Merge.LeastShare)), ro.Shards)
	if !ok {
		ca.callerLeft()
		return
	}
	ca.numMissing = len(ro.Shards) - ex.qu.NumParts()
	if ex.qu.State() != scatter.Answered {
		ca.respondFailure(ex)
		return
	}
	ca.respondMerged(ex)
}

func (ca *call) respondMerged(ex *executor) {
	hd := ca.wr.Header()
	parts := make([][]byte, 0, len(ex.services))
	stamps := make([]byte, 0, len(ex.services)*40)
	for sh, rp := range ex.replies {
		if !ex.qu.HasPart(sh) {
			continue
		}
		if len(stamps) > 0 {
			stamps = append(stamps, ", "...)
		}
		stamps = append(stamps, rp.Stamp...)
		parts = append(parts, rp.Body)
	}
	body := scatter.MergeTopK(parts, ca.ro.Merge.RecordBytes, ca.ro.Merge.TopK)
	hd.Set(ca.sv.cf.Names.PartStamps, string(stamps))
	hd.Set(ca.sv.cf.Names.MissingParts, strconv.Itoa(ca.numMissing))
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	hd["Content-Type"] = nil
	hd["Date"] = nil
	ca.status, ca.code = http.StatusOK, result.Complete
	if ca.numMissing > 0 {
		ca.code = result.Partial
	}
	ca.wr.WriteHeader(http.StatusOK)
	_, _ = ca.wr.Write(body)
}

// recycleReplies returns the replies to the upstream client. The answer holds copies; the
// replies must not be read after this call.
func (ca *call) recycleReplies() {
	if ca.ex == nil {
		return
	}
	for sh, rp := range ca.ex.replies {
		if rp != nil {
			ca.sv.up.Recycle(rp)
			ca.ex.replies[sh] = nil
		}
	}
}

// respondFailure reports that the request has failed. It reports "not run" only if no
// backend server can have run the request.
func (ca *call) respondFailure(ex *executor) {
	cause := ca.worstCause(ex)
	switch {
	case !ex.qu.MayHaveRun():
		ca.reject(cause, retryAfterNoServer)
	case ex.qu.State() == scatter.Expired:
		if ca.sv.stopped() {
			cause = reasonStopped
		}
		ca.respondError(http.StatusGatewayTimeout, ca.unknownOutcome(), cause)
	default:
		ca.setRetryAfter(retryAfterNoServer)
		ca.respondError(http.StatusBadGateway, ca.unknownOutcome(), cause)
	}
}

func (ca *call) unknownOutcome() result.Code {
	if ca.repeatable() {
		return result.Incomplete
	}
	return result.OutcomeUnknown
}

// worstCause returns the most severe cause among the shards without a part.
func (ca *call) worstCause(ex *executor) string {
	worst := scatter.CauseNone
	for sh := range ex.services {
		if !ex.qu.HasPart(sh) && ex.qu.Cause(sh) > worst {
			worst = ex.qu.Cause(sh)
		}
	}
	return worst.String()
}

// callerLeft records that the caller has disconnected and aborts the handler, since no
// answer can be sent any more.
func (ca *call) callerLeft() {
	ca.status, ca.detail = statusCallerLeft, "caller left"
	ca.finish()
	panic(http.ErrAbortHandler)
}

// statusCallerLeft is the status in metrics and logs of a request whose caller
// disconnected.
const statusCallerLeft = 499
