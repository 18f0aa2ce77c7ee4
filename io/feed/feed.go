// Package feed owns the following of a directory: it reads the directory whole, then
// follows its changes, and starts again where the history is lost. It decides when to
// call and when to try again; what an entry means is left to the source, and what
// follows from it to core.
package feed

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
	"hyssoppitch/io/wait"
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
	watchWait   = 900 * time.Millisecond
	watchMargin = 600 * time.Millisecond
	// watchPace is the least time between the starts of two watches: changes that come
	// close together are read at once.
	minWatchInterval = 400 * time.Millisecond
	// firstRetry and lastRetry bound the wait after a call that failed.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Reader reads a directory while it is told to. It starts reading.
type Reader struct {
	clock  Clock
	source Source
	sink   Sink

	mu sync.Mutex
	// orders holds the newest order that Run has not seen, or nil; ordered is signalled
	// for each.
	command      *event.FollowDirectory
	commandReady chan struct{}
	// stopListing ends the call that lists the directory; nil while there is none.
	cancelList context.CancelFunc

	// listed is set while revision is one that Watch can continue from.
	listed   bool
	revision uint64
	failures int
}

// NewReader returns a reader that Run starts.
func NewReader(c Clock, source Source, sink Sink) *Reader {
	return &Reader{clock: c, source: source, sink: sink, commandReady: make(chan struct{}, 1)}
}

// Follow says whether to read, and from which revision on.
func (r *Reader) SetActive(o event.FollowDirectory) {
	r.mu.Lock()
	r.command = &o
	if !o.Active && r.cancelList != nil {
		r.cancelList()
	}
	r.mu.Unlock()
	select {
	case r.commandReady <- struct{}{}:
	default:
	}
}

// Run posts the directory's content and changes until the context ends.
func (r *Reader) Run(ctx context.Context) {
	active := true
	for ctx.Err() == nil {
		active = r.applyCommand(active)
		if !active {
			select {
			case <-ctx.Done():
			case <-r.commandReady:
			}
			continue
		}
		began := r.clock.Now()
		interval := minWatchInterval
		err := r.readOnce(ctx, began)
		if r.deactivated() {
			continue
		}
		if err != nil && ctx.Err() == nil {
			r.failures++
			r.sink.Post(event.DirectoryUnreachable{Cause: err.Error()})
			interval = min(minRetryDelay<<min(r.failures-1, 4), maxRetryDelay)
			began = r.clock.Now()
		} else {
			r.failures = 0
		}
		wait.For(ctx, interval-r.clock.Now().Sub(began))
	}
}

// take takes in the newest order and returns whether to read.
func (r *Reader) applyCommand(active bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.command
	r.command = nil
	if o == nil {
		return active
	}
	if o.Active && !active && o.Revision > 0 {
		r.listed, r.revision = true, max(r.revision, o.Revision)
	}
	return o.Active
}

// resting reports whether the newest order is to read no more.
func (r *Reader) deactivated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.command != nil && !r.command.Active
}

// listing sets what ends the call that lists the directory.
func (r *Reader) setCancelList(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelList = cancel
}

// step makes one call.
func (r *Reader) readOnce(ctx context.Context, now time.Time) (err error) {
	if !r.listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		r.setCancelList(cancel)
		defer r.setCancelList(nil)
		changes, revision, err := r.source.List(ctx)
		if err != nil {
			return err
		}
		r.listed, r.revision = true, revision
		r.sink.Post(event.DirectoryRead{Changes: changes, Full: true, Revision: revision, AsOf: now})
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	changes, revision, err := r.source.Watch(ctx, r.revision, watchWait)
	if errors.Is(err, ErrCompacted) {
		r.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	r.revision = max(r.revision, revision)
	knownAt := now
	if len(changes) == 0 {
		// The directory answered when the wait was over, not before.
		knownAt = now.Add(min(watchWait, r.clock.Now().Sub(now)))
	}
	r.sink.Post(event.DirectoryRead{Changes: changes, Revision: r.revision, AsOf: knownAt})
	return nil
}
