package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	server, id, method, target, body string
	at                               time.Time
}

// traits are the ways in which a server may misbehave, as shares of its requests or answers.
type traits struct {
	// shed is the share of the requests that are rejected as not run although there is room.
	shed float64
	// extraLate is the share of the answers that are sent once more, where the next answer on the
	// connection is expected, and extra that of those that are sent once more at once.
	extraLate, extra float64
	// lost is the share of the requests that run and whose connection is reset without an answer.
	lost float64
	// cut is the share of the answers that break off, and garbage that of the answers that are none.
	cut, garbage float64
	// unframed is the share of the answers without a length, which end with the connection.
	unframed float64
	// early makes the server answer long requests before it has read them.
	early float64
	// slow multiplies the work of a request.
	slow float64
}

// server is a stand-in for a server of the platform. It reads and writes its connections itself, so
// that it can spoil answers.
type server struct {
	id, service string
	zone        zone
	listener    net.Listener
	address     string
	// slots holds the requests that are worked on, and room those and the ones in the queue.
	slots, room chan struct{}
	// work returns how long a request takes.
	work func() time.Duration
	// onRun is called when the server begins to work on a request, and onAnswer with each answer.
	onRun    func(u run)
	onAnswer func(s *server, id string, status int, extra bool, stamp, body string)

	mu     sync.Mutex
	traits traits
	conns  map[net.Conn]bool
}

func newServer(id, service string, z zone, slots, queue int, work func() time.Duration) *server {
	s := &server{
		id: id, service: service, zone: z, work: work, conns: map[net.Conn]bool{},
		slots: make(chan struct{}, slots), room: make(chan struct{}, slots+queue),
		onRun: func(run) {}, onAnswer: func(*server, string, int, bool, string, string) {},
	}
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		fatal("server %s: %v", id, err)
	}
	s.listener, s.address = l, l.Addr().String()
	return s
}

func (s *server) start() {
	l := s.listener
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
}

// crash makes the server look like a process that ended.
func (s *server) crash() {
	_ = s.listener.Close()
	s.reset()
}

// reset resets the connections of the server.
func (s *server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		resetConn(c)
	}
}

// restart lets a crashed server listen again.
func (s *server) restart() {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return
	}
	s.listener = l
	s.start()
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// entry is what the server writes to the store about itself.
func (s *server) entry(state string, slots int) map[string]any {
	return map[string]any{
		"service": s.service, "addr": s.address, "zone": s.zone.name, "version": "v1", "slots": slots,
		"state": state, "warmup-left-ms": 0, "seq": 1, "born": 1_700_000_000_000,
	}
}

func (s *server) set(t traits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.traits = t
}

func (s *server) current() traits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.traits
}

func draw(share float64) bool { return rand.Float64() < share }

const longBody = 20_000

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	late, lateID := "", ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		t := s.current()
		early := r.ContentLength > longBody && draw(t.early)
		var body []byte
		if !early {
			if body, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
		id := r.Header.Get("Hyssoppitch-Request-Id")
		if late != "" {
			// The extra answer arrives where this request's answer is expected.
			s.onAnswer(s, lateID, 0, true, "", "")
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		answer, close := s.answer(r, id, body, t, early)
		if answer == "" {
			resetConn(c)
			return
		}
		if draw(t.cut) {
			_, _ = io.WriteString(c, answer[:rand.IntN(len(answer))])
			resetConn(c)
			return
		}
		if draw(t.garbage) {
			answer = "?" + answer
		}
		if draw(t.extra) {
			answer += answer
		}
		if _, err := io.WriteString(c, answer); err != nil || close {
			return
		}
		if early {
			time.Sleep(time.Duration(rand.IntN(80)) * time.Millisecond)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		if draw(t.extraLate) {
			late, lateID = answer, id
		}
	}
}

// answer works on a request, or rejects it, and returns the complete answer, or "" if it is lost. close
// is set if the answer ends with the connection.
func (s *server) answer(r *http.Request, id string, sent []byte, t traits, early bool) (text string, close bool) {
	if r.Header.Get("Hyssoppitch-Expect-Instance") != s.id {
		s.onAnswer(s, id, 421, false, "", "")
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nHyssoppitch-Request-Id: %s\r\nHyssoppitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id), false
	}
	shed := draw(t.shed) || early
	if !shed {
		select {
		case s.room <- struct{}{}:
			defer func() { <-s.room }()
		default:
			shed = true
		}
	}
	if shed {
		s.onAnswer(s, id, 503, false, "", "")
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nHyssoppitch-Request-Id: %s\r\nHyssoppitch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id), false
	}
	s.slots <- struct{}{}
	sum := sha256.Sum256(sent)
	s.onRun(run{s.id, id, r.Method, r.RequestURI, hex.EncodeToString(sum[:8]), time.Now()})
	time.Sleep(time.Duration(float64(s.work()) * max(1, t.slow)))
	<-s.slots
	if draw(t.lost) {
		return "", false
	}
	sum = sha256.Sum256([]byte(id + s.id))
	body := string(sum[:16]) + string(sum[8:24])
	stamp := s.id + "." + id + "." + hex.EncodeToString(sum[:4])
	s.onAnswer(s, id, 200, false, stamp, body)
	if draw(t.unframed) {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nHyssoppitch-Request-Id: %s\r\nHyssoppitch-Server-Stamp: %s\r\n\r\n%s", id, stamp, body), true
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nHyssoppitch-Request-Id: %s\r\nHyssoppitch-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, stamp, len(body), body), false
}
