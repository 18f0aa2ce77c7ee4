package pass

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"hyssoppitch/core/event"
	"hyssoppitch/io/guard"
)

const (
	// dialTimeout limits the time to open a connection. The handshake with a server in
	// another region takes about 50 ms.
	dialTimeout = 600 * time.Millisecond
	// defaultIdleTimeout is how long an unused connection is kept open when the server
	// names no timeout.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is subtracted from the timeout that the server names.
	idleMargin = 500 * time.Millisecond
	// maxFreshIdle is the maximum time that a connection may have been idle to be used for
	// a request that can't be retried. Servers may drop idle connections without notice.
	maxFreshIdle = 250 * time.Millisecond
	// surplusIdle is how long an unused connection is kept beyond the first keptIdle ones to
	// an address. All instances together may open only so many connections to a server, and
	// those that one of them opened for a burst would keep the others out.
	surplusIdle = 2 * time.Second
	keptIdle    = 2
	// sweepInterval is the interval at which expired connections are closed.
	sweepInterval = time.Second
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 2048
	// maxUnsuccessful is the number of requests without success that a connection may carry.
	maxUnsuccessful = 64
)

// ConnectionCounters counts the connections to backend servers and their use.
type ConnectionCounters struct {
	// Opened and Failed count the connections that were opened and that could not be opened.
	Opened uint64 `json:"connections-opened"`
	Failed uint64 `json:"connections-failed"`
	// Reused counts the exchanges on connections that had carried others before.
	Reused uint64 `json:"connections-reused"`
	// PassedOver counts the exchanges for which an unused connection was open that may not carry the
	// request.
	PassedOver uint64 `json:"connections-passed-over"`
	// Unattributed counts the replies that named another request than the one that was sent, or none
	// although they weren't the first on their connection.
	Unattributed uint64 `json:"replies-unattributed"`
}

// connPool holds the connections to backend servers. It is safe for concurrent use.
type connPool struct {
	clock  Clock
	memory *guard.Guard
	// digestSeed is the seed of the digests of request IDs.
	digestSeed maphash.Seed
	// The fields of ConnectionCounters.
	opened, failed, reused, passedOver, unattributed atomic.Uint64

	mu    sync.Mutex
	hosts map[string]*hostConns
}

func newConnPool(c Clock, memory *guard.Guard) *connPool {
	return &connPool{clock: c, memory: memory, digestSeed: maphash.MakeSeed(), hosts: map[string]*hostConns{}}
}

func (p *connPool) counters() ConnectionCounters {
	return ConnectionCounters{
		Opened: p.opened.Load(), Failed: p.failed.Load(), Reused: p.reused.Load(),
		PassedOver: p.passedOver.Load(), Unattributed: p.unattributed.Load(),
	}
}

// requestDigest identifies a request on a connection. Different requests may have the same one. It is
// zero for a request without an ID.
type requestDigest uint64

func (p *connPool) digestOf(requestID string) requestDigest {
	if requestID == "" {
		return 0
	}
	return requestDigest(max(maphash.String(p.digestSeed, requestID), 1))
}

// hostConns holds the connections to one address.
type hostConns struct {
	// idle holds the unused connections, with the most recently used one last.
	idle []*conn
	// inUse counts the connections that are being opened or have an exchange.
	inUse int
}

// conn is a connection to a backend server. It serves one exchange at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// number is that of ConnectionUse, and exchanges counts the exchanges so far.
	number    uint64
	exchanges int
	// unsuccessful holds the requests that were sent on the connection and got a reply that isn't a
	// successful answer. They may be sent again, but not on this connection: a second copy of that reply,
	// which may arrive at any time, would pass for the reply to the next attempt.
	unsuccessful []requestDigest
	// usedAt is when the connection was last put into the pool, and keepUntil is when the
	// server may close it as unused.
	usedAt    time.Time
	keepUntil time.Time
	// raw gives access to the socket. write and poll are writeOnce and pollOnce, kept because a method
	// value is allocated each time; request, writeErr, pollFds and quiet are their arguments and results.
	raw      syscall.RawConn
	write    func(uintptr) bool
	poll     func(uintptr)
	request  []byte
	writeErr error
	pollFds  [1]unix.PollFd
	quiet    bool
	// readLimit is the number of bytes that may still be read in this phase of the exchange.
	readLimit int
	// memory is what the reply holds, and head counts what is read while inHead is set.
	memory *guard.Reservation
	head   guard.ReplyHead
	inHead bool
}

