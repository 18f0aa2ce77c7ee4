package guard

import (
	"golang.org/x/sys/unix"
)

// minAheadBytes is what is charged for a connection with requests that were sent ahead, if the sizes of socket buffers
// are not known.
const minAheadBytes = 4 * minSocketBuffer

// aheadBytes returns what is charged for a connection with requests that were sent ahead. Both of its socket buffers
// may be full, at twice their size each, and stay so, since there is always a request to execute.
func (g *Guard) aheadBytes() int64 { return max(4*int64(g.limits.ReceiveBuffer), minAheadBytes) }

// chargeAhead charges the requests that the client sent ahead, if there are any. It is called when a header section
// has arrived completely. It returns false if the request must be refused.
func (c *Conn) chargeAhead() bool {
	// A header section of which no byte was read since the last request was sent together with that.
	if c.ahead || (c.headBytes > 0 && !c.sentAhead) {
		return true
	}
	c.ahead = c.guard.charge(c, c.guard.aheadBytes(), false)
	return c.ahead
}

// isDrained reports whether requests that were sent ahead are charged and the client has sent no more.
func (c *Conn) isDrained() bool {
	return phase(c.phase.Load()) == phaseHead && c.ahead && c.unread() == 0
}

// leaveAhead is called when the connection has no more requests that were sent ahead. It has no request in progress.
func (c *Conn) leaveAhead() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.dropAhead()
	if c.closed || !c.active {
		return
	}
	c.active = false
	c.listener.active--
	c.listener.idle.push(c)
}

// dropAhead uncharges the requests that were sent ahead. The caller holds guard.mu.
func (c *Conn) dropAhead() {
	if c.ahead {
		c.ahead = false
		c.guard.reduce(c, c.guard.aheadBytes())
	}
}

// unread returns the number of bytes that have arrived and are not read.
func (c *Conn) unread() (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	// The next read returns the error of a connection that is closed.
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return n
}
