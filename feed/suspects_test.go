package feed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/quarantine"
)

// crashingKey identifies a request that crashes servers.
var crashingKey = quarantine.Content{URI: "/fatal"}.Key()

// recordLoss makes an entry instance record and report an attempt under which servers
// crashed.
func (en *entry) recordLoss(probe bool, attempt string, servers ...string) {
	now := en.cl.ts.Now()
	en.qa.RecordLoss(now, quarantine.Loss{Key: crashingKey, Attempt: attempt, Start: now, Probe: probe, Servers: servers})
	en.su.SendSuspects(en.qa.TakeUpdates(now))
}

func (en *entry) verdict() quarantine.Verdict {
	ve, _ := en.qa.Check(en.cl.ts.Now(), crashingKey)
	return ve
}

// checkVerdicts fails the test unless all entry instances have the given verdict on the
// crashing request.
func checkVerdicts(c *qt.C, want quarantine.Verdict, ens ...*entry) {
	c.Helper()
	for _, en := range ens {
		c.Check(en.verdict(), qt.Equals, want, qt.Commentf("%s", en.name))
	}
}

// Guards against a request that crashes servers through one instance after another: all
// instances learn of a suspicion at once, and three attempts at three of them suffice to
// refuse the request.
func TestSuspectReachesAllEntries(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two", "three")
		ens := cl.entries(4, cos[0])
		ens[0].recordLoss(false, "r1", "a", "b")
		cl.advance(maxPropagation)
		checkVerdicts(c, quarantine.Probe, ens...)
		ens[1].recordLoss(true, "r2", "c")
		ens[2].recordLoss(true, "r3", "d")
		cl.advance(maxPropagation)
		checkVerdicts(c, quarantine.Refuse, ens...)
		now := cl.ts.Now()
		c.Assert(ens[3].qa.RequestAnswered(now, crashingKey), qt.IsTrue)
		ens[3].su.SendSuspects(ens[3].qa.TakeUpdates(now))
		cl.advance(maxPropagation)
		checkVerdicts(c, quarantine.Pass, ens...)
	})
}

// Guards against suspicions that are lost while no control instance is reachable. The
// instance that recorded the crashes applies them itself and reports them when a link is
// up again, also to a restarted control instance. An entry instance that starts then gets
// them with its first message.
func TestSuspectSurvivesControlRestart(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		ens := cl.entries(2, cos[0])
		for _, co := range cos {
			co.kill()
		}
		cl.advance(testLinkTimeout)
		ens[0].recordLoss(false, "r1", "a", "b")
		ens[0].recordLoss(true, "r2", "c")
		ens[0].recordLoss(true, "r3", "d")
		checkVerdicts(c, quarantine.Refuse, ens[0])
		checkVerdicts(c, quarantine.Pass, ens[1])
		for _, co := range cos {
			co.start()
		}
		cl.advance(3 * time.Second)
		checkVerdicts(c, quarantine.Refuse, ens...)
		checkVerdicts(c, quarantine.Refuse, cl.entries(1, cos[1])...)
	})
}

// Guards against suspicions that don't get past a partition: the crashes happen at an
// entry instance without a link to one control instance, while another control instance
// and the remaining entry instances must learn of them.
func TestSuspectBypassesPartition(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		li := cl.subscribe(SubscriberConfig{Self: Entry{Name: "one"}, OwnAddress: "one:1"}, []string{cos[1].member.Address})
		ens := cl.entries(2, cos[0])
		for _, ln := range cl.linksBetween(ens[0].name, cos[0].member.Address) {
			ln.blackholed.Store(true)
		}
		cl.advance(testLinkTimeout)
		ens[0].recordLoss(false, "r1", "a", "b")
		cl.advance(maxPropagation)
		checkVerdicts(c, quarantine.Probe, li)
		checkVerdicts(c, quarantine.Probe, ens...)
	})
}
