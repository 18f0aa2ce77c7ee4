package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hyssoppitch/platform"
)

const (
	// hostileConnections is the number of requests that a hostile client has open at an instance.
	hostileConnections = 5
	// hostileHold is how long it waits for an answer before it closes the connections.
	hostileHold = 700 * time.Millisecond
)

// runHostileClient sends orders to one instance whose bodies stop short of their end, until stop is
// closed. None of them may reach a server, as a request without its end isn't a request.
func (w *deployment) runHostileClient(n int, stop <-chan struct{}) {
	in := w.instances[n]
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		var conns []net.Conn
		for i := range hostileConnections {
			id := fmt.Sprintf("h%d-%d-%d", n, k, i)
			w.checks.forbid(id, "an order whose body stops short of its end")
			c, err := net.DialTimeout("tcp", in.listenAddress, time.Second)
			if err != nil {
				// The instance is stopped.
				continue
			}
			conns = append(conns, c)
			_ = c.SetDeadline(time.Now().Add(hostileHold))
			names := platform.Headers()
			_, _ = fmt.Fprintf(c, "POST /order/%s HTTP/1.1\r\nHost: soak\r\n%s: %s\r\n%s: %s\r\n%s: 2000\r\nContent-Length: 1000\r\n\r\nshort",
				id, names.Request, id, names.Key, usualCustomer, names.CallerTimeout)
		}
		for _, c := range conns {
			answer := make([]byte, len("HTTP/1.1 200"))
			if _, err := io.ReadFull(c, answer); err == nil && string(answer[9:]) == fmt.Sprint(http.StatusOK) {
				w.checks.fail("%s answered an order whose body stops short of its end: %q", in.name, answer)
			}
			_ = c.Close()
		}
	}
}
