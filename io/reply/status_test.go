package reply_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/back"
	"hyssoppitch/io/guard"
	"hyssoppitch/io/pass"
	"hyssoppitch/io/peer"
	"hyssoppitch/io/store"
	"hyssoppitch/platform"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// faultyServer answers each request with the same bytes.
type faultyServer struct {
	address string
	// closed gets a value for each connection that the client has closed.
	closed chan struct{}
}

func startFaultyServer(t *testing.T, reply func(r *http.Request) string) *faultyServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &faultyServer{address: l.Addr().String(), closed: make(chan struct{}, 64)}
	var group sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); group.Wait() })
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			group.Go(func() { s.serve(c, reply) })
		}
	})
	return s
}

func (s *faultyServer) serve(c net.Conn, reply func(r *http.Request) string) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			select {
			case s.closed <- struct{}{}:
			default:
			}
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(c, reply(r)); err != nil {
			return
		}
	}
}

var names = pass.HeaderNames{Request: "Request", CallerTimeout: "Timeout", ExpectServer: "Expect", Server: "Server-Id", Stamp: "Stamp", NotRun: "Not-Run", Limit: "Limit", Leaving: "Leaving"}

// peerSink counts the links of a hub.
type peerSink struct{ linked chan struct{} }

// PostAndWait implements peer.Sink.
func (s peerSink) PostAndWait(e event.Event) { s.Post(e) }

func (s peerSink) Post(e event.Event) {
	if _, ok := e.(event.PeerLinked); ok {
		s.linked <- struct{}{}
	}
}

// reader reads the reply to one request. accepted is set if the reply is taken for an answer or a
// refusal, and outcome describes how the call ended.
type reader struct {
	name string
	// head and body complete a valid reply.
	head, body string
	call       func(t *testing.T, address string) (accepted bool, outcome string)
}

func readers() []reader {
	ctx := context.Background()
	return []reader{
		{"routed exchange", "Request: r1\r\nStamp: st\r\n", "yes", func(_ *testing.T, address string) (bool, string) {
			b := pass.NewBackendClient(systemClock{}, names, guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}))
			defer b.Close()
			id := event.AttemptID{Instance: "i", Query: 1, Number: 1}
			end := b.Exchange(b.Begin(ctx, id), event.SendExchange{Attempt: id, Server: "s", Address: address, Connections: 2, Deadline: time.Now().Add(2 * time.Second)},
				&pass.Request{Method: "GET", Target: "/", Host: "h", RequestID: "r1"})
			return end.Kind == event.Answered, kindName(end.Kind)
		}},
		{"routed exchange, not run", "Request: r1\r\nNot-Run: 1\r\n", "", func(_ *testing.T, address string) (bool, string) {
			b := pass.NewBackendClient(systemClock{}, names, guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}))
			defer b.Close()
			id := event.AttemptID{Instance: "i", Query: 1, Number: 1}
			end := b.Exchange(b.Begin(ctx, id), event.SendExchange{Attempt: id, Server: "s", Address: address, Connections: 2, Deadline: time.Now().Add(2 * time.Second)},
				&pass.Request{Method: "GET", Target: "/", Host: "h", RequestID: "r1"})
			return end.Kind == event.Refused, kindName(end.Kind)
		}},
		{"attempt of a declared service, not run", attemptHeaders + "Hyssoppitch-Not-Run: shed\r\n", "{}", func(t *testing.T, address string) (bool, string) {
			end := newBack(t).Send(ctx, attempt(address))
			return end.Kind == event.Refused, kindName(end.Kind)
		}},
		{"attempt of a declared service", attemptHeaders, "{}", func(t *testing.T, address string) (bool, string) {
			end := newBack(t).Send(ctx, attempt(address))
			return end.Kind == event.Answered, kindName(end.Kind)
		}},
		{"status of a server", "", `{"boot":"b"}`, func(t *testing.T, address string) (bool, string) {
			return newBack(t).Status(ctx, event.PollStatus{Server: "s", Address: address}).Reached, ""
		}},
		{"store", "Store-Revision: 3\r\n", "x", func(t *testing.T, address string) (bool, string) {
			c := store.New(address, guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}))
			t.Cleanup(c.Close)
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			_, err := c.Get(ctx, "k")
			return err == nil, ""
		}},
		{"directory", "", `{"items":[],"at-rev":7}`, func(t *testing.T, address string) (bool, string) {
			d := platform.NewDirectory(address, guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}))
			t.Cleanup(d.Close)
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			_, _, err := d.List(ctx)
			return err == nil, ""
		}},
	}
}

