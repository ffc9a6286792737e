package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"balsamwinch.example/caller"
	"balsamwinch.example/fanout"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

// Limits of a caller.
const (
	// How much longer than its deadline a caller waits for an answer.
	deadlineGrace = time.Second
	// Maximum number of attempts for one query.
	maxAttempts = 32
	// Delay between attempts after the second, so that a caller does not go through its whole
	// list while instances restart.
	retryDelay         = 10 * time.Millisecond
	maxIdleConnections = 4096
	idleTimeout        = 30 * time.Second
	addressesTimeout   = time.Second
	maxKnownAddresses  = 64
)

// Call is one query of a caller.
type Call struct {
	Service    string
	RequestID  string
	Key        string // makes the query non-repeatable; empty means repeatable
	Deadline   time.Duration
	Query      json.RawMessage
	Start      int  // position in the address list of the first attempt
	Duplicated bool // sends the query a second time without waiting
	Partitions Partitions
}

// Attempt is one transmission of a call and its result.
type Attempt struct {
	RequestID string
	Address   string
	Resend    bool // an earlier attempt may have reached the tier
	Sent      bool // bytes of the query may have been sent
	Answer    fanout.Answer
	Err       error // reason why there is no answer
}

// Outcome is the result of a call.
type Outcome struct {
	Attempts []Attempt
	Word     Attempt // the attempt whose result the caller uses
}

// rank orders the final attempts of a duplicated call by what they tell the caller: rows,
// another outcome, no answer although it may have run, a refusal.
func (at Attempt) rank() int {
	switch {
	case at.Err == nil && at.Answer.Code.NotRun():
		return 0
	case at.Err != nil:
		return 1
	case at.Answer.Code >= result.Incomplete:
		return 2
	default:
		return 3
	}
}

// merge adds the outcome of the duplicate.
func (oc Outcome) merge(ot Outcome) Outcome {
	final := oc.Word
	if ot.Word.rank() > final.rank() {
		final = ot.Word
	}
	return Outcome{Attempts: append(oc.Attempts, ot.Attempts...), Word: final}
}

// Client queries a tier as its callers do: it fetches addresses, keeps the list until its TTL
// ends and connects to an instance directly. It stands for many callers, so the calls begin at
// different positions in the list. It is safe for concurrent use.
type Client struct {
	hc    *http.Client
	ts    *timer.Service
	seeds []string
	mu    sync.Mutex
	lists map[string]*addressList
	known []string // addresses of all lists, newest first
}

// addressList is the stored address list of one service.
type addressList struct {
	mu        sync.Mutex
	addresses []string
	expiresAt time.Time
}

// NewClient returns a client that fetches addresses from the given ones.
func NewClient(ts *timer.Service, seeds []string) *Client {
	tr := &http.Transport{
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		hc:    &http.Client{Transport: tr},
		ts:    ts,
		seeds: seeds,
		lists: make(map[string]*addressList),
	}
}

// Close closes the idle connections.
func (cl *Client) Close() {
	cl.hc.CloseIdleConnections()
}

// Do sends a call and resends it where the protocol allows: to another address if no
// connection could be opened or the instance was draining or stale, and with the same key if
// the answer to a non-repeatable query was lost.
func (cl *Client) Do(ctx context.Context, ca Call) Outcome {
	if !ca.Duplicated {
		return cl.doWithRetries(ctx, ca, ca.RequestID, false)
	}
	var second Outcome
	var wg sync.WaitGroup
	wg.Go(func() {
		duplicate := ca
		duplicate.Start++
		second = cl.doWithRetries(ctx, duplicate, ca.RequestID+"-again", true)
	})
	first := cl.doWithRetries(ctx, ca, ca.RequestID, false)
	wg.Wait()
	return first.merge(second)
}

func (cl *Client) doWithRetries(ctx context.Context, ca Call, id string, resend bool) Outcome {
	ctx, cancel := context.WithTimeout(ctx, ca.Deadline+deadlineGrace)
	defer cancel()
	deadline := cl.ts.Now().Add(ca.Deadline)
	var oc Outcome
	for nu := range maxAttempts {
		at := Attempt{RequestID: id, Resend: resend}
		if nu > 0 {
			at.RequestID = fmt.Sprintf("%s-%d", id, nu)
		}
		at.Address, at.Err = cl.address(ctx, ca.Service, ca.Start+nu)
		if at.Err == nil {
			at = cl.send(ctx, ca, at, deadline.Sub(cl.ts.Now()))
		}
		oc.Attempts = append(oc.Attempts, at)
		oc.Word = at
		if !cl.shouldRetry(ca, at, deadline) || nu > 0 && cl.ts.Sleep(ctx, retryDelay) != nil {
			break
		}
		resend = resend || at.Err != nil && at.Sent
	}
	return oc
}

