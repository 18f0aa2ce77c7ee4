package back_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/back"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// rawServer is a TCP server that reads complete requests and lets the test write the
// replies.
type rawServer struct {
	listener net.Listener
	requests atomic.Int64
}

// serve starts a server that calls answer for each request, with the request's number
// counted from one. It closes the connection when answer returns false.
func serve(t *testing.T, answer func(n int64, r *http.Request, body []byte, c net.Conn) bool) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.connection(c, answer)
		}
	}()
	return s
}

func (s *rawServer) connection(c net.Conn, answer func(int64, *http.Request, []byte, net.Conn) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !answer(s.requests.Add(1), r, body, c) {
			return
		}
	}
}

// reply is a reply to a request; tests change it to make it invalid.
type reply struct {
	header http.Header
	status int
	body   []byte
	// length is the value of Content-Length; the body may be shorter.
	length int
}

func validReply(r *http.Request) *reply {
	body := []byte(`{"found":3}`)
	h := http.Header{}
	for _, name := range []string{back.HeaderAttempt, back.HeaderGroup, back.HeaderSnapshot, back.HeaderEpoch} {
		h.Set(name, r.Header.Get(name))
	}
	h.Set(back.HeaderBoot, "boot-1")
	h.Set(back.HeaderDigest, back.DigestOf(body))
	return &reply{header: h, status: http.StatusOK, body: body, length: len(body)}
}

func (p *reply) write(c net.Conn) bool {
	var out bytes.Buffer
	out.WriteString("HTTP/1.1 " + strconv.Itoa(p.status) + " X\r\nContent-Length: " + strconv.Itoa(p.length) + "\r\n")
	_ = p.header.Write(&out)
	out.WriteString("\r\n")
	out.Write(p.body)
	_, err := c.Write(out.Bytes())
	return err == nil
}

func (p *reply) writeTwice(c net.Conn) bool {
	if !p.write(c) {
		return false
	}
	return p.write(c)
}

func attempt(address string) event.SendAttempt {
	return event.SendAttempt{
		Attempt: event.AttemptID{Instance: "i0", Incarnation: 1, Query: 7, Leg: 2, Number: 1},
		Server:  "s0", Address: address, Service: "desk", Group: "g2", Snapshot: 5, Epoch: 3,
		OnceKey: "order-1", Body: []byte(`{"order":1}`), Deadline: time.Now().Add(2 * time.Second),
	}
}

func newClient(t *testing.T) *back.Client {
	t.Helper()
	c := back.New(systemClock{}, "dc0", 4, func(string) {})
	t.Cleanup(c.Close)
	return c
}

// TestAttemptIsNeverSentTwice checks that an attempt is not sent again when a reused
// connection breaks. net/http resends some requests by itself in that case.
func TestAttemptIsNeverSentTwice(t *testing.T) {
	s := serve(t, func(n int64, r *http.Request, _ []byte, c net.Conn) bool {
		if n == 1 {
			return validReply(r).write(c)
		}
		// Closes the reused connection after the request was read.
		return false
	})
	client := newClient(t)
	a := attempt(s.listener.Addr().String())
	if got := client.Send(context.Background(), a).Kind; got != event.Answered {
		t.Fatalf("first attempt: got %s, want %s", got, event.Answered)
	}
	a.Attempt.Number = 2
	if got := client.Send(context.Background(), a).Kind; got != event.Died {
		t.Errorf("second attempt: got %s, want %s", got, event.Died)
	}
	if got := s.requests.Load(); got != 2 {
		t.Errorf("requests: got %d, want 2", got)
	}
}

