package guard

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
)

// ListenerOptions are the limits of one listener.
type ListenerOptions struct {
	// Name names the listener in the status.
	Name string
	// Connections and PerAddress limit the open connections, in all and of one client address;
	// a PerAddress of 0 means that only the total is limited.
	Connections, PerAddress int
	// Active limits the connections with a request in progress; 0 means no limit.
	Active int
	// HeaderBytes limits the header section of a request. SetHeaderBytes changes it.
	HeaderBytes int
}

// Listener is a listener whose connections are bounded by a guard.
type Listener struct {
	net.Listener
	guard       *Guard
	name        string
	limit       int
	perAddress  int
	activeLimit int
	// headerBytes is the limit on header sections, and defaultHeaderBytes the one of the options.
	headerBytes        atomic.Int64
	defaultHeaderBytes int

	// The following fields are guarded by guard.mu.

	conns map[*Conn]struct{}
	// refused are the connections that were refused and are about to be closed, fresh those on
	// which no request has arrived completely, and idle those between two requests, all in the
	// order in which they became so.
	refused, fresh, idle queue
	// active is the number of connections with a request.
	active int
	// ending is the number of connections that the guard has closed and whose goroutines still
	// run. Accept waits on ended while there are too many: their memory is not free yet.
	ending int
	ended  *sync.Cond
	closed bool
	// byAddress counts the connections of each client address if that number is limited.
	byAddress map[netip.Addr]int
}

// Listen returns a listener whose connections are bounded.
func (g *Guard) Listen(l net.Listener, o ListenerOptions) *Listener {
	out := &Listener{
		Listener: l, guard: g, name: o.Name, limit: o.Connections, perAddress: o.PerAddress, activeLimit: o.Active,
		defaultHeaderBytes: o.HeaderBytes, conns: map[*Conn]struct{}{}, byAddress: map[netip.Addr]int{},
	}
	out.ended = sync.NewCond(&g.mu)
	out.SetHeaderBytes(o.HeaderBytes)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, out)
	return out
}

// SetHeaderBytes sets the limit on header sections. 0 stands for the one of the options.
func (l *Listener) SetHeaderBytes(n int) {
	if n <= 0 {
		n = l.defaultHeaderBytes
	}
	l.headerBytes.Store(int64(n))
}

// Accept implements net.Listener. A connection beyond the limits takes the place of one without
// a request. If there is none, it is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.awaitEnded()
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l, guard: l.guard, born: l.guard.sweeps.Load()}
		if l.perAddress > 0 {
			c.remote = remoteAddress(raw)
		}
		if l.admit(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// awaitEnded waits until few connections that the guard has closed still have a goroutine. Without
// it, a flood of connections that are closed at once for their large heads took the memory of many
// more than are open.
func (l *Listener) awaitEnded() {
	l.guard.mu.Lock()
	defer l.guard.mu.Unlock()
	for l.ending > max(l.limit/endingFraction, minEnding) && !l.closed {
		l.ended.Wait()
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.guard.mu.Lock()
	l.closed = true
	l.ended.Broadcast()
	l.guard.mu.Unlock()
	return l.Listener.Close()
}

// admit registers a new connection, and reports whether there is room for it.
func (l *Listener) admit(c *Conn) bool {
	g := l.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.perAddress > 0 && l.byAddress[c.remote] >= l.perAddress {
		if !l.makeRoom(func(other *Conn) bool { return other.remote == c.remote }) {
			return false
		}
	}
	if len(l.conns) >= l.limit && !l.makeRoom(func(*Conn) bool { return true }) {
		return false
	}
	l.conns[c] = struct{}{}
	if l.perAddress > 0 {
		l.byAddress[c.remote]++
	}
	l.fresh.push(c)
	return true
}

// makeRoom closes one of the connections that match and have no request in execution. Those that
// were refused go first, and then the largest header section beyond ordinary size. Next are those
// on which no request ever arrived, if they are the majority or had a second for it, so that a crowd
// of them doesn't displace callers that reuse theirs; of the others the longest idle one goes
// first. A body that has not arrived completely, or an answer that is not read, comes last. The
// caller holds guard.mu.
func (l *Listener) makeRoom(match func(*Conn) bool) bool {
	g := l.guard
	if l.refused.length == 0 && l.closeLargestHead(match) {
		return true
	}
	queues := [3]*queue{&l.refused, &l.idle, &l.fresh}
	if first := l.fresh.first; 2*l.fresh.length > l.limit || (first != nil && g.sweeps.Load()-first.born > 1) {
		queues = [3]*queue{&l.refused, &l.fresh, &l.idle}
	}
	for _, q := range queues {
		for c := q.first; c != nil; c = c.next {
			if match(c) {
				g.counters.ClosedIdle++
				g.close(c)
				return true
			}
		}
	}
	if l.closeOldest(match) {
		return true
	}
	g.counters.Refused++
	return false
}

// closeLargestHead closes the connection that matches and holds the largest part of a header
// section that has not arrived completely. The caller holds guard.mu.
func (l *Listener) closeLargestHead(match func(*Conn) bool) bool {
	var largest *Conn
	for h := range l.guard.holders {
		c, ok := h.(*Conn)
		if ok && c.listener == l && phase(c.phase.Load()) == phaseHead && match(c) && (largest == nil || c.held > largest.held) {
			largest = c
		}
	}
	if largest == nil {
		return false
	}
	l.guard.counters.ClosedHolding++
	l.guard.close(largest)
	return true
}

// closeOldest closes the connection that matches and has waited longest for its client, for the
// rest of a body or for an answer to be read. The caller holds guard.mu.
func (l *Listener) closeOldest(match func(*Conn) bool) bool {
	var oldest *Conn
	for c := range l.conns {
		if c.active && match(c) && c.unfinished() && (oldest == nil || c.unfinishedSince() < oldest.unfinishedSince()) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	l.guard.counters.ClosedUnfinished++
	l.guard.close(oldest)
	return true
}

// SetState is the ConnState function of the server of a listener.
func SetState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		c.end()
	case http.StateHijacked:
		c.hijack()
	default:
		// A connection registers when it is accepted and leaves when it is closed, and Handler
		// tells when a request begins.
	}
}

// Active returns the number of connections on which a request is read, executed or answered.
// Requests whose header section has not arrived completely don't count.
func (l *Listener) Active() int {
	l.guard.mu.Lock()
	defer l.guard.mu.Unlock()
	return l.active
}

// queue is a list of connections that are linked by their own fields.
type queue struct {
	first, last *Conn
	length      int
}

func (q *queue) push(c *Conn) {
	c.queue, c.previous, c.next = q, q.last, nil
	if q.last != nil {
		q.last.next = c
	} else {
		q.first = c
	}
	q.last = c
	q.length++
}

// remove removes a connection. A nil queue stands for a connection that is in none.
func (q *queue) remove(c *Conn) {
	if q == nil {
		return
	}
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		q.first = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		q.last = c.previous
	}
	c.queue, c.previous, c.next = nil, nil, nil
	q.length--
}
