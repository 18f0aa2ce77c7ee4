package reply

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"hyssoppitch/io/guard"
)

// maxStatusBytes is how many bytes of a status line are read before its status is checked, if the line
// is longer.
const maxStatusBytes = 64

// position is where the next byte that a Conn reads stands in a reply.
type position int

const (
	// passing means that no check is due: the head of the reply was read, or no reply is expected.
	passing position = iota
	inStatusLine
	// inInterim is in the lines of an interim reply after its status line.
	inInterim
	// inHeaders is in the headers of a final reply.
	inHeaders
)

// Conn is a connection to a server that checks each reply as its bytes arrive: its status, whether it
// repeats a header of the request, and whether there is memory for its headers. A Read that finds an
// invalid reply fails with ErrMalformed and closes the connection, so that the reply gets neither to
// net/http, which accepts some of these and reports others like a broken connection, nor the connection to
// the idle ones.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	position position
	expected expectedReply
	// line holds the status line or header so far, as far as it is needed, and lineBytes counts the bytes
	// of a line after the status line.
	line      []byte
	lineBytes int
	malformed error
	// memory is charged for the headers of the reply, or nil if they aren't counted. replies counts the
	// replies that were expected.
	memory  *guard.Reservation
	head    guard.ReplyHead
	replies int
}

// expectedReply is what the reply to a request must be like.
type expectedReply struct {
	// upgrade is set if the only valid status is 101.
	upgrade bool
	// name is a header that the reply repeats with the given value, or empty. Replies without the header
	// are not rejected here.
	name, value string
}

// NewConn returns a connection whose replies are checked. memory is charged for their headers, or nil.
func NewConn(c net.Conn, memory *guard.Guard) *Conn {
	conn := &Conn{Conn: c}
	if memory != nil {
		conn.memory = memory.Reserve(func() { _ = c.Close() })
	}
	return conn
}

// Dial returns a function that opens connections of type *Conn. With memory, it bounds what the kernel
// holds of them.
func Dial(d net.Dialer, memory *guard.Guard) func(ctx context.Context, network, address string) (net.Conn, error) {
	if memory != nil {
		d.Control = memory.Control
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c, memory), nil
	}
}

// expectReply says that a request is about to be written, so that the next byte read begins a reply. It
// returns the number of the reply.
func (c *Conn) expectReply(e expectedReply) (number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.position, c.expected, c.line, c.lineBytes = inStatusLine, e, c.line[:0], 0
	c.replies++
	if c.memory != nil {
		c.memory.Release()
		c.head.Begin(c.memory)
	}
	return c.replies
}

// endReply releases the memory of the reply with the given number, unless another one is expected.
func (c *Conn) endReply(number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memory != nil && c.replies == number {
		c.memory.Release()
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memory != nil {
		c.memory.Release()
	}
	return err
}

// err returns the error by which a Read has failed because of an invalid status, or nil.
func (c *Conn) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.malformed
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if malformed := c.check(b[:n], err); malformed != nil {
		_ = c.Close()
		return 0, malformed
	}
	return n, err
}

// check advances over bytes that were read and returns an error if the reply is malformed or there is no
// memory for it. readErr is the error of reading them.
func (c *Conn) check(b []byte, readErr error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	head := b[:len(b)-len(c.checkHead(b))]
	if c.memory == nil || c.malformed != nil {
		return c.malformed
	}
	if (len(head) > 0 && !c.head.Count(head)) || (readErr != nil && c.memory.Aborted()) {
		c.malformed = errors.Wrapf(ErrMalformed, "headers: %v", guard.ErrFull)
	}
	return c.malformed
}

// checkHead advances over the bytes of a head at the beginning of b, and returns those after it.
func (c *Conn) checkHead(b []byte) (rest []byte) {
	for len(b) > 0 && c.position != passing && c.malformed == nil {
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part = b[:end]
		}
		b = b[min(len(b), len(part)+1):]
		if c.position == inHeaders {
			c.checkHeaderPart(part, end >= 0)
			continue
		}
		if c.position == inInterim {
			c.lineBytes += len(bytes.TrimSuffix(part, []byte("\r")))
			if end >= 0 {
				if c.lineBytes == 0 {
					c.position = inStatusLine
				}
				c.lineBytes = 0
			}
			continue
		}
		c.line = append(c.line, part[:min(len(part), maxStatusBytes-len(c.line))]...)
		if end < 0 && len(c.line) < maxStatusBytes {
			continue
		}
		c.lineBytes = 0
		if end < 0 {
			// The rest of the status line is no empty line.
			c.lineBytes = 1
		}
		c.checkLine()
	}
	return b
}

// checkLine checks a status line and sets what follows it.
func (c *Conn) checkLine() {
	line := strings.TrimSuffix(string(c.line), "\r")
	c.line = c.line[:0]
	protocol, rest, _ := strings.Cut(line, " ")
	status, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	switch {
	case !strings.HasPrefix(protocol, "HTTP/") || len(status) != 3 || !threeDigits(status):
	case c.expected.upgrade && status == "101", !c.expected.upgrade && status >= "200" && status <= "599":
		c.position = inHeaders
		return
	case status >= "100" && status <= "199" && status != "101":
		c.position = inInterim
		return
	}
	c.malformed = errors.Wrapf(ErrMalformed, "status line %.60q", line)
}

// maxPadding is how much white space around the value of a header is read at most.
const maxPadding = 64

// checkHeaderPart checks a part of a line of a final reply's headers. last is set if the line ends after it.
func (c *Conn) checkHeaderPart(part []byte, last bool) {
	limit := len(c.expected.name) + len(c.expected.value) + maxPadding
	c.line = append(c.line, part[:min(len(part), limit-len(c.line))]...)
	c.lineBytes += len(bytes.TrimSuffix(part, []byte("\r")))
	if !last {
		return
	}
	line, lineBytes := strings.TrimSuffix(string(c.line), "\r"), c.lineBytes
	c.line, c.lineBytes = c.line[:0], 0
	if lineBytes == 0 {
		c.position = passing
		return
	}
	name, value, _ := strings.Cut(line, ":")
	if c.expected.name != "" && strings.EqualFold(name, c.expected.name) && (lineBytes > limit || strings.TrimSpace(value) != c.expected.value) {
		c.malformed = errors.Wrapf(ErrMalformed, "header %.100q: want %q", line, c.expected.value)
	}
}
