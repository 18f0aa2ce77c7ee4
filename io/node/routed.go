package node

import (
	"context"
	"sync/atomic"

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

	waiting *waiters[routedWaiter]
	// limits is a snapshot, so that a request doesn't wait for the engine's loop before it
	// is read.
	limits atomic.Pointer[model.CallerLimits]
}

// routedWaiter is a routed request that waits for its answer.
type routedWaiter struct {
	reply chan event.Command
	raw   *pass.Request
}

func newRouted(n *Node, p *Platform) *routed {
	r := &routed{
		node: n, directory: feed.NewReader(n.clock, p.Directory, n), back: pass.NewBack(n.clock, p.HeaderNames),
		told: newTeller(n.clock, n.log), waiting: newWaiters[routedWaiter](),
	}
	r.front = pass.NewFront(p.HeaderNames, r)
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
	w := routedWaiter{reply: make(chan event.Command, 1), raw: raw}
	r.waiting.add(request.Query, w)
	n.Post(event.RoutedArrived{Request: request})
	c, gone := n.awaitReply(ctx, w.reply)
	if gone {
		r.waiting.take(request.Query)
		n.Post(event.RoutedCallerDisconnected{Query: request.Query})
		return nil
	}
	if c == nil {
		return event.RoutedRefusal{Code: event.RefuseLeaving, Outcome: event.OutcomeUnknown, Detail: stoppedDetail}
	}
	return c
}

// reply gives a waiting request its answer.
func (r *routed) reply(id event.QueryID, c event.Command) {
	if w, ok := r.waiting.take(id); ok {
		w.reply <- c
	}
}

// send passes a request on to a server.
func (r *routed) send(c event.SendExchange) {
	w, ok := r.waiting.find(c.Attempt.Query)
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
func (r *routed) tell(c event.RequestLog) {
	r.node.stats.Allow([]stats.Class{{Service: "routes", Class: c.Route}})
	r.node.stats.Record(stats.Class{Service: "routes", Class: c.Route}, c.Elapsed)
	r.told.tell(c)
}

// CallerLimits implements pass.Asker.
func (r *routed) CallerLimits() model.CallerLimits {
	if l := r.limits.Load(); l != nil {
		return *l
	}
	return model.CallerLimits{}
}

// tableInForce keeps the limits of a routing table.
func (r *routed) tableInForce(c event.SetCallerLimits) { r.limits.Store(&c.Limits) }

// Leaving implements pass.Asker.
func (r *routed) Leaving() bool { return r.node.Leaving() }
