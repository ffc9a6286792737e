package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

const (
	// attemptTimeout bounds one attempt. It is longer than ChangeTimeout, so that the server
	// responds with Pending before the client gives up.
	attemptTimeout = ChangeTimeout + 5*time.Second
	// roundInterval is the delay between two rounds over all addresses.
	roundInterval = 250 * time.Millisecond
	// maxLeaderHints bounds the leader hints followed in a row, because two instances may each
	// believe that the other leads.
	maxLeaderHints = 3
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 << 20
)

// Client calls the operator endpoints of a tier. It tries each address, follows hints to the
// leader and retries, so that a lost connection or response does not fail a call. It is safe
// for concurrent use.
type Client struct {
	addresses []string
	hc        *http.Client
	ts        *timer.Service
}

// NewClient returns a client that tries the given operator addresses, each an IP address and a
// port, in their order.
func NewClient(addresses []string) *Client {
	// Each attempt opens a new connection. A retry over a kept-alive connection that has gone
	// silent would be lost like the first attempt.
	return newClient(addresses, &http.Transport{DisableKeepAlives: true})
}

func newClient(addresses []string, tr http.RoundTripper) *Client {
	return &Client{addresses: addresses, hc: &http.Client{Transport: tr}, ts: timer.New()}
}

// Change sends a change, and resends it with the same change id until it gets a response or
// the context ends. After an error with the code ControlUnavailable the outcome is unknown;
// resending the change later returns it.
func (cl *Client) Change(ctx context.Context, cr ChangeRequest) (ChangeReply, error) {
	return callAny[ChangeReply](ctx, cl, http.MethodPost, ChangesPath, cr)
}

// ChangeAndWait sends a change and, while it is pending, resends it until it is in force on
// every instance or rejected. If the context ends first, it returns the pending reply.
func (cl *Client) ChangeAndWait(ctx context.Context, cr ChangeRequest) (ChangeReply, error) {
	var pending ChangeReply
	for {
		re, err := cl.Change(ctx, cr)
		switch {
		case err != nil && pending.Code == result.Pending && ctx.Err() != nil:
			return pending, nil
		case err != nil || re.Code != result.Pending:
			return re, err
		}
		pending = re
		if cl.ts.Sleep(ctx, roundInterval) != nil {
			return pending, nil
		}
	}
}

// Files lists the accepted files.
func (cl *Client) Files(ctx context.Context) (FilesReply, error) {
	return callAny[FilesReply](ctx, cl, http.MethodGet, FilesPath, nil)
}

// Status returns the state of the tier as the first instance that responds sees it.
func (cl *Client) Status(ctx context.Context) (Status, error) {
	return callAny[Status](ctx, cl, http.MethodGet, StatusPath, nil)
}

// Audit lists all audit entries whose number is at least from.
func (cl *Client) Audit(ctx context.Context, from uint64) (AuditReply, error) {
	var all AuditReply
	for {
		path := AuditPath + "?from=" + strconv.FormatUint(from, 10)
		re, err := callAny[AuditReply](ctx, cl, http.MethodGet, path, nil)
		if err != nil {
			return AuditReply{}, err
		}
		all.Entries = append(all.Entries, re.Entries...)
		if !re.More || len(re.Entries) == 0 {
			return all, nil
		}
		from = re.Entries[len(re.Entries)-1].Number + 1
	}
}

// Explain returns the reasons for the state of the subject: a backend server, a service, a
// change id, a request id, or the word leader.
func (cl *Client) Explain(ctx context.Context, subject string) (Explanation, error) {
	return callAny[Explanation](ctx, cl, http.MethodGet, ExplainPath+"?subject="+url.QueryEscape(subject), nil)
}

// Drain gracefully stops the instance at the client's first address.
func (cl *Client) Drain(ctx context.Context, dr DrainRequest) (DrainReply, error) {
	one := &Client{addresses: cl.addresses[:1], hc: cl.hc, ts: cl.ts}
	return callAny[DrainReply](ctx, one, http.MethodPost, DrainPath, dr)
}

// ChangeVoters changes the set of voters.
func (cl *Client) ChangeVoters(ctx context.Context, vr VotersRequest) (VotersReply, error) {
	return callAny[VotersReply](ctx, cl, http.MethodPost, VotersPath, vr)
}

// retryableError is the error of an attempt that may succeed at another address or when
// repeated.
type retryableError struct {
	leader string
	err    error
}

// Error returns the message of the cause.
func (re *retryableError) Error() string {
	return re.err.Error()
}

// Unwrap returns the cause.
func (re *retryableError) Unwrap() error {
	return re.err
}

// callAny tries the addresses in rounds until one gives a final response or the context ends.
func callAny[R any](ctx context.Context, cl *Client, method, path string, body any) (R, error) {
	var zero R
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return zero, fmt.Errorf("encode request: %w", err)
		}
	}
	for {
		var last error
		for _, ad := range cl.addresses {
			re, err := callWithHints[R](ctx, cl, ad, method, path, data)
			var retryable *retryableError
			if !errors.As(err, &retryable) {
				return re, err
			}
			last = err
		}
		if err := cl.ts.Sleep(ctx, roundInterval); err != nil {
			return zero, &result.Error{Code: result.ControlUnavailable, Op: "ask " + path, Detail: err.Error(), Err: last}
		}
	}
}

// callWithHints calls the address, and then the leaders that the responses name.
func callWithHints[R any](ctx context.Context, cl *Client, ad, method, path string, data []byte) (R, error) {
	for followed := 0; ; followed++ {
		re, err := callOne[R](ctx, cl, ad, method, path, data)
		var retryable *retryableError
		if !errors.As(err, &retryable) || retryable.leader == "" || followed == maxLeaderHints {
			return re, err
		}
		ad = retryable.leader
	}
}

func callOne[R any](ctx context.Context, cl *Client, ad, method, path string, data []byte) (R, error) {
	var re R
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+ad+path, bytes.NewReader(data))
	if err != nil {
		return re, fmt.Errorf("address %q: %w", ad, err)
	}
	rq.Header.Set("Content-Type", "application/json")
	rs, err := cl.hc.Do(rq)
	if err != nil {
		return re, &retryableError{err: err}
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxResponseBytes))
	if err != nil {
		return re, &retryableError{err: fmt.Errorf("%s: %w", ad, err)}
	}
	if isReply(rs.StatusCode, path) {
		if err := json.Unmarshal(body, &re); err != nil {
			return re, fmt.Errorf("response of %s: %w", ad, err)
		}
		return re, nil
	}
	return re, responseError(ad, rs.StatusCode, body)
}

// isReply reports whether the body holds the reply and not an ErrorReply. For a change, a
// conflict and an invalid configuration are replies too.
func isReply(status int, path string) bool {
	switch status {
	case http.StatusOK, http.StatusAccepted:
		return true
	case http.StatusConflict, http.StatusUnprocessableEntity:
		return path == ChangesPath
	default:
		return false
	}
}

func responseError(ad string, status int, body []byte) error {
	var er ErrorReply
	if err := json.Unmarshal(body, &er); err != nil {
		er = ErrorReply{Code: result.ControlUnavailable, Detail: fmt.Sprintf("response with status %d is not JSON", status)}
	}
	err := &result.Error{
		Code:       er.Code,
		Op:         "ask " + ad,
		Detail:     er.Detail,
		RetryAfter: time.Duration(er.RetryAfterMillis) * time.Millisecond,
	}
	retryable := status >= http.StatusInternalServerError || status == http.StatusMisdirectedRequest
	if retryable {
		return &retryableError{leader: er.Leader, err: err}
	}
	return err
}
