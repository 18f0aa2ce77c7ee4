package guard_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hyssoppitch/io/guard"
)

// wallClock is the machine's clock.
type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// arrivalWait is the time for which requests are held up.
const arrivalWait = 600 * time.Millisecond

// arrivalServer serves HTTP on a guarded listener. Each request passes the time that the guard names for it.
func arrivalServer(t *testing.T, l net.Listener, answer <-chan struct{}) <-chan time.Time {
	t.Helper()
	g := guard.New(wallClock{}, guard.Limits{Budget: 1 << 20, HeaderLines: 1 << 10})
	received := make(chan time.Time, 8)
	s := &http.Server{
		Handler: guard.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			received <- guard.ReceivedAt(r.Context())
			if answer != nil {
				<-answer
			}
		})),
		ConnContext: guard.ConnContext, ConnState: guard.SetState, ReadHeaderTimeout: time.Minute,
	}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(g.Listen(l, guard.ListenerOptions{Connections: 8, HeaderBytes: 1 << 14})) }()
	return received
}

// heldListener accepts connections only after a time.
type heldListener struct {
	net.Listener
	held <-chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	<-l.held
	return l.Listener.Accept()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// A request that waits in the accept queue and in the socket was dated when it was read.
func TestRequestIsDatedWhenItsBytesArrived(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := make(chan struct{})
	received := arrivalServer(t, heldListener{l, held}, nil)
	c := dial(t, l.Addr().String())
	send(t, c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	sent := time.Now()
	time.Sleep(arrivalWait)
	close(held)
	if late := (<-received).Sub(sent); late > arrivalWait/2 {
		t.Errorf("dated %v after it was sent; it was read after 600ms", late)
	}
}

// A request whose header section arrives in pieces was dated when it was complete.
func TestRequestIsDatedByItsFirstByte(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := arrivalServer(t, l, nil)
	c := dial(t, l.Addr().String())
	for range 2 {
		// The second one is on a connection that has been used.
		send(t, c, "GET / HTTP/1.1\r\n")
		began := time.Now()
		time.Sleep(arrivalWait)
		send(t, c, "Host: a\r\n\r\n")
		if late := (<-received).Sub(began); late > arrivalWait/2 {
			t.Errorf("dated %v after its first byte", late)
		}
		reply, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = reply.Body.Close()
	}
}

// A request that was sent ahead was dated when the one before it had been answered.
func TestRequestSentAheadIsDatedWhenItArrived(t *testing.T) {
	for _, tc := range []struct {
		name string
		// pause is the time between the two requests.
		pause time.Duration
	}{
		{name: "together"},
		{name: "during the first one", pause: 50 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			answer := make(chan struct{}, 2)
			received := arrivalServer(t, l, answer)
			c := dial(t, l.Addr().String())
			const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
			if tc.pause > 0 {
				send(t, c, request)
				time.Sleep(tc.pause)
				send(t, c, request)
			} else {
				send(t, c, request+request)
			}
			sent := time.Now()
			<-received
			time.Sleep(arrivalWait)
			answer <- struct{}{}
			answer <- struct{}{}
			if late := (<-received).Sub(sent); late > arrivalWait/2 {
				t.Errorf("dated %v after it was sent; the one before took 600ms", late)
			}
		})
	}
}
