package guard

import (
	"bytes"
	"time"
)

// maxReleaseWait is how long a charge waits until what was given up for it is released. The reader that waits
// notices neither a deadline nor a cancellation meanwhile.
const maxReleaseWait = 250 * time.Millisecond

// account is what a holder has charged to the budget. Its fields are guarded by guard.mu.
type account struct {
	// held is the number of bytes charged since heldSince.
	held      int64
	heldSince time.Time
	// abandoned is the number of bytes that were given up and that the reader, which has not ended, still holds.
	abandoned int64
	// closed is set once the holder can't charge any more.
	closed bool
}

// holder makes the process hold memory that is charged to the budget.
type holder interface {
	// charged returns the account of the holder.
	charged() *account
	// evictable reports whether what is held can be given up for others.
	evictable() bool
	// evict gives up what is held. The caller holds guard.mu.
	evict()
}

// Reservation is memory for something other than a client's connection: a reply of a server, for example.
// It is charged to the same budget. Its methods are called by one goroutine at a time.
type Reservation struct {
	guard *Guard
	abort func()
	// used is set while anything may be charged.
	used bool
	account
}

// Reserve returns a reservation without memory. abort is called when its memory is needed for others, which
// wait until it is released. abort must neither block nor call the guard.
func (g *Guard) Reserve(abort func()) *Reservation {
	return &Reservation{guard: g, abort: abort}
}

func (r *Reservation) charged() *account { return &r.account }

// evictable implements holder.
func (r *Reservation) evictable() bool { return true }

// evict implements holder.
func (r *Reservation) evict() {
	g := r.guard
	g.counters.AbandonedReplies++
	r.closed = true
	g.abandon(r)
	r.abort()
}

// Charge counts n more bytes. It returns false, and counts nothing, if what was read must be given up.
func (r *Reservation) Charge(n int64) bool {
	r.used = true
	return r.guard.charge(r, n, false)
}

// Aborted reports whether the memory was given up for others. Charge fails from then on.
func (r *Reservation) Aborted() bool {
	if !r.used {
		return false
	}
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	return r.closed
}

// Release uncounts all bytes. abort is not called any more.
func (r *Reservation) Release() { r.MoveTo(nil, 0) }

// MoveTo uncounts all bytes, and counts n bytes for the connection of a client instead, until its request
// is answered. The connection may be nil.
func (r *Reservation) MoveTo(c *Conn, n int64) {
	if !r.used && n == 0 {
		return
	}
	r.used = false
	g := r.guard
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(r)
	g.drop(r)
	if c != nil && n > 0 && !c.closed {
		g.add(now, c, n)
	}
}

// charge counts n more bytes for a holder. When the budget is full it evicts the holders that have held
// most for longest and can be evicted, and waits until what was given up is released. It
// returns false, and counts nothing, if that isn't enough or h is the one to evict. With force it counts
// the bytes in any case, without waiting. A holder that is alone in holding any is never refused: what it
// holds is limited by its own limits.
func (g *Guard) charge(h holder, n int64, force bool) bool {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a := h.charged()
	if a.held == 0 {
		a.heldSince = now
	}
	var timeout <-chan time.Time
	for {
		if a.closed {
			return false
		}
		if !g.makeRoom(now, h, n) && !force {
			g.countRefusal(h)
			return false
		}
		if force || g.abandoned == 0 || g.held+g.abandoned+n <= g.limits.Budget {
			g.add(now, h, n)
			return true
		}
		if timeout == nil {
			timeout = time.After(maxReleaseWait)
		}
		if !g.awaitChange(timeout) {
			g.countRefusal(h)
			return false
		}
	}
}

// makeRoom evicts other holders until n more bytes fit into the budget. It returns false if they don't. The
// caller holds g.mu.
func (g *Guard) makeRoom(now time.Time, h holder, n int64) bool {
	for g.held+n > g.limits.Budget && g.held > h.charged().held {
		v := g.largest(now, h, n)
		if v == nil || v == h {
			return false
		}
		v.evict()
	}
	return true
}

// awaitChange waits until a holder has less than before, or returns false if that takes too long. The caller
// holds g.mu, which is unlocked meanwhile.
func (g *Guard) awaitChange(timeout <-chan time.Time) bool {
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	changed := g.changed
	g.mu.Unlock()
	defer g.mu.Lock()
	select {
	case <-changed:
		return true
	case <-timeout:
		return false
	}
}

