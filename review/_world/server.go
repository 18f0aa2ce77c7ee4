package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The header fields of the protocol page.
const (
	headerRequest = "Hyssoppitch-Request-Id"
	headerTimeout = "Hyssoppitch-Deadline-Ms"
	headerExpect  = "Hyssoppitch-Expect-Instance"
	headerServer  = "Hyssoppitch-Instance-Id"
	headerStamp   = "Hyssoppitch-Server-Stamp"
)

// run is a request that a server began to execute.
type run struct {
	server, request, method, target, host string
	began, ended                          time.Time
	// finished is set if the server has done the whole work, and not dropped it.
	finished bool
}

// server is a stand-in for a backend server. A crash closes its listener and resets its
// connections; it starts again at the same address and under the same ID.
type server struct {
	id, service, zone, address string
	w                          *world
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// keepsOn reports whether the server goes on with a request whose connection was closed. Most
	// requests are dropped.
	keepsOn func(r *http.Request) bool
	// crashes reports whether a request crashes the server.
	crashes func(r *http.Request) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	born     int64
	sequence int
	state    string
	// warmup is how long the server is cold after its next start, and cold until when it is.
	warmup         time.Duration
	coldFrom, cold time.Time
}

// beat is what a server writes about itself to the store.
type beat struct {
	Service  string `json:"service"`
	Address  string `json:"addr"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	WarmupMs int64  `json:"warmup-left-ms"`
	Sequence int    `json:"seq"`
	Born     int64  `json:"born"`
}

// start opens the listener.
func (s *server) start() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.listener, s.conns, s.down = l.Addr().String(), l, map[net.Conn]bool{}, false
	s.born, s.state = time.Now().UnixMilli(), "ready"
	s.coldFrom = time.Now()
	s.cold = s.coldFrom.Add(s.warmup)
	s.mu.Unlock()
	h := &http.Server{Handler: s, ConnState: s.trackConn}
	go func() { _ = h.Serve(l) }()
	return nil
}

func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// register writes the entry of the server to the store.
func (s *server) register() time.Time {
	s.mu.Lock()
	s.sequence++
	b := beat{
		Service: s.service, Address: s.address, Zone: s.zone, Version: "v1", Slots: 4, State: s.state, Sequence: s.sequence, Born: s.born,
		WarmupMs: max(0, time.Until(s.cold).Milliseconds()),
	}
	s.mu.Unlock()
	return s.w.store.put("servers/"+s.id, b)
}

// coldPeriod returns from when until when the server is cold.
func (s *server) coldPeriod() (from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldFrom, s.cold
}

func (s *server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew && s.down {
		abort(c)
	}
	if state == http.StateClosed {
		delete(s.conns, c)
		return
	}
	s.conns[c] = true
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// crash ends the server as a crash of its process does, and starts it again after a while.
func (s *server) crash(after time.Duration, cause string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	s.w.record.event("server %s crashes: %s", s.id, cause)
	_ = s.listener.Close()
	for c := range s.conns {
		abort(c)
	}
	time.AfterFunc(after, func() {
		if err := s.start(); err != nil {
			s.w.record.event("server %s can't start again: %v", s.id, err)
			return
		}
		s.register()
		s.w.record.event("server %s is back", s.id)
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(headerServer, s.id)
		_, to := s.coldPeriod()
		w.Header().Set("Hyssoppitch-Warmup-Ms", fmt.Sprint(max(0, time.Until(to).Milliseconds())))
		return
	}
	id := r.Header.Get(headerRequest)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(headerRequest, id)
	if r.Header.Get(headerExpect) != s.id {
		w.Header().Set(headerServer, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	index := s.w.beginRun(run{server: s.id, request: id, method: r.Method, target: r.RequestURI, host: r.Host, began: time.Now()})
	if s.crashes != nil && s.crashes(r) {
		s.crash(2*time.Second, "request "+id)
		panic(http.ErrAbortHandler)
	}
	work := 5 * time.Millisecond
	if s.work != nil {
		work = s.work(r)
	}
	closed := r.Context().Done()
	if s.keepsOn != nil && s.keepsOn(r) {
		closed = nil
	}
	select {
	case <-time.After(work):
	case <-closed:
		s.w.endRun(index, false)
		panic(http.ErrAbortHandler)
	}
	s.w.endRun(index, true)
	w.Header().Set(headerStamp, stamp(s.service, s.id, id))
	_, _ = io.WriteString(w, partOf(s.service, id))
}

func stamp(service, server, request string) string { return service + "." + server + "." + request }

// partOf returns the answer of a service to a request: one record of 16 bytes.
func partOf(service, request string) string {
	return (fmt.Sprintf("%s/%s", service, request) + strings.Repeat(".", 16))[:16]
}
