package peer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/keys"
	"balsamwinch.example/result"
)

const (
	addressA = "10.0.0.1:7000"
	addressB = "10.0.0.2:7000"
)

var bg = context.Background()

func TestCodec(t *testing.T) {
	c := qt.New(t)
	co := NewCodec([]Message{note{}})
	frame, err := co.Encode(note{"hello"})
	c.Assert(err, qt.IsNil)
	ms, err := co.Decode(frame)
	c.Assert(err, qt.IsNil)
	c.Assert(ms, qt.Equals, note{"hello"})
	newer, err := co.en.Marshal(envelope{Version: 2, Kind: 301})
	c.Assert(err, qt.IsNil)
	unknown, err := co.en.Marshal(envelope{Version: 1, Kind: 999})
	c.Assert(err, qt.IsNil)
	for _, tt := range []struct {
		name  string
		frame []byte
		want  string
	}{
		{"Newer", newer, `peer: WrongVersion: frame of version 2, this instance speaks 1`},
		{"Unknown", unknown, `peer: Malformed: kind 999 is not known`},
		{"Cut", frame[:len(frame)-1], `peer: Malformed: frame: .*`},
		{"Longer", append(frame, 0), `peer: Malformed: 1 bytes after the frame`},
	} {
		c.Run(tt.name, func(c *qt.C) {
			_, err := co.Decode(tt.frame)
			c.Assert(err, qt.ErrorMatches, tt.want)
		})
	}
	_, err = co.Encode(note{strings.Repeat("x", MaxFrameBytes)})
	c.Assert(err, qt.ErrorMatches, `peer: TooLarge: kind 301: .*`)
	_, err = co.Encode(&note{})
	c.Assert(err, qt.ErrorMatches, `peer: Malformed: type \*peer.note is not known.*`)
	c.Assert(func() { NewCodec([]Message{note{}, note{}}) }, qt.PanicMatches, `peer: kind 301 .*`)
}

func TestCall(t *testing.T) {
	run(t, func(c *qt.C, nw *network) {
		pa := nw.start(nw.au, "a", addressA, nil)
		pb := nw.start(nw.au, "b", addressB, func(_ context.Context, from string, ms Message) (Message, error) {
			switch text := ms.(note).Text; text {
			case "nothing":
				return nil, nil
			case "refuse":
				return nil, &result.Error{Code: result.NotLeader, Op: "test", Detail: "ask c"}
			case "fail":
				return nil, errors.New("failed")
			default:
				return note{from + " said " + text}, nil
			}
		})
		for _, name := range []string{"b", ""} {
			ms, err := pa.Call(bg, name, addressB, note{"hello"})
			c.Assert(err, qt.IsNil)
			c.Assert(ms, qt.Equals, note{"a said hello"})
		}
		ms, err := pa.Call(bg, "b", addressB, note{"nothing"})
		c.Assert(err, qt.IsNil)
		c.Assert(ms, qt.IsNil)
		_, err = pa.Call(bg, "b", addressB, note{"refuse"})
		var re *result.Error
		c.Assert(errors.As(err, &re), qt.IsTrue)
		c.Assert(re, qt.DeepEquals, &result.Error{Code: result.NotLeader, Op: "test", Detail: "ask c"})
		_, err = pa.Call(bg, "b", addressB, note{"fail"})
		c.Assert(err, qt.ErrorMatches, `peer b at 10.0.0.2:7000: Refused: failed`)
		c.Assert(pa.Counters().Dialled, qt.Equals, uint64(2))
		c.Assert(pb.Counters().Member.MessagesIn, qt.Equals, uint64(5))
		c.Assert(pb.Counters().Member.MessagesOut, qt.Equals, uint64(2))
	})
}

// A newer instance sends a frame that an older one cannot read. The sender must
// be told which versions met; a frame that is merely dropped looks like a peer
// that is down.
func TestCallOfOtherVersion(t *testing.T) {
	run(t, func(c *qt.C, nw *network) {
		pa := nw.start(nw.au, "a", addressA, nil)
		nw.start(nw.au, "b", addressB, nil)
		frame, err := pa.co.en.Marshal(envelope{Version: 2, Kind: 301, Reply: true})
		c.Assert(err, qt.IsNil)
		data, er := pa.hold(target{"b", addressB}).exchange(bg, frame)
		c.Assert(er == nil, qt.IsTrue, qt.Commentf("%v", er))
		_, err = pa.co.openReply(data)
		c.Assert(err, qt.ErrorMatches, `.*WrongVersion: .*frame of version 2, this instance speaks 1`)
	})
}

