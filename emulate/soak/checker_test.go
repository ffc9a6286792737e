package soak

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/emulate"
	"balsamwinch.example/emulate/experiment"
	"balsamwinch.example/scatter"
	"balsamwinch.example/tier"
)

// history is a made-up history of a run that is passed to a Checker, with times in
// milliseconds since the start. Services a and b hold the shards of version 1, c and d
// those of version 3; plain requests go to p under versions 1 and 3, to q under version
// 2. Each service has the servers 1 and 2, such as a1 and a2.
type history struct {
	ch *Checker
}

var epoch = time.Unix(1_000_000, 0)

func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

func newHistory() *history {
	cf := Settings{
		Servers: experiment.Servers{Records: 3, Connections: 5}, Merged: experiment.Stream{TopK: 4, Timeout: time.Second},
		Checks: Checks{Drain: 3 * time.Second, DrainSlack: 500 * time.Millisecond, OverLimit: 1, Budget: tier.Budget{Ratio: 0.2, Slack: 2, Window: 10 * time.Second}},
	}
	hi := &history{NewChecker(cf, func() []string { return []string{"EntryKill 1"} })}
	hi.ch.Start(epoch)
	for _, service := range []string{"a", "b", "c", "d", "p", "q"} {
		hi.ch.ServerStarted(service+"1", service, "north")
		hi.ch.ServerStarted(service+"2", service, "south")
	}
	hi.ch.EntryStarted("entry")
	hi.ch.ConfigurationSent(at(0), 1, Layout{[]string{"a", "b"}, "p"}, []byte("one"))
	hi.ch.ConfigurationSent(at(1000), 2, Layout{[]string{"a", "b"}, "q"}, []byte("two"))
	hi.ch.ConfigurationSent(at(2000), 3, Layout{[]string{"c", "d"}, "p"}, []byte("three"))
	return hi
}

func (hi *history) sent(id, group string) { hi.sentAt(0, id, group) }

func (hi *history) sentAt(millis int, id, group string) {
	hi.ch.RequestSent(at(millis), Request{ID: id, Group: group, Path: "/" + group + "/x", Entry: "entry"})
}

func (hi *history) serverEvent(millis int, kind emulate.ServerEventKind, server, id string) {
	hi.ch.RecordServerEvent(emulate.ServerEvent{Kind: kind, At: at(millis), Server: server, Service: server[:1], Request: id, Expected: server})
}

// fatal records a server event of a request that crashes the servers that run it.
func (hi *history) fatal(millis int, kind emulate.ServerEventKind, id string) {
	hi.ch.RecordServerEvent(emulate.ServerEvent{Kind: kind, At: at(millis), Server: "p1", Service: "p", Request: id, Path: "/plain/fatal-1"})
}

// rejectedAsFatal records a request that is rejected as one that crashes servers.
func (hi *history) rejectedAsFatal(id, path string) {
	hi.ch.RequestSent(at(0), Request{ID: id, Group: groupPlain, Path: path, Entry: "entry"})
	hi.ch.RequestAnswered(at(22000), id, emulate.Response{Status: 503, Body: []byte(`{"Code":109,"Detail":""}`)})
}

// merged records a complete merged response with the parts of servers.
func (hi *history) merged(millis int, id string, missing int, servers ...string) {
	hi.sent(id, groupMerged)
	hi.ch.RequestAnswered(at(millis), id, mergedResponse(id, missing, servers...))
}

func mergedResponse(id string, missing int, servers ...string) emulate.Response {
	res := emulate.Response{Status: 200, Missing: missing}
	var parts [][]byte
	for _, se := range servers {
		res.Stamps = append(res.Stamps, emulate.Stamp(se, id))
		parts = append(parts, emulate.Records(se[:1], "/merged/x", 3))
	}
	res.Body = scatter.MergeTopK(parts, emulate.RecordBytes, 4)
	return res
}

