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
	// idleTimeout is how long a connection is kept that nobody uses.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds one attempt to make a connection.
	dialTimeout = 2 * time.Second
	// maxStreams is how many messages of one connection are handled at a time.
	maxStreams = 256
	// creditBatch is how many streams end before the other end is told that it
	// may open as many new ones. Told one by one, it would get and confirm a
	// packet more for each message.
	creditBatch = 16
	// silence is how long nothing at all may come back over a connection in use.
	silence = time.Second
	// defaultCallTimeout bounds a Call whose context has no deadline.
	defaultCallTimeout = 10 * time.Second
	// closeGrace is how long a closing Peer waits for messages under way.
	closeGrace = 2 * time.Second
	// minLinger, maxLinger and lingerRounds, in round trips, are how long the
	// last replies are given to leave.
	minLinger    = 50 * time.Millisecond
	maxLinger    = 500 * time.Millisecond
	lingerRounds = 3
	// refusalLogs is how many refused connections are logged a second.
	refusalLogs = 10
	// resetLabel sets the key of stateless resets apart from other uses of the
	// private key that it is derived from.
	resetLabel = "balsamwinch stateless reset"
)

// Error codes of streams and connections on the wire.
const (
	streamAbandoned quic.StreamErrorCode = 1 // streamAbandoned says that the sender no longer waits.
	streamClosing   quic.StreamErrorCode = 2 // streamClosing says that the peer is stopping.

	connectionClosed quic.ApplicationErrorCode = 0
)

// Handler handles a message from the instance with the given name, which its
// certificate proves. A message may arrive twice if a connection breaks, so
// handling must be idempotent. The returned message is the reply to a Call;
// what a handler returns for a message of Send is dropped. Handlers run
// concurrently. Messages of Send from one instance come one after the other, so
// a handler that blocks delays the sender and in the end makes it drop the
// oldest.
type Handler func(ctx context.Context, from string, ms Message) (Message, error)

// Config holds the settings of a Peer.
type Config struct {
	Self    string      // Self is the instance's name; it must be the one in the certificate.
	Address string      // Address is the IP number and port to listen at; port 0 takes a free one.
	TLS     *tls.Config // TLS comes from keys.Load.
}

// Peer speaks with the other instances. A connection carries messages from the
// instance that made it and the replies to them.
type Peer struct {
	cf Config
	co *Codec
	ha Handler
	ts *timer.Service
	lg *zap.Logger
	cs counters

	pc       net.PacketConn
	tr       *quic.Transport
	ln       *quic.EarlyListener
	qc       *quic.Config
	refusals *rate.Sometimes

	ctx    context.Context // ctx ends when the last connection is closed.
	cancel context.CancelFunc

	mu      sync.Mutex
	closing bool
	busy    sync.WaitGroup // busy counts streams being served and queues being sent.
	links   map[target]*link
	live    map[*quic.Conn]struct{}
}

// New returns a Peer that listens already; it answers once Serve runs. It
// returns a *result.Error if the settings are wrong or the address is taken.
func New(cf Config, co *Codec, ha Handler, ts *timer.Service, lg *zap.Logger) (*Peer, error) {
	const op = "peer.New"
	if name := keys.OwnName(cf.TLS); name != cf.Self {
		detail := fmt.Sprintf("the certificate is of %q, the settings name %q", name, cf.Self)
		return nil, &result.Error{Code: result.BadKey, Op: op, Detail: detail}
	}
	ap, err := netip.ParseAddrPort(cf.Address)
	if err != nil {
		return nil, &result.Error{Code: result.BadSettings, Op: op, Detail: "want an IP number and port", Err: err}
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
		refusals: &rate.Sometimes{First: refusalLogs, Interval: time.Second / refusalLogs},
		links:    make(map[target]*link),
		live:     make(map[*quic.Conn]struct{}),
	}
	pe.ctx, pe.cancel = context.WithCancel(context.Background())
	if pe.ln, err = pe.tr.ListenEarly(cf.TLS, pe.qc); err != nil {
		return nil, fmt.Errorf("listen at %s: %w", pc.LocalAddr(), err)
	}
	return pe, nil
}

// resetKey derives the key of stateless resets from the instance's private key.
//
// It guards against a restarted peer that stays unreachable: others go on
// sending over a connection of which the new process knows nothing, and find
// out only when it has been silent for long. With a key that is the same after
// the restart, the new process can tell them at their first packet that the
// connection is gone.
func resetKey(tc *tls.Config) (*quic.StatelessResetKey, error) {
	der, err := x509.MarshalPKCS8PrivateKey(tc.Certificates[0].PrivateKey)
	if err != nil {
		return nil, &result.Error{Code: result.BadKey, Op: "peer.New", Err: err}
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte(resetLabel), der...)))
	return &key, nil
}

// Address returns the IP number and port that the Peer listens at.
func (pe *Peer) Address() string {
	return pe.pc.LocalAddr().String()
}

