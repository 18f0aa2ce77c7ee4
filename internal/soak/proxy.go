package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// mode determines how a proxy handles its connections.
type mode int

const (
	modeForward mode = iota
	// modeSlow delays data in both directions.
	modeSlow
	// modeSilent keeps connections open but forwards nothing. modeOneWay forwards only data
	// to the target.
	modeSilent
	modeOneWay
	// modeRefuse resets new connections.
	modeRefuse
)

// slowDelay is the delay of each read in modeSlow.
const slowDelay = 150 * time.Millisecond

// proxy is a TCP proxy on a loopback port that forwards to one address and injects faults.
type proxy struct {
	target string

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	mode     mode
	conns    map[net.Conn]bool
}

func newProxy(target string) (p *proxy, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p = &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// crash makes the target look like a process that ended: it closes the listener and resets all
// connections. The returned function opens the listener again.
func (p *proxy) crash() (restart func() error) {
	address := p.address()
	_ = p.listener.Close()
	p.reset()
	return func() error {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.closed {
			return nil
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		p.listener = l
		go p.accept(l)
		return nil
	}
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.reset()
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeRefuse {
			resetConn(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(c)
		return
	}
	p.track(c, true)
	p.track(t, true)
	defer func() {
		p.track(c, false)
		p.track(t, false)
	}()
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(t, c, true) })
	directions.Go(func() { p.copy(c, t, false) })
	directions.Wait()
}

// track records a connection as open, or removes and closes it.
func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
	_ = c.Close()
}

// copy forwards data in one direction, subject to the current mode.
func (p *proxy) copy(dst, src net.Conn, toTarget bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := src.Read(buffer)
		for p.currentMode() == modeSilent || (p.currentMode() == modeOneWay && !toTarget) {
			// The data is held back until the mode changes, and lost if the connection
			// ends first.
			time.Sleep(20 * time.Millisecond)
		}
		if p.currentMode() == modeSlow {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				_ = src.Close()
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				resetConn(dst)
			} else {
				_ = dst.Close()
			}
			return
		}
	}
}