// plain records a plain request and the response of a server.
func (hi *history) plain(millis int, id, server string) {
	hi.sent(id, groupPlain)
	hi.plainResponse(millis, id, server)
}

func (hi *history) plainResponse(millis int, id, server string) {
	hi.ch.RequestAnswered(at(millis), id, emulate.Response{Status: 200, Stamps: []string{emulate.Stamp(server, id)}, Body: emulate.Records(server[:1], "/plain/x", 3)})
}

// failedChecks returns the checks that failed.
func (hi *history) failedChecks() []Check {
	var out []Check
	for _, ta := range hi.ch.Tallies() {
		if ta.Broken > 0 {
			out = append(out, ta.Check)
		}
	}
	return out
}

// recordValidRun records a run in which each check is evaluated and holds at the limit of
// what is allowed.
func recordValidRun(hi *history) {
	hi.merged(10, "m1", 0, "a1", "b2")
	hi.merged(20, "m2", 1, "b1")
	hi.plain(30, "p1", "p1")
	hi.sent("slow", groupPlain)
	hi.plain(1500, "p2", "q1")
	hi.plainResponse(1600, "slow", "p2") // It was sent before the first response of version 2.
	hi.plain(2500, "p3", "p1")
	hi.merged(2600, "m3", 0, "c1", "d1")
	hi.sent("r", groupPlain)
	hi.serverEvent(2610, emulate.EventRequestReceived, "p1", "r")
	hi.ch.RequestAnswered(at(2620), "r", emulate.Response{Status: 503})
	hi.sent("f", groupOnce)
	hi.serverEvent(2630, emulate.EventRequestStarted, "p1", "f")
	hi.ch.RequestAnswered(at(2640), "f", emulate.Response{Status: 504}) // This status doesn't report that nothing ran.
	hi.serverEvent(3000, emulate.EventDrainAcknowledged, "a1", "")
	hi.serverEvent(6000, emulate.EventDrainAcknowledged, "a1", "") // a repeated acknowledgement
	hi.serverEvent(6500, emulate.EventRequestReceived, "a1", "m1")
	hi.serverEvent(6501, emulate.EventRequestReceived, "a2", "m1")
	hi.serverEvent(6502, emulate.EventRequestReceived, "a2", "m1")
	hi.serverEvent(16600, emulate.EventRequestReceived, "a1", "unknown")
	hi.serverEvent(16601, emulate.EventRequestReceived, "b1", "m1")
	hi.serverEvent(16602, emulate.EventRequestReceived, "b1", "m1")
	hi.serverEvent(16603, emulate.EventRequestReceived, "b2", "m1")
	hi.serverEvent(16604, emulate.EventConnectionAccepted, "b1", "")
	hi.serverEvent(16605, emulate.EventConnectionReset, "b1", "")
	for nth := range quarantineCrashes {
		hi.fatal(17000+nth, emulate.EventServerCrashed, "f0")
	}
	hi.fatal(21002, emulate.EventRequestReceived, "f1") // Instances may still be unaware of the quarantine.
	for _, id := range []string{"f2", "f3", "f4", "f4"} {
		hi.fatal(21003, emulate.EventRequestReceived, id)
	}
	hi.rejectedAsFatal("f5", "/plain/fatal-1")
	hi.ch.EvacuationAcknowledged("south", at(23000))
	hi.serverEvent(26500, emulate.EventRequestReceived, "p2", "unknown")
	hi.ch.EvacuationEnding("south")
	hi.serverEvent(26502, emulate.EventRequestReceived, "p2", "unknown")
	hi.ch.ConfigurationAcknowledged(at(27000), 3)
	hi.ch.ConfigurationAcknowledged(at(27000), 1)
	hi.ch.ControlFault(at(28000), true)
	hi.sentAt(31000, "hung", groupPlain)
	hi.ch.ControlFault(at(32000), false)
	hi.sentAt(35999, "early", groupPlain)
	hi.sentAt(36000, "due", groupPlain)
	hi.plainResponse(36010, "due", "p1")
	hi.ch.ConfigurationRead(at(17000), hi.ch.LatestAcknowledged(), 3, []byte("three"))
	hi.ch.CheckRefusal(at(17001), "", true)
}

