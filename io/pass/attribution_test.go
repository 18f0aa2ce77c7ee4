package pass_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/io/pass"
)

// copyTime is when a server sends the second copy of a reply.
type copyTime string

const (
	// copyBefore is before the next request on the connection is written.
	copyBefore copyTime = "before the next request"
	// copyBeside is when the next request has arrived, and copyAfter while it is executed.
	copyBeside copyTime = "with the next request"
	copyAfter  copyTime = "while the next request runs"
	// copyLater is when the second request after the reply has arrived.
	copyLater copyTime = "with the second request after it"
)

// copyingServer answers requests. The first request on its first connection gets another reply, which
// is sent a second time on that connection.
type copyingServer struct {
	reply func(r *http.Request) string
	when  copyTime

	mu sync.Mutex
	// first is set once the first request has arrived, and runs counts the answered requests by ID.
	first bool
	runs  map[string]int
	// open counts the open connections, and accepted all connections.
	open, accepted int
}

func (s *copyingServer) start(t *testing.T) (address string) {
	t.Helper()
	s.runs = map[string]int{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); group.Wait() })
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			s.count(1)
			go func() { s.serve(c); s.count(-1) }()
		}
	})
	return l.Addr().String()
}

func (s *copyingServer) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += n
	s.accepted += max(n, 0)
}

// begin records a request. It returns true for the first one.
func (s *copyingServer) begin(r *http.Request) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.first {
		s.first = true
		return true
	}
	s.runs[r.Header.Get(names.Request)]++
	return false
}

// runsOf returns how often a request has run.
func (s *copyingServer) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *copyingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	late, wait := "", 0
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if s.begin(r) {
			late = s.reply(r)
			_, _ = io.WriteString(c, late)
			switch s.when {
			case copyBefore:
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, late)
				late = ""
			case copyLater:
				wait = 1
			}
			continue
		}
		if late != "" && wait == 0 {
			if s.when == copyAfter {
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = io.WriteString(c, late)
			late = ""
		}
		wait = 0
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(c, okReply(r, "right"))
	}
}

// attempt sends an attempt of a request, with at most the given number of connections to the server.
func attempt(b *pass.BackendClient, address, requestID string, number, connections int) event.ExchangeEnded {
	id := event.AttemptID{Instance: "i", Query: 1, Number: number}
	header := http.Header{}
	if requestID != "" {
		header.Set(names.Request, requestID)
	}
	return b.Exchange(b.Begin(context.Background(), id), event.SendExchange{
		Attempt: id, RequestID: requestID, Server: "s1", Address: address, Connections: connections,
		Deadline: time.Now().Add(5 * time.Second), FreshConnection: true,
	}, &pass.Request{Method: "POST", Target: "/", Host: "h.example", Header: header, Body: []byte("body"), RequestID: requestID})
}

// TestLateCopyIsNotTakenForNextAttempt guards against a request that runs twice, or is refused and runs,
// because the second copy of the reply to one of its attempts passes for the reply to the next one.
func TestLateCopyIsNotTakenForNextAttempt(t *testing.T) {
	head := func(status string) func(r *http.Request) string {
		return func(r *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 %s\r\nX-Request: %s\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get(names.Request))
		}
	}
	unnamed := func(status string) func(r *http.Request) string {
		return func(*http.Request) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n" }
	}
	replies := []struct {
		name  string
		reply func(r *http.Request) string
		want  event.ResultKind
	}{
		{"rejection", head("503 Busy\r\nX-Not-Run: 1"), event.Refused},
		{"rejection with 429", head("429 Too Many Requests\r\nX-Not-Run: 1"), event.Refused},
		{"rejection with 200", head("200 OK\r\nX-Not-Run: 1"), event.Refused},
		{"421", head("421 Misdirected Request\r\nX-Server: s2"), event.Refused},
		{"failure", head("500 Oops\r\nX-Stamp: st"), event.Answered},
		{"unnamed rejection", unnamed("503 Busy\r\nX-Not-Run: 1"), event.Refused},
		{"unnamed 421", unnamed("421 Misdirected Request"), event.Refused},
		{"unnamed failure", unnamed("500 Oops\r\nX-Stamp: st"), event.Answered},
	}
	for _, tt := range replies {
		for _, when := range []copyTime{copyBefore, copyBeside, copyAfter, copyLater} {
			t.Run(tt.name+" "+string(when), func(t *testing.T) {
				t.Parallel()
				s := &copyingServer{reply: tt.reply, when: when}
				address := s.start(t)
				b := pass.NewBackendClient(systemClock{}, names, replyMemory())
				defer b.Close()
				if got := attempt(b, address, "r1", 1, 4); got.Kind != tt.want {
					t.Fatalf("first attempt: got %v (%s), want %v", got.Kind, got.Detail, tt.want)
				}
				switch when {
				case copyBefore:
					time.Sleep(40 * time.Millisecond)
				case copyLater:
					// Another request on the connection gets its own reply.
					if got := attempt(b, address, "r2", 2, 4); got.Kind != event.Answered || string(got.Reply.Body) != "right" {
						t.Errorf("request between the attempts: got %v (%s), want the answer to it", got.Kind, got.Detail)
					}
				}
				if got := attempt(b, address, "r1", 3, 4); got.Kind != event.Answered || string(got.Reply.Body) != "right" {
					t.Errorf("second attempt: got %v (%s), want the answer to it", got.Kind, got.Detail)
				}
				// A request that gets the copy can't be answered, and says so.
				if got := attempt(b, address, "r3", 4, 4); (got.Kind != event.Answered || string(got.Reply.Body) != "right") && got.Kind != event.BadReply {
					t.Errorf("next request: got %v (%s), want the answer to it or %v", got.Kind, got.Detail, event.BadReply)
				}
				if got := s.runsOf("r1"); got != 1 {
					t.Errorf("second attempt: ran %d times, want 1", got)
				}
			})
		}
	}
}

