// Package peer manages the links between instances: WebSocket connections that carry
// CBOR messages. It dials the given peers, exchanges hello messages, and keeps one link
// per peer. Packages of core decide what is sent and what follows from a lost link.
package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/guard"
	"hyssoppitch/io/reply"
)

// Path is the path of the control listener that accepts links.
const Path = "/peer"

const (
	// maxMessageBytes is the maximum size of a message. The largest message is one part of
	// the configuration with its envelope.
	maxMessageBytes = 2 << 20
	// maxHelloBytes is the maximum size of a Hello message, before which nothing is known about
	// the sender. An instance's name, address and data centre take less than 1 KiB.
	maxHelloBytes = 16 << 10
	// maxHeadBytes is the maximum size of the headers of a peer's reply to a handshake.
	maxHeadBytes = 64 << 10
	// sendQueueSize is the number of messages that may be queued for a slow link. Send
	// closes the link when the queue is full.
	sendQueueSize = 1024
	// dialTimeout, helloTimeout and writeTimeout limit the time to open a connection, to
	// exchange hello messages and to write one message.
	dialTimeout = time.Second
	// connectTimeout limits the TCP handshake, which needs no work of the peer's process. A
	// machine without power doesn't answer, and an attempt that began before it came back
	// would wait for the retransmission of its first packet.
	connectTimeout = 300 * time.Millisecond
	helloTimeout   = time.Second
	writeTimeout   = 2 * time.Second
	// redialDelay is the delay between two attempts to connect to a peer, and
	// unlinkedRedialDelay the same for an instance without links: it can get nothing from its
	// peers.
	redialDelay         = 300 * time.Millisecond
	unlinkedRedialDelay = 50 * time.Millisecond
	// A link on which nothing arrives for maxSilentChecks checks in a row is closed: its
	// connection may have gone silent for good, while a new one would work. Peers ping each
	// other twice a second. Checks are counted instead of time, so that an instance that was
	// suspended doesn't close the links of the peers that it didn't hear.
	silenceCheckInterval = 500 * time.Millisecond
	maxSilentChecks      = 4
)

// The causes of the end of a link, for logs.
var (
	errSilent    = errors.New("nothing arrived for too long")
	errReplaced  = errors.New("replaced by another link to the peer")
	errQueueFull = errors.New("the send queue is full")
	errClosed    = errors.New("this instance stops")
)

// Sink receives messages and changes of links as events.
type Sink interface {
	// Post queues an event for the engine.
	Post(e event.Event)
	// PostAndWait queues an event and returns when the engine has handled it.
	PostAndWait(e event.Event)
}

// Counters counts what was sent over links.
type Counters struct {
	MessagesSent uint64 `json:"messages-sent"`
	BytesSent    uint64 `json:"bytes-sent"`
	// DirectoryBytesSent is the part of BytesSent that carries changes of the directory.
	DirectoryBytesSent uint64 `json:"directory-bytes-sent"`
	BytesReceived      uint64 `json:"bytes-received"`
	// LongestWriteMicros is the longest time that a link took for a message, in microseconds.
	LongestWriteMicros int64 `json:"longest-write-us"`
}

// Hub manages the links of one instance. It is safe for concurrent use.
type Hub struct {
	self   model.Instance
	sink   Sink
	memory *guard.Guard
	client *http.Client
	group  sync.WaitGroup
	long   *longMessages
	update updateEncoder
	// The fields of Counters.
	messagesSent, bytesSent, directoryBytesSent, bytesReceived atomic.Uint64
	longestWriteMicros                                         atomic.Int64

	mu    sync.Mutex
	links map[model.InstanceID]*link
	// reached holds the peer that was last reached at each dialed address. It may be known to
	// others by another address.
	reached map[string]model.InstanceID
	// dials counts the connections that this instance has dialed.
	dials uint64
	// dialing holds, for each address with a dialer, the function that stops the dialer.
	dialing map[string]context.CancelFunc
	closed  bool
}

// link is one connection to a peer.
type link struct {
	peer model.Instance
	// dialer is the instance that opened the connection, and dial its number there.
	dialer model.InstanceID
	dial   uint64
	// inflates is set if the peer takes compressed messages.
	inflates  bool
	conn      *websocket.Conn
	out       chan []byte
	done      chan struct{}
	closeOnce sync.Once
	// cause is why the link was closed by this instance. It is set before done is closed.
	cause error
	// received counts the messages that arrived.
	received atomic.Uint64
}

func (l *link) close(cause error) {
	l.closeOnce.Do(func() {
		l.cause = cause
		close(l.done)
	})
}

// closeWhenSilent closes the link when nothing arrives on it for too long.
func (l *link) closeWhenSilent() {
	tick := time.NewTicker(silenceCheckInterval)
	defer tick.Stop()
	silentChecks, before := 0, l.received.Load()
	for silentChecks < maxSilentChecks {
		select {
		case <-l.done:
			return
		case <-tick.C:
		}
		received := l.received.Load()
		silentChecks++
		if received != before {
			silentChecks, before = 0, received
		}
	}
	l.close(errSilent)
}

