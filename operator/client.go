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
	// attemptTimeout bounds one attempt; it is longer than ChangeWait, so that
	// the server says Pending before the client gives up.
	attemptTimeout = ChangeTimeout + 5*time.Second
	// roundPause lies between two rounds over all addresses.
	roundPause = 250 * time.Millisecond
	// maxHints bounds how many hints at a leader are followed in a row, because
	// two instances may each believe that the other leads.
	maxHints = 3
	// maxReplyBytes bounds an answer.
	maxReplyBytes = 64 << 20
)

// Client speaks with the operators' endpoints of a tier. It tries each address,
// turns to the leader when told of it, and resends, so that a lost connection
// or answer costs an operator nothing. It may be used by many goroutines.
type Client struct {
	addresses []string
	hc        *http.Client
	ts        *timer.Service
}

// NewClient returns a client that turns to the given operators' addresses, each
// an IP number and a port, in their order.
func NewClient(addresses []string) *Client {
	// A fresh connection for each attempt: one that went silent is never taken
	// for the resend, which would be lost in the same way.
	return newClient(addresses, &http.Transport{DisableKeepAlives: true})
}

func newClient(addresses []string, tr http.RoundTripper) *Client {
	return &Client{addresses: addresses, hc: &http.Client{Transport: tr}, ts: timer.New()}
}

// Change sends a change, and again with the same change id, until it is
// answered or the context ends. An error with the code ControlUnavailable
// leaves open whether the change was made; a later resend tells.
func (cl *Client) Change(ctx context.Context, cr ChangeRequest) (ChangeReply, error) {
	return call[ChangeReply](ctx, cl, http.MethodPost, ChangesPath, cr)
}

// ChangeInForce sends a change and, while it is pending, asks again until it is
// in force everywhere or refused. If the context ends before, the reply is the
// pending one.
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
		if cl.ts.Sleep(ctx, roundPause) != nil {
			return pending, nil
		}
	}
}

// Files lists the accepted files.
func (cl *Client) Files(ctx context.Context) (FilesReply, error) {
	return call[FilesReply](ctx, cl, http.MethodGet, FilesPath, nil)
}

// Status describes the tier as the first instance that answers sees it.
func (cl *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, cl, http.MethodGet, StatusPath, nil)
}

// Audit lists all audit entries whose number is from or above.
func (cl *Client) Audit(ctx context.Context, from uint64) (AuditReply, error) {
	var all AuditReply
	for {
		path := AuditPath + "?from=" + strconv.FormatUint(from, 10)
		re, err := call[AuditReply](ctx, cl, http.MethodGet, path, nil)
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

// Explain says why the subject is as it is: a server, an instance, a service, a
// change id, or the word leader.
func (cl *Client) Explain(ctx context.Context, subject string) (Explanation, error) {
	return call[Explanation](ctx, cl, http.MethodGet, ExplainPath+"?subject="+url.QueryEscape(subject), nil)
}

// Drain stops the instance at the client's first address gracefully.
func (cl *Client) Drain(ctx context.Context, dr DrainRequest) (DrainReply, error) {
	one := &Client{addresses: cl.addresses[:1], hc: cl.hc, ts: cl.ts}
	return call[DrainReply](ctx, one, http.MethodPost, DrainPath, dr)
}

// ChangeVoters changes the set of voters.
func (cl *Client) ChangeVoters(ctx context.Context, vr VotersRequest) (VotersReply, error) {
	return call[VotersReply](ctx, cl, http.MethodPost, VotersPath, vr)
}

// attemptError is an attempt that another address or a resend may mend.
type attemptError struct {
	leader string
	err    error
}

// Error returns the cause.
func (ae *attemptError) Error() string {
	return ae.err.Error()
}

// Unwrap returns the cause.
func (ae *attemptError) Unwrap() error {
	return ae.err
}

// call goes round the addresses until one answers for good or the context ends.
func call[R any](ctx context.Context, cl *Client, method, path string, body any) (R, error) {
	var none R
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return none, fmt.Errorf("encode request: %w", err)
		}
	}
	for {
		var last error
		for _, ad := range cl.addresses {
			re, err := withHints[R](ctx, cl, ad, method, path, data)
			var ae *attemptError
			if !errors.As(err, &ae) {
				return re, err
			}
			last = err
		}
		if err := cl.ts.Sleep(ctx, roundPause); err != nil {
			return none, &result.Error{Code: result.ControlUnavailable, Op: "ask " + path, Detail: err.Error(), Err: last}
		}
	}
}

// withHints asks the address, and then those that the answers hint at.
func withHints[R any](ctx context.Context, cl *Client, ad, method, path string, data []byte) (R, error) {
	for hints := 0; ; hints++ {
		re, err := attempt[R](ctx, cl, ad, method, path, data)
		var ae *attemptError
		if !errors.As(err, &ae) || ae.leader == "" || hints == maxHints {
			return re, err
		}
		ad = ae.leader
	}
}

func attempt[R any](ctx context.Context, cl *Client, ad, method, path string, data []byte) (R, error) {
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
		return re, &attemptError{err: err}
	}
	defer rs.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(rs.Body, maxReplyBytes))
	if err != nil {
		return re, &attemptError{err: fmt.Errorf("%s: %w", ad, err)}
	}
	if isReply(rs.StatusCode, path) {
		if err := json.Unmarshal(answer, &re); err != nil {
			return re, fmt.Errorf("answer of %s: %w", ad, err)
		}
		return re, nil
	}
	return re, failure(ad, rs.StatusCode, answer)
}

// isReply reports whether the body is the reply and not an ErrorReply. Of a
// change, a conflict and an invalid configuration are replies too.
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

func failure(ad string, status int, answer []byte) error {
	var er ErrorReply
	if err := json.Unmarshal(answer, &er); err != nil {
		er = ErrorReply{Code: result.ControlUnavailable, Detail: fmt.Sprintf("answer with the status %d that is no JSON", status)}
	}
	err := &result.Error{
		Code:       er.Code,
		Op:         "ask " + ad,
		Detail:     er.Detail,
		RetryAfter: time.Duration(er.RetryAfterMillis) * time.Millisecond,
	}
	again := status >= http.StatusInternalServerError || status == http.StatusMisdirectedRequest
	if again {
		return &attemptError{leader: er.Leader, err: err}
	}
	return err
}
