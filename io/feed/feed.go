// Package feed keeps up with a directory: it lists all entries, then watches for changes,
// and lists again when the source no longer has the changes after a revision, or was restored
// from an older copy and counts its revisions in a new era. It decides when to call the source and when to retry. The source interprets the entries, and
// packages of core decide what follows from them.
package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
	"hyssoppitch/io/wait"
)

// ErrCompacted is returned by Source.Watch when the source no longer has the changes
// after a revision.
var ErrCompacted = errors.New("the changes after this revision are no longer available")

// Source is a directory whose every change has a position.
type Source interface {
	// List returns all entries and a position; Watch after that position misses no later
	// change of the same era.
	List(ctx context.Context) (changes []event.DirectoryChange, at event.Position, err error)
	// Calls returns how many requests were sent to the source: a List may need several.
	Calls() uint64
	// Watch returns the changes after a revision of the current era. It waits for one until
	// the time wait is over.
	Watch(ctx context.Context, after uint64, wait time.Duration) (changes []event.DirectoryChange, at event.Position, err error)
}

// Sink receives what was read as events.
type Sink interface {
	Post(e event.Event)
}

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

const (
	// listTimeout limits a call of Source.List.
	listTimeout = 3 * time.Second
	// watchWait is how long one watch waits for a change. The call times out watchMargin
	// later, so that a connection that no longer carries data is noticed.
	watchWait   = 900 * time.Millisecond
	watchMargin = 600 * time.Millisecond
	// confirmWait is the wait of the first watch of a reader that continues from a revision.
	confirmWait = time.Millisecond
	// minWatchInterval is the minimum time between the starts of two watches, so that
	// changes in quick succession are read by one call.
	minWatchInterval = 400 * time.Millisecond
	// minRetryDelay is the first delay of the exponential backoff after failed calls.
	minRetryDelay = 100 * time.Millisecond
)

// Reader reads a directory while it is active. It is inactive until SetActive is called.
type Reader struct {
	clock  Clock
	source Source
	sink   Sink

	mu sync.Mutex
	// command is the newest command that Run has not applied yet, or nil. commandReady is
	// signalled for each command.
	command      *event.FollowDirectory
	commandReady chan struct{}
	// cancelList cancels the current call of Source.List; it is nil while there is none.
	cancelList context.CancelFunc

	// confirm is set when the next watch returns at once, so that peers that waited for an
	// update get one.
	confirm bool
	// listed is set while Watch can continue from position.
	listed   bool
	position event.Position
	// maxRetryDelay limits the backoff; it comes with the commands.
	maxRetryDelay time.Duration
	// failures counts the consecutive failed calls.
	failures int
	// The fields of Counters.
	lists, compacted, restored, watches, failed atomic.Uint64
}

// Counters counts the calls of a Reader since it was created.
type Counters struct {
	// Lists counts the calls of Source.List: at a start and, as Compacted counts, because the
	// source no longer had the changes after a revision.
	Lists     uint64 `json:"lists"`
	Compacted uint64 `json:"history-lost"`
	// Restored counts the watches that were given up because the source had been restored.
	Restored uint64 `json:"restored"`
	// Watches counts the calls of Source.Watch, and Failures those calls of both that failed.
	Watches  uint64 `json:"watches"`
	Failures uint64 `json:"failures"`
	// Calls counts the requests that these calls sent to the source.
	Calls uint64 `json:"calls"`
}

// Counters returns the counters. It is safe for concurrent use.
func (r *Reader) Counters() Counters {
	return Counters{
		Lists: r.lists.Load(), Compacted: r.compacted.Load(), Restored: r.restored.Load(), Watches: r.watches.Load(),
		Failures: r.failed.Load(), Calls: r.source.Calls(),
	}
}

// NewReader returns a reader. It reads once Run is called.
func NewReader(c Clock, source Source, sink Sink) *Reader {
	return &Reader{clock: c, source: source, sink: sink, commandReady: make(chan struct{}, 1)}
}

// SetActive activates or deactivates the reader, and gives the revision to continue
// from. Deactivation cancels a call of Source.List.
func (r *Reader) SetActive(c event.FollowDirectory) {
	r.mu.Lock()
	r.command = &c
	if !c.Active && r.cancelList != nil {
		r.cancelList()
	}
	r.mu.Unlock()
	select {
	case r.commandReady <- struct{}{}:
	default:
	}
}

// Run posts the directory's content and changes to the sink until the context ends.
func (r *Reader) Run(ctx context.Context) {
	active := false
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
			r.failed.Add(1)
			r.sink.Post(event.DirectoryUnreachable{Cause: err.Error()})
			interval = min(minRetryDelay<<min(r.failures-1, 5), max(r.maxRetryDelay, minRetryDelay))
			began = r.clock.Now()
		} else {
			r.failures = 0
		}
		wait.For(ctx, interval-r.clock.Now().Sub(began))
	}
}

// applyCommand applies the newest command, if there is one, and returns whether the
// reader is active.
func (r *Reader) applyCommand(active bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.command
	r.command = nil
	if c == nil {
		return active
	}
	r.maxRetryDelay = c.MaxRetryDelay
	if c.Active && !active && c.Revision > 0 {
		r.listed, r.confirm = true, true
		if c.After(r.position) {
			r.position = c.Position
		}
	}
	return c.Active
}

// deactivated reports whether there is a command to deactivate the reader that Run has
// not applied yet.
func (r *Reader) deactivated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.command != nil && !r.command.Active
}

// setCancelList sets cancelList.
func (r *Reader) setCancelList(cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelList = cancel
}

// readOnce makes one call of Source.List or Source.Watch and posts the result.
func (r *Reader) readOnce(ctx context.Context, now time.Time) (err error) {
	if !r.listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		r.setCancelList(cancel)
		defer r.setCancelList(nil)
		r.lists.Add(1)
		changes, at, err := r.source.List(ctx)
		if err == nil {
			err = r.checkEra(at)
		}
		if err != nil {
			return err
		}
		r.listed, r.position = true, at
		r.sink.Post(event.DirectoryRead{Changes: changes, Full: true, Position: at, AsOf: now})
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	maxWait := watchWait
	if r.confirm {
		maxWait = confirmWait
	}
	r.watches.Add(1)
	changes, at, err := r.source.Watch(ctx, r.position.Revision, maxWait)
	if errors.Is(err, ErrCompacted) {
		r.compacted.Add(1)
		r.listed = false
		return nil
	}
	if err == nil {
		err = r.checkEra(at)
	}
	if err != nil {
		return err
	}
	if at.Era > r.position.Era {
		// The revisions that were read are not those of this era.
		r.restored.Add(1)
		r.listed = false
		return nil
	}
	r.position.Revision = max(r.position.Revision, at.Revision)
	r.confirm = false
	asOf := now
	if len(changes) == 0 {
		// Without changes, the source answers at the end of the wait, so the content is
		// current as of then.
		asOf = now.Add(min(maxWait, r.clock.Now().Sub(now)))
	}
	r.sink.Post(event.DirectoryRead{Changes: changes, Position: r.position, AsOf: asOf})
	return nil
}

// checkEra returns an error if a reply is of an earlier era than one before, or names none
// although that one did: it is late, or from a copy that was replaced.
func (r *Reader) checkEra(at event.Position) error {
	if at.Era < r.position.Era {
		return errors.Newf("the reply is of era %d, an earlier one was of era %d", at.Era, r.position.Era)
	}
	return nil
}
