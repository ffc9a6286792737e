package feed

import (
	"go.uber.org/zap"

	"balsamwinch.example/quarantine"
)

// AddSuspects records another instance's suspicions of requests that crashed servers. It
// publishes and returns those with new information. Every instance that may serve such a
// request must know before it arrives there: a caller whose request failed retries within
// milliseconds, and at another instance.
func (pu *Publisher) AddSuspects(from string, rcs []quarantine.Record) []quarantine.Record {
	now := pu.ts.Now()
	fresh := pu.qa.Merge(now, rcs)
	if len(fresh) == 0 {
		return nil
	}
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for _, rc := range fresh {
		pu.ll.info(now, "suspect-published", append(suspectFields(rc), zap.String("From", from))...)
		pu.pending.suspects[rc.Key] = rc
	}
	pu.scheduleFlush(now)
	return fresh
}

// SendSuspects sends requests suspected of crashing servers to all control instances.
func (su *Subscriber) SendSuspects(rcs []quarantine.Record) {
	if len(rcs) == 0 {
		return
	}
	su.mu.Lock()
	defer su.mu.Unlock()
	for _, co := range su.conns {
		_ = co.Send(Observations{Suspects: rcs}) // A link that has ended is reopened with all records.
	}
}

// receiveSuspects handles the suspected requests of a control instance.
func (su *Subscriber) receiveSuspects(so *source, rcs []quarantine.Record) {
	if len(rcs) == 0 {
		return
	}
	// All control instances send the same, and only the first has new information.
	now := su.ts.Now()
	for _, rc := range su.ob.SuspectsReceived(so.name, rcs) {
		su.ll.info(now, "suspect-heard", append(suspectFields(rc), zap.String("Control", so.name))...)
	}
}

func suspectFields(rc quarantine.Record) []zap.Field {
	return []zap.Field{
		zap.Stringer("Content", rc.Key), zap.Stringer("Verdict", rc.Verdict()),
		zap.Int("Losses", len(rc.Losses)), zap.Strings("Servers", rc.Servers), zap.Uint32("AgoMillis", rc.AgeMillis),
	}
}