// A machine without a key, with a key of another tier, or with the key of
// another instance connects and speaks. Nothing it says may reach a handler,
// and operators must find in the log who tried.
func TestWrongKeys(t *testing.T) {
	run(t, func(c *qt.C, nw *network) {
		handled := 0
		count := func(context.Context, string, Message) (Message, error) { handled++; return nil, nil }
		pb := nw.start(nw.au, "b", addressB, count)
		stranger, err := keys.NewAuthority()
		c.Assert(err, qt.IsNil)

		// The stranger trusts b, but b does not know its authority.
		pa := nw.start(stranger, "a", addressA, nil)
		pa.cf.TLS.RootCAs = pb.cf.TLS.RootCAs
		_, err = pa.Call(bg, "b", addressB, note{"let me in"})
		c.Assert(errorKind(c, err), qt.Equals, BadKey)
		pa.cf.TLS.Certificates = nil
		_, err = pa.Call(bg, "b", addressB, note{"let me in"})
		c.Assert(errorKind(c, err), qt.Equals, BadKey)
		synctest.Wait()
		c.Assert(handled, qt.Equals, 0)
		c.Assert(pb.lines(), qt.HasLen, 2)
		c.Assert(pb.lines()[0], qt.Matches, `peer refused: no key or a wrong one 10.0.0.1:7000 .*certificate of "a".*`)
		c.Assert(pb.lines()[1], qt.Matches, `peer refused: no key or a wrong one 10.0.0.1:7000 .*didn't provide a certificate.*`)
		c.Assert(pa.lines()[0], qt.Matches, `peer not reached b 10.0.0.2:7000 BadKey .*`)

		// Another instance of the tier answers at the address.
		pc := nw.start(nw.au, "c", "10.0.0.3:7000", nil)
		for _, name := range []string{"a", "B"} {
			_, err = pc.Call(bg, name, addressB, note{"are you it"})
			c.Assert(errorKind(c, err), qt.Equals, BadKey)
		}
		c.Assert(handled, qt.Equals, 0)
	})
}

