package guard_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hyssoppitch/io/guard"
)

// reservation is a reservation with a channel that is closed when it is aborted.
type reservation struct {
	*guard.Reservation
	aborted chan struct{}
}

func reserve(g *guard.Guard) *reservation {
	r := &reservation{aborted: make(chan struct{})}
	r.Reservation = g.Reserve(func() { close(r.aborted) })
	return r
}

// endWhenAborted releases the reservation once it is aborted, as a reader does. The channel returned tells whether
// the reservation was found aborted and could not be charged any more.
func (r *reservation) endWhenAborted() <-chan bool {
	ended := make(chan bool, 1)
	go func() {
		<-r.aborted
		ended <- r.Aborted() && !r.Charge(1)
		r.Release()
	}()
	return ended
}

// stoppedClock is a clock that stands still.
type stoppedClock struct{}

func (stoppedClock) Now() time.Time { return time.Unix(1, 0) }

// TestLargestReplyIsGivenUp guards against replies that never end and keep others from being read: the
// largest of those that are equally old makes room.
func TestLargestReplyIsGivenUp(t *testing.T) {
	g := guard.New(stoppedClock{}, guard.Limits{Budget: 1 << 20})
	long, usual := reserve(g), reserve(g)
	if !long.Charge(900 << 10) {
		t.Fatal("the first reply: refused, want it charged")
	}
	ended := long.endWhenAborted()
	if !usual.Charge(200<<10) || usual.Aborted() {
		t.Errorf("usual reply: refused or aborted (%t), want the long one aborted", usual.Aborted())
	}
	select {
	case refused := <-ended:
		if !refused {
			t.Error("long reply: charged after it was aborted, want it refused")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("long reply: not aborted in 10s")
	}
	// A reply that is itself the largest is refused.
	if usual.Charge(300<<10) && reserve(g).Charge(900<<10) {
		t.Error("reply beyond the budget: charged beside another one, want it refused")
	}
	if got, want := g.Status().HeldBytes, int64(500<<10); got != want {
		t.Errorf("held bytes: got %d, want %d", got, want)
	}
	usual.Release()
	usual.Release()
	if got := g.Status(); got.HeldBytes != 0 || got.AbandonedReplies != 2 {
		t.Errorf("after the release: got %d bytes and %d abandoned replies, want 0 and 2", got.HeldBytes, got.AbandonedReplies)
	}
	if alone := reserve(g); !alone.Charge(2 << 20) {
		t.Error("a reply that is alone: refused, want it charged")
	}
}

// TestClientsAndRepliesShareTheBudget guards against bounds that are kept on either side and exceed the
// memory together: a client's body and a server's reply make room for each other, and a complete reply is
// charged to its caller until that is answered.
func TestClientsAndRepliesShareTheBudget(t *testing.T) {
	s := newSite(t, 256<<10, guard.ListenerOptions{Connections: 16})
	slow := s.dial(t)
	slow.send(post("/a", 200<<10, 150<<10), 0)
	awaitHeld(t, s.guard, 140<<10)
	reply := reserve(s.guard)
	if !reply.Charge(140 << 10) {
		t.Fatal("reply: refused, want the client's body given up")
	}
	if got := s.guard.Status().ClosedHolding; got != 1 {
		t.Errorf("closed clients: got %d, want 1", got)
	}
	// The time for which the reply has held counts.
	time.Sleep(20 * time.Millisecond)
	ended := reply.endWhenAborted()
	c := s.dial(t)
	c.send(post("/b", 160<<10, 160<<10), 0)
	if got, want := c.answer(), fmt.Sprintf("200 %d", 160<<10); got != want {
		t.Errorf("client: got %q, want %q", got, want)
	}
	select {
	case ok := <-ended:
		if !ok {
			t.Error("reply: charged after it was aborted, want it refused")
		}
	default:
		t.Error("reply: not aborted, want it given up for the client")
	}
}

// TestGivenUpReplyCountsUntilItsReaderEnds guards against replies that are given up, and read others in their
// place, faster than their readers get processor time to let go of them: the process would hold all of them.
func TestGivenUpReplyCountsUntilItsReaderEnds(t *testing.T) {
	g := guard.New(stoppedClock{}, guard.Limits{Budget: 1 << 20})
	long, usual := reserve(g), reserve(g)
	if !long.Charge(900 << 10) {
		t.Fatal("the first reply: refused, want it charged")
	}
	charged := make(chan bool, 1)
	go func() { charged <- usual.Charge(200 << 10) }()
	<-long.aborted
	if got, want := g.Status(), int64(900<<10); got.HeldBytes != 0 || got.AbandonedBytes != want {
		t.Errorf("before the reader ends: got %d bytes held and %d abandoned, want 0 and %d", got.HeldBytes, got.AbandonedBytes, want)
	}
	long.Release()
	if !<-charged {
		t.Error("usual reply: refused, want it charged once the long one has ended")
	}
	if got, want := g.Status(), int64(200<<10); got.HeldBytes != want || got.AbandonedBytes != 0 {
		t.Errorf("after it has ended: got %d bytes held and %d abandoned, want %d and 0", got.HeldBytes, got.AbandonedBytes, want)
	}
	// The reader of this one doesn't end.
	stuck := reserve(g)
	if !stuck.Charge(800 << 10) {
		t.Fatal("reply beside the usual one: refused, want it charged")
	}
	if reserve(g).Charge(500 << 10) {
		t.Error("reply beside one that doesn't end: charged, want it refused")
	}
	<-stuck.aborted
	if got := g.Status(); got.HeldBytes+got.AbandonedBytes > 1<<20 {
		t.Errorf("held and abandoned: got %d bytes, want at most %d", got.HeldBytes+got.AbandonedBytes, 1<<20)
	}
}

// TestClosedConnectionCountsUntilItsGoroutineEnds guards against heads of requests that are given up, and others
// that take their place, faster than their goroutines get processor time to let go of them.
func TestClosedConnectionCountsUntilItsGoroutineEnds(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const budget = 128 << 10
	g := guard.New(stoppedClock{}, guard.Limits{Budget: budget, HeaderLines: 1 << 10})
	l := g.Listen(raw, guard.ListenerOptions{Connections: 16, HeaderBytes: 1 << 20})
	defer func() { _ = l.Close() }()
	// accept returns both ends of a connection on which part of a head was sent.
	accept := func(size int) (client, server net.Conn) {
		client, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(client, strings.Repeat("x", size)); err != nil {
			t.Fatal(err)
		}
		server, err = l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, server
	}
	// read reads what was sent, as net/http does.
	read := func(c net.Conn, size int) (err error) {
		_, err = io.ReadFull(c, make([]byte, size))
		return err
	}
	const large, usual = 40 << 10, 20 << 10
	largeClient, largeConn := accept(large)
	defer func() { _ = largeClient.Close() }()
	usualClient, usualConn := accept(usual)
	defer func() { _ = usualClient.Close(); _ = usualConn.Close() }()
	if err := read(largeConn, large); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- read(usualConn, usual) }()
	for g.Status().ClosedHolding == 0 {
		time.Sleep(time.Millisecond)
	}
	// The goroutine of the large one has not ended, so that the other one waits.
	select {
	case err := <-ended:
		t.Fatalf("head beside a closed connection whose goroutine runs: read with error %v, want it to wait", err)
	case <-time.After(50 * time.Millisecond):
	}
	if s := g.Status(); s.HeldBytes+s.AbandonedBytes > budget {
		t.Errorf("held and abandoned: got %d and %d bytes, want at most %d", s.HeldBytes, s.AbandonedBytes, budget)
	}
	_ = largeConn.Close()
	if err := <-ended; err != nil {
		t.Errorf("head after the goroutine has ended: %v, want it read", err)
	}
	if s := g.Status(); s.AbandonedBytes != 0 {
		t.Errorf("after the goroutine has ended: got %d bytes abandoned, want 0", s.AbandonedBytes)
	}
}

