package node

import (
	"context"
	"sync"
	"time"

	"hyssoppitch/core/event"
)

// waiters holds the requests that wait for the engine's answer, with a record W of each.
// It is safe for concurrent use.
type waiters[W any] struct {
	mu      sync.Mutex
	entries map[event.QueryID]W
}

func newWaiters[W any]() *waiters[W] { return &waiters[W]{entries: map[event.QueryID]W{}} }

func (w *waiters[W]) add(id event.QueryID, entry W) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[id] = entry
}

func (w *waiters[W]) find(id event.QueryID) (entry W, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry, ok = w.entries[id]
	return entry, ok
}

// take removes and returns the record of a request.
func (w *waiters[W]) take(id event.QueryID) (entry W, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry, ok = w.entries[id]
	delete(w.entries, id)
	return entry, ok
}

// awaitReply waits for the answer to a request. It returns disconnected when the caller
// disconnects first, and nil when the engine stops first.
func (n *Node) awaitReply(ctx context.Context, reply <-chan event.Command) (c event.Command, disconnected bool) {
	select {
	case c := <-reply:
		return c, false
	case <-ctx.Done():
		return nil, true
	case <-n.stopped:
		return nil, false
	}
}

// closingDetail is the refusal's text for a caller whose request arrived when the instance had
// answered all others and was about to exit, and closingRetryAfter its Retry-After: another
// instance can serve it at once.
const (
	closingDetail     = "this instance stops"
	closingRetryAfter = 10 * time.Millisecond
)

// stoppedDetail is the refusal's text for a caller whose request was not finished when
// the engine stopped.
const stoppedDetail = "this instance stopped before the outcome was known"
