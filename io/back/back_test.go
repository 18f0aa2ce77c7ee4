package back_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/back"
	"hyssoppitch/io/guard"
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
	c := back.New(systemClock{}, "dc0", 4, guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}), func(string) {})
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
	client := back.New(systemClock{}, "dc0", 4, guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}), func(address string) { lost <- address })
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

// replyTo returns the bytes of a valid reply to an attempt, or of a status that names its request.
func replyTo(r *http.Request, boot string) string {
	var out bytes.Buffer
	if r.URL.Path == back.PathStatus {
		body := `{"boot":"` + boot + `","draining":false}`
		return "HTTP/1.1 200 OK\r\n" + back.HeaderAttempt + ": " + r.Header.Get(back.HeaderAttempt) +
			"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	p := validReply(r)
	out.WriteString("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(p.length) + "\r\n")
	_ = p.header.Write(&out)
	out.WriteString("\r\n")
	out.Write(p.body)
	return out.String()
}

// TestCopySpoilsOneAttempt guards against a connection on which each attempt gets the reply to the one
// before it, since a second copy of a reply arrived once.
func TestCopySpoilsOneAttempt(t *testing.T) {
	first := ""
	s := serve(t, func(n int64, r *http.Request, _ []byte, c net.Conn) bool {
		text := replyTo(r, "")
		if n == 1 {
			first = text
		}
		if n == 2 {
			_, _ = io.WriteString(c, first)
		}
		time.Sleep(5 * time.Millisecond)
		_, err := io.WriteString(c, text)
		return err == nil
	})
	client := newClient(t)
	bad := 0
	for number := 1; number <= 10; number++ {
		a := attempt(s.listener.Addr().String())
		a.Attempt.Number = number
		if client.Send(context.Background(), a).Kind != event.Answered {
			bad++
		}
	}
	if got, want := bad, 1; got > want {
		t.Errorf("attempts without an answer: got %d of 10, want at most %d", got, want)
	}
}

// TestCopyBesideOtherAttempts guards against attempts that end as if the server had crashed, because the
// connection was closed that another attempt had got a wrong reply on.
func TestCopyBesideOtherAttempts(t *testing.T) {
	var mu sync.Mutex
	last := ""
	s := serve(t, func(n int64, r *http.Request, _ []byte, c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		text := replyTo(r, "")
		if n%10 == 0 {
			text = last + text
		}
		last = replyTo(r, "")
		_, err := io.WriteString(c, text)
		return err == nil
	})
	client := back.New(systemClock{}, "dc0", 1, guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}), func(string) {})
	defer client.Close()
	results := make(chan event.ResultKind, 400)
	var group sync.WaitGroup
	for sender := range 4 {
		group.Go(func() {
			for number := range cap(results) / 4 {
				a := attempt(s.listener.Addr().String())
				a.Attempt.Query, a.Attempt.Number = event.QueryID(sender), number
				results <- client.Send(context.Background(), a).Kind
			}
		})
	}
	group.Wait()
	close(results)
	got := map[event.ResultKind]int{}
	for kind := range results {
		got[kind]++
	}
	if got[event.Died] > 0 || got[event.TimedOut] > 0 {
		t.Errorf("results: got %v, want none that died or timed out", got)
	}
	// One in ten replies comes after a copy of another one, which spoils two attempts at most.
	if got[event.Answered] < 320 {
		t.Errorf("results: got %v, want at least 320 answers", got)
	}
}

// TestStatusIsNotTakenFromLateReply guards against a late copy of an earlier reply that passes for the
// status of a server: a drain or a restart would be missed.
func TestStatusIsNotTakenFromLateReply(t *testing.T) {
	for _, named := range []bool{true, false} {
		var mu sync.Mutex
		// The last reply on each connection comes again when the next request has arrived.
		last := map[net.Conn]string{}
		s := serve(t, func(n int64, r *http.Request, _ []byte, c net.Conn) bool {
			text := replyTo(r, "boot-"+strconv.FormatInt(n, 10))
			if !named && r.URL.Path == back.PathStatus {
				text = strings.Replace(text, back.HeaderAttempt+": "+r.Header.Get(back.HeaderAttempt)+"\r\n", "", 1)
			}
			mu.Lock()
			late := last[c]
			last[c] = text
			mu.Unlock()
			_, _ = io.WriteString(c, late)
			time.Sleep(5 * time.Millisecond)
			_, err := io.WriteString(c, text)
			return err == nil
		})
		client := newClient(t)
		address := s.listener.Addr().String()
		client.Send(context.Background(), attempt(address))
		reached := 0
		for range 10 {
			before := s.requests.Load()
			got := client.Status(context.Background(), event.PollStatus{Server: "s0", Address: address})
			if !got.Reached {
				continue
			}
			reached++
			boot, err := strconv.ParseInt(strings.TrimPrefix(got.Report.Boot, "boot-"), 10, 64)
			if err != nil || boot <= before {
				t.Errorf("names its request %t: got a status with boot %q, want one above %d or none", named, got.Report.Boot, before)
			}
		}
		if got, want := reached, 5; got < want {
			t.Errorf("names its request %t: got %d of 10 statuses, want at least %d", named, got, want)
		}
	}
}
