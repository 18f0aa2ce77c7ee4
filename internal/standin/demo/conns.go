package demo

import (
	"net"
	"sync"
)

// connTracker records listeners and accepted connections so that all can be closed.
type connTracker struct {
	mu        sync.Mutex
	conns     []net.Conn
	listeners []net.Listener
	closed    bool
}

// trackedListener records the connections that it accepts in its tracker.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

func (t *connTracker) listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, l)
	return &trackedListener{Listener: l, tracker: t}, nil
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	if l.tracker.closed {
		_ = c.Close()
	}
	l.tracker.conns = append(l.tracker.conns, c)
	return c, nil
}

// closeAll closes all listeners and connections.
func (t *connTracker) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, l := range t.listeners {
		_ = l.Close()
	}
	for _, c := range t.conns {
		_ = c.Close()
	}
}
