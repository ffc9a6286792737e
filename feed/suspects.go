package feed

import (
	"go.uber.org/zap"

	"balsamwinch.example/quarantine"
)

// Suspect takes in what another instance knows of requests under which servers ended, tells
// all what of it is new, and returns that. Each instance that may serve such a request must
// know before it comes there: a caller that was answered with a failure comes again within
// milliseconds, and not to the same instance.
func (pu *Publisher) AddSuspects(from string, rcs []quarantine.Record) []quarantine.Record {
	now := pu.ts.Now()
	news := pu.qa.Merge(now, rcs)
	if len(news) == 0 {
		return nil
	}
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for _, rc := range news {
		pu.lo.info(now, "suspect-published", append(suspectFields(rc), zap.String("From", from))...)
		pu.pending.suspects[rc.Key] = rc
	}
	pu.arm(now)
	return news
}

// SendSuspects tells all control instances of requests under which servers ended.
func (su *Subscriber) SendSuspects(rcs []quarantine.Record) {
	if len(rcs) == 0 {
		return
	}
	su.mu.Lock()
	defer su.mu.Unlock()
	for _, co := range su.conns {
		_ = co.Send(Observations{Suspects: rcs}) // A link that has ended is opened again with all that is known.
	}
}

// suspects takes in what a control instance knows of such requests.
func (su *Subscriber) suspects(so *source, rcs []quarantine.Record) {
	if len(rcs) == 0 {
		return
	}
	// All control instances tell the same, and only the first says anything new.
	now := su.ts.Now()
	for _, rc := range su.ob.SuspectsHeard(so.name, rcs) {
		su.lo.info(now, "suspect-heard", append(suspectFields(rc), zap.String("Control", so.name))...)
	}
}

func suspectFields(rc quarantine.Record) []zap.Field {
	return []zap.Field{
		zap.Stringer("Content", rc.Key), zap.Stringer("Verdict", rc.Verdict()),
		zap.Int("Losses", len(rc.Losses)), zap.Strings("Servers", rc.Servers), zap.Uint32("AgoMillis", rc.AgeMillis),
	}
}
