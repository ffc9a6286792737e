package emulate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"balsamwinch.example/scatter"
	"balsamwinch.example/timer"
)

// Request is a caller's request.
type Request struct {
	ID      string // unique per request
	Host    string
	Path    string
	Timeout time.Duration // how long the caller waits
	Key     string        // API key of a customer; empty for none
}

// Response is the response that a caller received.
type Response struct {
	Status  int
	Body    []byte
	Stamps  []string // one per part, or a single one in a plain response
	Missing int      // number of parts left out
}

// Caller sends requests to entry instances over pooled connections. It never retries. It
// is safe for concurrent use.
type Caller struct {
	hc *http.Client
}

// maxIdleConnections bounds the idle connections that a caller keeps to one entry
// instance.
const maxIdleConnections = 64

// NewCaller returns a caller without connections.
func NewCaller() *Caller {
	return &Caller{hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}}}
}

// Close closes the idle connections.
func (ca *Caller) Close() { ca.hc.CloseIdleConnections() }

// Send sends a request to the entry instance at the address. A response of any status is
// not an error.
func (ca *Caller) Send(ctx context.Context, address string, req Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+req.Path, nil)
	if err != nil {
		return Response{}, err
	}
	rq.Host = req.Host
	// net/http retries a request without a body if its connection closes before a
	// response, so the entry instance or its successor would run it twice on the caller's
	// behalf. It can't retry a request with a body that it has no copy of.
	rq.Body = io.NopCloser(strings.NewReader(""))
	rq.Header.Set(headerRequestID, req.ID)
	rq.Header.Set(headerDeadline, strconv.FormatInt(req.Timeout.Milliseconds(), 10))
	if req.Key != "" {
		rq.Header.Set("Authorization", "Bearer "+req.Key)
	}
	rs, err := ca.hc.Do(rq)
	if err != nil {
		return Response{}, err
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	if err != nil {
		return Response{}, err
	}
	res := Response{Status: rs.StatusCode, Body: body}
	for _, name := range []string{headerStamp, headerPartStamps} {
		for _, va := range rs.Header.Values(name) {
			for st := range strings.SplitSeq(va, ",") {
				res.Stamps = append(res.Stamps, strings.TrimSpace(st))
			}
		}
	}
	if va := rs.Header.Get(headerMissingParts); va != "" {
		if res.Missing, err = strconv.Atoi(va); err != nil {
			return Response{}, fmt.Errorf("%s: %w", headerMissingParts, err)
		}
	}
	return res, nil
}

// EntryAddresses asks a control instance, at its address for lookups, which entry
// instances to use; those of the data centre come first. It also returns how long the
// list is valid.
func (ca *Caller) EntryAddresses(ctx context.Context, address, dataCentre string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/addresses?DataCentre="+url.QueryEscape(dataCentre), nil)
	if err != nil {
		return nil, 0, err
	}
	rs, err := ca.hc.Do(rq)
	if err != nil {
		return nil, 0, err
	}
	defer rs.Body.Close()
	var li addressList
	if err := json.NewDecoder(rs.Body).Decode(&li); err != nil {
		return nil, 0, err
	}
	return li.Addresses, time.Duration(li.TTLMillis) * time.Millisecond, nil
}

// AwaitComplete sends the request repeatedly until a response lacks no part, and returns
// that response. A wrong response is an error at once.
func (ca *Caller) AwaitComplete(ctx context.Context, ts *timer.Service, address string, req Request, ex Expectation) (Response, error) {
	for attemptIndex := 0; ; attemptIndex++ {
		attempt := req
		attempt.ID = req.ID + "-" + strconv.Itoa(attemptIndex)
		res, err := ca.Send(ctx, address, attempt)
		if err == nil && res.Status == http.StatusOK && res.Missing == 0 {
			return res, ex.Check(attempt, res)
		}
		if ts.Sleep(ctx, pollInterval) != nil {
			return res, fmt.Errorf("no complete response from %s: status %d, %w", address, res.Status, errors.Join(err, ctx.Err()))
		}
	}
}

// Expectation describes a correct response.
type Expectation struct {
	Services []string                       // the shards, or the one service of a plain request
	Service  func(id string) (string, bool) // returns the service of a backend server
	Records  int                            // records in each server's response
	TopK     int                            // maximum records of a merged response; 0 for a plain request
}

// Check returns why a response with status 200 is wrong, or nil. A response that lacks
// some shards is correct if it reports them as missing.
func (ex Expectation) Check(req Request, res Response) error {
	var parts [][]byte
	seen := make(map[string]bool)
	for _, st := range res.Stamps {
		id, ok := VerifyStamp(st, req.ID)
		name, known := ex.Service(id)
		switch {
		case !ok || !known:
			return fmt.Errorf("%q is not a valid stamp for request %s", st, req.ID)
		case seen[name] || !slices.Contains(ex.Services, name):
			return fmt.Errorf("unexpected or repeated part of service %s, want each of %v once", name, ex.Services)
		}
		seen[name] = true
		parts = append(parts, Records(name, req.Path, ex.Records))
	}
	if len(seen)+res.Missing != len(ex.Services) || len(seen) == 0 {
		return fmt.Errorf("%d parts and %d missing, want %d in total", len(seen), res.Missing, len(ex.Services))
	}
	want := parts[0]
	if ex.TopK > 0 {
		want = scatter.MergeTopK(parts, RecordBytes, ex.TopK)
	}
	if !bytes.Equal(res.Body, want) {
		return fmt.Errorf("the body of the response to request %s does not match its parts", req.ID)
	}
	return nil
}