// shouldRetry reports whether the call is sent again. It expires an address list that named an
// unavailable instance.
func (cl *Client) shouldRetry(ca Call, at Attempt, deadline time.Time) bool {
	if !cl.ts.Now().Before(deadline) {
		return false
	}
	switch {
	case at.Err != nil:
		cl.expireAddresses(ca.Service)
		return !at.Sent || ca.Key != ""
	case at.Answer.Code == result.NotRunDraining, at.Answer.Code == result.NotRunStale:
		cl.expireAddresses(ca.Service)
		return true
	default:
		return false
	}
}

func (cl *Client) send(ctx context.Context, ca Call, at Attempt, left time.Duration) Attempt {
	repeatable := ca.Key == ""
	body, err := json.Marshal(caller.Query{
		RequestID:      at.RequestID,
		DeadlineMillis: max(1, left.Milliseconds()),
		Repeatable:     &repeatable,
		Key:            ca.Key,
		Resend:         ca.Key != "" && at.Resend,
		Query:          ca.Query,
	})
	if err != nil {
		at.Err = err
		return at
	}
	path := strings.Replace(caller.QueryPath, "{Service}", url.PathEscape(ca.Service), 1)
	at.Err = cl.exchange(ctx, http.MethodPost, "http://"+at.Address+path, body, &at.Answer)
	var op *net.OpError
	at.Sent = at.Err == nil || !errors.As(at.Err, &op) || op.Op != "dial"
	return at
}

// address returns the address at the given position in the service's list, and fetches the
// list if it is empty or has expired.
func (cl *Client) address(ctx context.Context, service string, position int) (string, error) {
	cl.mu.Lock()
	li, ok := cl.lists[service]
	if !ok {
		li = &addressList{}
		cl.lists[service] = li
	}
	cl.mu.Unlock()
	li.mu.Lock()
	defer li.mu.Unlock()
	if !cl.ts.Now().Before(li.expiresAt) || len(li.addresses) == 0 {
		if err := cl.fetchAddresses(ctx, service, li, position); err != nil {
			return "", err
		}
	}
	return li.addresses[position%len(li.addresses)], nil
}

// fetchAddresses asks the known addresses until one returns a list, beginning at the given
// position of the service's last list.
func (cl *Client) fetchAddresses(ctx context.Context, service string, li *addressList, position int) error {
	var lastErr error
	for _, address := range cl.addressSources(li.addresses, position) {
		var ad caller.Addresses
		target := "http://" + address + caller.AddressesPath + "?Service=" + url.QueryEscape(service)
		fetchCtx, cancel := context.WithTimeout(ctx, addressesTimeout)
		lastErr = cl.exchange(fetchCtx, http.MethodGet, target, nil, &ad)
		cancel()
		if lastErr == nil && len(ad.Addresses) > 0 {
			li.addresses = ad.Addresses
			li.expiresAt = cl.ts.Now().Add(time.Duration(ad.TTLMillis) * time.Millisecond)
			cl.rememberAddresses(ad.Addresses)
			return nil
		}
	}
	return fmt.Errorf("no known instance returned addresses for %s: %w", service, lastErr)
}

// addressSources returns the addresses to ask for a list, in order. An instance that has just
// started may return only its own address; if it then stops, the addresses of older lists lead
// back to the tier.
func (cl *Client) addressSources(listed []string, position int) []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	first := listed
	if len(first) == 0 {
		first = cl.seeds
	}
	at := position % len(first)
	return distinct(first[at:], first[:at], cl.known, cl.seeds)
}

func (cl *Client) rememberAddresses(addresses []string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.known = distinct(addresses, cl.known)
	cl.known = cl.known[:min(len(cl.known), maxKnownAddresses)]
}

// distinct concatenates lists and keeps the first of equal addresses.
func distinct(lists ...[]string) []string {
	var all []string
	for _, ad := range slices.Concat(lists...) {
		if !slices.Contains(all, ad) {
			all = append(all, ad)
		}
	}
	return all
}

// expireAddresses makes the next call fetch the addresses again.
func (cl *Client) expireAddresses(service string) {
	cl.mu.Lock()
	li := cl.lists[service]
	cl.mu.Unlock()
	if li == nil {
		return
	}
	li.mu.Lock()
	li.expiresAt = time.Time{}
	li.mu.Unlock()
}

// exchange sends one HTTP request and decodes the JSON body of the response, whatever its
// status. A truncated body is an error.
func (cl *Client) exchange(ctx context.Context, method, target string, body []byte, out any) error {
	rq, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	rq.Header.Set("Content-Type", "application/json")
	rs, err := cl.hc.Do(rq)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("status %d from %s: %w", rs.StatusCode, target, err)
	}
	return nil
}