func TestSendReportsHowAttemptEnds(t *testing.T) {
	replyWith := func(change func(*reply)) func(int64, *http.Request, []byte, net.Conn) bool {
		return func(_ int64, r *http.Request, _ []byte, c net.Conn) bool {
			p := validReply(r)
			change(p)
			return p.write(c) && p.length == len(p.body)
		}
	}
	tests := []struct {
		name   string
		answer func(int64, *http.Request, []byte, net.Conn) bool
		change func(*event.SendAttempt)
		want   event.ResultKind
		reason event.RefusalReason
	}{
		{name: "complete reply", answer: replyWith(func(*reply) {}), want: event.Answered},
		{name: "reply to another attempt", answer: replyWith(func(p *reply) { p.header.Set(back.HeaderAttempt, "i0/1/8/2/1") }), want: event.BadReply},
		{name: "reply without attempt ID", answer: replyWith(func(p *reply) { p.header.Del(back.HeaderAttempt) }), want: event.BadReply},
		{name: "reply from another group", answer: replyWith(func(p *reply) { p.header.Set(back.HeaderGroup, "g1") }), want: event.BadReply},
		{name: "altered body", answer: replyWith(func(p *reply) { p.body = []byte(`{"found":4}`) }), want: event.BadReply},
		{name: "truncated body", answer: replyWith(func(p *reply) { p.body = p.body[:4] }), want: event.Died},
		{name: "not JSON", answer: replyWith(func(p *reply) {
			p.body, p.length = []byte("oops"), 4
			p.header.Del(back.HeaderDigest)
		}), want: event.BadReply},
		{name: "no snapshot", answer: replyWith(func(p *reply) { p.header.Del(back.HeaderSnapshot) }), want: event.BadReply},
		{name: "error status", answer: replyWith(func(p *reply) { p.status = 500 }), want: event.BadReply},
		{name: "refused", answer: replyWith(func(p *reply) {
			p.status = 503
			p.header.Set(back.HeaderNotRun, "shed")
		}), want: event.Refused, reason: event.RefusedShed},
		{name: "refusal for another attempt", answer: replyWith(func(p *reply) {
			p.status = 503
			p.header.Set(back.HeaderNotRun, "shed")
			p.header.Set(back.HeaderAttempt, "i0/1/8/2/1")
		}), want: event.BadReply},
		{name: "closed after reading", answer: func(int64, *http.Request, []byte, net.Conn) bool { return false }, want: event.Died},
		{name: "no reply", answer: func(_ int64, r *http.Request, _ []byte, _ net.Conn) bool {
			<-r.Context().Done()
			return false
		}, change: func(a *event.SendAttempt) { a.Deadline = time.Now().Add(50 * time.Millisecond) }, want: event.TimedOut},
		{name: "deadline passed", answer: replyWith(func(*reply) {}), change: func(a *event.SendAttempt) { a.Deadline = time.Now().Add(-time.Second) }, want: event.NotSent},
		{name: "connection refused", answer: replyWith(func(*reply) {}), change: func(a *event.SendAttempt) { a.Address = "127.0.0.1:1" }, want: event.NotSent},
		{name: "two replies on one connection", answer: func(_ int64, r *http.Request, _ []byte, c net.Conn) bool {
			return validReply(r).writeTwice(c)
		}, want: event.Answered},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := serve(t, test.answer)
			a := attempt(s.listener.Addr().String())
			if test.change != nil {
				test.change(&a)
			}
			got := newClient(t).Send(context.Background(), a)
			if got.Kind != test.want || got.Reason != test.reason {
				t.Errorf("got %s %q, want %s %q", got.Kind, got.Reason, test.want, test.reason)
			}
			if got.Kind != event.Answered && got.Body != nil {
				t.Errorf("a failed attempt has a body: %q", got.Body)
			}
		})
	}
}

// TestExtraReplyIsNotTakenForNextAttempt checks that a second reply that is left on a
// connection is not taken for the reply to the next attempt.
func TestExtraReplyIsNotTakenForNextAttempt(t *testing.T) {
	s := serve(t, func(n int64, r *http.Request, _ []byte, c net.Conn) bool {
		if n == 1 {
			return validReply(r).writeTwice(c)
		}
		return validReply(r).write(c)
	})
	client := newClient(t)
	for number := 1; number <= 3; number++ {
		a := attempt(s.listener.Addr().String())
		a.Attempt.Number = number
		got := client.Send(context.Background(), a)
		if got.Kind == event.Answered && got.Attempt != a.Attempt {
			t.Errorf("attempt %d: got the reply to %s", number, got.Attempt)
		}
	}
}

func TestClosedConnectionIsReported(t *testing.T) {
	s := serve(t, func(_ int64, r *http.Request, _ []byte, c net.Conn) bool {
		validReply(r).write(c)
		return false
	})
	lost := make(chan string, 8)
	client := back.New(systemClock{}, "dc0", 4, func(address string) { lost <- address })
	defer client.Close()
	address := s.listener.Addr().String()
	client.Send(context.Background(), attempt(address))
	if got := <-lost; got != address {
		t.Errorf("got %q, want %q", got, address)
	}
}

func TestServerReportIsParsedFromReply(t *testing.T) {
	s := serve(t, func(_ int64, r *http.Request, _ []byte, c net.Conn) bool {
		p := validReply(r)
		p.header.Set(back.HeaderDraining, "true")
		p.header.Set(back.HeaderSnapshots, "4, 5,x")
		p.header.Set(back.HeaderServerEpoch, "9")
		return p.write(c)
	})
	got := newClient(t).Send(context.Background(), attempt(s.listener.Addr().String())).Report
	if got.Boot != "boot-1" || !got.Draining || got.Epoch != 9 {
		t.Errorf("got %+v, want boot-1, draining, epoch 9", got)
	}
	if want := []model.Snapshot{4, 5}; len(got.Snapshots) != 2 || got.Snapshots[0] != want[0] || got.Snapshots[1] != want[1] {
		t.Errorf("snapshots: got %v, want %v", got.Snapshots, want)
	}
}
