package peer

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"balsamwinch.example/keys"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

const (
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds one attempt to establish a connection.
	dialTimeout = 2 * time.Second
	// maxStreams is the number of messages of one connection that are handled concurrently.
	maxStreams = 256
	// streamCreditBatch is how many streams end before the other end is allowed to open as
	// many new ones. Credit for single streams would cost it one more packet to receive and
	// acknowledge for each message.
	streamCreditBatch = 16
	// silenceTimeout is how long a connection in use may receive nothing at all.
	silenceTimeout = time.Second
	// defaultCallTimeout bounds a Call whose context has no deadline.
	defaultCallTimeout = 10 * time.Second
	// closeTimeout is how long a closing Peer waits for messages in flight.
	closeTimeout = 2 * time.Second
	// minLinger, maxLinger and lingerRTTs (in round-trip times) determine how long a closing
	// Peer waits for its last replies to arrive.
	minLinger  = 50 * time.Millisecond
	maxLinger  = 500 * time.Millisecond
	lingerRTTs = 3
	// maxRefusalLogs is the number of rejected connections that are logged per second.
	maxRefusalLogs = 10
	// resetKeyLabel separates the key for stateless resets from other uses of the private key
	// that it is derived from.
	resetKeyLabel = "balsamwinch stateless reset"
)

// Error codes of streams and connections on the wire.
const (
	streamAbandoned quic.StreamErrorCode = 1 // the sender no longer waits
	streamClosing   quic.StreamErrorCode = 2 // the peer is stopping

	connectionClosed quic.ApplicationErrorCode = 0
)

// Handler handles a message from the named instance; the name is verified by its certificate.
// A message may arrive twice if a connection breaks, so handling must be idempotent. The
// returned message is the reply to a Call; for a message of Send it is ignored. Handlers run
// concurrently, but messages of Send from one instance are handled one at a time: a handler
// that blocks delays the sender, whose queue finally drops the oldest messages.
type Handler func(ctx context.Context, from string, ms Message) (Message, error)

// Config holds the settings of a Peer.
type Config struct {
	Self    string      // the instance's name; must match the certificate
	Address string      // the IP address and port to listen on; port 0 selects a free one
	TLS     *tls.Config // from package keys
}

// Peer exchanges messages with other instances. A connection carries the messages of the
// instance that dialled it and the replies to them.
type Peer struct {
	cf Config
	co *Codec
	ha Handler
	ts *timer.Service
	lg *zap.Logger
	cs counters

	pc             net.PacketConn
	tr             *quic.Transport
	ln             *quic.EarlyListener
	qc             *quic.Config
	refusalLimiter *rate.Sometimes

	ctx    context.Context // ends when the last connection is closed
	cancel context.CancelFunc

	mu       sync.Mutex
	closing  bool
	inFlight sync.WaitGroup // calls, streams being served and queues being sent
	links    map[target]*link
	conns    map[*quic.Conn]struct{}
}

// New returns a Peer that already listens; messages are handled once Serve runs. It returns a
// *result.Error if the settings are invalid or the address is in use.
func New(cf Config, co *Codec, ha Handler, ts *timer.Service, lg *zap.Logger) (*Peer, error) {
	const op = "peer.New"
	if name := keys.OwnName(cf.TLS); name != cf.Self {
		detail := fmt.Sprintf("the certificate is for %q, the settings name %q", name, cf.Self)
		return nil, &result.Error{Code: result.BadKey, Op: op, Detail: detail}
	}
	ap, err := netip.ParseAddrPort(cf.Address)
	if err != nil {
		return nil, &result.Error{Code: result.BadSettings, Op: op, Detail: "want an IP address and port", Err: err}
	}
	pc, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, &result.Error{Code: result.BadSettings, Op: op, Err: err}
	}
	pe, err := newPeer(cf, co, ha, ts, lg, pc)
	if err != nil {
		pc.Close()
		return nil, err
	}
	return pe, nil
}

