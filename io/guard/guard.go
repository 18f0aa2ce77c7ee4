// Package guard bounds the memory and the descriptors that clients use, and the memory for what servers,
// the store and peers send. It wraps listeners and their connections: it limits the number of connections,
// counts what each connection and each reply makes the process hold against one budget, and gives up
// those that hold most for longest or make no progress. Requests are parsed by net/http and executed
// elsewhere.
package guard

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// freeBytes is what a connection may hold without being counted, so that an ordinary
	// request takes no lock. It is part of the memory that Plan assumes for a connection.
	freeBytes = 8 << 10
	// byteCost is the memory of a byte of a header section. net/http reads a long line into memory
	// that it grows by a quarter at a time, and copies it.
	byteCost = 3
	// lineCost is the memory of a header line beside its bytes: its entries in the parsed
	// header, in the copy that is relayed and in the list that identifies the request.
	lineCost = 160
	// maxLeadingEmpty is the number of bytes of empty lines that are skipped before the first
	// request of a connection. After that net/http rejects the request.
	maxLeadingEmpty = 64
	// headSlack is what a header section may be longer than the limit before it is cut off.
	// Reads are 4 KiB, and the first and the last one may hold parts of other requests. The
	// handler applies the exact limit.
	headSlack = 8 << 10
	// bodyGrace is the number of sweeps, of one a second, after which a body must have
	// arrived at minBodyRate bytes per second on average.
	bodyGrace   = 10
	minBodyRate = 4 << 10
	// writePiece is the size of the pieces in which answers are written, and writeStall the
	// number of sweeps that the caller may take for one.
	writePiece = 64 << 10
	writeStall = 30
	// refusalLinger and refusalDiscard bound what is read after a refusal.
	refusalLinger  = 200 * time.Millisecond
	refusalDiscard = 64 << 10
	// endingFraction and minEnding bound the connections that are closed and not yet ended, as a
	// fraction of the open ones that are allowed and as a number.
	endingFraction = 16
	minEnding      = 4
	// sweepInterval is the interval of the checks for progress.
	sweepInterval = time.Second
	// logInterval is the minimum interval between two log lines.
	logInterval = 10 * time.Second
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Limits are the limits of a guard.
type Limits struct {
	// Budget is the number of bytes that all connections and replies together may hold beyond
	// freeBytes each.
	Budget int64
	// HeaderLines is the maximum number of lines of a header section.
	HeaderLines int
	// ReplyBytes is the maximum size of the body of a server's reply; 0 stands for maxReplyBytes.
	ReplyBytes int64
	// ReceiveBuffer is the size of the receive buffers of the connections that the process opens, or 0
	// for the operating system's choice.
	ReceiveBuffer int
}

// Counters counts what a guard did, by reason. The fields are numbers of clients' connections, but for
// AbandonedReplies.
type Counters struct {
	// ClosedIdle were closed without a request on them, to make room for others.
	ClosedIdle uint64 `json:"closed-idle"`
	// Refused were closed on arrival, since all others had a request in progress.
	Refused uint64 `json:"refused-connections"`
	// ClosedHolding held most for longest when the budget was full.
	ClosedHolding uint64 `json:"closed-holding"`
	// ClosedUnfinished waited longest for the rest of a body, or for an answer to be read, when
	// there were too many connections or requests.
	ClosedUnfinished uint64 `json:"closed-unfinished"`
	// RefusedBusy had a request refused, since too many were in progress.
	RefusedBusy uint64 `json:"refused-busy"`
	// RefusedHolding had a request refused, since requests in progress used up the budget.
	RefusedHolding uint64 `json:"refused-holding"`
	// AbandonedReplies counts the replies of servers, the store and peers that were not read to their
	// end, since they held most for longest when the budget was full.
	AbandonedReplies uint64 `json:"abandoned-replies"`
	// HeadTooLong and TooManyLines had a header section over a limit.
	HeadTooLong  uint64 `json:"head-too-long"`
	TooManyLines uint64 `json:"too-many-header-lines"`
	// SlowBody and SlowReader sent a body, or read an answer, too slowly.
	SlowBody   uint64 `json:"slow-body"`
	SlowReader uint64 `json:"slow-reader"`
}

