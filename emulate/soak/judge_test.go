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

// recorded is a made-up record of a run that a Judge is told, with times in
// milliseconds since the start. Services a and b hold the shards of version 1, c
// and d those of version 3; plain requests go to p under versions 1 and 3, to q
// under version 2. Each service has the servers 1 and 2, as a1 and a2.
type recorded struct {
	ju *Checker
}

var epoch = time.Unix(1_000_000, 0)

func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

func newRecorded() *recorded {
	cf := Settings{
		Servers: experiment.Servers{Records: 3, Connections: 5}, Merged: experiment.Stream{TopK: 4, Timeout: time.Second},
		Checks: Checks{Drain: 3 * time.Second, DrainSlack: 500 * time.Millisecond, OverLimit: 1, Budget: tier.Budget{Ratio: 0.2, Slack: 2, Window: 10 * time.Second}},
	}
	rc := &recorded{NewChecker(cf, func() []string { return []string{"EntryKill 1"} })}
	rc.ju.Start(epoch)
	for _, service := range []string{"a", "b", "c", "d", "p", "q"} {
		rc.ju.ServerStarted(service+"1", service, "north")
		rc.ju.ServerStarted(service+"2", service, "south")
	}
	rc.ju.EntryStarted("entry")
	rc.ju.ConfigurationSent(at(0), 1, Layout{[]string{"a", "b"}, "p"}, []byte("one"))
	rc.ju.ConfigurationSent(at(1000), 2, Layout{[]string{"a", "b"}, "q"}, []byte("two"))
	rc.ju.ConfigurationSent(at(2000), 3, Layout{[]string{"c", "d"}, "p"}, []byte("three"))
	return rc
}

func (rc *recorded) sent(id, group string) {
	rc.ju.RequestSent(Request{ID: id, Group: group, Path: "/" + group + "/x", Entry: "entry"})
}

func (rc *recorded) saw(millis int, kind emulate.ServerEventKind, server, id string) {
	rc.ju.RecordServerEvent(emulate.ServerEvent{Kind: kind, At: at(millis), Server: server, Service: server[:1], Request: id, Expected: server})
}

// fatal tells of what a server saw of a request that ends those that run it.
func (rc *recorded) fatal(millis int, kind emulate.ServerEventKind, id string) {
	rc.ju.RecordServerEvent(emulate.ServerEvent{Kind: kind, At: at(millis), Server: "p1", Service: "p", Request: id, Path: "/plain/fatal-1"})
}

// refusedAsFatal tells of a request that is refused as one under which servers end.
func (rc *recorded) refusedAsFatal(id, path string) {
	rc.ju.RequestSent(Request{ID: id, Group: groupPlain, Path: path, Entry: "entry"})
	rc.ju.RequestAnswered(at(22000), id, emulate.Response{Status: 503, Body: []byte(`{"Code":109,"Detail":""}`)})
}

// merged tells of a whole merged answer with the parts of servers.
func (rc *recorded) merged(millis int, id string, missing int, servers ...string) {
	rc.sent(id, groupMerged)
	rc.ju.RequestAnswered(at(millis), id, answer(id, missing, servers...))
}

func answer(id string, missing int, servers ...string) emulate.Response {
	an := emulate.Response{Status: 200, Missing: missing}
	var parts [][]byte
	for _, se := range servers {
		an.Stamps = append(an.Stamps, emulate.Stamp(se, id))
		parts = append(parts, emulate.Records(se[:1], "/merged/x", 3))
	}
	an.Body = scatter.MergeTopK(parts, emulate.RecordBytes, 4)
	return an
}

// plain tells of a plain request that is sent, and answered by a server.
func (rc *recorded) plain(millis int, id, server string) {
	rc.sent(id, groupPlain)
	rc.plainAnswer(millis, id, server)
}

func (rc *recorded) plainAnswer(millis int, id, server string) {
	rc.ju.RequestAnswered(at(millis), id, emulate.Response{Status: 200, Stamps: []string{emulate.Stamp(server, id)}, Body: emulate.Records(server[:1], "/plain/x", 3)})
}

// broken returns the checks that did not hold.
func (rc *recorded) broken() []Check {
	var out []Check
	for _, ta := range rc.ju.Tallies() {
		if ta.Broken > 0 {
			out = append(out, ta.Check)
		}
	}
	return out
}