// countRefusal counts a charge that was refused. The caller holds g.mu.
func (g *Guard) countRefusal(h holder) {
	if _, ok := h.(*Conn); ok {
		g.counters.RefusedHolding++
	} else {
		g.counters.AbandonedReplies++
	}
}

// add counts n more bytes for a holder. The caller holds g.mu.
func (g *Guard) add(now time.Time, h holder, n int64) {
	a := h.charged()
	if a.held == 0 {
		a.heldSince = now
	}
	g.holders[h] = struct{}{}
	a.held += n
	g.held += n
}

// drop uncounts all bytes of a holder. The caller holds g.mu.
func (g *Guard) drop(h holder) {
	a := h.charged()
	g.held -= a.held
	a.held = 0
	delete(g.holders, h)
	g.signalChange()
}

// abandon gives up all bytes of a holder. They count until they are released. The caller holds g.mu.
func (g *Guard) abandon(h holder) {
	a := h.charged()
	a.abandoned += a.held
	g.abandoned += a.held
	g.drop(h)
}

// release uncounts the bytes of a holder that were given up. The caller holds g.mu.
func (g *Guard) release(h holder) {
	a := h.charged()
	g.abandoned -= a.abandoned
	a.abandoned = 0
	g.signalChange()
}

// signalChange wakes the charges that wait in awaitChange. The caller holds g.mu.
func (g *Guard) signalChange() {
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// largest returns the holder that has held most for longest, or nil if none can be evicted. Holder h wants
// n more bytes.
func (g *Guard) largest(now time.Time, h holder, n int64) (best holder) {
	var bestScore int64
	score := func(h holder, held int64) {
		// The time is in milliseconds, from 1, so that holders that came at the same time are
		// compared by what they hold. It is bounded, so that the product fits into 64 bits.
		age := min(now.Sub(h.charged().heldSince), time.Minute).Milliseconds() + 1
		if s := held * age; s > bestScore {
			best, bestScore = h, s
		}
	}
	for other := range g.holders {
		if other != h && other.evictable() {
			score(other, other.charged().held)
		}
	}
	if h.evictable() {
		score(h, h.charged().held+n)
	}
	return best
}

// discharge releases n bytes of a holder.
func (g *Guard) discharge(h holder, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reduce(h, n)
}

// reduce does the same. The caller holds g.mu.
func (g *Guard) reduce(h holder, n int64) {
	a := h.charged()
	n = min(n, a.held)
	if n <= 0 {
		return
	}
	a.held -= n
	g.held -= n
	if a.held == 0 {
		delete(g.holders, h)
	}
	g.signalChange()
}

// maxReplyBytes is the maximum size of the body of a server's reply on a machine with enough memory.
const maxReplyBytes = 16 << 20

// ReplyBytes returns the maximum size of the body of a server's reply. One that is alone may exceed the
// budget.
func (g *Guard) ReplyBytes() int64 {
	if g.limits.ReplyBytes > 0 {
		return g.limits.ReplyBytes
	}
	return maxReplyBytes
}

// DecodedBytes returns the maximum memory of what is decoded from one reply of a store, one listing or one
// configuration.
func (g *Guard) DecodedBytes() int64 { return g.limits.Budget }

// ReplyHead counts the memory of a reply's status line and headers as they arrive.
type ReplyHead struct {
	reservation          *Reservation
	bytes, lines, charge int64
}

// Begin begins to count the head of a reply, or of several interim ones, for a reservation.
func (h *ReplyHead) Begin(r *Reservation) { *h = ReplyHead{reservation: r} }

// Count counts bytes of the head. It returns false if they must be given up. A head of ordinary size
// isn't charged.
func (h *ReplyHead) Count(p []byte) bool {
	h.bytes += int64(len(p))
	h.lines += int64(bytes.Count(p, []byte{'\n'}))
	more := headCost(h.bytes, h.lines) - h.charge
	if more <= 0 {
		return true
	}
	h.charge += more
	return h.reservation.Charge(more)
}

// headCost returns the memory of a head that is charged.
func headCost(bytes, lines int64) int64 { return byteCost*bytes + lineCost*lines - freeBytes }
