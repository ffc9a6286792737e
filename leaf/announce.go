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
	announceTimeout = 2 * time.Second
	announceAgain   = 250 * time.Millisecond // announceAgain is the pause after no instance took an announcement.
	maxReplyBytes   = 1 << 20
)

// announcer tells instances of a Leaf, again and again and at once on a change.
type announcer struct {
	cf     Config
	ts     *timer.Service
	lg     *zap.Logger
	tl     *tally
	record func() backend.Record
	hc     *http.Client
	soon   chan struct{}
	told   chan struct{} // told is closed once an instance knows that the Leaf has left.

	instances []string // instances are the addresses of the newest reply; run alone uses them.
}

func newAnnouncer(cf Config, ts *timer.Service, lg *zap.Logger, tl *tally, record func() backend.Record) *announcer {
	return &announcer{
		cf: cf, ts: ts, lg: lg, tl: tl, record: record,
		hc:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: announceTimeout},
		soon: make(chan struct{}, 1), told: make(chan struct{}),
	}
}

// announceSoon makes run announce at once.
func (an *announcer) announceSoon() {
	select {
	case an.soon <- struct{}{}:
	default:
	}
}

// run announces until the context ends.
func (an *announcer) run(ctx context.Context) {
	defer an.hc.CloseIdleConnections()
	if len(an.cf.Announce) == 0 {
		return
	}
	for ctx.Err() == nil {
		pause := an.announce(ctx)
		wake := make(chan struct{})
		ti := an.ts.Timeout(pause, func() { close(wake) })
		select {
		case <-wake:
		case <-an.soon:
		case <-ctx.Done():
		}
		ti.Stop()
	}
}

// last waits until an instance knows that the Leaf has left.
func (an *announcer) last(ctx context.Context) {
	if len(an.cf.Announce) == 0 {
		return
	}
	select {
	case <-an.told:
	case <-ctx.Done():
		an.lg.Warn("leaf.left.untold")
	}
}

// announce tells the first instance that takes it, and returns when to do so
// again. Instances of the newest reply are turned to first, then those of the
// settings, so that a Leaf finds its way back when all it knew have gone.
func (an *announcer) announce(ctx context.Context) time.Duration {
	re := an.record()
	body, err := json.Marshal(re)
	if err != nil {
		panic(fmt.Sprintf("leaf: a record: %v", err))
	}
	addresses := slices.Concat(an.instances, an.cf.Announce)
	for i, ad := range addresses {
		if ctx.Err() != nil || slices.Contains(addresses[:i], ad) {
			continue
		}
		ar, err := an.post(ctx, ad, body)
		if err != nil {
			an.tl.change(func(co *Counts) { co.FailedToAnnounce++ })
			an.lg.Info("leaf.announce.failed", zap.String("Instance", ad), zap.Error(err))
			continue
		}
		return an.taken(re, ar)
	}
	return announceAgain
}

// taken notes that an instance took an announcement.
func (an *announcer) taken(re backend.Record, ar backend.AnnounceReply) time.Duration {
	an.tl.change(func(co *Counts) { co.Announced++ })
	if len(ar.Instances) > 0 {
		an.instances = ar.Instances
	}
	if re.State == backend.Left {
		select {
		case <-an.told:
		default:
			close(an.told)
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
		return ar, &refusedError{status: rs.StatusCode, body: string(bs)}
	}
	return ar, json.Unmarshal(bs, &ar)
}

// refusedError says that an instance did not take an announcement.
type refusedError struct {
	status int
	body   string
}

// Error returns the status and what the instance said.
func (re *refusedError) Error() string {
	return fmt.Sprintf("status %d: %s", re.status, re.body)
}
