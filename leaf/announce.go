package leaf

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/timer"
)

const (
	announceTimeout    = 2 * time.Second
	announceRetryDelay = 250 * time.Millisecond // delay before the next attempt when no instance accepted the announcement
	maxReplyBytes      = 1 << 20
)

// announcer announces a Leaf to instances periodically, and immediately after a change.
type announcer struct {
	cf           Config
	ts           *timer.Service
	lg           *zap.Logger
	tl           *tally
	record       func() backend.Record
	hc           *http.Client
	trigger      chan struct{}
	leftAccepted chan struct{} // closed once an instance has accepted the announcement that the Leaf has left

	instances []string // addresses from the newest reply; used only by run
}

func newAnnouncer(cf Config, ts *timer.Service, lg *zap.Logger, tl *tally, record func() backend.Record) *announcer {
	return &announcer{
		cf: cf, ts: ts, lg: lg, tl: tl, record: record,
		hc:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: announceTimeout},
		trigger: make(chan struct{}, 1), leftAccepted: make(chan struct{}),
	}
}

// announceNow makes run send an announcement without waiting for the interval.
func (an *announcer) announceNow() {
	select {
	case an.trigger <- struct{}{}:
	default:
	}
}

// run sends announcements until the context ends.
func (an *announcer) run(ctx context.Context) {
	defer an.hc.CloseIdleConnections()
	if len(an.cf.Announce) == 0 {
		return
	}
	for ctx.Err() == nil {
		delay := an.announce(ctx)
		wake := make(chan struct{})
		ti := an.ts.Timeout(delay, func() { close(wake) })
		select {
		case <-wake:
		case <-an.trigger:
		case <-ctx.Done():
		}
		ti.Stop()
	}
}

// awaitLeftAccepted waits until an instance has accepted the announcement that the Leaf has
// left, or until the context ends.
func (an *announcer) awaitLeftAccepted(ctx context.Context) {
	if len(an.cf.Announce) == 0 {
		return
	}
	select {
	case <-an.leftAccepted:
	case <-ctx.Done():
		an.lg.Warn("leaf.left.untold")
	}
}

// announce sends an announcement to the first instance that accepts it, and returns the delay
// until the next one. It tries the instances of the newest reply first and then those of the
// settings, so that a Leaf reconnects when all instances of the newest reply have gone.
func (an *announcer) announce(ctx context.Context) time.Duration {
	re := an.record()
	body, err := json.Marshal(re)
	if err != nil {
		panic(fmt.Sprintf("leaf: encoding a record: %v", err))
	}
	addresses := slices.Concat(an.instances, an.cf.Announce)
	for i, ad := range addresses {
		if ctx.Err() != nil || slices.Contains(addresses[:i], ad) {
			continue
		}
		ar, err := an.post(ctx, ad, body)
		if err != nil {
			an.tl.update(func(co *Counts) { co.FailedToAnnounce++ })
			an.lg.Info("leaf.announce.failed", zap.String("Instance", ad), zap.Error(err))
			continue
		}
		return an.recordAccepted(re, ar)
	}
	return announceRetryDelay
}

// recordAccepted records that an instance accepted an announcement, and returns the delay
// until the next one.
func (an *announcer) recordAccepted(re backend.Record, ar backend.AnnounceReply) time.Duration {
	an.tl.update(func(co *Counts) { co.Announced++ })
	if len(ar.Instances) > 0 {
		an.instances = ar.Instances
	}
	if re.State == backend.Left {
		select {
		case <-an.leftAccepted:
		default:
			close(an.leftAccepted)
		}
	}
	if ar.RepeatMillis > 0 {
		return time.Duration(ar.RepeatMillis) * time.Millisecond
	}
	return an.cf.Repeat
}

func (an *announcer) post(ctx context.Context, address string, body []byte) (backend.AnnounceReply, error) {
	var ar backend.AnnounceReply
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+backend.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return ar, err
	}
	hr.Header.Set("Content-Type", "application/json")
	rs, err := an.hc.Do(hr)
	if err != nil {
		return ar, err
	}
	defer rs.Body.Close()
	bs, err := io.ReadAll(io.LimitReader(rs.Body, maxReplyBytes))
	if err != nil {
		return ar, err
	}
	if rs.StatusCode != http.StatusOK {
		return ar, &statusError{status: rs.StatusCode, body: string(bs)}
	}
	return ar, json.Unmarshal(bs, &ar)
}

// statusError means that an instance rejected an announcement.
type statusError struct {
	status int
	body   string
}

// Error returns the HTTP status and the body of the response.
func (se *statusError) Error() string {
	return fmt.Sprintf("status %d: %s", se.status, se.body)
}