// Status is the state of a guard.
type Status struct {
	Counters
	// Connections is the number of open connections of each listener.
	Connections map[string]int `json:"connections"`
	HeldBytes   int64          `json:"held-bytes"`
	// AbandonedBytes are those of connections and replies that were given up and whose readers have not ended.
	AbandonedBytes int64 `json:"abandoned-bytes"`
	BudgetBytes    int64 `json:"budget-bytes"`
}

// Guard holds the budget and the connections of all listeners of a process. It is safe for
// concurrent use.
type Guard struct {
	clock  Clock
	limits Limits
	began  time.Time
	// sweeps counts the sweeps, from 1.
	sweeps atomic.Int64

	mu        sync.Mutex
	listeners []*Listener
	counters  Counters
	// held is the sum of the bytes charged by the holders, which are those with any.
	held int64
	// abandoned is the number of bytes that were given up and are not released yet.
	abandoned int64
	// changed is closed when a holder has less than before, or nil if nothing waits for that.
	changed chan struct{}
	holders map[holder]struct{}
	logged  Counters
	logAt   time.Time
}

// New returns a guard. Run starts its sweeps.
func New(clock Clock, l Limits) *Guard {
	g := &Guard{clock: clock, limits: l, began: clock.Now(), holders: map[holder]struct{}{}}
	g.sweeps.Store(1)
	return g
}

// Run checks for progress until the context is cancelled. It passes the counters to report when
// they have changed.
func (g *Guard) Run(ctx context.Context, report func(Counters)) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		g.sweep()
		if c, changed := g.changes(); changed {
			report(c)
		}
	}
}

// sweep closes the connections that send a body or read an answer too slowly.
func (g *Guard) sweep() {
	now := g.sweeps.Add(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.listeners {
		for c := range l.conns {
			if since := c.writingSince.Load(); since > 0 && now-since > writeStall {
				g.counters.SlowReader++
				g.close(c)
				continue
			}
			if phase(c.phase.Load()) != phaseBody {
				continue
			}
			seconds := now - c.bodySince.Load()
			if seconds > bodyGrace && c.received.Load() < seconds*minBodyRate {
				g.counters.SlowBody++
				g.close(c)
			}
		}
	}
}

// changes returns the counters, and whether they have changed since they were last reported. It
// reports no change before logInterval has passed.
func (g *Guard) changes() (c Counters, changed bool) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.counters == g.logged || now.Sub(g.logAt) < logInterval {
		return c, false
	}
	g.logged, g.logAt = g.counters, now
	return g.counters, true
}

// Status returns the state of the guard.
func (g *Guard) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Status{Counters: g.counters, HeldBytes: g.held, AbandonedBytes: g.abandoned, BudgetBytes: g.limits.Budget, Connections: map[string]int{}}
	for _, l := range g.listeners {
		s.Connections[l.name] = len(l.conns)
	}
	return s
}

// close closes a connection. The caller holds g.mu.
func (g *Guard) close(c *Conn) {
	if !c.closed {
		c.ending = true
		c.listener.ending++
		g.abandon(c)
	}
	g.forget(c)
	_ = c.Conn.Close()
}

// forget removes a connection that is closed. The caller holds g.mu.
func (g *Guard) forget(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	g.drop(c)
	l := c.listener
	delete(l.conns, c)
	c.queue.remove(c)
	if c.active {
		l.active--
	}
	if l.perAddress > 0 {
		if l.byAddress[c.remote]--; l.byAddress[c.remote] <= 0 {
			delete(l.byAddress, c.remote)
		}
	}
}

// remoteAddress returns the address of a client without its port.
func remoteAddress(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
