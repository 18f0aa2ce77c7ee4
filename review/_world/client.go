package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// answer is how an attempt of a client ended.
type answer struct {
	request, node string
	sent, ended   time.Time
	// status is zero if the connection ended without a complete answer, and err says how.
	status int
	err    error
}

// query is one attempt of a client.
type query struct {
	node           *node
	method, target string
	// header holds further header fields, one a line.
	header  []string
	timeout time.Duration
}

// client keeps connections open for many requests. It never sends a request again.
type client struct {
	mu   sync.Mutex
	idle map[string][]net.Conn
}

// connect returns a connection to an address: an idle one, or a new one.
func (c *client) connect(address string) (net.Conn, error) {
	c.mu.Lock()
	if idle := c.idle[address]; len(idle) > 0 {
		c.idle[address] = idle[:len(idle)-1]
		c.mu.Unlock()
		return idle[len(idle)-1], nil
	}
	c.mu.Unlock()
	return net.DialTimeout("tcp", address, time.Second)
}

func (c *client) keep(address string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[string][]net.Conn{}
	}
	c.idle[address] = append(c.idle[address], conn)
}

// send sends one attempt, waits for its end and records it.
func (w *world) send(c *client, q query) answer {
	a := answer{request: fmt.Sprintf("%08x%08x", rand.Uint32(), w.lastID.Add(1)), node: q.node.name, sent: time.Now()}
	w.record.event("client sends %s to %s: %s %s %s", a.request, q.node.name, q.method, q.target, strings.Join(q.header, "; "))
	var signature string
	a.status, signature, a.err = c.exchange(a.request, q)
	a.ended = time.Now()
	if a.err == nil {
		w.record.event("client gets %d for %s after %d ms, signature %q", a.status, a.request, a.ended.Sub(a.sent).Milliseconds(), signature)
	} else {
		w.record.event("client gets no answer to %s after %d ms: %v", a.request, a.ended.Sub(a.sent).Milliseconds(), a.err)
	}
	w.mu.Lock()
	w.answers = append(w.answers, a)
	w.mu.Unlock()
	return a
}

func (c *client) exchange(id string, q query) (status int, signature string, err error) {
	conn, err := c.connect(q.node.front)
	if err != nil {
		return 0, "", err
	}
	_ = conn.SetDeadline(time.Now().Add(q.timeout))
	lines := slices.Concat([]string{
		q.method + " " + q.target + " HTTP/1.1", "Host: desk.example", headerRequest + ": " + id,
		fmt.Sprintf("%s: %d", headerTimeout, q.timeout.Milliseconds()),
	}, q.header, []string{"", ""})
	_, err = io.WriteString(conn, strings.Join(lines, "\r\n"))
	if err != nil {
		_ = conn.Close()
		return 0, "", err
	}
	reader := bufio.NewReader(conn)
	reply, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err == nil {
		_, err = io.Copy(io.Discard, reply.Body)
	}
	if err != nil {
		_ = conn.Close()
		return 0, "", err
	}
	if reply.Close || reader.Buffered() > 0 {
		_ = conn.Close()
	} else {
		c.keep(q.node.front, conn)
	}
	return reply.StatusCode, reply.Header.Get(headerStamp), nil
}

// load sends requests to running instances in turn at a steady rate, without waiting for their
// answers, until stop is closed. next returns the target of a request.
func (w *world) load(perSecond float64, stop <-chan struct{}, next func() string) *sync.WaitGroup {
	var group sync.WaitGroup
	group.Go(func() {
		c := &client{}
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			if all := w.runningNodes(); len(all) > 0 {
				q := query{node: all[i%len(all)], method: http.MethodGet, target: next(), timeout: 8 * time.Second}
				group.Go(func() { w.send(c, q) })
			}
		}
	})
	return &group
}
