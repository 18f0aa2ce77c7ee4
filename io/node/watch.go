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
	// watchWait is how long one watch of the configuration root waits. It bounds
	// how late a silent store is noticed.
	watchWait = time.Second
	// watchSlack is added to watchWait for the store to answer.
	watchSlack = 500 * time.Millisecond
	// watchPause is the wait after a call that failed.
	watchPause = 200 * time.Millisecond
	// listInterval is the time between two reads of the platform's list.
	listInterval = time.Second
)

// watchRoot follows the configuration root. A watch that breaks is taken up again
// from the last revision seen, so that no change is missed; a revision below it
// means that the store lost writes, and is reported all the same: the engine
// ignores an older version.
func (n *Node) watchRoot(ctx context.Context) error {
	var revision int64
	first := true
	for ctx.Err() == nil {
		calledAt := n.clock.Now()
		v, err := n.nextRoot(ctx, revision, first)
		if err != nil {
			n.Post(event.StoreReachability{Reachable: false})
			wait.For(ctx, watchPause)
			continue
		}
		n.Post(event.StoreReachability{Reachable: true, CalledAt: calledAt})
		first = false
		if v.Revision == 0 || v.Revision == revision {
			continue
		}
		revision = v.Revision
		root, err := conf.ParseRoot(v.Data)
		if err != nil {
			n.log.Error().Err(err).Msg("the configuration root in the store is not readable")
			continue
		}
		n.Post(event.RootReceived{Root: root})
	}
	return nil
}

// nextRoot reads the root, at once the first time and later when it changes.
func (n *Node) nextRoot(ctx context.Context, revision int64, first bool) (store.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	if first {
		return n.store.Get(ctx, conf.RootKey)
	}
	return n.store.Watch(ctx, conf.RootKey, revision, watchWait)
}

// readList follows the platform's list of processes.
func (n *Node) readList(ctx context.Context) error {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, listInterval)
		p, err := n.store.Processes(callCtx)
		cancel()
		if err == nil {
			n.Post(event.PlatformListed{Instances: p.Instances, Servers: p.Servers})
		}
		wait.For(ctx, listInterval)
	}
	return nil
}
