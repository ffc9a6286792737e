package feed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/quarantine"
)

// fatal is a request under which servers end.
var fatal = quarantine.Content{URI: "/fatal"}.Key()

// lose makes an entry instance see an attempt that servers ended under, and tell.
func (en *entry) lose(probe bool, attempt string, servers ...string) {
	now := en.wo.ts.Now()
	en.qa.RecordLoss(now, quarantine.Loss{Key: fatal, Attempt: attempt, Start: now, Probe: probe, Servers: servers})
	en.su.SendSuspects(en.qa.TakeUpdates(now))
}

func (en *entry) verdict() quarantine.Verdict {
	ve, _ := en.qa.Check(en.wo.ts.Now(), fatal)
	return ve
}

// check fails the test unless all entry instances have a verdict on the fatal request.
func check(c *qt.C, want quarantine.Verdict, ens ...*entry) {
	c.Helper()
	for _, en := range ens {
		c.Check(en.verdict(), qt.Equals, want, qt.Commentf("%s", en.name))
	}
}

// A request ends servers at one instance, and its caller comes again to another one. All
// instances know at once, and three attempts at three of them are enough to refuse it.
func TestSuspectIsToldToAll(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two", "three")
		ens := wo.entries(4, cos[0])
		ens[0].lose(false, "r1", "a", "b")
		wo.after(soon)
		check(c, quarantine.Probe, ens...)
		ens[1].lose(true, "r2", "c")
		ens[2].lose(true, "r3", "d")
		wo.after(soon)
		check(c, quarantine.Refuse, ens...)
		now := wo.ts.Now()
		c.Assert(ens[3].qa.RequestAnswered(now, fatal), qt.IsTrue)
		ens[3].su.SendSuspects(ens[3].qa.TakeUpdates(now))
		wo.after(soon)
		check(c, quarantine.Pass, ens...)
	})
}

// No control instance can be reached while servers end. The instance that saw it knows by
// itself, and tells when a link is up again, also one to a control instance that has
// started anew. An entry instance that starts then is told with its first message.
func TestSuspectOutlastsControl(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		ens := wo.entries(2, cos[0])
		for _, co := range cos {
			co.kill()
		}
		wo.after(testSilence)
		ens[0].lose(false, "r1", "a", "b")
		ens[0].lose(true, "r2", "c")
		ens[0].lose(true, "r3", "d")
		check(c, quarantine.Refuse, ens[0])
		check(c, quarantine.Pass, ens[1])
		for _, co := range cos {
			co.start()
		}
		wo.after(3 * time.Second)
		check(c, quarantine.Refuse, ens...)
		check(c, quarantine.Refuse, wo.entries(1, cos[1])...)
	})
}

// An entry instance has a link to one control instance alone, and the servers end at one
// that has a link to the other alone. Control instances tell each other.
func TestSuspectGoesRoundACut(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		li := wo.subscribe(SubscriberConfig{Self: Entry{Name: "one"}, OwnAddress: "one:1"}, []string{cos[1].member.Address})
		ens := wo.entries(2, cos[0])
		for _, ln := range wo.all(ens[0].name, cos[0].member.Address) {
			ln.cut.Store(true)
		}
		wo.after(testSilence)
		ens[0].lose(false, "r1", "a", "b")
		wo.after(soon)
		check(c, quarantine.Probe, li)
		check(c, quarantine.Probe, ens...)
	})
}
