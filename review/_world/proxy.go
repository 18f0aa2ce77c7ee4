package main

import (
	"io"
	"net"
	"sync"
)

// proxy is a TCP proxy on a loopback port that forwards to one address. It can make its open
// connections go silent: they stay open and carry nothing more, while new ones work.
type proxy struct {
	address, target string

	mu sync.Mutex
	// silenced is closed, and replaced, when the open connections go silent.
	silenced chan struct{}
	open     int
}

func newProxy(target string) (p *proxy, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p = &proxy{address: l.Addr().String(), target: target, silenced: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// silence makes the open connections go silent for good, and returns how many there are.
func (p *proxy) silence() (connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
	connections, p.open = p.open, 0
	return connections
}

func (p *proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(c)
		return
	}
	p.mu.Lock()
	silenced := p.silenced
	p.open++
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { forward(t, c, silenced) })
	directions.Go(func() { forward(c, t, silenced) })
	directions.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silenced == silenced {
		p.open--
	}
}

// forward copies data until one side ends. Once the connection is silenced it drops what comes,
// the end included.
func forward(dst, src net.Conn, silenced <-chan struct{}) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		select {
		case <-silenced:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				_ = src.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = dst.Close()
			return
		case err != nil:
			abort(dst)
			return
		}
	}
}