// In a valid run nothing fails except the drain check, on a request that isn't part of
// the load, and every check is evaluated. A check that is never evaluated would hold
// whatever the tier did.
func TestValidRunEvaluatesEveryCheck(t *testing.T) {
	hi := newHistory()
	recordValidRun(hi)
	qt.Assert(t, hi.failedChecks(), qt.DeepEquals, []Check{CheckDrain}, qt.Commentf("%v", hi.ch.Violations()))
	qt.Assert(t, hi.ch.Violations(), qt.HasLen, 1)
	qt.Assert(t, hi.ch.Violations()[0].String(), qt.Equals, `drain at 16.600s, request "unknown", at "a1": a request arrived 13.6s after the server's draining was acknowledged; under way: [EntryKill 1]`)
	for _, ta := range hi.ch.Tallies() {
		qt.Check(t, ta.Looked > 0, qt.IsTrue, qt.Commentf("%s", ta.Check))
	}
	firsts, extras := hi.ch.ArrivalCounts()
	qt.Assert(t, []int{firsts, extras}, qt.DeepEquals, []int{3, 4})
}

// Each fault is detected by the check that is meant for it and by no other, and every
// check detects one.
func TestEachCheckDetectsItsFault(t *testing.T) {
	tests := []struct {
		name   string
		want   Check
		record func(hi *history)
	}{
		{"a part of another request", CheckStamp, func(hi *history) {
			hi.sent("m", groupMerged)
			hi.ch.RequestAnswered(at(10), "m", mergedResponse("other", 0, "a1", "b1"))
		}},
		{"a part of an unknown server", CheckStamp, func(hi *history) { hi.merged(10, "m", 0, "a9", "b1") }},
		{"parts of two versions", CheckShards, func(hi *history) { hi.merged(2500, "m", 0, "a1", "c1") }},
		{"a version that was not sent yet", CheckShards, func(hi *history) { hi.merged(1500, "m", 0, "c1", "d1") }},
		{"a plain response of another service", CheckShards, func(hi *history) { hi.plain(500, "p", "a1") }},
		{"a duplicate part", CheckDuplicateParts, func(hi *history) {
			hi.sent("m", groupMerged)
			res := mergedResponse("m", 0, "a1", "a2")
			hi.ch.RequestAnswered(at(10), "m", res)
		}},
		{"a missing part not reported", CheckPartCount, func(hi *history) { hi.merged(10, "m", 0, "a1") }},
		{"one missing part too many reported", CheckPartCount, func(hi *history) { hi.merged(10, "m", 1, "a1", "b1") }},
		{"no part", CheckPartCount, func(hi *history) { hi.merged(10, "m", 2) }},
		{"records are not the greatest", CheckRecords, func(hi *history) {
			hi.sent("m", groupMerged)
			res := mergedResponse("m", 0, "a1", "b1")
			res.Body = slices.Concat(res.Body[emulate.RecordBytes:], res.Body[:emulate.RecordBytes])
			hi.ch.RequestAnswered(at(10), "m", res)
		}},
		{"a plain body of another path", CheckRecords, func(hi *history) {
			hi.sent("p", groupPlain)
			hi.ch.RequestAnswered(at(10), "p", emulate.Response{Status: 200, Stamps: []string{emulate.Stamp("p1", "p")}, Body: emulate.Records("p", "/plain/y", 3)})
		}},
		{"rejected and ran before", CheckNotRun, func(hi *history) {
			hi.sent("p", groupPlain)
			hi.serverEvent(10, emulate.EventRequestStarted, "p1", "p")
			hi.ch.RequestAnswered(at(20), "p", emulate.Response{Status: 503})
		}},
		{"rejected and runs later", CheckNotRun, func(hi *history) {
			hi.sent("o", groupOnce)
			hi.ch.RequestAnswered(at(20), "o", emulate.Response{Status: 429})
			hi.serverEvent(9000, emulate.EventRequestStarted, "p1", "o")
		}},
		{"timed out at the entry instance and ran", CheckNotRun, func(hi *history) {
			hi.sent("p", groupMerged)
			hi.serverEvent(10, emulate.EventRequestStarted, "a1", "p")
			hi.ch.RequestAnswered(at(20), "p", emulate.Response{Status: 408})
		}},
		{"misdirected and ran", CheckNotRun, func(hi *history) {
			hi.sent("p", groupPlain)
			hi.serverEvent(10, emulate.EventRequestStarted, "p1", "p")
			hi.ch.RequestAnswered(at(20), "p", emulate.Response{Status: 421})
		}},
		{"a second run", CheckOnce, func(hi *history) {
			hi.sent("o", groupOnce)
			hi.serverEvent(10, emulate.EventRequestStarted, "p1", "o")
			hi.serverEvent(20, emulate.EventRequestStarted, "q1", "o")
		}},
		{"an arrival after the drain", CheckDrain, func(hi *history) {
			hi.serverEvent(1000, emulate.EventDrainAcknowledged, "a1", "")
			hi.serverEvent(4501, emulate.EventRequestReceived, "a1", "m")
		}},
		{"an arrival after an evacuation", CheckEvacuated, func(hi *history) {
			hi.ch.EvacuationAcknowledged("south", at(1000))
			hi.serverEvent(4501, emulate.EventRequestReceived, "p1", "m")
			hi.serverEvent(4501, emulate.EventRequestReceived, "p2", "m")
		}},
		{"a reverted version", CheckVersion, func(hi *history) {
			hi.plain(1500, "p", "q1")
			hi.plain(1600, "r", "p1")
		}},
		{"reverted shards", CheckVersion, func(hi *history) {
			hi.merged(2500, "m", 0, "c1", "d1")
			hi.merged(2600, "r", 0, "a1", "b1")
		}},
		{"a reverted version that two responses reveal together", CheckVersion, func(hi *history) {
			hi.plain(1500, "p", "q1")
			hi.plain(2500, "r", "p1") // Only version 3 is above 2.
			hi.plain(2600, "s", "q1")
		}},
		{"an acknowledged version is not in force", CheckInForce, func(hi *history) {
			hi.sent("first", groupPlain)
			hi.ch.ConfigurationAcknowledged(at(2000), 3)
			hi.ch.ConfigurationAcknowledged(at(2000), 1)
			hi.sentAt(5000, "early", groupPlain)
			hi.plainResponse(5010, "early", "q1")
			hi.sentAt(5001, "late", groupPlain)
			hi.plainResponse(5020, "late", "q1")
		}},
		{"an acknowledged version is gone", CheckAccepted, func(hi *history) {
			hi.ch.ConfigurationAcknowledged(at(1100), 2)
			hi.ch.ConfigurationRead(at(3000), hi.ch.LatestAcknowledged(), 1, []byte("one"))
		}},
		{"a version with another content", CheckAccepted, func(hi *history) { hi.ch.ConfigurationRead(at(3000), 2, 2, []byte("one")) }},
		{"no response to a read", CheckAccepted, func(hi *history) { hi.ch.ConfigurationRead(at(3000), 0, 0, nil) }},
		{"an invalid configuration is accepted", CheckRefused, func(hi *history) { hi.ch.CheckRefusal(at(10), "accepted", false) }},
		{"extra arrivals beyond the budget", CheckBudget, func(hi *history) {
			hi.sent("p", groupPlain) // One request and a slack of 2 allow 2.2.
			for ix := range 4 {
				hi.serverEvent(10+ix, emulate.EventRequestReceived, "p1", "p")
			}
		}},
		{"extra arrivals at another service's server", CheckBudget, func(hi *history) {
			hi.sent("p", groupPlain)
			for ix := range 4 {
				hi.ch.RecordServerEvent(emulate.ServerEvent{Kind: emulate.EventRequestReceived, At: at(ix), Server: []string{"a1", "b1", "c1", "d1"}[ix], Service: []string{"a", "b", "c", "d"}[ix], Request: "p", Expected: "p1"})
			}
		}},
		{"a fourth attempt after three servers have crashed", CheckQuarantine, func(hi *history) {
			for nth := range quarantineCrashes {
				hi.fatal(nth, emulate.EventServerCrashed, "f0")
			}
			for _, id := range []string{"f1", "f2", "f3", "f4"} {
				hi.fatal(4003, emulate.EventRequestReceived, id)
			}
		}},
		{"a popular request is rejected as one that crashes servers", CheckFalseQuarantine, func(hi *history) { hi.rejectedAsFatal("p", "/plain/popular-1") }},
		{"connections beyond the limit", CheckConnections, func(hi *history) {
			hi.serverEvent(10, emulate.EventConnectionReset, "a1", "")
			hi.serverEvent(20, emulate.EventConnectionReset, "a1", "")
		}},
	}
	detected := make(map[Check]bool)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			hi := newHistory()
			tt.record(hi)
			qt.Assert(t, hi.failedChecks(), qt.DeepEquals, []Check{tt.want}, qt.Commentf("%v", hi.ch.Violations()))
		})
		detected[tt.want] = true
	}
	for _, ck := range AllChecks() {
		qt.Check(t, detected[ck], qt.IsTrue, qt.Commentf("no test violates %s", ck))
	}
}

