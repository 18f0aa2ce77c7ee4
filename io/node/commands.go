package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/guard"
	"hyssoppitch/io/stats"
	"hyssoppitch/io/store"
)

const (
	// storeCallTimeout limits one call to the store.
	storeCallTimeout = 300 * time.Millisecond
	// partTimeout limits the fetch of one part of the configuration.
	partTimeout = time.Second
)

// execute executes a command of the engine. It never blocks: slow operations run in a
// goroutine that posts the result as an event.
func (n *Node) execute(c event.Command) {
	switch c := c.(type) {
	case event.SendAttempt:
		w, _ := n.waiters.find(c.Attempt.Query)
		ctx := guard.ContextOf(n.ctx, w.caller)
		n.start(func() { n.Post(n.backend.Send(ctx, c)) })
	case event.CancelAttempt:
		// An attempt that has not started yet is not found here; its deadline ends it.
		n.backend.Cancel(c.Attempt)
	case event.Answer:
		n.reply(c.Query, c.Class, c)
	case event.Refuse:
		n.reply(c.Query, c.Class, c)
	case event.StoreGet:
		n.start(func() { n.Post(n.storeGet(c)) })
	case event.StoreSwap:
		n.start(func() { n.Post(n.storeSwap(c)) })
	case event.SendPeer:
		// The error is ignored: Send closes a link whose queue is full, and the hub
		// connects again.
		_ = n.peers.Send(c.To, c.Message)
	case event.LinkPeers:
		n.linkPeers = c
		n.peers.SetPeers(n.ctx, n.addresses(c))
	case event.FetchParts:
		n.fetchParts(c.Digests)
	case event.PollStatus:
		n.start(func() { n.Post(n.backend.Status(n.ctx, c)) })
	case event.ActivateConfig:
		n.registerClasses(c.Config)
	case event.StateChanged:
		n.logStateChange(c)
	case event.SendExchange:
		n.routed.send(c)
	case event.CheckServer:
		n.start(func() { n.Post(n.routed.backends.Check(n.ctx, c)) })
	case event.CancelExchange:
		n.routed.backends.Cancel(c.Attempt)
	case event.RoutedAnswer:
		n.routed.reply(c.Query, c)
	case event.RoutedRefusal:
		n.routed.reply(c.Query, c)
	case event.FollowDirectory:
		n.routed.directory.SetActive(c)
	case event.SetCallerLimits:
		n.routed.setLimits(c)
	case event.WriteRollout:
		n.start(func() { n.Post(n.routed.writeRollout(c)) })
	case event.RequestLog:
		n.routed.logRequest(c)
	}
}

// start runs f in a goroutine that shutdown waits for.
func (n *Node) start(f func()) { n.background.Go(f) }

// reply passes an answer to the request that waits for it, and records its latency.
func (n *Node) reply(id event.QueryID, class string, c event.Command) {
	w, ok := n.waiters.take(id)
	if !ok {
		return
	}
	w.reply <- c
	n.stats.Record(stats.Class{Service: w.service, Class: class}, n.clock.Now().Sub(w.since))
}

// addresses returns the control addresses of the instances to connect to.
func (n *Node) addresses(c event.LinkPeers) (out []string) {
	if c.DialSeeds {
		out = append(out, n.seeds...)
	}
	for _, p := range c.Peers {
		out = append(out, p.Address)
	}
	return out
}

func (n *Node) storeGet(c event.StoreGet) event.StoreDone {
	ctx, cancel := context.WithTimeout(n.ctx, storeCallTimeout)
	defer cancel()
	v, err := n.store.Get(ctx, c.Key)
	if err != nil {
		return event.StoreDone{Op: c.Op, Result: event.StoreUnknown}
	}
	return event.StoreDone{Op: c.Op, Result: event.StoreOK, Revision: v.Revision, Value: v.Data, Era: v.Era}
}

func (n *Node) storeSwap(c event.StoreSwap) event.StoreDone {
	ctx, cancel := context.WithTimeout(n.ctx, storeCallTimeout)
	defer cancel()
	v, err := n.store.Swap(ctx, c.Key, c.Revision, c.Value)
	switch {
	case err == nil:
		return event.StoreDone{Op: c.Op, Result: event.StoreOK, Revision: v.Revision, Era: v.Era}
	case errors.Is(err, store.ErrConflict):
		return event.StoreDone{Op: c.Op, Result: event.StoreConflict, Era: v.Era}
	default:
		return event.StoreDone{Op: c.Op, Result: event.StoreUnknown}
	}
}

// maxFetches is the maximum number of parts that are fetched at a time.
const maxFetches = 4

// fetchParts reads parts of the configuration from the store. A later call takes the place of an earlier one.
func (n *Node) fetchParts(digests []conf.Digest) {
	if n.stopFetches != nil {
		n.stopFetches()
	}
	ctx, stop := context.WithCancel(n.ctx)
	n.stopFetches = stop
	n.start(func() {
		defer stop()
		for _, d := range digests {
			select {
			case <-ctx.Done():
				return
			case n.fetchSlots <- struct{}{}:
			}
			n.start(func() {
				n.fetchPart(d)
				<-n.fetchSlots
			})
		}
	})
}

// fetchPart reads a part of the configuration from the store. It posts nothing if that
// fails.
func (n *Node) fetchPart(d conf.Digest) {
	ctx, cancel := context.WithTimeout(n.ctx, partTimeout)
	defer cancel()
	v, err := n.store.Get(ctx, conf.PartPrefix+string(d))
	if err != nil || v.Revision == 0 {
		return
	}
	n.PostAndWait(event.PartReceived{Digest: d, Data: v.Data})
}

// registerClasses adds histograms for the classes of a configuration.
func (n *Node) registerClasses(c model.Config) {
	var classes []stats.Class
	for _, s := range c.Services {
		for _, class := range s.Classes {
			classes = append(classes, stats.Class{Service: s.Name, Class: class.Name})
		}
	}
	n.stats.Register(classes)
}

func (n *Node) logStateChange(c event.StateChanged) {
	n.log.Info().Str("instance", string(n.self.ID)).Str("kind", c.Kind).Str("name", c.Name).
		Str("from", c.From).Str("to", c.To).Str("why", c.Cause).Msg("state-changed")
}
