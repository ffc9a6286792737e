package feed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
)

// Guards against a record of an instance of an earlier release that ends the link it comes on.
func TestInvalidRecordCostsItselfAlone(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		co := cl.group("one")[0]
		en := cl.entries(1, co)[0]
		cl.advance(time.Second)
		before := len(cl.linksBetween(en.name, ""))
		bad := server("i-\xff\r\n", 1, registry.Ready)
		co.pu.Announce(server("a1", 1, registry.Ready), "")
		co.pu.mu.Lock()
		co.pu.queueChange(cl.ts.Now(), registry.Change{Server: bad}) // as that release does
		co.pu.mu.Unlock()
		co.pu.Announce(server("a2", 1, registry.Ready), "")
		cl.advance(time.Second)
		c.Assert(en.serverStates(), qt.DeepEquals, []string{"a1 Ready", "a2 Ready"})
		c.Assert(cl.linksBetween(en.name, ""), qt.HasLen, before)
		c.Assert(cl.logs.FilterMessage("backend-server-invalid").Len(), qt.Equals, 1)
	})
}

func TestValidServers(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		good, bad := server("a1", 1, registry.Ready), server("\xff", 1, registry.Ready)
		pu := cl.group("one")[0].pu
		c.Assert(pu.CheckRestored("servers", []registry.Server{bad, good, bad, good}), qt.DeepEquals, []registry.Server{good, good})
		c.Assert(pu.CheckRestored("servers", []registry.Server{good}), qt.DeepEquals, []registry.Server{good})
		c.Assert(cl.logs.FilterMessage("backend-server-invalid").Len(), qt.Equals, 2)
	})
}