// good tells of a run in which each check is looked at and holds, on the edge of
// what is allowed.
func good(rc *recorded) {
	rc.merged(10, "m1", 0, "a1", "b2")
	rc.merged(20, "m2", 1, "b1")
	rc.plain(30, "p1", "p1")
	rc.sent("slow", groupPlain)
	rc.plain(1500, "p2", "q1")
	rc.plainAnswer(1600, "slow", "p2") // It was sent before version 2 was seen.
	rc.plain(2500, "p3", "p1")
	rc.merged(2600, "m3", 0, "c1", "d1")
	rc.sent("r", groupPlain)
	rc.saw(2610, emulate.EventRequestReceived, "p1", "r")
	rc.ju.RequestAnswered(at(2620), "r", emulate.Response{Status: 503})
	rc.sent("f", groupOnce)
	rc.saw(2630, emulate.EventRequestStarted, "p1", "f")
	rc.ju.RequestAnswered(at(2640), "f", emulate.Response{Status: 504}) // It doesn't say that nothing ran.
	rc.saw(3000, emulate.EventDrainAcknowledged, "a1", "")
	rc.saw(6000, emulate.EventDrainAcknowledged, "a1", "") // It says so again.
	rc.saw(6500, emulate.EventRequestReceived, "a1", "m1")
	rc.saw(6501, emulate.EventRequestReceived, "a2", "m1")
	rc.saw(6502, emulate.EventRequestReceived, "a2", "m1")
	rc.saw(16600, emulate.EventRequestReceived, "a1", "unknown")
	rc.saw(16601, emulate.EventRequestReceived, "b1", "m1")
	rc.saw(16602, emulate.EventRequestReceived, "b1", "m1")
	rc.saw(16603, emulate.EventRequestReceived, "b2", "m1")
	rc.saw(16604, emulate.EventConnectionAccepted, "b1", "")
	rc.saw(16605, emulate.EventConnectionReset, "b1", "")
	for nth := range threeServers {
		rc.fatal(17000+nth, emulate.EventServerCrashed, "f0")
	}
	rc.fatal(21002, emulate.EventRequestReceived, "f1") // All instances need not know yet.
	for _, id := range []string{"f2", "f3", "f4", "f4"} {
		rc.fatal(21003, emulate.EventRequestReceived, id)
	}
	rc.refusedAsFatal("f5", "/plain/fatal-1")
	rc.ju.EvacuationAcknowledged("south", at(23000))
	rc.saw(26500, emulate.EventRequestReceived, "p2", "unknown")
	rc.ju.EvacuationEnding("south")
	rc.saw(26502, emulate.EventRequestReceived, "p2", "unknown")
	rc.ju.ConfigurationAcknowledged(3)
	rc.ju.ConfigurationAcknowledged(1)
	rc.ju.ConfigurationRead(at(17000), rc.ju.LatestAcknowledged(), 3, []byte("three"))
	rc.ju.CheckRefusal(at(17001), "", true)
}

// A run in which all holds breaks nothing but the drain by a request that is not of
// the load, and every check is looked at: one that is never looked at would hold
// whatever the tier did.
func TestAllHolds(t *testing.T) {
	rc := newRecorded()
	good(rc)
	qt.Assert(t, rc.broken(), qt.DeepEquals, []Check{CheckDrain}, qt.Commentf("%v", rc.ju.Violations()))
	qt.Assert(t, rc.ju.Violations(), qt.HasLen, 1)
	qt.Assert(t, rc.ju.Violations()[0].String(), qt.Equals, `drain at 16.600s, request "unknown", at "a1": a request came 13.6s after the server's leaving was acknowledged; under way: [EntryKill 1]`)
	for _, ta := range rc.ju.Tallies() {
		qt.Check(t, ta.Looked > 0, qt.IsTrue, qt.Commentf("%s", ta.Check))
	}
	firsts, extras := rc.ju.ArrivalCounts()
	qt.Assert(t, []int{firsts, extras}, qt.DeepEquals, []int{3, 4})
}