// TestLateCopyToRequestWithoutID guards against the second copy of a reply to a request without an ID,
// which names no request either, as the rejection of the next request.
func TestLateCopyToRequestWithoutID(t *testing.T) {
	rejection := "HTTP/1.1 400 Bad Request\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, nextID := range []string{"r1", ""} {
		s := &copyingServer{reply: func(*http.Request) string { return rejection }, when: copyBeside}
		address := s.start(t)
		b := pass.NewBackendClient(systemClock{}, names, replyMemory())
		defer b.Close()
		if got := attempt(b, address, "", 1, 4); got.Kind != event.Refused {
			t.Fatalf("request without an ID: got %v (%s), want %v", got.Kind, got.Detail, event.Refused)
		}
		got := attempt(b, address, nextID, 2, 4)
		if got.Kind == event.Refused {
			t.Errorf("next request, ID %q: got %v, and it ran %d times", nextID, got.Kind, s.runsOf(nextID))
		}
	}
}

// TestNextAttemptKeepsTheConnectionLimit guards against connections beyond a server's limit, because an
// idle one is kept that the attempt can't use.
func TestNextAttemptKeepsTheConnectionLimit(t *testing.T) {
	rejection := func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 503 Busy\r\nX-Request: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get(names.Request))
	}
	for connections := 1; connections <= 2; connections++ {
		s := &copyingServer{reply: rejection, when: copyBeside}
		address := s.start(t)
		b := pass.NewBackendClient(systemClock{}, names, replyMemory())
		defer b.Close()
		for number := 1; number <= 4; number++ {
			attempt(b, address, "r1", number, connections)
		}
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		if s.open > connections || s.open == 0 {
			t.Errorf("open connections: got %d, want 1 to %d", s.open, connections)
		}
		if got, want := s.accepted, 2; got > want {
			t.Errorf("connections: opened %d, want at most %d", got, want)
		}
		s.mu.Unlock()
	}
}

// rejectingServer rejects a random half of the requests, and counts those that come again on a connection
// on which they were rejected.
type rejectingServer struct {
	random *rand.Rand

	mu          sync.Mutex
	rejected    map[rejection]bool
	connections map[string]bool
	again       int
}

type rejection struct{ connection, request string }

// ServeHTTP implements http.Handler.
func (s *rejectingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get(names.Request)
	w.Header().Set(names.Request, id)
	k := rejection{r.RemoteAddr, id}
	s.connections[r.RemoteAddr] = true
	if s.rejected[k] {
		s.again++
	}
	if s.random.IntN(2) == 0 {
		s.rejected[k] = true
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(names.Stamp, "st")
}

// TestConnectionCarriesRejectedRequestOnce guards against a connection that carries a request again after
// it was rejected there, and against connections that are given up because of rejections of requests that
// don't come again.
func TestConnectionCarriesRejectedRequestOnce(t *testing.T) {
	const seed, senders, requests = 1, 8, 80
	for _, attempts := range []int{1, 5} {
		s := &rejectingServer{random: rand.New(rand.NewPCG(seed, seed)), rejected: map[rejection]bool{}, connections: map[string]bool{}}
		server := httptest.NewServer(s)
		defer server.Close()
		address := server.Listener.Addr().String()
		b := pass.NewBackendClient(systemClock{}, names, replyMemory())
		defer b.Close()
		var group sync.WaitGroup
		for sender := range senders {
			group.Go(func() {
				for i := range requests {
					id := fmt.Sprintf("r%d-%d", sender, i)
					for number := range attempts {
						if attempt(b, address, id, sender<<20+i<<8+number, senders).Kind == event.Answered {
							break
						}
					}
				}
			})
		}
		group.Wait()
		s.mu.Lock()
		if s.again > 0 {
			t.Errorf("%d attempts: %d of %d rejected requests came again on the connection, want 0", attempts, s.again, len(s.rejected))
		}
		// A connection may carry 64 rejected requests.
		if got, want := len(s.connections), senders+len(s.rejected)/64; attempts == 1 && got > want {
			t.Errorf("requests that are sent once: opened %d connections for %d rejections, want at most %d", got, len(s.rejected), want)
		}
		s.mu.Unlock()
	}
}