// A response of an older version is no violation if the entry instance was replaced in
// the meantime, whether the request was sent before the replacement or after it.
func TestReplacedEntryMayServeOlderVersion(t *testing.T) {
	hi := newHistory()
	hi.plain(1500, "p", "q1")
	hi.sent("r", groupPlain)
	hi.ch.EntryStarted("entry")
	hi.plainResponse(1600, "r", "p1")
	hi.plain(1700, "s", "p1")
	qt.Assert(t, hi.failedChecks(), qt.HasLen, 0, qt.Commentf("%v", hi.ch.Violations()))
}

// Arrivals that have left the window no longer count, neither the first ones nor those
// beyond.
func TestBudgetWindowSlides(t *testing.T) {
	hi := newHistory()
	hi.sent("p", groupPlain)
	for ix := range 9 {
		hi.serverEvent(ix*5001, emulate.EventRequestReceived, "p1", "p") // Two in each window of 10 s.
	}
	qt.Assert(t, hi.failedChecks(), qt.HasLen, 0, qt.Commentf("%v", hi.ch.Violations()))
	hi.serverEvent(8*5001+1, emulate.EventRequestReceived, "p1", "p")
	qt.Assert(t, hi.failedChecks(), qt.DeepEquals, []Check{CheckBudget})
}

// Only the first violations of a check are kept, and all are counted. They don't displace
// those of another check.
func TestViolationsAreBoundedPerCheck(t *testing.T) {
	hi := newHistory()
	for range maxViolations + 10 {
		hi.ch.CheckRefusal(at(1), "accepted", false)
	}
	hi.ch.ConfigurationRead(at(2), 2, 1, []byte("one"))
	qt.Assert(t, hi.ch.Violations(), qt.HasLen, maxViolations+1)
	qt.Assert(t, hi.ch.Violations()[maxViolations].Check, qt.Equals, CheckAccepted)
	qt.Assert(t, Report{Checks: hi.ch.Tallies()}.NumViolations(), qt.Equals, maxViolations+11)
}