// newPeer returns a Peer over a packet connection, which it takes over.
func newPeer(cf Config, co *Codec, ha Handler, ts *timer.Service, lg *zap.Logger, pc net.PacketConn) (*Peer, error) {
	key, err := resetKey(cf.TLS)
	if err != nil {
		return nil, err
	}
	pe := &Peer{
		cf: cf, co: co, ha: ha, ts: ts, lg: lg,
		pc: pc,
		tr: &quic.Transport{Conn: pc, StatelessResetKey: key},
		qc: &quic.Config{
			MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: dialTimeout,
			MaxIncomingStreams: maxStreams, RequireStreamCreditRelease: true,
		},
		refusalLimiter: &rate.Sometimes{First: maxRefusalLogs, Interval: time.Second / maxRefusalLogs},
		links:          make(map[target]*link),
		conns:          make(map[*quic.Conn]struct{}),
	}
	pe.ctx, pe.cancel = context.WithCancel(context.Background())
	pe.tr.ConnContext = pe.watchRefusal
	if pe.ln, err = pe.tr.ListenEarly(cf.TLS, pe.qc); err != nil {
		return nil, fmt.Errorf("listen at %s: %w", pc.LocalAddr(), err)
	}
	return pe, nil
}

// resetKey derives the key for stateless resets from the instance's private key.
//
// Without it a restarted peer stays unreachable for a while: the others keep sending over
// connections that the new process does not know, and notice only after a long silence. With a
// key that survives the restart, the new process can reset such a connection at its first
// packet.
func resetKey(tc *tls.Config) (*quic.StatelessResetKey, error) {
	der, err := x509.MarshalPKCS8PrivateKey(tc.Certificates[0].PrivateKey)
	if err != nil {
		return nil, &result.Error{Code: result.BadKey, Op: "peer.New", Err: err}
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte(resetKeyLabel), der...)))
	return &key, nil
}

// Address returns the IP address and port that the Peer listens on.
func (pe *Peer) Address() string {
	return pe.pc.LocalAddr().String()
}

// Serve accepts connections and handles messages until the context ends. Then it waits for
// messages in flight, sends the queued messages, closes the connections and closes the socket.
// A Peer serves only once.
func (pe *Peer) Serve(ctx context.Context) error {
	defer pe.close()
	for {
		qc, err := pe.ln.Accept(ctx)
		if err != nil && ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return &Error{Kind: Lost, Address: pe.Address(), Detail: "accept", Err: err}
		}
		go pe.serveConn(qc)
	}
}

func (pe *Peer) close() {
	pe.mu.Lock()
	pe.closing = true
	pe.mu.Unlock()
	pe.ln.Close()
	done := make(chan struct{})
	go func() {
		pe.inFlight.Wait()
		close(done)
	}()
	grace, cancel := context.WithTimeout(pe.ctx, closeTimeout)
	defer cancel()
	select {
	case <-done:
	case <-grace.Done():
		pe.lg.Warn("closing with messages in flight")
	}
	pe.linger()
	pe.cancel()
	for _, qc := range pe.connections() {
		qc.CloseWithError(connectionClosed, "closing")
	}
	pe.tr.Close()
	pe.pc.Close()
}

// linger waits until the last replies have probably arrived. Closing a connection drops the
// data that its streams still hold, and the sender of a handled request would get the error
// that the connection broke. quic-go does not report when data has arrived, so linger waits
// for a few round-trip times.
func (pe *Peer) linger() {
	wait := time.Duration(0)
	for _, qc := range pe.connections() {
		wait = max(wait, minLinger, lingerRTTs*qc.ConnectionStats().SmoothedRTT)
	}
	_ = pe.ts.Sleep(pe.ctx, min(wait, maxLinger))
}

// beginWork adds a task that close waits for. It returns false if the Peer is closing.
func (pe *Peer) beginWork() bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if pe.closing {
		return false
	}
	pe.inFlight.Add(1)
	return true
}