// Serve accepts connections and handles messages until the context ends. It
// then lets messages under way finish, sends what is queued, tells the other
// ends and closes the socket. A Peer serves once.
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
		pe.busy.Wait()
		close(done)
	}()
	grace, cancel := context.WithTimeout(pe.ctx, closeGrace)
	defer cancel()
	select {
	case <-done:
	case <-grace.Done():
		pe.lg.Warn("peer closes with messages under way")
	}
	pe.linger()
	pe.cancel()
	for _, qc := range pe.connections() {
		qc.CloseWithError(connectionClosed, "closing")
	}
	pe.tr.Close()
	pe.pc.Close()
}

// linger lets the last replies leave. Closing a connection drops what its
// streams still hold, and a caller whose request was handled would be told that
// the connection broke. quic-go does not say when data has arrived, so some
// round trips are waited for.
func (pe *Peer) linger() {
	wait := time.Duration(0)
	for _, qc := range pe.connections() {
		wait = max(wait, minLinger, lingerRounds*qc.ConnectionStats().SmoothedRTT)
	}
	_ = pe.ts.Sleep(pe.ctx, min(wait, maxLinger))
}

// begin notes a piece of work that close waits for. It returns false if the
// Peer is closing.
func (pe *Peer) begin() bool {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if pe.closing {
		return false
	}
	pe.busy.Add(1)
	return true
}

// track keeps a connection in the list of those to close until it ends.
func (pe *Peer) track(qc *quic.Conn) {
	pe.mu.Lock()
	pe.live[qc] = struct{}{}
	pe.mu.Unlock()
	context.AfterFunc(qc.Context(), func() {
		pe.mu.Lock()
		delete(pe.live, qc)
		pe.mu.Unlock()
	})
}

func (pe *Peer) connections() []*quic.Conn {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	var qcs []*quic.Conn
	for qc := range pe.live {
		qcs = append(qcs, qc)
	}
	return qcs
}

// serveConn handles the messages of a connection that another instance made. No
// stream is accepted before the handshake is complete, so a peer without a key
// signed by the authority is heard by no handler.
func (pe *Peer) serveConn(qc *quic.Conn) {
	pe.track(qc)
	select {
	case <-qc.HandshakeComplete():
	case <-qc.Context().Done():
		pe.logRefusal(qc)
		return
	}
	from := keys.PeerName(qc.ConnectionState().TLS)
	var ended credit
	for {
		st, err := qc.AcceptStream(pe.ctx)
		if err != nil {
			return
		}
		if !pe.begin() {
			st.CancelRead(streamClosing)
			st.CancelWrite(streamClosing)
			ended.add(st)
			continue
		}
		go func() {
			pe.serveStream(from, st)
			ended.add(st)
		}()
	}
}

// credit holds streams that have ended until their credit is released together.
type credit struct {
	mu  sync.Mutex
	sts []*quic.Stream
}

func (cr *credit) add(st *quic.Stream) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.sts = append(cr.sts, st)
	if len(cr.sts) < creditBatch {
		return
	}
	for _, st := range cr.sts {
		st.ReleaseStreamCredit()
	}
	cr.sts = nil
}

// logRefusal says who was refused; the log must not be flooded by one that
// tries again and again.
func (pe *Peer) logRefusal(qc *quic.Conn) {
	er := transportError(context.Background(), context.Cause(qc.Context()), Lost)
	if er.Kind != BadKey {
		return
	}
	pe.refusals.Do(func() {
		pe.lg.Warn("peer refused: no key or a wrong one",
			zap.String("address", qc.RemoteAddr().String()), zap.Error(er.Err))
	})
}

// serveStream handles the messages of one stream in their order.
func (pe *Peer) serveStream(from string, st *quic.Stream) {
	defer pe.busy.Done()
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

// serveFrame handles the first message of data and returns the rest.
func (pe *Peer) serveFrame(from string, st *quic.Stream, data []byte) []byte {
	en, rest, err := pe.co.open(data)
	pe.cs.in(en.Kind, len(data)-len(rest))
	var ms, reply Message
	if err == nil {
		ms, err = pe.co.message(en)
	}
	if err != nil {
		pe.lg.Warn("message not understood", zap.String("from", from), zap.Error(err))
	} else {
		reply, err = pe.ha(st.Context(), from, ms)
	}
	if en.Reply {
		pe.reply(from, st, reply, err)
	} else if err != nil {
		pe.lg.Debug("message not handled", zap.String("from", from), zap.Error(err))
	}
	return rest
}

func (pe *Peer) reply(from string, st *quic.Stream, ms Message, err error) {
	frame, serr := pe.co.sealReply(ms, err)
	if serr != nil {
		pe.lg.Error("reply not sent", zap.String("to", from), zap.Error(serr))
		frame, _ = pe.co.sealReply(nil, serr)
	}
	ki := kindFailure
	if err == nil && serr == nil && ms != nil {
		ki = ms.Kind()
	}
	pe.cs.out(ki, len(frame))
	// A caller that has gone makes the write fail; nobody is left to be told.
	_, _ = st.Write(frame)
}

// readLimited reads a stream to its end. More than FrameLimit is refused before
// it is held in memory.
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
