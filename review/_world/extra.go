package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["extra"] = playExtra }

const (
	// In each of extraBouts periods of extraTime, extraFaulty of the servers send additional bytes
	// after extraFraction of their answers.
	extraBouts                = 3
	extraTime                 = 5 * time.Second
	extraFraction             = 0.04
	extraServers, extraFaulty = 4, 2
	// extraRate is the load in requests per second, and extraWork what a request takes.
	extraRate = 45
	extraWork = 60 * time.Millisecond
)

// extraBytes are what a faulty server sends after a complete answer: the rejection of a full
// server, as the bench's examples show it. They name no request.
const extraBytes = "HTTP/1.1 503 Service Unavailable\r\nHyssoppitch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

// playExtra sends requests that must run at most once to servers that are neither full nor down,
// and some of which send additional bytes late, at the point where the next answer is expected.
func playExtra(w *world) (v verdict, err error) {
	var faulty atomic.Bool
	for i := range extraServers {
		s := &server{id: fmt.Sprintf("roster-sync-%d", i+1), service: "roster-sync", zone: serverZones[i%len(serverZones)], w: w}
		if err := s.startRaw(func() bool { return faulty.Load() && i < extraFaulty && rand.Float64() < extraFraction }); err != nil {
			return v, err
		}
		s.register()
		w.servers = append(w.servers, s)
	}
	w.putConfig(cardRoute("roster-sync", "unsafe"))
	if err := w.startDeployment(); err != nil {
		return v, err
	}
	time.Sleep(boundStableWindow)
	stop := make(chan struct{})
	group := w.load(extraRate, stop, func() string { return fmt.Sprintf("/card/%d", rand.IntN(1000000)) })
	for range extraBouts {
		time.Sleep(3 * time.Second)
		faulty.Store(w.trouble)
		time.Sleep(extraTime)
		faulty.Store(false)
	}
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	runs := map[string]int{}
	for _, r := range w.allRuns() {
		runs[r.request]++
	}
	twice, refused := 0, 0
	for id, n := range runs {
		if n > 1 {
			twice++
			w.record.event("%s has run %d times", id, n)
		}
	}
	for _, a := range w.allAnswers() {
		if a.status == http.StatusServiceUnavailable && runs[a.request] > 0 {
			refused++
			w.record.event("%s was answered 503 and has run", a.request)
		}
	}
	v.broken = twice > 0
	v.detail = fmt.Sprintf("TWICE: %d of %d requests that aren't idempotent ran more than once; %d were answered 503 and have run", twice, len(runs), refused)
	return v, nil
}

// startRaw starts a server that writes its answers itself. extra returns whether additional bytes
// follow the next answer.
func (s *server) startRaw(extra func() bool) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.state, s.born = l.Addr().String(), "ready", time.Now().UnixMilli()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveRaw(c, extra)
		}
	}()
	return nil
}

func (s *server) serveRaw(c net.Conn, extra func() bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	extraDue := false
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(headerRequest)
		if extraDue {
			s.w.record.event("server %s sends additional bytes after its last answer; that of %s is due on the connection", s.id, id)
			_, _ = io.WriteString(c, extraBytes)
		}
		extraDue = extra()
		index := s.w.beginRun(run{server: s.id, request: id, method: r.Method, target: r.RequestURI, host: r.Host, began: time.Now()})
		time.Sleep(extraWork)
		s.w.endRun(index, true)
		body := partOf(s.service, id)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			headerRequest, id, headerStamp, stamp(s.service, s.id, id), len(body), body)
	}
}