// outranks reports whether both sides keep l in place of o, another link to the same incarnation of
// the peer: the one that was dialed by the instance with the smaller ID, or dialed later by the
// same instance, which has given up the earlier one.
func (l *link) outranks(o *link) bool {
	if l.dialer != o.dialer {
		return l.dialer < o.dialer
	}
	return l.dial >= o.dial
}

// NewHub returns a hub without links. memory is charged for what peers send.
func NewHub(self model.Instance, sink Sink, memory *guard.Guard) *Hub {
	dialer := net.Dialer{Timeout: connectTimeout}
	client := &http.Client{Transport: &reply.Transport{
		Upgrade: true, Transport: &http.Transport{DialContext: reply.Dial(dialer, memory), MaxResponseHeaderBytes: maxHeadBytes},
	}}
	return &Hub{self: self, sink: sink, memory: memory, client: client, long: newLongMessages(memory), links: map[model.InstanceID]*link{}, reached: map[string]model.InstanceID{}, dialing: map[string]context.CancelFunc{}}
}

// SetPeers sets the addresses to keep links to. The hub dials each address, and redials
// when a link ends, until a later call leaves the address out. It ignores this instance's
// own address.
func (h *Hub) SetPeers(ctx context.Context, addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	want := map[string]bool{}
	for _, a := range addresses {
		want[a] = a != h.self.Address
	}
	for a, cancel := range h.dialing {
		if !want[a] {
			cancel()
			delete(h.dialing, a)
			delete(h.reached, a)
		}
	}
	for a, wanted := range want {
		if !wanted || h.dialing[a] != nil {
			continue
		}
		dialCtx, cancel := context.WithCancel(ctx)
		h.dialing[a] = cancel
		h.group.Go(func() { h.dialLoop(dialCtx, a) })
	}
}

// hasLinkTo reports whether there is a link to the instance at an address.
func (h *Hub) hasLinkTo(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		if l.peer.Address == address {
			return true
		}
	}
	return h.links[h.reached[address]] != nil
}

// redialDelay returns the delay before the next attempt to connect to a peer.
func (h *Hub) redialDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.links) == 0 {
		return unlinkedRedialDelay
	}
	return redialDelay
}

func (h *Hub) dialLoop(ctx context.Context, address string) {
	for ctx.Err() == nil {
		if !h.hasLinkTo(address) {
			// The error is ignored: dialLoop retries while there is no link.
			_ = h.dial(ctx, address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(h.redialDelay()):
		}
	}
}

func (h *Hub) dial(ctx context.Context, address string) (err error) {
	defer func() { err = errors.Wrapf(err, "link to %s", address) }()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, reply, err := websocket.Dial(dialCtx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: h.client})
	cancel()
	if err != nil {
		return err
	}
	if reply != nil && reply.Body != nil {
		_ = reply.Body.Close()
	}
	return h.serveLink(ctx, conn, address)
}

// ServeHTTP accepts a link.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	h.mu.Lock()
	closed := h.closed
	if !closed {
		h.group.Add(1)
	}
	h.mu.Unlock()
	if closed {
		_ = conn.CloseNow()
		return
	}
	defer h.group.Done()
	_ = h.serveLink(context.WithoutCancel(r.Context()), conn, "")
}

// serveLink exchanges hello messages, registers the link and serves it until it ends. dialed is the
// address that this instance has dialed, or empty if the peer has opened the connection.
func (h *Hub) serveLink(ctx context.Context, conn *websocket.Conn, dialed string) (err error) {
	defer func() { _ = conn.CloseNow() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in := &receiver{conn: conn, limit: maxHelloBytes, memory: h.memory.Reserve(cancel), long: h.long}
	defer in.release()
	own := event.Hello{Self: h.self, Inflates: true}
	if dialed != "" {
		own.Dial = h.nextDial()
	}
	hello, err := exchangeHello(ctx, in, own)
	if err != nil {
		return err
	}
	in.limit = maxMessageBytes
	peer := hello.Self
	l := &link{peer: peer, dialer: peer.ID, dial: hello.Dial, inflates: hello.Inflates, conn: conn, out: make(chan []byte, sendQueueSize), done: make(chan struct{})}
	if dialed != "" {
		l.dialer, l.dial = h.self.ID, own.Dial
		h.recordReached(dialed, peer.ID)
	}
	if !h.register(l) {
		return nil
	}
	defer func() { h.unregister(l, err) }()
	go func() {
		h.writeLoop(ctx, l)
		cancel()
	}()
	go l.closeWhenSilent()
	return h.readLoop(ctx, l, in)
}

// nextDial returns the number of the next connection that this instance dials.
func (h *Hub) nextDial() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dials++
	return h.dials
}

// recordReached records which peer was reached at an address.
func (h *Hub) recordReached(address string, peer model.InstanceID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reached[address] = peer
}

