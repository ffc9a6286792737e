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

func TestCodecRoundTripAndErrors(t *testing.T) {
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
		{"newer version", newer, `peer: WrongVersion: frame of version 2, this instance speaks 1`},
		{"unknown kind", unknown, `peer: Malformed: kind 999 is not known`},
		{"truncated", frame[:len(frame)-1], `peer: Malformed: frame: .*`},
		{"extra bytes", append(frame, 0), `peer: Malformed: 1 bytes after the frame`},
	} {
		c.Run(tt.name, func(c *qt.C) {
			_, err := co.Decode(tt.frame)
			c.Assert(err, qt.ErrorMatches, tt.want)
		})
	}
	_, err = co.Encode(note{strings.Repeat("x", MaxFrameBytes)})
	c.Assert(err, qt.ErrorMatches, `peer: TooLarge: kind 301: .*`)
	_, err = co.Encode(&note{})
	c.Assert(err, qt.ErrorMatches, `peer: Malformed: type \*peer.note is not known to the codec`)
	c.Assert(func() { NewCodec([]Message{note{}, note{}}) }, qt.PanicMatches, `peer: kind 301 .*`)
}

func TestCall(t *testing.T) {
	runNetwork(t, func(c *qt.C, nw *network) {
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

// A newer instance sends a frame that an older one cannot read. The sender must get an error
// with both versions; if the frame were just dropped, the peer would appear to be down.
func TestCallReportsVersionMismatch(t *testing.T) {
	runNetwork(t, func(c *qt.C, nw *network) {
		pa := nw.start(nw.au, "a", addressA, nil)
		nw.start(nw.au, "b", addressB, nil)
		frame, err := pa.co.en.Marshal(envelope{Version: 2, Kind: 301, Reply: true})
		c.Assert(err, qt.IsNil)
		data, er := pa.acquireLink(target{"b", addressB}).exchange(bg, frame)
		c.Assert(er == nil, qt.IsTrue, qt.Commentf("%v", er))
		_, err = pa.co.decodeReply(data)
		c.Assert(err, qt.ErrorMatches, `.*WrongVersion: .*frame of version 2, this instance speaks 1`)
	})
}

// A machine without a key, with a key of another tier, or with the key of another instance
// connects and sends messages. They must not reach a handler, and the log must say who tried.
func TestWrongKeysAreRejected(t *testing.T) {
	runNetwork(t, func(c *qt.C, nw *network) {
		handled := 0
		count := func(context.Context, string, Message) (Message, error) { handled++; return nil, nil }
		pb := nw.start(nw.au, "b", addressB, count)
		otherAuthority, err := keys.NewAuthority()
		c.Assert(err, qt.IsNil)

		// Peer a trusts b, but b does not trust the authority of a.
		pa := nw.start(otherAuthority, "a", addressA, nil)
		pa.cf.TLS.RootCAs = pb.cf.TLS.RootCAs
		// Each line is awaited, as two connections that end at the same time are logged in any
		// order.
		_, err = pa.Call(bg, "b", addressB, note{"let me in"})
		c.Assert(errorKind(c, err), qt.Equals, BadKey)
		synctest.Wait()
		c.Assert(pb.lines(), qt.HasLen, 1)
		pa.cf.TLS.Certificates = nil
		_, err = pa.Call(bg, "b", addressB, note{"let me in"})
		c.Assert(errorKind(c, err), qt.Equals, BadKey)
		synctest.Wait()
		c.Assert(handled, qt.Equals, 0)
		c.Assert(pb.lines(), qt.HasLen, 2)
		c.Assert(pb.lines()[0], qt.Matches, `connection rejected: missing or invalid key 10.0.0.1:7000 .*certificate for "a".*`)
		c.Assert(pb.lines()[1], qt.Matches, `connection rejected: missing or invalid key 10.0.0.1:7000 .*didn't provide a certificate.*`)
		c.Assert(pa.lines()[0], qt.Matches, `connection to peer failed b 10.0.0.2:7000 BadKey .*`)

		// Another instance of the tier answers at the address.
		pc := nw.start(nw.au, "c", "10.0.0.3:7000", nil)
		for _, name := range []string{"a", "B"} {
			_, err = pc.Call(bg, name, addressB, note{"are you it"})
			c.Assert(errorKind(c, err), qt.Equals, BadKey)
		}
		c.Assert(handled, qt.Equals, 0)
	})
}

// A connection is rejected before Accept has returned it, as may happen on a loaded machine. It
// must be logged nevertheless, or nobody learns who tried.
func TestRefusalBeforeAcceptIsLogged(t *testing.T) {
	runNetwork(t, func(c *qt.C, nw *network) {
		otherAuthority, err := keys.NewAuthority()
		c.Assert(err, qt.IsNil)
		key, err := nw.au.Issue(keys.Subject{Name: "b"})
		c.Assert(err, qt.IsNil)
		pb := nw.listen(nw.au, key, "b", addressB, nil)
		defer pb.close()
		pa := nw.start(otherAuthority, "a", addressA, nil)
		pa.cf.TLS.RootCAs = pb.cf.TLS.RootCAs
		_, err = pa.Call(bg, "b", addressB, note{"let me in"})
		c.Assert(errorKind(c, err), qt.Equals, BadKey)
		synctest.Wait()
		c.Assert(pb.lines(), qt.HasLen, 1)
		c.Assert(pb.lines()[0], qt.Matches, `connection rejected: missing or invalid key 10.0.0.1:7000 .*certificate for "a".*`)
	})
}

// An instance is killed and restarted at the same address. The others still hold connections
// that the new process does not know. Without stateless resets, what they send is lost until
// the silence timeout.
func TestRestartedPeerIsReachableAtOnce(t *testing.T) {
	runNetwork(t, func(c *qt.C, nw *network) {
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
		c.Assert(time.Since(start) < silenceTimeout, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
		c.Assert(pa.Counters().Dropped, qt.Equals, uint64(0))
	})
}

// A network device between two instances loses track of a connection: all its packets are
// dropped while a new connection would work. Without silence detection, each message over it
// waits for its whole deadline or is lost.
func TestSilentConnectionIsReplaced(t *testing.T) {
	runNetwork(t, func(c *qt.C, nw *network) {
		pa := nw.start(nw.au, "a", addressA, nil)
		nw.start(nw.au, "b", addressB, nil)
		_, err := pa.Call(bg, "b", addressB, note{"before"})
		c.Assert(err, qt.IsNil)
		nw.dropConnections()
		ctx, cancel := context.WithTimeout(bg, 5*time.Second)
		defer cancel()
		_, err = pa.Call(ctx, "b", addressB, note{"after"})
		c.Assert(err, qt.IsNil)
	})
}

// The connection goes silent while the handler of a Call is still running. The request was
// acknowledged, so only a probe can detect the silence.
func TestConnectionSilentDuringCallIsReplaced(t *testing.T) {
	runNetwork(t, func(c *qt.C, nw *network) {
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
		time.AfterFunc(1500*time.Millisecond, nw.dropConnections)
		_, err = pa.Call(bg, "b", addressB, note{"slow"})
		c.Assert(err, qt.IsNil)
		c.Assert(pa.Counters().Dialled, qt.Equals, uint64(2))
	})
}

// On a loaded machine the watch of a connection starts after the request was acknowledged, and
// nothing more arrives while the handler is busy. The acknowledgement must count: without it,
// a Call that takes longer than silenceTimeout breaks a connection that works.
func TestWatchCountsEarlyAcknowledgement(t *testing.T) {
	runNetwork(t, func(c *qt.C, nw *network) {
		pa := nw.start(nw.au, "a", addressA, nil)
		nw.start(nw.au, "b", addressB, nil)
		frame, err := pa.co.encode(note{"acknowledged"}, true)
		c.Assert(err, qt.IsNil)
		cn, _, er := pa.acquireLink(target{"b", addressB}).connection(bg)
		c.Assert(er == nil, qt.IsTrue, qt.Commentf("%v", er))
		before := cn.packetsReceived()
		_, er = cn.exchange(bg, frame)
		c.Assert(er == nil, qt.IsTrue, qt.Commentf("%v", er))
		time.Sleep(silenceTimeout)
		received := cn.packetsReceived()

		unwatch := cn.watchSilence(before)
		time.Sleep(silenceTimeout + silenceTimeout/2)
		unwatch()
		c.Assert(cn.packetsReceived(), qt.Equals, received)
		c.Assert(cn.silent.Load(), qt.IsFalse)
	})
}

// A Call that timed out may have used a connection that is silent in a way that QUIC cannot
// detect. The next Call must not use it.
func TestTimedOutCallRetiresConnection(t *testing.T) {
	runNetwork(t, func(c *qt.C, nw *network) {
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

// An instance stops handling messages while others keep sending. The senders' queues must stay
// bounded and keep the newest messages.
func TestQueueDropsOldest(t *testing.T) {
	runNetwork(t, func(c *qt.C, nw *network) {
		pa := nw.start(nw.au, "a", addressA, nil)
		unblock := make(chan struct{})
		got := make(chan string, 2*maxQueueMessages)
		nw.start(nw.au, "b", addressB, func(_ context.Context, _ string, ms Message) (Message, error) {
			<-unblock
			got <- ms.(note).Text
			return nil, nil
		})
		pa.Send("b", addressB, note{"first"})
		synctest.Wait()
		const extra = 10
		for ix := range maxQueueMessages + extra {
			pa.Send("b", addressB, note{fmt.Sprint(ix)})
		}
		c.Assert(pa.Counters().Dropped, qt.Equals, uint64(extra))
		close(unblock)
		c.Assert(<-got, qt.Equals, "first")
		for ix := range maxQueueMessages {
			c.Assert(<-got, qt.Equals, fmt.Sprint(extra+ix))
		}
	})
}

// An instance announces that it leaves and stops at once. If closing dropped queued messages
// or messages being handled, the others would keep sending it requests.
func TestCloseFinishesMessagesInFlight(t *testing.T) {
	runNetwork(t, func(c *qt.C, nw *network) {
		pa := nw.start(nw.au, "a", addressA, func(_ context.Context, _ string, ms Message) (Message, error) {
			time.Sleep(closeTimeout / 2)
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
