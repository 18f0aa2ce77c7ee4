package guard_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"hyssoppitch/io/guard"
)

// aheadBytes is what is charged for a connection with requests that were sent ahead.
const aheadBytes = 128 << 10

// getOf returns a request without a body.
func getOf(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// awaitActive waits until a number of connections have a request in progress.
func (s *site) awaitActive(t *testing.T, want int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); s.listener.Active() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("connections with a request: got %d, want %d", s.listener.Active(), want)
		}
	}
}

// TestRequestsSentAheadAreCharged guards against connections that always have a request to execute, and whose full
// socket buffers nothing counts.
func TestRequestsSentAheadAreCharged(t *testing.T) {
	tests := []struct {
		name string
		// second is sent during the first request.
		first, second string
	}{
		{"in one segment", getOf("/hold") + getOf("/hold"), ""},
		{"in the socket buffer", getOf("/hold"), strings.Replace(getOf("/hold"), "\r\n\r\n", "\r\nX-Long: "+strings.Repeat("x", 20<<10)+"\r\n\r\n", 1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, 1<<20, guard.ListenerOptions{Connections: 4, Active: 4})
			c := s.dial(t)
			c.send(test.first, 0)
			<-s.holding
			s.awaitHeld(t, 0, 0)
			if test.second != "" {
				c.send(test.second, 0)
				// The bytes have to arrive before the first request ends.
				time.Sleep(50 * time.Millisecond)
			}
			s.hold <- struct{}{}
			<-s.holding
			s.awaitHeld(t, aheadBytes, 2*aheadBytes)
			s.awaitActive(t, 1)
			s.hold <- struct{}{}
			for range 2 {
				if got, want := c.answer(), "200 0"; got != want {
					t.Errorf("got %q, want %q", got, want)
				}
			}
			s.awaitHeld(t, 0, 0)
			s.awaitActive(t, 0)
		})
	}
}

// TestRequestsSentAheadDontExceedTheBudget guards against many clients that send requests ahead. What is refused has
// not run.
func TestRequestsSentAheadDontExceedTheBudget(t *testing.T) {
	s := newSite(t, aheadBytes+aheadBytes/2, guard.ListenerOptions{Connections: 4, Active: 4})
	first, second := s.dial(t), s.dial(t)
	first.send(getOf("/a")+getOf("/hold"), 0)
	<-s.holding
	s.awaitHeld(t, aheadBytes, aheadBytes)
	second.send(getOf("/b")+getOf("/refused"), 0)
	for _, want := range []string{"200 0", "503"} {
		if got := second.answer(); got != want {
			t.Errorf("second client: got %q, want %q", got, want)
		}
	}
	close(s.hold)
	for range 2 {
		if got, want := first.answer(), "200 0"; got != want {
			t.Errorf("first client: got %q, want %q", got, want)
		}
	}
	s.awaitHeld(t, 0, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if got, want := s.ran, []string{"/a", "/hold", "/b"}; !slices.Equal(got, want) {
		t.Errorf("requests that ran: got %q, want %q", got, want)
	}
}

// TestRequestsAfterTheAnswerAreNotCharged guards against a charge for ordinary callers that reuse their connection.
func TestRequestsAfterTheAnswerAreNotCharged(t *testing.T) {
	s := newSite(t, 1<<20, guard.ListenerOptions{Connections: 4, Active: 4})
	s.run = func(*guard.Conn) {
		if got := s.guard.Status().HeldBytes; got != 0 {
			t.Errorf("held bytes: got %d, want 0", got)
		}
	}
	c := s.dial(t)
	for range 200 {
		c.send(getOf("/a"), 0)
		if got, want := c.answer(), "200 0"; got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
}