// track keeps a connection in the list of those to close until it ends.
func (pe *Peer) track(qc *quic.Conn) {
	pe.mu.Lock()
	pe.conns[qc] = struct{}{}
	pe.mu.Unlock()
	context.AfterFunc(qc.Context(), func() {
		pe.mu.Lock()
		delete(pe.conns, qc)
		pe.mu.Unlock()
	})
}

func (pe *Peer) connections() []*quic.Conn {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	var qcs []*quic.Conn
	for qc := range pe.conns {
		qcs = append(qcs, qc)
	}
	return qcs
}

// serveConn handles the messages of a connection that another instance dialled. No stream is
// accepted before the handshake is complete, so messages of a peer without a key signed by the
// authority reach no handler.
func (pe *Peer) serveConn(qc *quic.Conn) {
	pe.track(qc)
	select {
	case <-qc.HandshakeComplete():
	case <-qc.Context().Done():
		return
	}
	from := keys.PeerName(qc.ConnectionState().TLS)
	var credits streamCredits
	for {
		st, err := qc.AcceptStream(pe.ctx)
		if err != nil {
			return
		}
		if !pe.beginWork() {
			st.CancelRead(streamClosing)
			st.CancelWrite(streamClosing)
			credits.add(st)
			continue
		}
		go func() {
			pe.serveStream(from, st)
			credits.add(st)
		}()
	}
}

// streamCredits collects finished streams and releases their credit in batches.
type streamCredits struct {
	mu  sync.Mutex
	sts []*quic.Stream
}

func (cr *streamCredits) add(st *quic.Stream) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.sts = append(cr.sts, st)
	if len(cr.sts) < streamCreditBatch {
		return
	}
	for _, st := range cr.sts {
		st.ReleaseStreamCredit()
	}
	cr.sts = nil
}

// serveStream handles the messages of one stream in order.
func (pe *Peer) serveStream(from string, st *quic.Stream) {
	defer pe.inFlight.Done()
	data, err := readLimited(st)
	if err != nil {
		st.CancelRead(streamAbandoned)
		st.CancelWrite(streamAbandoned)
		return
	}
	for len(data) > 0 {
		data = pe.serveFrame(from, st, data)
	}
	st.Close()
}

// serveFrame handles the first message in data and returns the remaining bytes.
func (pe *Peer) serveFrame(from string, st *quic.Stream, data []byte) []byte {
	en, rest, err := pe.co.decodeEnvelope(data)
	pe.cs.countIn(en.Kind, len(data)-len(rest))
	var ms, reply Message
	if err == nil {
		ms, err = pe.co.message(en)
	}
	if err != nil {
		pe.lg.Warn("message not decoded", zap.String("from", from), zap.Error(err))
	} else {
		reply, err = pe.ha(st.Context(), from, ms)
	}
	if en.Reply {
		pe.sendReply(from, st, reply, err)
	} else if err != nil {
		pe.lg.Debug("message handler failed", zap.String("from", from), zap.Error(err))
	}
	return rest
}

func (pe *Peer) sendReply(from string, st *quic.Stream, ms Message, err error) {
	frame, encodeErr := pe.co.encodeReply(ms, err)
	if encodeErr != nil {
		pe.lg.Error("reply not sent", zap.String("to", from), zap.Error(encodeErr))
		frame, _ = pe.co.encodeReply(nil, encodeErr)
	}
	ki := kindFailure
	if err == nil && encodeErr == nil && ms != nil {
		ki = ms.Kind()
	}
	pe.cs.countOut(ki, len(frame))
	// The write fails if the sender has gone; there is nobody left to tell.
	_, _ = st.Write(frame)
}

// readLimited reads a stream to its end. It reads at most one byte more than MaxFrameBytes
// before it returns an error.
func readLimited(st *quic.Stream) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(st, MaxFrameBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > MaxFrameBytes {
		return nil, &Error{Kind: TooLarge, Detail: fmt.Sprintf("more than %d bytes", MaxFrameBytes)}
	}
	return data, nil
}
