package node

import (
	"context"
	"time"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/io/store"
	"hyssoppitch/io/wait"
)

const (
	// watchWait is how long one watch of the configuration root waits for a change. It
	// limits the time until a store that no longer answers is noticed.
	watchWait = time.Second
	// watchMargin is the time beyond watchWait that the store has to answer.
	watchMargin = 500 * time.Millisecond
	// watchRetryDelay is the delay after a failed call.
	watchRetryDelay = 200 * time.Millisecond
	// processesInterval is the delay between two reads of the platform's list of
	// processes, and the timeout of each.
	processesInterval = time.Second
)

// watchRoot watches the configuration root in the store. After a failed watch it
// continues from the last revision received, so that no change is missed. When the store was
// restored from an older copy, it reads the root again, as revisions are given out again then. A
// root that the store holds is posted although it may be older than the active one: the engine
// writes that one to the store again.
func (n *Node) watchRoot(ctx context.Context) error {
	var last store.Value
	first := true
	for ctx.Err() == nil {
		calledAt := n.clock.Now()
		v, err := n.nextRoot(ctx, last.Revision, first)
		if err != nil {
			n.Post(event.StoreReachability{Reachable: false})
			wait.For(ctx, watchRetryDelay)
			continue
		}
		n.Post(event.StoreReachability{Reachable: true, CalledAt: calledAt, Era: v.Era})
		switch {
		case v.Era < last.Era:
			// The reply is late, or from a copy that was replaced.
			wait.For(ctx, watchRetryDelay)
			continue
		case v.Era > last.Era && !first:
			last.Era, first = v.Era, true
			continue
		case !first && (v.Revision == 0 || v.Revision == last.Revision):
			continue
		}
		last, first = v, false
		var root conf.Root
		if v.Revision != 0 {
			root, err = conf.ParseRoot(v.Data)
			if err != nil {
				n.log.Error().Err(err).Msg("cannot parse the configuration root in the store")
				continue
			}
		}
		n.PostAndWait(event.RootReceived{Root: root, Stored: true, Revision: v.Revision})
	}
	return nil
}

// nextRoot reads the root: the first time at once, later when it changes.
func (n *Node) nextRoot(ctx context.Context, revision int64, first bool) (store.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	if first {
		return n.store.Get(ctx, conf.RootKey)
	}
	return n.store.Watch(ctx, conf.RootKey, revision, watchWait)
}

// pollProcesses reads the platform's list of processes at regular intervals.
func (n *Node) pollProcesses(ctx context.Context) error {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, processesInterval)
		p, err := n.store.Processes(callCtx)
		cancel()
		if err == nil {
			n.PostAndWait(event.PlatformListed{Instances: p.Instances, Servers: p.Servers})
		}
		wait.For(ctx, processesInterval)
	}
	return nil
}
