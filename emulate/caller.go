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

// Question is a caller's request.
type Request struct {
	ID      string // ID is new for each request.
	Host    string
	Path    string
	Timeout time.Duration // Timeout is how long the caller waits.
}

// Answer is what a caller got.
type Response struct {
	Status  int
	Body    []byte
	Stamps  []string // Stamps are those of the parts, or the one of a plain answer.
	Missing int      // Missing counts the parts that are left out.
}

// Caller sends requests to entry instances over connections that it keeps. It
// sends nothing twice. It is safe for concurrent use.
type Caller struct {
	hc *http.Client
}

// callerConnections is how many idle connections to one entry instance a caller
// keeps.
const callerConnections = 64

// NewCaller returns a caller without connections.
func NewCaller() *Caller {
	return &Caller{hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerConnections, DisableCompression: true}}}
}

// Close closes the connections that are idle.
func (ca *Caller) Close() { ca.hc.CloseIdleConnections() }

// Ask sends a request to the entry instance at the address. An answer of any
// status is no error.
func (ca *Caller) Send(ctx context.Context, address string, qu Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, qu.Timeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+qu.Path, nil)
	if err != nil {
		return Response{}, err
	}
	rq.Host = qu.Host
	// net/http sends a request without a body again if its connection ends before an
	// answer, and the entry instance or its successor would then run it twice in our
	// name. It can't send a body again of which it has no copy.
	rq.Body = io.NopCloser(strings.NewReader(""))
	rq.Header.Set(headerRequestID, qu.ID)
	rq.Header.Set(headerDeadline, strconv.FormatInt(qu.Timeout.Milliseconds(), 10))
	rs, err := ca.hc.Do(rq)
	if err != nil {
		return Response{}, err
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	if err != nil {
		return Response{}, err
	}
	an := Response{Status: rs.StatusCode, Body: body}
	for _, name := range []string{headerStamp, headerParts} {
		for _, va := range rs.Header.Values(name) {
			for st := range strings.SplitSeq(va, ",") {
				an.Stamps = append(an.Stamps, strings.TrimSpace(st))
			}
		}
	}
	if va := rs.Header.Get(headerMissing); va != "" {
		if an.Missing, err = strconv.Atoi(va); err != nil {
			return Response{}, fmt.Errorf("%s: %w", headerMissing, err)
		}
	}
	return an, nil
}

// Addresses asks a control instance at its address for such calls which entry
// instances to use, those of the data centre first.
func (ca *Caller) EntryAddresses(ctx context.Context, address, dataCentre string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, controlWithin)
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

// Await asks until an answer lacks no part, and returns it. An answer that is
// wrong is an error at once.
func (ca *Caller) AwaitComplete(ctx context.Context, ts *timer.Service, address string, qu Request, ex Expectation) (Response, error) {
	for nth := 0; ; nth++ {
		again := qu
		again.ID = qu.ID + "-" + strconv.Itoa(nth)
		an, err := ca.Send(ctx, address, again)
		if err == nil && an.Status == http.StatusOK && an.Missing == 0 {
			return an, ex.Check(again, an)
		}
		if ts.Sleep(ctx, localPoll) != nil {
			return an, fmt.Errorf("no whole answer from %s: status %d, %w", address, an.Status, errors.Join(err, ctx.Err()))
		}
	}
}

// Expectation is what a right answer is made of.
type Expectation struct {
	Services []string                       // Services are the shards, or the one service of a plain request.
	Service  func(id string) (string, bool) // Service returns the service of a backend server.
	Records  int                            // Records is how many records each server answers with.
	TopK     int                            // TopK is the most records of a merged answer; 0 for a plain request.
}

// Check returns why an answer with status 200 is wrong, or nil. An answer of some
// of the shards is right if it says so.
func (ex Expectation) Check(qu Request, an Response) error {
	var parts [][]byte
	seen := make(map[string]bool)
	for _, st := range an.Stamps {
		id, ok := VerifyStamp(st, qu.ID)
		name, known := ex.Service(id)
		switch {
		case !ok || !known:
			return fmt.Errorf("%q is no stamp for request %s", st, qu.ID)
		case seen[name] || !slices.Contains(ex.Services, name):
			return fmt.Errorf("stamp of service %s: want each of %v once", name, ex.Services)
		}
		seen[name] = true
		parts = append(parts, Records(name, qu.Path, ex.Records))
	}
	if len(seen)+an.Missing != len(ex.Services) || len(seen) == 0 {
		return fmt.Errorf("%d parts and %d missing, want %d together", len(seen), an.Missing, len(ex.Services))
	}
	want := parts[0]
	if ex.TopK > 0 {
		want = scatter.MergeTopK(parts, RecordBytes, ex.TopK)
	}
	if !bytes.Equal(an.Body, want) {
		return fmt.Errorf("the body of request %s is not made of its parts", qu.ID)
	}
	return nil
}
