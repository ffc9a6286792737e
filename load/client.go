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

// Bounds of a caller's patience.
const (
	// slack is how much longer than its deadline a caller waits for an answer.
	slack = time.Second
	// maxAttempts bounds how often a caller tries with one query.
	maxAttempts = 32
	// againPause lies between attempts after the second, so that a caller does not
	// run through its list while instances restart.
	againPause    = 10 * time.Millisecond
	maxIdle       = 4096
	idleTimeout   = 30 * time.Second
	addressesWait = time.Second
	maxKnown      = 64
)

// Call is one query as a caller means it.
type Call struct {
	Service    string
	RequestID  string
	Key        string // Key makes the query not repeatable; empty means repeatable.
	Deadline   time.Duration
	Query      json.RawMessage
	Start      int  // Start is the place in the address list at which the caller begins.
	Duplicated bool // Duplicated sends the query a second time without waiting.
	Partitions Partitions
}

// Attempt is one sending of a call and what came back.
type Attempt struct {
	RequestID string
	Address   string
	Resend    bool // Resend says that an earlier attempt may have reached the tier.
	Sent      bool // Sent says that bytes of the query may have left.
	Answer    fanout.Answer
	Err       error // Err says why there is no answer.
}

// Outcome is everything that became of a call.
type Outcome struct {
	Attempts []Attempt
	Word     Attempt // Word is the attempt that the caller takes as the tier's last word.
}

// rank orders the last attempts of a call that was sent on two ways at once, by
// what they tell: rows, another outcome, nothing though it may have run, a
// refusal.
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

// with adds the outcome of the second way.
func (oc Outcome) with(ot Outcome) Outcome {
	word := oc.Word
	if ot.Word.rank() > word.rank() {
		word = ot.Word
	}
	return Outcome{Attempts: append(oc.Attempts, ot.Attempts...), Word: word}
}

// Client asks a tier as its callers do: it asks for addresses, keeps the list
// for its time to live and connects to an instance itself. It stands for many
// callers, so each call begins at another place of the list. It is safe for
// many goroutines.
type Client struct {
	hc    *http.Client
	ts    *timer.Service
	seeds []string
	mu    sync.Mutex
	lists map[string]*addressList
	known []string // known are the addresses of all lists, newest first.
}

// addressList is the kept answer for one service.
type addressList struct {
	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// NewClient returns a client that asks the given addresses for others.
func NewClient(ts *timer.Service, seeds []string) *Client {
	tr := &http.Transport{
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
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

// Ask puts a call and resends it where the protocol allows: to another address
// if no connection could be opened or the instance was leaving, and, with the
// same key, if the answer of a query that is not repeatable was lost.
func (cl *Client) Do(ctx context.Context, ca Call) Outcome {
	if !ca.Duplicated {
		return cl.ask(ctx, ca, ca.RequestID, false)
	}
	var second Outcome
	var wg sync.WaitGroup
	wg.Go(func() {
		again := ca
		again.Start++
		second = cl.ask(ctx, again, ca.RequestID+"-again", true)
	})
	first := cl.ask(ctx, ca, ca.RequestID, false)
	wg.Wait()
	return first.with(second)
}

func (cl *Client) ask(ctx context.Context, ca Call, id string, resend bool) Outcome {
	ctx, cancel := context.WithTimeout(ctx, ca.Deadline+slack)
	defer cancel()
	due := cl.ts.Now().Add(ca.Deadline)
	var oc Outcome
	for nu := range maxAttempts {
		at := Attempt{RequestID: id, Resend: resend}
		if nu > 0 {
			at.RequestID = fmt.Sprintf("%s-%d", id, nu)
		}
		at.Address, at.Err = cl.address(ctx, ca.Service, ca.Start+nu)
		if at.Err == nil {
			at = cl.send(ctx, ca, at, due.Sub(cl.ts.Now()))
		}
		oc.Attempts = append(oc.Attempts, at)
		oc.Word = at
		if !cl.again(ca, at, due) || nu > 0 && cl.ts.Sleep(ctx, againPause) != nil {
			break
		}
		resend = resend || at.Err != nil && at.Sent
	}
	return oc
}

// again decides whether the call is sent once more, and drops an address list
// that named an instance which was not there.
func (cl *Client) again(ca Call, at Attempt, due time.Time) bool {
	if !cl.ts.Now().Before(due) {
		return false
	}
	switch {
	case at.Err != nil:
		cl.forget(ca.Service)
		return !at.Sent || ca.Key != ""
	case at.Answer.Code == result.NotRunDraining, at.Answer.Code == result.NotRunStale:
		cl.forget(ca.Service)
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

// address returns the address at the given place of the service's list, and
// asks for the list if it has run out.
func (cl *Client) address(ctx context.Context, service string, place int) (string, error) {
	cl.mu.Lock()
	li, ok := cl.lists[service]
	if !ok {
		li = &addressList{}
		cl.lists[service] = li
	}
	cl.mu.Unlock()
	li.mu.Lock()
	defer li.mu.Unlock()
	if !cl.ts.Now().Before(li.until) || len(li.addresses) == 0 {
		if err := cl.fetch(ctx, service, li, place); err != nil {
			return "", err
		}
	}
	return li.addresses[place%len(li.addresses)], nil
}

// fetch asks the addresses known so far, those of the service's last list first
// and beginning at the given place, until one gives a list.
func (cl *Client) fetch(ctx context.Context, service string, li *addressList, place int) error {
	var last error
	for _, address := range cl.sources(li.addresses, place) {
		var ad caller.Addresses
		target := "http://" + address + caller.AddressesPath + "?Service=" + url.QueryEscape(service)
		wait, cancel := context.WithTimeout(ctx, addressesWait)
		last = cl.exchange(wait, http.MethodGet, target, nil, &ad)
		cancel()
		if last == nil && len(ad.Addresses) > 0 {
			li.addresses = ad.Addresses
			li.until = cl.ts.Now().Add(time.Duration(ad.TTLMillis) * time.Millisecond)
			cl.remember(ad.Addresses)
			return nil
		}
	}
	return fmt.Errorf("no known instance gave addresses for %s: %w", service, last)
}

// sources returns where to ask for addresses, in order. An instance that has
// just started may name itself alone; if it then goes, those of older lists lead
// back to the tier.
func (cl *Client) sources(listed []string, place int) []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	first := listed
	if len(first) == 0 {
		first = cl.seeds
	}
	at := place % len(first)
	return distinct(first[at:], first[:at], cl.known, cl.seeds)
}

func (cl *Client) remember(addresses []string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.known = distinct(addresses, cl.known)
	cl.known = cl.known[:min(len(cl.known), maxKnown)]
}

// distinct joins lists and keeps the first of equal addresses.
func distinct(lists ...[]string) []string {
	var all []string
	for _, ad := range slices.Concat(lists...) {
		if !slices.Contains(all, ad) {
			all = append(all, ad)
		}
	}
	return all
}

// forget lets the next call ask for addresses anew.
func (cl *Client) forget(service string) {
	cl.mu.Lock()
	li := cl.lists[service]
	cl.mu.Unlock()
	if li == nil {
		return
	}
	li.mu.Lock()
	li.until = time.Time{}
	li.mu.Unlock()
}

// exchange sends one HTTP request and decodes the JSON body of whatever status
// comes back. A body that is cut is an error.
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