// limitReads sets the number of bytes that may be read from the connection from now on.
// Bytes that are in the read buffer already don't count.
func (c *conn) limitReads(n int) { c.readLimit = n }

// abortRead makes the pending read fail.
func (c *conn) abortRead() { _ = c.SetReadDeadline(expired) }

// Read implements net.Conn. It fails with a malformedError once the limit is exceeded, or if the memory
// is needed for others.
func (c *conn) Read(b []byte) (n int, err error) {
	if c.readLimit <= 0 {
		return 0, malformedError{errors.New("the reply has too many bytes for its status line, headers or body")}
	}
	n, err = c.Conn.Read(b[:min(len(b), c.readLimit)])
	c.readLimit -= n
	if c.inHead && !c.head.Count(b[:n]) {
		return 0, errMemoryFull
	}
	return n, err
}

// writeAndWait writes a request and waits until the connection is readable. Waiting first saves a read that
// finds nothing, which is as expensive as one that finds the reply.
func (c *conn) writeAndWait(request []byte) error {
	c.request, c.writeErr = request, nil
	err := c.raw.Read(c.write)
	c.request = nil
	if c.writeErr != nil {
		return c.writeErr
	}
	return err
}

// writeOnce is called by RawConn.Read until it returns true, the second time when the connection has become
// readable. The wait is prepared before the first call, so that a reply that arrives during the write
// ends it.
func (c *conn) writeOnce(uintptr) (done bool) {
	if c.request == nil {
		return true
	}
	request := c.request
	c.request = nil
	_, c.writeErr = c.Write(request)
	return c.writeErr != nil
}

// dial opens a connection. The caller must have called acquire or takeIdle; if dial fails, it calls
// release.
func (p *connPool) dial(ctx context.Context, address string) (c *conn, err error) {
	defer func() { err = errors.Wrapf(err, "connect to %s", address) }()
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: p.control}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.failed.Add(1)
		p.release(address)
		return nil, err
	}
	c = &conn{Conn: raw, address: address, number: p.opened.Add(1)}
	if sc, ok := raw.(syscall.Conn); ok {
		c.raw, err = sc.SyscallConn()
	}
	if err == nil && c.raw == nil {
		err = errors.New("the connection has no socket")
	}
	if err != nil {
		_ = raw.Close()
		p.release(address)
		return nil, err
	}
	c.write, c.poll = c.writeOnce, c.pollOnce
	c.memory = p.memory.Reserve(c.abortRead)
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// beginUse records that an exchange begins on a connection.
func (p *connPool) beginUse(c *conn) event.ConnectionUse {
	c.exchanges++
	if c.exchanges > 1 {
		p.reused.Add(1)
	}
	return event.ConnectionUse{Connection: c.number, Exchange: c.exchanges}
}

// recordUnsuccessful records that a request got a reply that isn't a successful answer on the connection. It
// returns false if the connection has carried too many such requests to be used again.
func (c *conn) recordUnsuccessful(d requestDigest) bool {
	c.unsuccessful = append(c.unsuccessful, d)
	return len(c.unsuccessful) < maxUnsuccessful
}

// mayCarry reports whether the reply to a request can be told from all others on the connection. A reply
// to a request without an ID names none, so that it must be the first one.
func (c *conn) mayCarry(d requestDigest) bool {
	if d == 0 {
		return c.exchanges == 0
	}
	return !slices.Contains(c.unsuccessful, d)
}

// acquire counts one more connection to an address as in use.
func (p *connPool) acquire(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acquireLocked(address)
}

// acquireLocked does the same. The caller holds p.mu.
func (p *connPool) acquireLocked(address string) *hostConns {
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{}
		p.hosts[address] = h
	}
	h.inUse++
	return h
}

