// Package feed owns the following of a directory: it reads the directory whole, then
// follows its changes, and starts again where the history is lost. It decides when to
// call and when to try again; what an entry means is left to the source, and what
// follows from it to core.
package feed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
)

// ErrCompacted is returned by Source.Watch when the history after a revision is lost.
var ErrCompacted = errors.New("the history after this revision is gone")

// Source is a directory with revisions.
type Source interface {
	// List reads all entries, at a revision from which Watch misses none.
	List(ctx context.Context) (changes []event.DirectoryChange, revision uint64, err error)
	// Watch waits for changes after a revision, for wait at most.
	Watch(ctx context.Context, after uint64, wait time.Duration) (changes []event.DirectoryChange, revision uint64, err error)
}

// Sink takes what was read.
type Sink interface {
	Post(e event.Event)
}

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

const (
	// listTimeout bounds the reading of the whole directory.
	listTimeout = 3 * time.Second
	// watchWait is how long one watch waits; a connection that has gone silent is
	// noticed after watchWait and watchSlack.
	watchWait  = 1800 * time.Millisecond
	watchSlack = 700 * time.Millisecond
	// watchPace is the least time between the starts of two watches: changes that come
	// close together are read at once.
	watchPace = 400 * time.Millisecond
	// firstRetry and lastRetry bound the wait after a call that failed.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
)

// Follow posts the directory's content and changes until the context ends.
func Follow(ctx context.Context, clock Clock, source Source, sink Sink) {
	f := &follower{clock: clock, source: source, sink: sink}
	for ctx.Err() == nil {
		began := clock.Now()
		wait := watchPace
		if err := f.step(ctx, began); err != nil && ctx.Err() == nil {
			f.failures++
			sink.Post(event.DirectoryLost{Why: err.Error()})
			wait = min(firstRetry<<min(f.failures-1, 4), lastRetry)
			began = clock.Now()
		} else {
			f.failures = 0
		}
		pause(ctx, wait-clock.Now().Sub(began))
	}
}

type follower struct {
	clock  Clock
	source Source
	sink   Sink
	// listed is set while revision is one that Watch can continue from.
	listed   bool
	revision uint64
	failures int
}

// step makes one call.
func (f *follower) step(ctx context.Context, now time.Time) (err error) {
	if !f.listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		changes, revision, err := f.source.List(ctx)
		if err != nil {
			return err
		}
		f.listed, f.revision = true, revision
		f.sink.Post(event.DirectorySeen{Changes: changes, Whole: true, AskedAt: now})
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	changes, revision, err := f.source.Watch(ctx, f.revision, watchWait)
	if errors.Is(err, ErrCompacted) {
		f.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	f.revision = max(f.revision, revision)
	f.sink.Post(event.DirectorySeen{Changes: changes, AskedAt: now})
	return nil
}

// pause waits, or returns early when the context ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
