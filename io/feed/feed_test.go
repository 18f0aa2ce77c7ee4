package feed_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
	"hyssoppitch/io/feed"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// scriptedCall is the result of one call of a scriptedSource.
type scriptedCall struct {
	revision uint64
	err      error
	era      uint64
}

// scriptedSource answers calls from a script and records them. After the end of the
// script, calls block until their context ends.
type scriptedSource struct {
	mu     sync.Mutex
	script []scriptedCall
	calls  []string
}

func (s *scriptedSource) next(ctx context.Context, name string) (event.Position, error) {
	s.mu.Lock()
	s.calls = append(s.calls, name)
	if len(s.script) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return event.Position{}, ctx.Err()
	}
	c := s.script[0]
	s.script = s.script[1:]
	s.mu.Unlock()
	return event.Position{Era: c.era, Revision: c.revision}, c.err
}

func (s *scriptedSource) List(ctx context.Context) ([]event.DirectoryChange, event.Position, error) {
	at, err := s.next(ctx, "list")
	return nil, at, err
}

func (s *scriptedSource) Watch(ctx context.Context, after uint64, _ time.Duration) ([]event.DirectoryChange, event.Position, error) {
	at, err := s.next(ctx, "watch after "+string(rune('0'+after)))
	return nil, at, err
}

func (s *scriptedSource) Calls() uint64 { return uint64(len(s.callsMade())) }

func (s *scriptedSource) callsMade() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// recordingSink records the posted events.
type recordingSink struct {
	mu   sync.Mutex
	seen []event.Event
}

func (s *recordingSink) Post(e event.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, e)
}

