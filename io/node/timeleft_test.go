package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/model"
	"hyssoppitch/io/node"
	"hyssoppitch/io/setup"
)

// What servers are told is left may exceed what is left by timeSlack, for the delays of the machine that the
// test runs on. They must be told of the delays of heldUp that the tests bring about.
const (
	heldUp    = 700 * time.Millisecond
	timeSlack = 300 * time.Millisecond
)

// timeRecorder is a backend server that compares the time left with that since began was set.
type timeRecorder struct {
	*httptest.Server
	// rejects is the number of requests that are rejected after heldUp, as not run.
	rejects atomic.Int32
	// results has the end of each request as the server was told, for requests that aren't rejected.
	results chan time.Time
}

func newTimeRecorder() *timeRecorder {
	s := &timeRecorder{results: make(chan time.Time, 8)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived := time.Now()
		w.Header().Set("Request", r.Header.Get("Request"))
		if s.rejects.Add(-1) >= 0 {
			time.Sleep(heldUp)
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		left, err := strconv.Atoi(r.Header.Get("Timeout"))
		if err != nil {
			left = int(time.Hour.Milliseconds())
		}
		if r.URL.Path == "/slow" {
			time.Sleep(heldUp)
		}
		s.results <- arrived.Add(time.Duration(left) * time.Millisecond)
		w.Header().Set("Stamp", "s")
	}))
	return s
}

// startTimed runs an instance that relays idempotent requests to the server.
func startTimed(t *testing.T, s *timeRecorder) *node.Node {
	t.Helper()
	settings := instanceSettings("i0")
	settings.Shutdown = setup.Shutdown{}
	settings.Routed.RetryRatio, settings.Routed.RetrySlack, settings.Routed.RetryWindow = 0.2, 100, model.Duration(10*time.Second)
	n, _, _ := runInstance(t, settings, fixedDirectory{
		{Key: "config", Routing: &model.RoutingTable{Version: 1, Routes: []model.Route{{
			Name: "r", Host: "desk", Prefix: "/", Idempotent: true, Attempts: 3, Target: 500 * time.Millisecond,
			Shares: []model.Share{{Group: "g", Weight: 1}},
		}}}},
		{Key: "servers/s0", Server: &model.Registration{
			ID: "s0", Life: "1", Address: s.Listener.Addr().String(), DataCentre: "dc0", Group: "g", Slots: 100,
		}},
	})
	return n
}

// TestServersGetNoMoreTimeThanIsLeft guards against requests that were dated when the engine handled them:
// servers got the time that had passed before, and worked on after their callers had given up.
func TestServersGetNoMoreTimeThanIsLeft(t *testing.T) {
	const timeout = 3 * time.Second
	head := func(path, id string, more string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk\r\nRequest: %s\r\nTimeout: %d\r\n%s", path, id, timeout.Milliseconds(), more)
	}
	plain := "Content-Length: 0\r\n\r\n"
	for _, tc := range []struct {
		name string
		// send writes the request whose time is checked, and returns when its first byte was written.
		send func(n *node.Node, s *timeRecorder, c net.Conn) time.Time
		// skipped is the number of requests before it.
		skipped int
	}{
		{name: "engine is busy", send: func(n *node.Node, _ *timeRecorder, c net.Conn) time.Time {
			busy := make(chan struct{})
			go n.View(func(*engine.Engine) { close(busy); time.Sleep(heldUp) })
			<-busy
			began := time.Now()
			_, _ = io.WriteString(c, head("/a", "1", plain))
			return began
		}},
		{name: "header section in pieces", send: func(_ *node.Node, _ *timeRecorder, c net.Conn) time.Time {
			began := time.Now()
			_, _ = io.WriteString(c, head("/a", "1", ""))
			time.Sleep(heldUp)
			_, _ = io.WriteString(c, plain)
			return began
		}},
		{name: "late body", send: func(_ *node.Node, _ *timeRecorder, c net.Conn) time.Time {
			began := time.Now()
			_, _ = io.WriteString(c, head("/a", "1", "Content-Length: 4\r\n\r\n"))
			time.Sleep(heldUp)
			_, _ = io.WriteString(c, "body")
			return began
		}},
		{name: "sent ahead", skipped: 1, send: func(_ *node.Node, _ *timeRecorder, c net.Conn) time.Time {
			began := time.Now()
			_, _ = io.WriteString(c, head("/slow", "1", plain)+head("/a", "2", plain))
			return began
		}},
		{name: "second attempt", send: func(_ *node.Node, s *timeRecorder, c net.Conn) time.Time {
			s.rejects.Store(1)
			began := time.Now()
			_, _ = io.WriteString(c, head("/a", "1", plain))
			return began
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTimeRecorder()
			t.Cleanup(s.Close)
			n := startTimed(t, s)
			c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", n.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			awaitServed(t, c, s)
			began := tc.send(n, s, c)
			for range tc.skipped {
				<-s.results
			}
			select {
			case end := <-s.results:
				if over := end.Sub(began.Add(timeout)); over > timeSlack {
					t.Errorf("the server may work %v longer than the caller waits", over)
				}
			case <-time.After(timeout):
				t.Fatal("the request did not reach the server")
			}
		})
	}
}

// awaitServed sends requests until one is served.
func awaitServed(t *testing.T, c net.Conn, s *timeRecorder) {
	t.Helper()
	r := bufio.NewReader(c)
	for range 100 {
		_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: desk\r\nRequest: 0\r\nTimeout: 5000\r\nContent-Length: 0\r\n\r\n")
		reply, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, reply.Body)
		_ = reply.Body.Close()
		if reply.StatusCode == http.StatusOK {
			<-s.results
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("no request is served")
}