func kindName(k event.ResultKind) string { return k.String() }

const attemptHeaders = "Hyssoppitch-Attempt: i0/1/7/2/1\r\nHyssoppitch-Group: g\r\nHyssoppitch-Snapshot: 5\r\nHyssoppitch-Map-Epoch: 3\r\n"

func attempt(address string) event.SendAttempt {
	return event.SendAttempt{
		Attempt: event.AttemptID{Instance: "i0", Incarnation: 1, Query: 7, Leg: 2, Number: 1},
		Server:  "s", Address: address, Service: "desk", Group: "g", Snapshot: 5, Epoch: 3, Deadline: time.Now().Add(2 * time.Second),
	}
}

func newBack(t *testing.T) *back.Client {
	t.Helper()
	c := back.New(systemClock{}, "dc0", 4, guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}), func(string) {})
	t.Cleanup(c.Close)
	return c
}

// TestStatusThatIsNone guards against the reply of a faulty server that is taken for an answer, a
// refusal or a sign of health although its status is not that of a final HTTP reply, and against a
// connection that is used again after it. The last rows are the replies that must still be taken.
func TestStatusThatIsNone(t *testing.T) {
	early := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	tests := []struct {
		interim, status string
		valid           bool
	}{
		{"", "000 None", false},
		{"", "001 None", false},
		{"", "099 None", false},
		{"", "199 None", false},
		{"", "600 None", false},
		{"", "999 None", false},
		{"", "1000 None", false},
		{"", "-01 None", false},
		{"", "+20 None", false},
		{"", "2000 None", false},
		{"", "20 None", false},
		{"", "2 0 None", false},
		{"", "101 Switching Protocols", false},
		{"", "101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade", false},
		{early, "600 None", false},
		{early, "000 None", false},
		{strings.Repeat(early, 9), "200 OK", false},
		{strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("a", 12<<10)+"\r\n\r\n", 8), "200 OK", false},
		{strings.Repeat(early, 8), "200 OK", true},
		{"", "200 OK", true},
		{"", "200", true},
	}
	for _, r := range readers() {
		for _, tt := range tests {
			name := tt.status
			if tt.interim != "" {
				name = fmt.Sprintf("%s after %d bytes", tt.status, len(tt.interim))
			}
			t.Run(r.name+"/"+strings.ReplaceAll(name, "\r\n", " "), func(t *testing.T) {
				s := startFaultyServer(t, func(request *http.Request) string {
					head := strings.ReplaceAll(r.head, "i0/1/7/2/1", request.Header.Get("Hyssoppitch-Attempt"))
					return fmt.Sprintf("%sHTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", tt.interim, tt.status, head, len(r.body), r.body)
				})
				began := time.Now()
				accepted, outcome := r.call(t, s.address)
				if accepted != tt.valid {
					t.Fatalf("got accepted %t (%s), want %t", accepted, outcome, tt.valid)
				}
				if tt.valid {
					return
				}
				if outcome != "" && outcome != event.BadReply.String() {
					t.Errorf("got outcome %q, want %q", outcome, event.BadReply)
				}
				if took := time.Since(began); took > time.Second {
					t.Errorf("the call took %v, want an error at once", took)
				}
				select {
				case <-s.closed:
				case <-time.After(2 * time.Second):
					t.Error("the connection was not closed")
				}
			})
		}
	}
}

// TestStatusOfPeer guards against a link to a peer whose reply to the request for one is none, and
// against its connection staying open. Only status 101 opens a link.
func TestStatusOfPeer(t *testing.T) {
	for _, status := range []string{"000 None", "099 None", "199 None", "200 OK", "600 None", "999 None", "2000 None"} {
		t.Run(status, func(t *testing.T) {
			s := startFaultyServer(t, func(*http.Request) string {
				return "HTTP/1.1 " + status + "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nContent-Length: 0\r\n\r\n"
			})
			sink := peerSink{linked: make(chan struct{}, 8)}
			h := peer.NewHub(model.Instance{ID: "a", Incarnation: 1, Address: "127.0.0.1:1"}, sink, guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}))
			defer h.Close()
			h.SetPeers(context.Background(), []string{s.address})
			select {
			case <-sink.linked:
				t.Error("got a link")
			case <-s.closed:
			case <-time.After(2 * time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}
