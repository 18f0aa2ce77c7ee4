package guard

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSocketAge is the age of bytes in a socket from which it counts. The kernel measures it in ticks of up
// to 10 ms.
const minSocketAge = 10 * time.Millisecond

// arrivals holds when the requests on a connection arrived, in nanoseconds since the start of the guard, and
// 0 for a time that is not known.
type arrivals struct {
	// head is when the first byte of the request arrived that is read or executed, and early the same of a
	// byte that arrived during the execution of the one before.
	head, early atomic.Int64
	// read is when the last bytes of a header section or a body were read. Requests that were sent ahead
	// came with them.
	read atomic.Int64
}

// next is called between two requests.
func (a *arrivals) next() { a.head.Store(a.early.Swap(0)) }

// recordHead is called when bytes of a header section were read.
func (c *Conn) recordHead() {
	now := c.sinceStart()
	c.arrivals.read.Store(now)
	if c.arrivals.head.Load() == 0 {
		c.arrivals.head.Store(c.firstByteAt(now))
	}
}

// recordEarly is called when a byte was read during the execution of a request.
func (c *Conn) recordEarly() {
	if c.arrivals.early.Load() == 0 {
		c.arrivals.early.Store(c.firstByteAt(c.sinceStart()))
	}
}

// recordRead is called when bytes of a body were read.
func (c *Conn) recordRead() { c.arrivals.read.Store(c.sinceStart()) }

// sinceStart returns the time since the start of the guard in nanoseconds, at least 1.
func (c *Conn) sinceStart() int64 {
	return max(1, int64(c.guard.clock.Now().Sub(c.guard.began)))
}

// firstByteAt returns when the bytes arrived that were read now.
func (c *Conn) firstByteAt(now int64) int64 {
	if age := c.socketAge(); age >= minSocketAge {
		return max(1, now-int64(age))
	}
	return now
}

// socketAge returns the time since the last bytes arrived in the socket, or 0 if that is not known.
func (c *Conn) socketAge() (age time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	// An error means that there is no measurement.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// ReceivedAt returns when the first byte of the request of a context had arrived at the machine, or the
// zero time if that is not known.
func ReceivedAt(ctx context.Context) time.Time {
	c := ConnOf(ctx)
	if c == nil {
		return time.Time{}
	}
	if at := c.arrivals.head.Load(); at != 0 {
		return c.timeOf(at)
	}
	return ReadAt(ctx)
}

// ReadAt returns when the last bytes of the request of a context were read, or the zero time if that is not
// known.
func ReadAt(ctx context.Context) time.Time {
	c := ConnOf(ctx)
	if c == nil {
		return time.Time{}
	}
	return c.timeOf(c.arrivals.read.Load())
}

// timeOf returns the time that a field of arrivals stands for.
func (c *Conn) timeOf(at int64) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return c.guard.began.Add(time.Duration(at))
}
