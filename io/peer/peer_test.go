package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/guard"
	"hyssoppitch/io/peer"
)

// silentProxy forwards connections to an address until it is told to drop what their two sides
// send. Neither side is closed.
type silentProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	pairs    []*proxyPair
}

type proxyPair struct {
	a, b   net.Conn
	silent atomic.Bool
}

func newSilentProxy(t *testing.T, target string) *silentProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silentProxy{listener: listener, target: target}
	go p.accept()
	t.Cleanup(func() { _ = listener.Close() })
	return p
}

func (p *silentProxy) accept() {
	for {
		a, err := p.listener.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = a.Close()
			continue
		}
		pair := &proxyPair{a: a, b: b}
		p.mu.Lock()
		p.pairs = append(p.pairs, pair)
		p.mu.Unlock()
		go pair.forward(a, b)
		go pair.forward(b, a)
	}
}

func (p *proxyPair) forward(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			// The end of a silent connection isn't noticed on the other side either.
			if err != nil {
				return
			}
			continue
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silence makes the open connections carry nothing any more, and returns their number.
func (p *silentProxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pair := range p.pairs {
		pair.silent.Store(true)
	}
	return len(p.pairs)
}

// instance is a hub with the events that it has posted.
type instance struct {
	*peer.Hub
	self   model.Instance
	mu     sync.Mutex
	linked int
	lost   []string
	heard  time.Time
}

// Post implements peer.Sink.
// PostAndWait implements peer.Sink.
func (n *instance) PostAndWait(e event.Event) { n.Post(e) }

func (n *instance) Post(e event.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch e := e.(type) {
	case event.PeerLinked:
		n.linked++
	case event.PeerLost:
		n.lost = append(n.lost, e.Cause)
	case event.MessageReceived:
		n.heard = time.Now()
	}
}

// heardSince reports whether a message has arrived since a time.
func (n *instance) heardSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.heard.After(at)
}

func (n *instance) linkCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linked
}

func (n *instance) lostCauses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.lost...)
}

// systemClock is the machine's clock.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// startInstance starts an instance that pings a peer until the test ends.
func startInstance(t *testing.T, id, pings model.InstanceID) *instance {
	t.Helper()
	n := &instance{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.ServeHTTP(w, r) }))
	n.self = model.Instance{ID: id, Incarnation: 1, Address: server.Listener.Addr().String()}
	n.Hub = peer.NewHub(n.self, n, guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}))
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if err := n.Send(pings, event.Message{Ping: &event.Ping{SentAt: time.Now().UnixNano()}}); err != nil {
				t.Errorf("%s can't ping: %v", id, err)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	t.Cleanup(func() { cancel(); <-done; n.Close(); server.Close() })
	return n
}

// await waits until a condition holds.
func await(t *testing.T, limit time.Duration, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("after %v: %s", limit, what)
		}
	}
}

// TestSilentLinkIsReplaced guards against links that carry nothing any more and are never replaced, so
// that instances take each other for dead although new connections work: it happens within the 3.5 s
// after which a silent instance is taken for dead.
func TestSilentLinkIsReplaced(t *testing.T) {
	a, b := startInstance(t, "a", "b"), startInstance(t, "b", "a")
	proxy := newSilentProxy(t, b.self.Address)
	a.SetPeers(context.Background(), []string{proxy.listener.Addr().String()})
	bothHear := func(since time.Time) func() bool {
		return func() bool { return a.heardSince(since) && b.heardSince(since) }
	}
	await(t, 5*time.Second, "the instances are not linked", bothHear(time.Time{}))
	if n := proxy.silence(); n != 1 {
		t.Errorf("connections: got %d, want one", n)
	}
	// What was sent before may still be handled.
	time.Sleep(50 * time.Millisecond)
	silentSince := time.Now()
	await(t, 3500*time.Millisecond-time.Since(silentSince), "the silent link is not replaced", bothHear(silentSince))
	if causes := a.lostCauses(); len(causes) == 0 || causes[0] == "" {
		t.Errorf("got lost links %q, want one with a cause", causes)
	}
}

// TestPeerKnownByAnotherAddressKeepsItsLink guards against links that replace each other without end:
// a peer that is dialed at two addresses gets one link.
func TestPeerKnownByAnotherAddressKeepsItsLink(t *testing.T) {
	a, b := startInstance(t, "a", "b"), startInstance(t, "b", "a")
	proxy := newSilentProxy(t, b.self.Address)
	a.SetPeers(context.Background(), []string{proxy.listener.Addr().String(), b.self.Address})
	await(t, 5*time.Second, "the instances are not linked", func() bool { return a.linkCount() > 0 })
	// Of two connections that are dialed at once one is closed.
	time.Sleep(time.Second)
	links, lost := a.linkCount(), len(a.lostCauses())
	time.Sleep(2 * time.Second)
	if got := a.linkCount(); got != links {
		t.Errorf("links in two seconds: got %d new ones, want none", got-links)
	}
	if got := a.lostCauses()[lost:]; len(got) > 0 {
		t.Errorf("links lost in two seconds: got %q, want none", got)
	}
}
