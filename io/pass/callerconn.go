package pass

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerConn is the state of one connection of a caller.
type callerConn struct {
	// roundTrip is the network round-trip time to the caller, or zero if it is unknown.
	roundTrip time.Duration
	// used is set once a request has arrived on the connection.
	used atomic.Bool
}

// callerConnKey is the context key of a *callerConn.
type callerConnKey struct{}

// ConnContext returns the context of the requests on a caller's connection. It is the
// ConnContext function of the http.Server that serves a CallerHandler, which otherwise
// doesn't know how far away its callers are.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{roundTrip: roundTripTime(c)})
}

// networkTime returns how much of the caller's waiting time for a request passes in the
// network, or zero if that is unknown: one round trip for the request and its answer, and
// one more to establish the connection if the request is the first one on it.
func networkTime(ctx context.Context) time.Duration {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return 0
	}
	if c.used.Swap(true) {
		return c.roundTrip
	}
	return 2 * c.roundTrip
}

// roundTripTime returns the minimum round-trip time that the kernel has measured on a
// connection, or zero if there is no measurement. On a connection that was just accepted
// this is the time of the handshake.
func roundTripTime(c net.Conn) (d time.Duration) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	// An error means that there is no measurement.
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		micros := info.Rtt
		if info.Min_rtt > 0 {
			micros = min(micros, info.Min_rtt)
		}
		d = time.Duration(micros) * time.Microsecond
	})
	return d
}
