package node

import (
	"context"
	"sync/atomic"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/feed"
	"hyssoppitch/io/pass"
	"hyssoppitch/io/stats"
)

// routed is the part of a node that serves routed requests.
type routed struct {
	node       *Node
	directory  *feed.Reader
	handler    *pass.CallerHandler
	backends   *pass.BackendClient
	requestLog *requestLogger
	rollouts   RolloutWriter

	pending *waiters[routedWaiter]
	// limits is a copy of the active routing table's limits, so that reading a request
	// doesn't have to wait for the engine's loop.
	limits atomic.Pointer[model.CallerLimits]
	// customers holds the customers with a latency histogram. It is used by the engine's loop only.
	customers map[string]bool
}

// maxCustomerHistograms is the maximum number of customers with a latency histogram of their own;
// the others share that of otherCustomers.
const (
	maxCustomerHistograms = 200
	otherCustomers        = "other"
)

// routedWaiter is a routed request that waits for the engine's answer.
type routedWaiter struct {
	reply chan event.Command
	raw   *pass.Request
}

func newRouted(n *Node, p *Platform) *routed {
	r := &routed{
		node: n, directory: feed.NewReader(n.clock, p.Directory, awaitingSink{n}), backends: pass.NewBackendClient(n.clock, p.HeaderNames, n.guard),
		requestLog: newRequestLogger(n.clock, n.log), pending: newWaiters[routedWaiter](),
		customers: map[string]bool{},
		rollouts:  p.Rollouts,
	}
	context.AfterFunc(n.ctx, r.backends.AbortAll)
	r.handler = pass.NewCallerHandler(p.HeaderNames, r)
	return r
}

// awaitingSink is a sink whose Post returns when the engine has handled the event.
type awaitingSink struct{ node *Node }

// Post implements feed.Sink.
func (s awaitingSink) Post(e event.Event) { s.node.PostAndWait(e) }

// runDirectory posts the directory's content and changes until the context is
// cancelled.
func (r *routed) runDirectory(ctx context.Context) error {
	r.directory.Run(ctx)
	return nil
}

// ExecuteRouted implements pass.Executor.
func (r *routed) ExecuteRouted(ctx context.Context, request event.RoutedRequest, raw *pass.Request) event.Command {
	n := r.node
	if n.closing.Load() {
		return event.RoutedRefusal{Code: event.RefuseLeaving, Outcome: event.OutcomeNotRun, Detail: closingDetail, RetryAfter: closingRetryAfter}
	}
	request.Query = event.QueryID(n.lastQuery.Add(1))
	w := routedWaiter{reply: make(chan event.Command, 1), raw: raw}
	r.pending.add(request.Query, w)
	n.Post(event.RoutedArrived{Request: request})
	c, disconnected := n.awaitReply(ctx, w.reply)
	if disconnected {
		r.pending.take(request.Query)
		n.Post(event.RoutedCallerDisconnected{Query: request.Query})
		return nil
	}
	if c == nil {
		return event.RoutedRefusal{Code: event.RefuseLeaving, Outcome: event.OutcomeUnknown, Detail: stoppedDetail}
	}
	return c
}

// reply passes an answer to the request that waits for it.
func (r *routed) reply(id event.QueryID, c event.Command) {
	if w, ok := r.pending.take(id); ok {
		w.reply <- c
	}
}

// send relays a request to a backend server.
func (r *routed) send(c event.SendExchange) {
	w, ok := r.pending.find(c.Attempt.Query)
	n := r.node
	if !ok {
		n.start(func() {
			n.Post(event.ExchangeEnded{Attempt: c.Attempt, Server: c.Server, Kind: event.NotSent, Detail: "the caller disconnected"})
		})
		return
	}
	pending := r.backends.Begin(context.Background(), c.Attempt)
	n.start(func() { n.Post(r.backends.Exchange(pending, c, w.raw)) })
}

// logRequest logs how a request ended and records its latency.
func (r *routed) logRequest(c event.RequestLog) {
	r.node.stats.Register([]stats.Class{{Service: "routes", Class: c.Route}})
	r.node.stats.Record(stats.Class{Service: "routes", Class: c.Route}, c.Elapsed)
	if c.Customer != "" && c.Severity <= event.LogImpaired {
		r.recordCustomer(c.Customer, c.Elapsed)
	}
	r.requestLog.logRequest(c)
}

// recordCustomer records the latency of an answer to a customer. Refusals are left out: they take
// no time and would hide slow answers.
func (r *routed) recordCustomer(name string, elapsed time.Duration) {
	if !r.customers[name] {
		if len(r.customers) < maxCustomerHistograms {
			r.customers[name] = true
		} else {
			name = otherCustomers
		}
	}
	class := stats.Class{Service: "customers", Class: name}
	r.node.stats.Register([]stats.Class{class})
	r.node.stats.Record(class, elapsed)
}

// rolloutWriteTimeout limits one call to write the status of a roll-out.
const rolloutWriteTimeout = 1500 * time.Millisecond

// writeRollout writes the status of a roll-out.
func (r *routed) writeRollout(c event.WriteRollout) event.RolloutWritten {
	if r.rollouts == nil {
		return event.RolloutWritten{Group: c.Status.Group, Result: event.WriteRefused, Detail: "the directory can't be written"}
	}
	ctx, cancel := context.WithTimeout(r.node.ctx, rolloutWriteTimeout)
	defer cancel()
	return r.rollouts.WriteRollout(ctx, c)
}

// CallerLimits implements pass.Executor.
func (r *routed) CallerLimits() model.CallerLimits {
	if l := r.limits.Load(); l != nil {
		return *l
	}
	return model.CallerLimits{}
}

// setLimits stores the caller limits of the active routing table.
func (r *routed) setLimits(c event.SetCallerLimits) {
	r.limits.Store(&c.Limits)
	r.node.listener.SetHeaderBytes(c.Limits.HeaderBytes)
}

// Leaving implements pass.Executor.
func (r *routed) Leaving() bool { return r.node.Leaving() }