// An instance is killed and started again at the same address. The others still
// hold connections of which the new process knows nothing: what they send is
// lost, and they find out only when the connection has been silent for long.
func TestRestartIsReachableAtOnce(t *testing.T) {
	run(t, func(c *qt.C, nw *network) {
		key, err := nw.au.Issue(keys.Subject{Name: "b"})
		c.Assert(err, qt.IsNil)
		pa := nw.start(nw.au, "a", addressA, nil)
		pb := nw.startWith(nw.au, key, "b", addressB, nil)
		_, err = pa.Call(bg, "b", addressB, note{"before"})
		c.Assert(err, qt.IsNil)
		pb.kill()
		got := make(chan Message, 1)
		nw.startWith(nw.au, key, "b", addressB, func(_ context.Context, _ string, ms Message) (Message, error) {
			got <- ms
			return nil, nil
		})
		start := time.Now()
		pa.Send("b", addressB, note{"after"})
		c.Assert(<-got, qt.Equals, note{"after"})
		c.Assert(time.Since(start) < silence, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
		c.Assert(pa.Counters().Dropped, qt.Equals, uint64(0))
	})
}

// Something between two instances loses track of a connection: every packet on
// it vanishes for good while a new connection would work. Without a guard, each
// message over it waits for its whole deadline or is lost.
func TestSilentConnectionIsReplaced(t *testing.T) {
	run(t, func(c *qt.C, nw *network) {
		pa := nw.start(nw.au, "a", addressA, nil)
		nw.start(nw.au, "b", addressB, nil)
		_, err := pa.Call(bg, "b", addressB, note{"before"})
		c.Assert(err, qt.IsNil)
		nw.loseConnections()
		ctx, cancel := context.WithTimeout(bg, 5*time.Second)
		defer cancel()
		_, err = pa.Call(ctx, "b", addressB, note{"after"})
		c.Assert(err, qt.IsNil)
	})
}

// The connection goes silent while a handler takes its time over a Call. The
// request was confirmed, so only a probe can find out.
func TestSilenceDuringCall(t *testing.T) {
	run(t, func(c *qt.C, nw *network) {
		pa := nw.start(nw.au, "a", addressA, nil)
		nw.start(nw.au, "b", addressB, func(ctx context.Context, _ string, ms Message) (Message, error) {
			select {
			case <-time.After(4 * time.Second):
			case <-ctx.Done():
			}
			return ms, nil
		})
		start := time.Now()
		_, err := pa.Call(bg, "b", addressB, note{"slow"})
		c.Assert(err, qt.IsNil)
		c.Assert(pa.Counters().Dialled, qt.Equals, uint64(1))
		c.Assert(time.Since(start) < 5*time.Second, qt.IsTrue)
		time.AfterFunc(1500*time.Millisecond, nw.loseConnections)
		_, err = pa.Call(bg, "b", addressB, note{"slow"})
		c.Assert(err, qt.IsNil)
		c.Assert(pa.Counters().Dialled, qt.Equals, uint64(2))
	})
}

// A Call that ran into its deadline may have been on a connection that is silent
// in a way QUIC cannot see. The next Call must not share its fate.
func TestDeadlineGivesConnectionUp(t *testing.T) {
	run(t, func(c *qt.C, nw *network) {
		pa := nw.start(nw.au, "a", addressA, nil)
		calls := 0
		nw.start(nw.au, "b", addressB, func(ctx context.Context, _ string, ms Message) (Message, error) {
			if calls++; calls == 1 {
				<-ctx.Done()
			}
			return ms, nil
		})
		ctx, cancel := context.WithTimeout(bg, 100*time.Millisecond)
		defer cancel()
		_, err := pa.Call(ctx, "b", addressB, note{"stuck"})
		c.Assert(errorKind(c, err), qt.Equals, TimedOut)
		_, err = pa.Call(bg, "b", addressB, note{"next"})
		c.Assert(err, qt.IsNil)
		c.Assert(pa.Counters().Dialled, qt.Equals, uint64(2))
		_, err = pa.Call(bg, "z", "10.0.0.9:7000", note{"nobody"})
		c.Assert(errorKind(c, err), qt.Equals, Unreachable)
		synctest.Wait()
		c.Assert(pa.links, qt.HasLen, 1)
	})
}

// An instance stops taking messages while others keep sending. Their memory must
// stay bounded, and what they keep must be the newest.
func TestQueueDropsOldest(t *testing.T) {
	run(t, func(c *qt.C, nw *network) {
		pa := nw.start(nw.au, "a", addressA, nil)
		gate := make(chan struct{})
		got := make(chan string, 2*queueMessages)
		nw.start(nw.au, "b", addressB, func(_ context.Context, _ string, ms Message) (Message, error) {
			<-gate
			got <- ms.(note).Text
			return nil, nil
		})
		pa.Send("b", addressB, note{"first"})
		synctest.Wait()
		const extra = 10
		for ix := range queueMessages + extra {
			pa.Send("b", addressB, note{fmt.Sprint(ix)})
		}
		c.Assert(pa.Counters().Dropped, qt.Equals, uint64(extra))
		close(gate)
		c.Assert(<-got, qt.Equals, "first")
		for ix := range queueMessages {
			c.Assert(<-got, qt.Equals, fmt.Sprint(extra+ix))
		}
	})
}

// An instance says that it leaves and stops at once. If closing dropped what is
// queued or being handled, the others would go on sending it work.
func TestCloseFinishesWhatIsUnderWay(t *testing.T) {
	run(t, func(c *qt.C, nw *network) {
		pa := nw.start(nw.au, "a", addressA, func(_ context.Context, _ string, ms Message) (Message, error) {
			time.Sleep(closeGrace / 2)
			return ms, nil
		})
		var got []Message
		pb := nw.start(nw.au, "b", addressB, func(_ context.Context, _ string, ms Message) (Message, error) {
			got = append(got, ms)
			return nil, nil
		})
		reply := make(chan error, 1)
		go func() {
			_, err := pb.Call(bg, "a", addressA, note{"slow"})
			reply <- err
		}()
		synctest.Wait()
		pa.Send("b", addressB, note{"leaving"})
		pa.stop()
		c.Assert(got, qt.DeepEquals, []Message{note{"leaving"}})
		c.Assert(<-reply, qt.IsNil)
		_, err := pa.Call(bg, "b", addressB, note{"late"})
		c.Assert(errorKind(c, err), qt.Equals, Closing)
	})
}