// takeIdle removes and returns an idle connection that is usable and may carry a request, or nil. It
// counts one more connection as in use in either case. takeIdle closes the unusable connections that it
// finds, and one that may not carry the request if a new connection would exceed maxConns.
func (p *connPool) takeIdle(address string, maxConns int, d requestDigest, freshOnly bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.acquireLocked(address)
	now := p.clock.Now()
	passedOver := -1
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		if freshOnly && now.Sub(c.usedAt) > maxFreshIdle {
			break
		}
		if !c.mayCarry(d) {
			passedOver = i
			continue
		}
		h.removeIdle(i)
		if now.Before(c.keepUntil) && c.usable() {
			return c
		}
		_ = c.Close()
		if passedOver > i {
			passedOver--
		}
	}
	if passedOver >= 0 {
		p.passedOver.Add(1)
		if len(h.idle)+h.inUse > maxConns {
			_ = h.idle[passedOver].Close()
			h.removeIdle(passedOver)
		}
	}
	return nil
}

// removeIdle removes an unused connection.
func (h *hostConns) removeIdle(i int) { h.idle = slices.Delete(h.idle, i, i+1) }

// usable reports whether a connection is open and there is nothing to read on it. Data
// that arrives between two exchanges belongs to no request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	// The deadline of the last exchange may have passed, so that RawConn.Read would fail.
	c.quiet = false
	err := c.raw.Control(c.poll)
	return err == nil && c.quiet
}

// pollOnce sets quiet if the socket has nothing to read and neither side has closed it.
func (c *conn) pollOnce(fd uintptr) {
	c.pollFds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN}
	n, err := unix.Poll(c.pollFds[:], 0)
	c.quiet = err == nil && n == 0
}

// put returns a connection to the pool, which keeps it for the time idle. It closes the
// connection instead if the address has maxConns other connections or more, or if idle is
// not positive.
func (p *connPool) put(c *conn, maxConns int, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	h.inUse--
	if idle <= 0 || len(h.idle)+h.inUse >= maxConns {
		_ = c.Close()
		return
	}
	c.usedAt = p.clock.Now()
	c.keepUntil = c.usedAt.Add(idle)
	h.idle = append(h.idle, c)
}

// drop closes a connection in use that can't be used again.
func (p *connPool) drop(c *conn) {
	_ = c.Close()
	c.memory.Release()
	p.release(c.address)
}

// abort does the same with a reset, which discards the bytes that the kernel still holds: an ordinary close
// would deliver a request after its exchange, as soon as a partition ends.
func (p *connPool) abort(c *conn) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	p.drop(c)
}

// release counts one connection to an address as no longer in use.
func (p *connPool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		h.inUse--
	}
}

// closeIdle closes the unused connections to an address, because they may have stopped
// carrying data.
func (p *connPool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		return
	}
	closeAll(h.idle)
	h.idle = nil
}

// sweep closes expired connections at regular intervals until the context ends.
func (p *connPool) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.closeExpired()
		}
	}
}

// closeExpired closes the unused connections that have expired, are no longer usable, or exceed
// what the traffic needs.
func (p *connPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for address, h := range p.hosts {
		live := h.idle[:0]
		for i, c := range h.idle {
			// The least recently used connections come first.
			surplus := len(h.idle)-i > keptIdle && now.Sub(c.usedAt) > surplusIdle
			if now.Before(c.keepUntil) && !surplus && c.usable() {
				live = append(live, c)
				continue
			}
			_ = c.Close()
		}
		h.idle = live
		if len(h.idle) == 0 && h.inUse == 0 {
			delete(p.hosts, address)
		}
	}
}

// close closes all unused connections.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		closeAll(h.idle)
		h.idle = nil
	}
}

func closeAll(cs []*conn) {
	for _, c := range cs {
		_ = c.Close()
	}
}

// control sets the options of a socket before it is connected.
func (p *connPool) control(network, address string, raw syscall.RawConn) error {
	if err := p.memory.Control(network, address, raw); err != nil {
		return err
	}
	return setUserTimeout(network, address, raw)
}

// userTimeout is the maximum time that written bytes may stay unacknowledged.
const userTimeout = 5 * time.Second

// setUserTimeout makes the kernel close a connection whose other side no longer
// responds.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}