// TestCompleteReplyIsChargedToItsCaller guards against complete replies that aren't counted until their
// callers have read them.
func TestCompleteReplyIsChargedToItsCaller(t *testing.T) {
	s := newSite(t, 256<<10, guard.ListenerOptions{Connections: 16})
	moved := make(chan struct{})
	s.run = func(c *guard.Conn) {
		reply := reserve(s.guard)
		body, err := guard.ReadReply(strings.NewReader(strings.Repeat("x", 100<<10)), 1<<20, reply.Reservation)
		if err != nil || len(body) != 100<<10 {
			t.Errorf("reply: got %d bytes, error %v; want %d", len(body), err, 100<<10)
		}
		reply.MoveTo(c, int64(len(body)))
		close(moved)
	}
	c := s.dial(t)
	c.send(post("/hold", 1, 1), 0)
	<-moved
	if got, want := s.guard.Status().HeldBytes, int64(100<<10); got != want {
		t.Errorf("held bytes: got %d, want %d", got, want)
	}
	// The request is being executed, so that what it holds can't be given up.
	if reserve(s.guard).Charge(200 << 10) {
		t.Error("another reply: charged, want it refused")
	}
	close(s.hold)
	if got := c.answer(); got != "200 1" {
		t.Errorf("answer: got %q, want %q", got, "200 1")
	}
	awaitHeld(t, s.guard, 0)
}

// TestReadReplyLimits guards against bodies that are read beyond their limit, or without being charged.
func TestReadReplyLimits(t *testing.T) {
	for _, size := range []int{0, 1, 2047, 2048, 2049, 1 << 16, 1<<16 + 1, 1 << 20} {
		g := guard.New(systemClock{}, guard.Limits{Budget: 1 << 30})
		r := reserve(g)
		body, err := guard.ReadReply(io.LimitReader(zeros{}, int64(size)), 1<<16, r.Reservation)
		if got, want := err == nil && len(body) == size, size <= 1<<16; got != want {
			t.Errorf("body of %d bytes: got %d bytes, error %v; want it valid: %t", size, len(body), err, want)
		}
		if got, want := g.Status().HeldBytes, int64(min(size, 1<<16)-4<<10); got < want {
			t.Errorf("body of %d bytes: charged %d, want at least %d", size, got, want)
		}
	}
}

// zeros is an endless stream.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// awaitHeld waits until a guard holds at least the given number of bytes, or none if that is zero.
func awaitHeld(t *testing.T, g *guard.Guard, want int64) {
	t.Helper()
	for range 400 {
		if got := g.Status().HeldBytes; (want > 0 && got >= want) || (want == 0 && got == 0) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("held bytes: got %d, want %d", g.Status().HeldBytes, want)
}
