package demo

import (
	"net"
	"sync"
)

// connTracker remembers listeners and accepted connections, to cut them all.
type connTracker struct {
	mu    sync.Mutex
	conns  []net.Conn
	listeners []net.Listener
	closed  bool
}

// trackedListener adds what it accepts to its tracker.
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

// cut closes everything.
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
