package pass

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection; the handshake with a server in
	// another region takes some 50 ms.
	dialTimeout = 600 * time.Millisecond
	// defaultIdle is how long an unused connection is kept when the server doesn't say.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is taken off what the server says.
	idleMargin = 500 * time.Millisecond
	// freshIdle is the longest that a connection may have been idle for a request that
	// can't be repeated: servers may drop idle connections without notice.
	maxFreshIdle = 250 * time.Millisecond
	// sweepInterval is the time between two looks for connections past their time.
	sweepInterval = time.Second
	// readBuffer is the size of a connection's read buffer in bytes.
	readBufferSize = 2048
)

// conns keeps the connections to backend servers. It is safe for use by many
// goroutines.
type connPool struct {
	clock Clock
	// opened counts the connections opened, failed those that could not be.
	opened atomic.Uint64
	failed atomic.Uint64

	mu    sync.Mutex
	hosts map[string]*hostConns
}

// host is what is kept of one address.
type hostConns struct {
	// idle holds the unused connections; the one that was used last comes last.
	idle []*conn
	// inUse counts the connections with an exchange.
	inUse int
}

// conn is one connection. It has one exchange at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// usedAt is when the last exchange ended, and keepUntil when the server may close
	// the connection.
	usedAt    time.Time
	keepUntil time.Time
	// written counts the bytes handed to the connection.
	written atomic.Int64
}

// Write implements net.Conn. Bytes count as written as soon as they are handed to the
// connection, whether or not that succeeds.
func (c *conn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// get returns a connection to an address: the kept one that was used last, or a new
// one. fresh passes over those that have been idle for long.
func (p *connPool) get(ctx context.Context, address string, freshOnly bool) (c *conn, err error) {
	p.acquire(address)
	if c := p.takeIdle(address, freshOnly); c != nil {
		return c, nil
	}
	return p.dial(ctx, address)
}

// dial opens a connection, whose use is counted already.
func (p *connPool) dial(ctx context.Context, address string) (c *conn, err error) {
	defer func() { err = errors.Wrapf(err, "connect to %s", address) }()
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.failed.Add(1)
		p.release(address)
		return nil, err
	}
	p.opened.Add(1)
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferSize)}, nil
}

// use counts one more connection in use.
func (p *connPool) acquire(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{}
		p.hosts[address] = h
	}
	h.inUse++
}

// kept takes a usable kept connection to an address that is in use, or nil.
func (p *connPool) takeIdle(address string, freshOnly bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	now := p.clock.Now()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		if freshOnly && now.Sub(c.usedAt) > maxFreshIdle {
			return nil
		}
		h.idle = h.idle[:len(h.idle)-1]
		if now.Before(c.keepUntil) && c.usable() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// quiet reports whether a connection is open and nothing waits to be read on it: what
// comes between two exchanges belongs to no request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && usable
}

// put gives back a connection that may be kept unused for idle. At most most connections
// are kept.
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

// drop closes a connection that can't be used again.
func (p *connPool) drop(c *conn) {
	_ = c.Close()
	p.release(c.address)
}

func (p *connPool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		h.inUse--
	}
}

// forget closes the unused connections to an address: they may have gone silent.
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

// sweep closes the connections whose time is up, until the context ends.
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

func (p *connPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for address, h := range p.hosts {
		live := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.keepUntil) && c.usable() {
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

// keptFor returns how long a connection may be kept unused after a reply.
func idleTimeout(reply *http.Response) time.Duration {
	if reply.Close {
		return 0
	}
	for _, line := range reply.Header["Keep-Alive"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(value); err == nil {
				return time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return defaultIdleTimeout
}

// userTimeout is how long written bytes may stay unacknowledged.
const userTimeout = 5 * time.Second

// setUserTimeout lets the kernel give up a connection whose other side is gone.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}
