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
// continues from the last revision received, so that no change is missed. A lower
// revision means that the store lost writes. Its root is posted all the same: the engine
// ignores a version older than the active one.
func (n *Node) watchRoot(ctx context.Context) error {
	var revision int64
	first := true
	for ctx.Err() == nil {
		calledAt := n.clock.Now()
		v, err := n.nextRoot(ctx, revision, first)
		if err != nil {
			n.Post(event.StoreReachability{Reachable: false})
			wait.For(ctx, watchRetryDelay)
			continue
		}
		n.Post(event.StoreReachability{Reachable: true, CalledAt: calledAt, Era: v.Era})
		first = false
		if v.Revision == 0 || v.Revision == revision {
			continue
		}
		revision = v.Revision
		root, err := conf.ParseRoot(v.Data)
		if err != nil {
			n.log.Error().Err(err).Msg("cannot parse the configuration root in the store")
			continue
		}
		n.Post(event.RootReceived{Root: root})
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
			n.Post(event.PlatformListed{Instances: p.Instances, Servers: p.Servers})
		}
		wait.For(ctx, processesInterval)
	}
	return nil
}
