package pass

import (
	"context"
	"sync"
	"time"

	"hyssoppitch/core/event"
)

// PendingExchange is an exchange that was registered by Begin and has not ended.
type PendingExchange struct {
	id event.AttemptID
	// stopWatch ends the wait for the end of the context that was given to Begin; nil if that
	// context never ends.
	stopWatch func() bool

	mu        sync.Mutex
	cancelled bool
	// conn is the connection of the exchange, and cancelDial stops the attempt to open one.
	conn       *conn
	cancelDial context.CancelFunc
}

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// cancel aborts the exchange.
func (p *PendingExchange) cancel() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancelled {
		return
	}
	p.cancelled = true
	if p.conn != nil {
		_ = p.conn.SetDeadline(expired)
	}
	if p.cancelDial != nil {
		p.cancelDial()
	}
}

// isCancelled reports whether the exchange was cancelled.
func (p *PendingExchange) isCancelled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cancelled
}

// attachDial makes cancel call the function. It returns false if the exchange was cancelled before.
func (p *PendingExchange) attachDial(cancel context.CancelFunc) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelDial = cancel
	return !p.cancelled
}

// attach sets the deadline of a connection and makes cancel end its reads and writes. It returns false
// if the exchange was cancelled before.
func (p *PendingExchange) attach(c *conn, deadline time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelDial = nil
	if p.cancelled {
		return false
	}
	p.conn = c
	// An error means that the connection is closed, which the first write shows as well.
	_ = c.SetDeadline(deadline)
	return true
}

// detach ends the effect of cancel on the connection. cancelled is set if the exchange was cancelled, so
// that the connection can't be used any more.
func (p *PendingExchange) detach() (cancelled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = nil
	return p.cancelled
}

// Begin registers an exchange, so that it is aborted by Cancel and AbortAll, and when the context ends.
func (b *BackendClient) Begin(ctx context.Context, id event.AttemptID) *PendingExchange {
	p := &PendingExchange{id: id}
	b.mu.Lock()
	b.pending[id] = p
	aborted := b.aborted
	b.mu.Unlock()
	if aborted {
		p.cancel()
	}
	if ctx.Done() != nil {
		p.stopWatch = context.AfterFunc(ctx, p.cancel)
	}
	return p
}

// end unregisters an exchange.
func (b *BackendClient) end(p *PendingExchange) {
	if p.stopWatch != nil {
		p.stopWatch()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, p.id)
}

// Cancel aborts an exchange whose reply is no longer needed.
func (b *BackendClient) Cancel(id event.AttemptID) {
	b.mu.Lock()
	p := b.pending[id]
	b.mu.Unlock()
	if p != nil {
		p.cancel()
	}
}

// AbortAll aborts all exchanges, and those that begin later.
func (b *BackendClient) AbortAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.aborted = true
	for _, p := range b.pending {
		p.cancel()
	}
}
