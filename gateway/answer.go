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

// serveOne passes the request to one backend server of the route's service.
func (ca *call) serveOne(services []string) {
	cr, ok := ca.carry(ca.plan(1, 1), services)
	if !ok {
		ca.left()
		return
	}
	if rp := cr.replies[0]; rp != nil {
		// A failure of the backend server itself is passed on as it came.
		ca.pass(rp)
		return
	}
	ca.giveUp(cr)
}

// pass gives a backend server's answer unchanged, but for the headers that
// concern one connection.
func (ca *call) pass(rp *upstream.Reply) {
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

// serveShards asks one backend server of each shard and merges the parts. The
// shards are those of one version of the configuration throughout.
func (ca *call) serveShards() {
	ro := ca.ro
	defer func() { ca.sv.merging.Add(int64(ca.sv.ts.Now().Sub(ca.start))) }()
	cr, ok := ca.carry(ca.plan(len(ro.Shards), scatter.MinParts(len(ro.Shards), ro.Merge.LeastShare)), ro.Shards)
	if !ok {
		ca.left()
		return
	}
	ca.missed = len(ro.Shards) - cr.qu.NumParts()
	if cr.qu.State() != scatter.Answered {
		ca.giveUp(cr)
		return
	}
	ca.merge(cr)
}

func (ca *call) merge(cr *carrier) {
	hd := ca.wr.Header()
	parts := make([][]byte, 0, len(cr.services))
	stamps := make([]byte, 0, len(cr.services)*40)
	for sh, rp := range cr.replies {
		if !cr.qu.HasPart(sh) {
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
	hd.Set(ca.sv.cf.Names.MissingParts, strconv.Itoa(ca.missed))
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	hd["Content-Type"] = nil
	hd["Date"] = nil
	ca.status, ca.code = http.StatusOK, result.Complete
	if ca.missed > 0 {
		ca.code = result.Partial
	}
	ca.wr.WriteHeader(http.StatusOK)
	_, _ = ca.wr.Write(body)
}

// recycle gives back the replies. The answer holds copies, and nothing may look at
// them from here on.
func (ca *call) recycle() {
	if ca.cr == nil {
		return
	}
	for sh, rp := range ca.cr.replies {
		if rp != nil {
			ca.sv.up.Recycle(rp)
			ca.cr.replies[sh] = nil
		}
	}
}

// giveUp says that the request has failed. "Not run" is said only if no backend
// server can have run it.
func (ca *call) giveUp(cr *carrier) {
	cause := ca.cause(cr)
	switch {
	case !cr.qu.MayHaveRun():
		ca.refuse(cause, retryNoServer)
	case cr.qu.State() == scatter.Expired:
		ca.fail(http.StatusGatewayTimeout, ca.unknown(), cause)
	default:
		ca.setRetryAfter(retryNoServer)
		ca.fail(http.StatusBadGateway, ca.unknown(), cause)
	}
}

func (ca *call) unknown() result.Code {
	if ca.repeatable() {
		return result.Incomplete
	}
	return result.OutcomeUnknown
}

// cause returns the gravest cause among the shards without a part.
func (ca *call) cause(cr *carrier) string {
	worst := scatter.CauseNone
	for sh := range cr.services {
		if !cr.qu.HasPart(sh) && cr.qu.Cause(sh) > worst {
			worst = cr.qu.Cause(sh)
		}
	}
	return worst.String()
}

// left notes that the caller is gone. Nothing can be said to it any more.
func (ca *call) left() {
	ca.status, ca.detail = statusLeft, "caller left"
	ca.over()
	panic(http.ErrAbortHandler)
}

// statusLeft stands in metrics for a request whose caller left.
const statusLeft = 499
