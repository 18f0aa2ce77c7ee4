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

// call is what one call of a source returns.
type scriptedCall struct {
	revision uint64
	err      error
}

// source answers calls from a script and records them; after its end it waits.
type scriptedSource struct {
	mu     sync.Mutex
	script []scriptedCall
	calls  []string
}

func (s *scriptedSource) next(ctx context.Context, name string) (uint64, error) {
	s.mu.Lock()
	s.calls = append(s.calls, name)
	if len(s.script) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	c := s.script[0]
	s.script = s.script[1:]
	s.mu.Unlock()
	return c.revision, c.err
}

func (s *scriptedSource) List(ctx context.Context) ([]event.DirectoryChange, uint64, error) {
	revision, err := s.next(ctx, "list")
	return nil, revision, err
}

func (s *scriptedSource) Watch(ctx context.Context, after uint64, _ time.Duration) ([]event.DirectoryChange, uint64, error) {
	revision, err := s.next(ctx, "watch after "+string(rune('0'+after)))
	return nil, revision, err
}

func (s *scriptedSource) callsMade() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// sink keeps what was posted.
type recordingSink struct {
	mu   sync.Mutex
	seen []event.Event
}

func (s *recordingSink) Post(e event.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, e)
}

// waitCalls waits until a source got some calls.
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

// TestFollows: the directory is read whole, then watched from its revision; an error is
// reported and tried again from the same revision; a lost history is read anew.
func TestReaderListsThenWatches(t *testing.T) {
	_, src, out := start(t, scriptedCall{revision: 3}, scriptedCall{revision: 5}, scriptedCall{err: errors.New("reset")}, scriptedCall{revision: 6}, scriptedCall{err: feed.ErrCompacted}, scriptedCall{revision: 9})
	got := awaitCalls(t, src, 7)[:7]
	want := []string{"list", "watch after 3", "watch after 5", "watch after 5", "watch after 6", "list", "watch after 9"}
	if !slices.Equal(got, want) {
		t.Errorf("calls: got %v, want %v", got, want)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	lost := 0
	for _, e := range out.seen {
		if _, ok := e.(event.DirectoryUnreachable); ok {
			lost++
		}
	}
	if lost != 1 {
		t.Errorf("reported lost: got %d times, want once", lost)
	}
}

// TestPeersWordEndsListing: a reader that is told to rest while it lists the directory, since
// a peer told it all, stops listing. That is no failure of the directory.
func TestDeactivationCancelsListing(t *testing.T) {
	r, s, sink := start(t)
	awaitCalls(t, s, 1)
	r.SetActive(event.FollowDirectory{Active: false})
	time.Sleep(50 * time.Millisecond)
	r.SetActive(event.FollowDirectory{Active: true, Revision: 7})
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

// TestRestsWhileOthersRead: no call is made while another instance reads, and reading goes
// on from the revision that this one has heard of since.
func TestInactiveReaderMakesNoCalls(t *testing.T) {
	r, src, _ := start(t, scriptedCall{revision: 3}, scriptedCall{revision: 3}, scriptedCall{revision: 8})
	awaitCalls(t, src, 1)
	r.SetActive(event.FollowDirectory{})
	time.Sleep(900 * time.Millisecond)
	resting := len(src.callsMade())
	time.Sleep(900 * time.Millisecond)
	if got := len(src.callsMade()); got != resting {
		t.Errorf("calls while others read: got %d more", got-resting)
	}
	r.SetActive(event.FollowDirectory{Active: true, Revision: 7})
	callsMade := awaitCalls(t, src, resting+1)
	if got, want := callsMade[resting], "watch after 7"; got != want {
		t.Errorf("first call afterwards: got %q, want %q", got, want)
	}
}