// Each fault that a check is for is found by that check alone, and every check
// finds one.
func TestChecksFind(t *testing.T) {
	tests := []struct {
		name string
		want Check
		tell func(rc *recorded)
	}{
		{"a part of another request", CheckStamp, func(rc *recorded) {
			rc.sent("m", groupMerged)
			rc.ju.RequestAnswered(at(10), "m", answer("other", 0, "a1", "b1"))
		}},
		{"a part of an unknown server", CheckStamp, func(rc *recorded) { rc.merged(10, "m", 0, "a9", "b1") }},
		{"parts of two versions", CheckShards, func(rc *recorded) { rc.merged(2500, "m", 0, "a1", "c1") }},
		{"a version that was not sent yet", CheckShards, func(rc *recorded) { rc.merged(1500, "m", 0, "c1", "d1") }},
		{"a plain answer of another service", CheckShards, func(rc *recorded) { rc.plain(500, "p", "a1") }},
		{"a part twice", CheckDuplicateParts, func(rc *recorded) {
			rc.sent("m", groupMerged)
			an := answer("m", 0, "a1", "a2")
			rc.ju.RequestAnswered(at(10), "m", an)
		}},
		{"a missing part untold", CheckPartCount, func(rc *recorded) { rc.merged(10, "m", 0, "a1") }},
		{"a missing part too many", CheckPartCount, func(rc *recorded) { rc.merged(10, "m", 1, "a1", "b1") }},
		{"no part", CheckPartCount, func(rc *recorded) { rc.merged(10, "m", 2) }},
		{"not the greatest", CheckRecords, func(rc *recorded) {
			rc.sent("m", groupMerged)
			an := answer("m", 0, "a1", "b1")
			an.Body = slices.Concat(an.Body[emulate.RecordBytes:], an.Body[:emulate.RecordBytes])
			rc.ju.RequestAnswered(at(10), "m", an)
		}},
		{"a plain body of another path", CheckRecords, func(rc *recorded) {
			rc.sent("p", groupPlain)
			rc.ju.RequestAnswered(at(10), "p", emulate.Response{Status: 200, Stamps: []string{emulate.Stamp("p1", "p")}, Body: emulate.Records("p", "/plain/y", 3)})
		}},
		{"refused and ran before", CheckNotRun, func(rc *recorded) {
			rc.sent("p", groupPlain)
			rc.saw(10, emulate.EventRequestStarted, "p1", "p")
			rc.ju.RequestAnswered(at(20), "p", emulate.Response{Status: 503})
		}},
		{"refused and runs later", CheckNotRun, func(rc *recorded) {
			rc.sent("o", groupOnce)
			rc.ju.RequestAnswered(at(20), "o", emulate.Response{Status: 429})
			rc.saw(9000, emulate.EventRequestStarted, "p1", "o")
		}},
		{"timed out at the door and ran", CheckNotRun, func(rc *recorded) {
			rc.sent("p", groupMerged)
			rc.saw(10, emulate.EventRequestStarted, "a1", "p")
			rc.ju.RequestAnswered(at(20), "p", emulate.Response{Status: 408})
		}},
		{"misdirected and ran", CheckNotRun, func(rc *recorded) {
			rc.sent("p", groupPlain)
			rc.saw(10, emulate.EventRequestStarted, "p1", "p")
			rc.ju.RequestAnswered(at(20), "p", emulate.Response{Status: 421})
		}},
		{"a second run", CheckOnce, func(rc *recorded) {
			rc.sent("o", groupOnce)
			rc.saw(10, emulate.EventRequestStarted, "p1", "o")
			rc.saw(20, emulate.EventRequestStarted, "q1", "o")
		}},
		{"an arrival after the drain", CheckDrain, func(rc *recorded) {
			rc.saw(1000, emulate.EventDrainAcknowledged, "a1", "")
			rc.saw(4501, emulate.EventRequestReceived, "a1", "m")
		}},
		{"an arrival after an evacuation", CheckEvacuated, func(rc *recorded) {
			rc.ju.EvacuationAcknowledged("south", at(1000))
			rc.saw(4501, emulate.EventRequestReceived, "p1", "m")
			rc.saw(4501, emulate.EventRequestReceived, "p2", "m")
		}},
		{"a reverted version", CheckVersion, func(rc *recorded) {
			rc.plain(1500, "p", "q1")
			rc.plain(1600, "r", "p1")
		}},
		{"reverted shards", CheckVersion, func(rc *recorded) {
			rc.merged(2500, "m", 0, "c1", "d1")
			rc.merged(2600, "r", 0, "a1", "b1")
		}},
		{"reverted after a higher one that is told by two", CheckVersion, func(rc *recorded) {
			rc.plain(1500, "p", "q1")
			rc.plain(2500, "r", "p1") // Only version 3 is above 2.
			rc.plain(2600, "s", "q1")
		}},
		{"an acknowledged version is gone", CheckAccepted, func(rc *recorded) {
			rc.ju.ConfigurationAcknowledged(2)
			rc.ju.ConfigurationRead(at(3000), rc.ju.LatestAcknowledged(), 1, []byte("one"))
		}},
		{"a version with another content", CheckAccepted, func(rc *recorded) { rc.ju.ConfigurationRead(at(3000), 2, 2, []byte("one")) }},
		{"nobody answers", CheckAccepted, func(rc *recorded) { rc.ju.ConfigurationRead(at(3000), 0, 0, nil) }},
		{"an invalid one is accepted", CheckRefused, func(rc *recorded) { rc.ju.CheckRefusal(at(10), "accepted", false) }},
		{"extra arrivals beyond the budget", CheckBudget, func(rc *recorded) {
			rc.sent("p", groupPlain) // One request and a slack of 2 allow 2.2.
			for ix := range 4 {
				rc.saw(10+ix, emulate.EventRequestReceived, "p1", "p")
			}
		}},
		{"extra arrivals at another service's server", CheckBudget, func(rc *recorded) {
			rc.sent("p", groupPlain)
			for ix := range 4 {
				rc.ju.RecordServerEvent(emulate.ServerEvent{Kind: emulate.EventRequestReceived, At: at(ix), Server: []string{"a1", "b1", "c1", "d1"}[ix], Service: []string{"a", "b", "c", "d"}[ix], Request: "p", Expected: "p1"})
			}
		}},
		{"a fourth attempt after three servers have ended", CheckQuarantine, func(rc *recorded) {
			for nth := range threeServers {
				rc.fatal(nth, emulate.EventServerCrashed, "f0")
			}
			for _, id := range []string{"f1", "f2", "f3", "f4"} {
				rc.fatal(4003, emulate.EventRequestReceived, id)
			}
		}},
		{"a popular request is refused as one that ends servers", CheckFalseQuarantine, func(rc *recorded) { rc.refusedAsFatal("p", "/plain/popular-1") }},
		{"connections beyond the limit", CheckConnections, func(rc *recorded) {
			rc.saw(10, emulate.EventConnectionReset, "a1", "")
			rc.saw(20, emulate.EventConnectionReset, "a1", "")
		}},
	}
	found := make(map[Check]bool)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rc := newRecorded()
			tt.tell(rc)
			qt.Assert(t, rc.broken(), qt.DeepEquals, []Check{tt.want}, qt.Commentf("%v", rc.ju.Violations()))
		})
		found[tt.want] = true
	}
	for _, ck := range AllChecks() {
		qt.Check(t, found[ck], qt.IsTrue, qt.Commentf("no test breaks %s", ck))
	}
}

