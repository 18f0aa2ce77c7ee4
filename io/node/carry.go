package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/stats"
	"hyssoppitch/io/store"
)

const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 300 * time.Millisecond
	// partTimeout bounds the reading of a document of the configuration.
	partTimeout = time.Second
)

// carryOut does what a command says. It never waits: what takes time runs in a
// goroutine that posts the result.
func (n *Node) carryOut(c event.Command) {
	switch c := c.(type) {
	case event.SendAttempt:
		n.start(func() { n.Post(n.backend.Send(n.ctx, c)) })
	case event.CancelAttempt:
		// The attempt may not have begun; ending it is then up to its deadline.
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
		// A link that can't keep up ends, and greets anew.
		_ = n.peers.Send(c.To, c.Message)
	case event.LinkPeers:
		n.peers.Keep(n.ctx, n.addresses(c))
	case event.FetchParts:
		for _, d := range c.Digests {
			n.start(func() { n.fetchPart(d) })
		}
	case event.PollStatus:
		n.start(func() { n.Post(n.backend.Status(n.ctx, c)) })
	case event.ActivateConfig:
		n.allowClasses(c.Config)
	case event.StateChanged:
		n.logChange(c)
	case event.SendExchange:
		n.routed.send(c)
	case event.CheckServer:
		n.start(func() { n.Post(n.routed.back.Check(n.ctx, c)) })
	case event.CancelExchange:
		n.routed.back.Cancel(c.Attempt)
	case event.RoutedAnswer:
		n.routed.reply(c.Query, c)
	case event.RoutedRefusal:
		n.routed.reply(c.Query, c)
	case event.FollowDirectory:
		n.routed.directory.Follow(c)
	case event.SetCallerLimits:
		n.routed.tableInForce(c)
	case event.RequestLog:
		n.routed.tell(c)
	}
}

// start runs f in a goroutine that shutdown waits for.
func (n *Node) start(f func()) { n.work.Go(f) }

func (n *Node) reply(id event.QueryID, class string, c event.Command) {
	w, ok := n.waiters.take(id)
	if !ok {
		return
	}
	w.reply <- c
	n.stats.Record(stats.Class{Service: w.service, Class: class}, n.clock.Now().Sub(w.since))
}

// addresses returns the control addresses to keep links to.
func (n *Node) addresses(c event.LinkPeers) (out []string) {
	if c.DialSeeds {
		out = append(out, n.settings.Seeds...)
	}
	for _, p := range c.Peers {
		out = append(out, p.Address)
	}
	return out
}

func (n *Node) storeGet(c event.StoreGet) event.StoreDone {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	v, err := n.store.Get(ctx, c.Key)
	if err != nil {
		return event.StoreDone{Op: c.Op, Result: event.StoreUnknown}
	}
	return event.StoreDone{Op: c.Op, Result: event.StoreOK, Revision: v.Revision, Value: v.Data}
}

func (n *Node) storeSwap(c event.StoreSwap) event.StoreDone {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	revision, err := n.store.Swap(ctx, c.Key, c.Revision, c.Value)
	switch {
	case err == nil:
		return event.StoreDone{Op: c.Op, Result: event.StoreOK, Revision: revision}
	case errors.Is(err, store.ErrConflict):
		return event.StoreDone{Op: c.Op, Result: event.StoreConflict}
	default:
		return event.StoreDone{Op: c.Op, Result: event.StoreUnknown}
	}
}

func (n *Node) fetchPart(d conf.Digest) {
	ctx, cancel := context.WithTimeout(n.ctx, partTimeout)
	defer cancel()
	v, err := n.store.Get(ctx, conf.PartPrefix+string(d))
	if err != nil || v.Revision == 0 {
		return
	}
	n.Post(event.PartReceived{Digest: d, Data: v.Data})
}

func (n *Node) allowClasses(c model.Config) {
	var classes []stats.Class
	for _, s := range c.Services {
		for _, class := range s.Classes {
			classes = append(classes, stats.Class{Service: s.Name, Class: class.Name})
		}
	}
	n.stats.Allow(classes)
}

func (n *Node) logChange(c event.StateChanged) {
	n.log.Info().Str("instance", string(n.self.ID)).Str("kind", c.Kind).Str("name", c.Name).
		Str("from", c.From).Str("to", c.To).Str("why", c.Cause).Msg("state-changed")
}