// exchangeHello sends a Hello message and returns the one received.
func exchangeHello(ctx context.Context, in *receiver, own event.Hello) (hello *event.Hello, err error) {
	defer func() { err = errors.Wrap(err, "greet") }()
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	data, err := cbor.Marshal(event.Message{Hello: &own})
	if err != nil {
		return nil, err
	}
	if err := in.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return nil, err
	}
	m, _, err := in.receive(ctx)
	if err != nil {
		return nil, err
	}
	if m.Hello == nil || m.Hello.Self.ID == "" {
		return nil, errors.New("the first message is not a Hello with an instance ID")
	}
	if m.Hello.Self.ID == own.Self.ID {
		return nil, errors.Newf("the peer has the same instance ID %q as this instance", own.Self.ID)
	}
	return m.Hello, nil
}

// register adds a link, unless there is one to be kept in its place, and closes the link
// that it replaces. A link to a newer incarnation of the peer replaces the older one.
func (h *Hub) register(l *link) bool {
	h.mu.Lock()
	old := h.links[l.peer.ID]
	keepOld := old != nil && (old.peer.Incarnation > l.peer.Incarnation ||
		(old.peer.Incarnation == l.peer.Incarnation && old.outranks(l)))
	if h.closed || keepOld {
		h.mu.Unlock()
		return false
	}
	h.links[l.peer.ID] = l
	h.mu.Unlock()
	if old != nil {
		old.close(errReplaced)
	}
	h.sink.Post(event.PeerLinked{Peer: l.peer})
	return true
}

// unregister removes a link that has ended with an error.
func (h *Hub) unregister(l *link, err error) {
	l.close(err)
	h.mu.Lock()
	last := h.links[l.peer.ID] == l
	if last {
		delete(h.links, l.peer.ID)
	}
	h.mu.Unlock()
	if last {
		lost := event.PeerLost{Peer: l.peer.ID, Incarnation: l.peer.Incarnation}
		if l.cause != nil {
			lost.Cause = l.cause.Error()
		}
		h.sink.Post(lost)
	}
}

func (h *Hub) readLoop(ctx context.Context, l *link, in *receiver) error {
	for {
		m, long, err := in.receive(ctx)
		if err != nil {
			return errors.Wrapf(err, "receive from %s", l.peer.ID)
		}
		l.received.Add(1)
		h.bytesReceived.Add(in.received)
		received := event.MessageReceived{From: l.peer.ID, Message: m}
		if long {
			h.sink.PostAndWait(received)
		} else {
			h.sink.Post(received)
		}
	}
}

func (h *Hub) writeLoop(ctx context.Context, l *link) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.done:
			return
		case data := <-l.out:
			writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			began := time.Now()
			err := l.conn.Write(writeCtx, websocket.MessageBinary, data)
			h.recordWrite(len(data), time.Since(began))
			cancel()
			if err != nil {
				l.close(err)
				return
			}
		}
	}
}

// Counters returns the counters of the hub.
func (h *Hub) Counters() Counters {
	return Counters{
		MessagesSent: h.messagesSent.Load(), BytesSent: h.bytesSent.Load(), DirectoryBytesSent: h.directoryBytesSent.Load(),
		BytesReceived: h.bytesReceived.Load(), LongestWriteMicros: h.longestWriteMicros.Load(),
	}
}

// recordWrite counts a message that was written.
func (h *Hub) recordWrite(bytes int, took time.Duration) {
	h.messagesSent.Add(1)
	h.bytesSent.Add(uint64(bytes)) //nolint:gosec // not negative
	for longest := h.longestWriteMicros.Load(); took.Microseconds() > longest; longest = h.longestWriteMicros.Load() {
		if h.longestWriteMicros.CompareAndSwap(longest, took.Microseconds()) {
			return
		}
	}
}

// Send queues a message for a peer. It drops the message when there is no link. When the
// queue is full, it closes the link and returns an error; the hub then connects again.
func (h *Hub) Send(to model.InstanceID, m event.Message) (err error) {
	defer func() { err = errors.Wrapf(err, "send to %s", to) }()
	h.mu.Lock()
	l := h.links[to]
	h.mu.Unlock()
	if l == nil {
		return nil
	}
	var data []byte
	if m.Directory != nil {
		data, err = h.update.encode(m.Directory, l.inflates)
		h.directoryBytesSent.Add(uint64(len(data)))
	} else {
		data, err = cbor.Marshal(m)
	}
	if err != nil {
		return err
	}
	select {
	case l.out <- data:
	default:
		l.close(errQueueFull)
		return errQueueFull
	}
	return nil
}

// Close closes all links, stops all dialers and waits for both.
func (h *Hub) Close() {
	h.mu.Lock()
	h.closed = true
	for _, cancel := range h.dialing {
		cancel()
	}
	for _, l := range h.links {
		l.close(errClosed)
	}
	h.mu.Unlock()
	h.group.Wait()
}
