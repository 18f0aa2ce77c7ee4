package guard

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// phase is what a connection is used for.
type phase int32

const (
	// phaseHead lasts from the end of a request to the end of the next header section.
	phaseHead phase = iota
	// phaseBody lasts while a body is read.
	phaseBody
	// phaseRun lasts while a request is executed and answered.
	phaseRun
	// phaseHijacked is for connections that no longer carry HTTP.
	phaseHijacked
)

// errHeadRefused is returned to net/http after a header section was refused. For an error of this
// type it closes the connection without an answer of its own.
var errHeadRefused = &net.OpError{Op: "read", Err: errors.New("header section refused")}

// Conn is a connection that is bounded by a guard.
type Conn struct {
	net.Conn
	guard    *Guard
	listener *Listener
	remote   netip.Addr

	phase atomic.Int32
	// received counts the bytes of the body so far, and bodySince is the sweep in which it began.
	received, bodySince atomic.Int64
	// writingSince is the sweep in which a write began that has not returned, or 0.
	writingSince atomic.Int64

	// born is the sweep in which the connection was accepted.
	born int64

	// The following fields are used by the goroutine that reads header sections.

	// started is set when the first byte that is no empty line has arrived; leadingEmpty counts
	// the bytes skipped before it.
	started      bool
	leadingEmpty int
	// headBytes and headLines count what arrived since the last request, and headCharged is
	// the part of its cost that was charged.
	headBytes, headLines, headCharged int64
	// sentAhead is set if more requests had arrived when the last one was answered, and ahead while such requests
	// are charged.
	sentAhead, ahead bool

	// early is set once a byte has arrived during a request, after its body.
	early    atomic.Bool
	arrivals arrivals

	// The following fields are guarded by guard.mu.

	// account is closed with the connection.
	account
	active bool
	// ending is set from when the guard has closed the connection until its goroutine ends.
	ending bool
	// queue is the list that the connection is in, or nil.
	queue          *queue
	previous, next *Conn
}

// connKey is the context key of a *Conn.
type connKey struct{}

// ConnContext returns a context of the requests on a connection, for ReadBody and Holding.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	g, _ := c.(*Conn)
	return ContextOf(ctx, g)
}

