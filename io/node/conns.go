package node

import (
	"net"
	"net/http"
	"sync"
)

// connTracker tracks on which connections of callers a request is being read, executed or
// answered. It is safe for concurrent use.
type connTracker struct {
	mu     sync.Mutex
	active map[net.Conn]struct{}
}

func newConnTracker() *connTracker { return &connTracker{active: map[net.Conn]struct{}{}} }

// setState is the ConnState function of the callers' server.
func (t *connTracker) setState(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s == http.StateActive {
		t.active[c] = struct{}{}
	} else {
		delete(t.active, c)
	}
}

// activeCount returns the number of connections with a request.
func (t *connTracker) activeCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.active)
}