// awaitCalls waits until a source has got n calls, and returns all of them.
func awaitCalls(t *testing.T, s *scriptedSource, n int) []string {
	t.Helper()
	for range 500 {
		if callsMade := s.callsMade(); len(callsMade) >= n {
			return callsMade
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("calls: got %v, want %d of them", s.callsMade(), n)
	return nil
}

func start(t *testing.T, script ...scriptedCall) (*feed.Reader, *scriptedSource, *recordingSink) {
	t.Helper()
	src, out := &scriptedSource{script: script}, &recordingSink{}
	r := feed.NewReader(systemClock{}, src, out)
	r.SetActive(event.FollowDirectory{Active: true})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r, src, out
}

// TestReaderListsThenWatches checks that the reader lists the directory and watches it from
// the listed revision, that it reports an error once and retries from the same revision,
// and that it lists again when the changes after its revision are no longer available.
func TestReaderListsThenWatches(t *testing.T) {
	r, src, out := start(t, scriptedCall{revision: 3}, scriptedCall{revision: 5}, scriptedCall{err: errors.New("reset")}, scriptedCall{revision: 6}, scriptedCall{err: feed.ErrCompacted}, scriptedCall{revision: 9})
	got := awaitCalls(t, src, 7)[:7]
	want := []string{"list", "watch after 3", "watch after 5", "watch after 5", "watch after 6", "list", "watch after 9"}
	if !slices.Equal(got, want) {
		t.Errorf("calls: got %v, want %v", got, want)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	unreachable := 0
	for _, e := range out.seen {
		if _, ok := e.(event.DirectoryUnreachable); ok {
			unreachable++
		}
	}
	wantCounters := feed.Counters{Lists: 2, Compacted: 1, Watches: 5, Failures: 1, Calls: 7}
	if got := r.Counters(); got != wantCounters {
		t.Errorf("counters: got %+v, want %+v", got, wantCounters)
	}
	if unreachable != 1 {
		t.Errorf("directory reported unreachable: got %d times, want once", unreachable)
	}
}

// TestReaderListsAgainInNewEra checks that the reader doesn't continue a watch from a revision of
// an earlier era, and that it takes replies of an earlier era, or of none, for failures.
//
// The failure it guards against: revisions that the source gives out again after it was restored
// from an older copy were taken for those that had been read before.
func TestReaderListsAgainInNewEra(t *testing.T) {
	tests := []struct {
		name         string
		script       []scriptedCall
		want         []string
		wantRestored uint64
		wantFailures uint64
	}{
		{
			"watch in a new era",
			[]scriptedCall{{revision: 5, era: 1}, {revision: 7, era: 2}, {revision: 4, era: 2}},
			[]string{"list", "watch after 5", "list", "watch after 4"},
			1, 0,
		},
		{
			"compacted in a new era",
			[]scriptedCall{{revision: 5, era: 1}, {err: feed.ErrCompacted}, {revision: 4, era: 2}},
			[]string{"list", "watch after 5", "list", "watch after 4"},
			0, 0,
		},
		{
			"watch of an earlier era",
			[]scriptedCall{{revision: 5, era: 2}, {revision: 7, era: 1}},
			[]string{"list", "watch after 5", "watch after 5"},
			0, 1,
		},
		{
			"watch without an era",
			[]scriptedCall{{revision: 5, era: 2}, {revision: 7}},
			[]string{"list", "watch after 5", "watch after 5"},
			0, 1,
		},
		{
			"list of an earlier era",
			[]scriptedCall{{revision: 5, era: 2}, {err: feed.ErrCompacted}, {revision: 7, era: 1}},
			[]string{"list", "watch after 5", "list", "list"},
			0, 1,
		},
		{
			"first era",
			[]scriptedCall{{revision: 5}, {revision: 7, era: 1}, {revision: 7, era: 1}},
			[]string{"list", "watch after 5", "list", "watch after 7"},
			1, 0,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r, src, out := start(t, test.script...)
			if got := awaitCalls(t, src, len(test.want))[:len(test.want)]; !slices.Equal(got, test.want) {
				t.Errorf("calls: got %v, want %v", got, test.want)
			}
			if got := r.Counters(); got.Restored != test.wantRestored || got.Failures != test.wantFailures {
				t.Errorf("counters: got %+v, want %d restored and %d failures", got, test.wantRestored, test.wantFailures)
			}
			out.mu.Lock()
			defer out.mu.Unlock()
			era := uint64(0)
			for _, e := range out.seen {
				if read, ok := e.(event.DirectoryRead); ok {
					if read.Era < era || (read.Era > era && !read.Full) {
						t.Errorf("posted %v after era %d, full %t; want no earlier era, and a new one in full", read.Position, era, read.Full)
					}
					era = read.Era
				}
			}
		})
	}
}

// TestDeactivationCancelsListing checks that a reader that is deactivated while it lists the
// directory, because a peer has sent the full directory, cancels the call and doesn't
// report the directory as unreachable.
func TestDeactivationCancelsListing(t *testing.T) {
	r, s, sink := start(t)
	awaitCalls(t, s, 1)
	r.SetActive(event.FollowDirectory{Active: false})
	time.Sleep(50 * time.Millisecond)
	r.SetActive(event.FollowDirectory{Active: true, Position: event.Position{Revision: 7}})
	got := awaitCalls(t, s, 2)
	if want := []string{"list", "watch after 7"}; !slices.Equal(got, want) {
		t.Errorf("calls: got %v, want %v", got, want)
	}
	sink.mu.Lock()
	defer sink.mu.Unlock()
	if len(sink.seen) > 0 {
		t.Errorf("events: got %v, want none", sink.seen)
	}
}

// TestInactiveReaderMakesNoCalls checks that a deactivated reader makes no calls, and that
// once active again it continues from the revision that it is given.
func TestInactiveReaderMakesNoCalls(t *testing.T) {
	r, src, _ := start(t, scriptedCall{revision: 3}, scriptedCall{revision: 3}, scriptedCall{revision: 8})
	awaitCalls(t, src, 1)
	r.SetActive(event.FollowDirectory{})
	time.Sleep(900 * time.Millisecond)
	before := len(src.callsMade())
	time.Sleep(900 * time.Millisecond)
	if got := len(src.callsMade()); got != before {
		t.Errorf("calls while inactive: got %d, want none", got-before)
	}
	r.SetActive(event.FollowDirectory{Active: true, Position: event.Position{Revision: 7}})
	callsMade := awaitCalls(t, src, before+1)
	if got, want := callsMade[before], "watch after 7"; got != want {
		t.Errorf("first call once active again: got %q, want %q", got, want)
	}
}

// TestNewReaderIsInactive checks that a reader makes no calls before it is activated, as an
// instance that starts gets the directory from its peers.
func TestNewReaderIsInactive(t *testing.T) {
	src := &scriptedSource{}
	r := feed.NewReader(systemClock{}, src, &recordingSink{})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	r.Run(ctx)
	if got := src.callsMade(); len(got) > 0 {
		t.Errorf("calls: got %v, want none", got)
	}
}
