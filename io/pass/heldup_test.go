package pass_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/io/pass"
)

// listenWithSmallWindow returns a listener whose connections take few bytes before they are read.
func listenWithSmallWindow(t *testing.T) net.Listener {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestRequestDoesNotArriveAfterItsExchange guards against a request that a partition holds up and that its
// server gets when the exchange has ended: the server may be ruled out by then, and the request may run at
// another one. Here, a server that reads nothing holds up what its window has no room for.
func TestRequestDoesNotArriveAfterItsExchange(t *testing.T) {
	tests := []struct {
		name string
		// end ends the exchange before its deadline, if it isn't nil.
		end func(b *pass.BackendClient, id event.AttemptID)
	}{
		{"deadline", nil},
		{"cancelled", func(b *pass.BackendClient, id event.AttemptID) { b.Cancel(id) }},
		{"stopped", func(b *pass.BackendClient, _ event.AttemptID) { b.AbortAll() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := listenWithSmallWindow(t)
			b := pass.NewBackendClient(systemClock{}, names, replyMemory())
			defer b.Close()
			id := event.AttemptID{Instance: "i", Query: 1, Number: 1}
			timeout := 200 * time.Millisecond
			if test.end != nil {
				timeout = time.Minute
				time.AfterFunc(200*time.Millisecond, func() { test.end(b, id) })
			}
			end := b.Exchange(b.Begin(context.Background(), id), event.SendExchange{
				Attempt: id, RequestID: "r1", Server: "s1", Address: l.Addr().String(), Connections: 2, Deadline: time.Now().Add(timeout),
			}, &pass.Request{
				RequestID: "r1", Method: http.MethodPost, Target: "/a/x", Host: "h", Header: http.Header{names.Request: {"r1"}},
				Body: []byte(strings.Repeat("x", 12<<10)),
			})
			if end.Kind != event.TimedOut {
				t.Fatalf("exchange: got %v, %s; want one that timed out", end.Kind, end.Detail)
			}
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if body, err := io.ReadAll(r.Body); err == nil {
				t.Errorf("after the exchange: the server got the whole request, with a body of %d bytes, want an error", len(body))
			}
		})
	}
}
