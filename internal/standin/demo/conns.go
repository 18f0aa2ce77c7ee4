package demo

import (
	"net"
	"sync"
)

// connTracker remembers listeners and accepted connections, to cut them all.
type connTracker struct {
	mu    sync.Mutex
	open  []net.Conn
	ports []net.Listener
	dead  bool
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
	t.ports = append(t.ports, l)
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
	if l.tracker.dead {
		_ = c.Close()
	}
	l.tracker.open = append(l.tracker.open, c)
	return c, nil
}

// cut closes everything.
func (t *connTracker) cut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dead = true
	for _, l := range t.ports {
		_ = l.Close()
	}
	for _, c := range t.open {
		_ = c.Close()
	}
}
