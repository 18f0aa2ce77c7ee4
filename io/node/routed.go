package node

import (
	"context"
	"sync"
	"time"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/feed"
	"hyssoppitch/io/pass"
	"hyssoppitch/io/stats"
)

// routed is the part of a node that serves routed requests.
type routed struct {
	node      *Node
	directory *feed.Reader
	front     *pass.Front
	back      *pass.Back
	told      *teller

	mu      sync.Mutex
	waiting map[event.QueryID]routedWaiter
}

// routedWaiter is a routed request that waits for its answer.
type routedWaiter struct {
	reply chan event.Command
	raw   *pass.Request
	since time.Time
}

func newRouted(n *Node, p *Platform) *routed {
	r := &routed{
		node: n, directory: feed.NewReader(n.clock, p.Directory, n), back: pass.NewBack(n.clock, p.Names),
		told: newTeller(n.clock, n.log), waiting: map[event.QueryID]routedWaiter{},
	}
	r.front = pass.NewFront(p.Names, r)
	return r
}

// follow posts the directory's content and changes.
func (r *routed) follow(ctx context.Context) error {
	r.directory.Run(ctx)
	return nil
}

// AskRouted implements pass.Asker.
func (r *routed) AskRouted(ctx context.Context, request event.RoutedRequest, raw *pass.Request) event.Command {
	n := r.node
	request.Query = event.QueryID(n.lastQuery.Add(1))
	w := routedWaiter{reply: make(chan event.Command, 1), raw: raw, since: n.clock.Now()}
	r.mu.Lock()
	r.waiting[request.Query] = w
	r.mu.Unlock()
	n.Post(event.RoutedArrived{Request: request})
	select {
	case c := <-w.reply:
		return c
	case <-ctx.Done():
		r.take(request.Query)
		n.Post(event.RoutedGone{Query: request.Query})
		return nil
	case <-n.stopped:
		return event.RoutedRefusal{Code: event.RefuseLeaving, Outcome: event.OutcomeUnknown, Detail: "this instance stopped before the outcome was known"}
	}
}

// take removes and returns the waiter of a request.
func (r *routed) take(id event.QueryID) (w routedWaiter, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok = r.waiting[id]
	delete(r.waiting, id)
	return w, ok
}

// reply gives a waiting request its answer.
func (r *routed) reply(id event.QueryID, c event.Command) {
	if w, ok := r.take(id); ok {
		w.reply <- c
	}
}

// send passes a request on to a server.
func (r *routed) send(c event.SendExchange) {
	r.mu.Lock()
	w, ok := r.waiting[c.Attempt.Query]
	r.mu.Unlock()
	n := r.node
	if !ok {
		n.start(func() {
			n.Post(event.ExchangeEnded{Attempt: c.Attempt, Server: c.Server, Kind: event.NotSent, Detail: "the caller is gone"})
		})
		return
	}
	ctx := r.back.Begin(n.ctx, c.Attempt)
	n.start(func() { n.Post(r.back.Exchange(ctx, c, w.raw)) })
}

// tell logs how a request ended, and counts its time.
func (r *routed) tell(c event.RequestTold) {
	r.node.stats.Allow([]stats.Class{{Service: "routes", Class: c.Route}})
	r.node.stats.Record(stats.Class{Service: "routes", Class: c.Route}, c.Elapsed)
	r.told.tell(c)
}

// CallerLimits implements pass.Asker.
func (r *routed) CallerLimits() (l model.CallerLimits) {
	r.node.View(func(e *engine.Engine) { l = e.Relay.Table().Limits })
	return l
}

// Leaving implements pass.Asker.
func (r *routed) Leaving() bool { return r.node.Leaving() }
