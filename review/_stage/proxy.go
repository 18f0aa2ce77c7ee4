package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections to an address, and delays, drops or resets them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  string
	conns map[net.Conn]bool
}

func newProxy(target string) *proxy {
	p := &proxy{listener: listen(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := p.listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set sets what happens to the connections: nothing (""), "silent", "slow", "refuse" or "reset".
func (p *proxy) set(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == "refuse" || mode == "reset" {
		for c := range p.conns {
			resetConn(c)
		}
	}
}

func (p *proxy) current() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) serve(c net.Conn) {
	if p.current() == "refuse" {
		resetConn(c)
		return
	}
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(c)
		return
	}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(t, c) })
	group.Go(func() { p.copy(c, t) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *proxy) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for p.current() == "silent" {
			time.Sleep(20 * time.Millisecond)
		}
		if p.current() == "slow" {
			time.Sleep(240 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