// A version that is older than before is no breach at an entry instance that was
// replaced meanwhile, nor is one that ran within the window's edge.
func TestReplacedEntry(t *testing.T) {
	rc := newRecorded()
	rc.plain(1500, "p", "q1")
	rc.sent("r", groupPlain)
	rc.ju.EntryStarted("entry")
	rc.plainAnswer(1600, "r", "p1")
	rc.plain(1700, "s", "p1")
	qt.Assert(t, rc.broken(), qt.HasLen, 0, qt.Commentf("%v", rc.ju.Violations()))
}

// The window slides: what is older than it counts no longer, neither on one side
// nor on the other.
func TestBudgetWindow(t *testing.T) {
	rc := newRecorded()
	rc.sent("p", groupPlain)
	for ix := range 9 {
		rc.saw(ix*5001, emulate.EventRequestReceived, "p1", "p") // Two in each window of 10 s.
	}
	qt.Assert(t, rc.broken(), qt.HasLen, 0, qt.Commentf("%v", rc.ju.Violations()))
	rc.saw(8*5001+1, emulate.EventRequestReceived, "p1", "p")
	qt.Assert(t, rc.broken(), qt.DeepEquals, []Check{CheckBudget})
}

// Only the first breaches of a check are kept, and all are counted. They don't hide
// one of another check.
func TestMostBreaches(t *testing.T) {
	rc := newRecorded()
	for range mostBreaches + 10 {
		rc.ju.CheckRefusal(at(1), "accepted", false)
	}
	rc.ju.ConfigurationRead(at(2), 2, 1, []byte("one"))
	qt.Assert(t, rc.ju.Violations(), qt.HasLen, mostBreaches+1)
	qt.Assert(t, rc.ju.Violations()[mostBreaches].Check, qt.Equals, CheckAccepted)
	qt.Assert(t, Report{Checks: rc.ju.Tallies()}.NumViolations(), qt.Equals, mostBreaches+11)
}
