package guard

import (
	"context"
	"net"
	"syscall"
)

// Control bounds what the kernel holds of a connection that the process opens: it grows the receive buffer
// to some MiB for a server that sends faster than is read. It is called before the connection is opened
// (net.Dialer.Control).
func (g *Guard) Control(_, _ string, raw syscall.RawConn) error {
	if g.limits.ReceiveBuffer == 0 {
		return nil
	}
	return setBuffers(raw, g.limits.ReceiveBuffer, syscall.SO_RCVBUF)
}

// setBuffers sets the sizes of buffers of a socket, which options name.
func setBuffers(raw syscall.RawConn, size int, options ...int) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		for _, option := range options {
			if err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, size)
			}
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// ListenTCP opens a listener. Connections inherit the sizes of its socket buffers, so that no call
// is needed for each of them. A size of 0 leaves the choice to the operating system.
func ListenTCP(address string, socketBuffer int) (net.Listener, error) {
	lc := net.ListenConfig{}
	if socketBuffer > 0 {
		lc.Control = func(_, _ string, raw syscall.RawConn) error {
			return setBuffers(raw, socketBuffer, syscall.SO_RCVBUF, syscall.SO_SNDBUF)
		}
	}
	return lc.Listen(context.Background(), "tcp", address)
}