// ContextOf returns a context of work for a request on a connection, which may be nil.
func ContextOf(ctx context.Context, c *Conn) context.Context {
	if c == nil {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request, or nil if it is not bounded by a guard.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

func (c *Conn) charged() *account { return &c.account }

// evictable implements holder.
func (c *Conn) evictable() bool { return c.unfinished() }

// evict implements holder.
func (c *Conn) evict() {
	c.guard.counters.ClosedHolding++
	c.guard.close(c)
}

// unfinished reports whether the connection waits for the client: for the rest of a request, or
// for the client to read its answer.
func (c *Conn) unfinished() bool {
	p := phase(c.phase.Load())
	return p == phaseHead || p == phaseBody || (p == phaseRun && c.writingSince.Load() > 0)
}

// unfinishedSince returns the sweep since which a body or an answer waits for the client.
func (c *Conn) unfinishedSince() int64 {
	if since := c.writingSince.Load(); since > 0 {
		return since
	}
	return c.bodySince.Load()
}

// Handler returns a handler that tells the guard when a header section has arrived completely.
// http.StateActive doesn't: net/http skips it for a pipelined request that is in its buffer.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r.Context()); c != nil && (!c.begin() || !c.chargeAhead()) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", retryAfter)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// retryAfter is the time, in seconds, after which a refused request may be sent again.
const retryAfter = "1"

// begin is called when a header section has arrived completely. It returns false if too many
// requests are in progress. They are limited because the kernel may hold full buffers for each;
// connections without a request are read from at once.
func (c *Conn) begin() bool {
	c.phase.Store(int32(phaseRun))
	g, l := c.guard, c.listener
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed || c.active {
		return true
	}
	if l.activeLimit > 0 && l.active >= l.activeLimit && !l.closeOldest(func(*Conn) bool { return true }) {
		g.counters.RefusedBusy++
		return false
	}
	c.active = true
	l.active++
	c.queue.remove(c)
	return true
}

// hijack is called when the connection no longer carries HTTP.
func (c *Conn) hijack() {
	c.phase.Store(int32(phaseHijacked))
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.active {
		c.active = false
		c.listener.active--
	}
	c.dropAhead()
}

// end is called when a request was answered and the connection is kept.
func (c *Conn) end() {
	c.headBytes, c.headLines, c.headCharged = 0, 0, 0
	c.arrivals.next()
	c.phase.Store(int32(phaseHead))
	// A client that has just read its answer may send one more request before the background read of net/http ends.
	c.sentAhead = c.early.Swap(false) && c.unread() > freeBytes
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed {
		return
	}
	if c.ahead {
		g.reduce(c, c.held-g.aheadBytes())
		return
	}
	g.drop(c)
	if c.active {
		c.active = false
		c.listener.active--
	}
	c.queue.remove(c)
	c.listener.idle.push(c)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (n int, err error) {
	for {
		if c.isDrained() {
			c.leaveAhead()
		}
		n, err = c.Conn.Read(p)
		if n <= 0 {
			return n, err
		}
		switch phase(c.phase.Load()) {
		case phaseBody:
			c.received.Add(int64(n))
			c.recordRead()
			return n, err
		case phaseHead:
		case phaseRun:
			c.early.Store(true)
			c.recordEarly()
			return n, err
		default:
			return n, err
		}
		if !c.started {
			n = c.skipEmpty(p, n)
			if n == 0 && err == nil {
				continue
			}
		}
		c.recordHead()
		if !c.countHead(p[:n]) {
			return 0, errHeadRefused
		}
		return n, err
	}
}

// skipEmpty drops empty lines before the first request, which a server should ignore (RFC 9112,
// section 2.2). It returns the number of bytes left in p.
func (c *Conn) skipEmpty(p []byte, n int) int {
	skip := 0
	for skip < n && c.leadingEmpty < maxLeadingEmpty && (p[skip] == '\r' || p[skip] == '\n') {
		skip++
		c.leadingEmpty++
	}
	c.started = skip < n
	return copy(p, p[skip:n])
}

// countHead counts bytes of a header section. It returns false if the request was refused.
func (c *Conn) countHead(p []byte) bool {
	c.headBytes += int64(len(p))
	c.headLines += int64(bytes.Count(p, []byte{'\n'}))
	limit := c.listener.headerBytes.Load()
	switch g := c.guard; {
	case c.headBytes > limit+headSlack:
		g.count(func(n *Counters) { n.HeadTooLong++ })
		c.refuse("431 Request Header Fields Too Large", "")
		return false
	// The bytes of another request in the first and the last read are at most headSlack lines.
	case c.headLines > int64(g.limits.HeaderLines)+headSlack:
		g.count(func(n *Counters) { n.TooManyLines++ })
		c.refuse("431 Request Header Fields Too Large", "")
		return false
	}
	cost := headCost(c.headBytes, c.headLines) - c.headCharged
	if cost <= 0 {
		return true
	}
	if !c.guard.charge(c, cost, false) {
		// Nothing of the request was passed on, so it has not run.
		c.refuse("503 Service Unavailable", "Retry-After: "+retryAfter+"\r\n")
		return false
	}
	c.headCharged += cost
	return true
}

// refuse answers a request whose header section is not complete. No other answer is being written
// then.
func (c *Conn) refuse(status, header string) {
	open, crowded := c.markRefused()
	if !open {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(sweepInterval))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\n"+header+"Connection: close\r\nContent-Length: 0\r\n\r\n")
	// The answer would be lost if the connection were closed while bytes are unread. In a crowd
	// that is no matter.
	if crowded || c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(refusalLinger)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, struct{ io.Reader }{c.Conn}, refusalDiscard)
}

// markRefused makes the connection the first to be closed for another one. It reports whether the
// connection is open, and whether more than half of the connections of the listener are in use.
func (c *Conn) markRefused() (open, crowded bool) {
	g, l := c.guard, c.listener
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed {
		return false, true
	}
	c.queue.remove(c)
	l.refused.push(c)
	return true, 2*len(l.conns) > l.limit
}

// count changes the counters.
func (g *Guard) count(f func(*Counters)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.counters)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (n int, err error) {
	for {
		c.writingSince.Store(c.guard.sweeps.Load())
		written, err := c.Conn.Write(p[n:min(n+writePiece, len(p))])
		c.writingSince.Store(0)
		n += written
		if err != nil || n == len(p) {
			return n, err
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.guard.mu.Lock()
	c.guard.forget(c)
	if c.ending {
		c.ending = false
		c.listener.ending--
		c.listener.ended.Signal()
		c.guard.release(c)
	}
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending direction. net/http calls it before it closes a connection on
// which the client may still be sending, so that the client can read the answer.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.New("the connection has no descriptor")
}
