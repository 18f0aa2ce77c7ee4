package reply

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/io/guard"
)

// textConn is a connection that reads a text.
type textConn struct {
	net.Conn
	io.Reader
	closed bool
}

func (c *textConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }

func (c *textConn) Close() error {
	c.closed = true
	return nil
}

// TestStatusInPieces guards against an invalid status that isn't found because it arrives in pieces, and
// against the bytes of a body or of an interim reply that are taken for a status line.
func TestStatusInPieces(t *testing.T) {
	early := "HTTP/1.1 103 Early Hints\r\nLink: HTTP/1.1 999\r\n\r\n"
	tests := []struct {
		text    string
		upgrade bool
		valid   bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nHTTP/1.1 600 None\r\n\r\n", false, true},
		{"HTTP/1.1 200\n\n", false, true},
		{"HTTP/1.1  204 " + strings.Repeat("a", 200) + "\r\n\r\n", false, true},
		{early + early + "HTTP/1.0 503 Busy\r\n\r\n", false, true},
		{early + "HTTP/1.1 600 None\r\n\r\n", false, false},
		{"HTTP/1.1 103\n\nHTTP/1.1 1000 None\r\n\r\n", false, false},
		{"HTTP/1.1 2000 None\r\n\r\n", false, false},
		{"HTTP/1.1 -01 None\r\n\r\n", false, false},
		{"HTTP/1.1 20" + strings.Repeat("0", 200), false, false},
		{strings.Repeat("x", 200), false, false},
		{"HTTP/1.1 101 Switching Protocols\r\n\r\n", false, false},
		{"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 600 None\r\n", true, true},
		{"HTTP/1.1 200 OK\r\n\r\n", true, false},
	}
	for _, tt := range tests {
		for name, reader := range map[string]io.Reader{"whole": strings.NewReader(tt.text), "in pieces": iotest.OneByteReader(strings.NewReader(tt.text))} {
			text := &textConn{Reader: reader}
			c := NewConn(text, nil)
			c.expectReply(expectedReply{upgrade: tt.upgrade})
			got, err := io.ReadAll(c)
			if tt.valid && (err != nil || string(got) != tt.text) {
				t.Errorf("%.60q %s: got %q, error %v; want the text", tt.text, name, got, err)
			}
			if !tt.valid && (!errors.Is(err, ErrMalformed) || !text.closed) {
				t.Errorf("%.60q %s: got error %v, closed %t; want %v and a closed connection", tt.text, name, err, text.closed, ErrMalformed)
			}
		}
	}
}

// TestIdentityInPieces guards against a reply to another request that isn't found because it arrives in
// pieces or is written in an unusual form, and against headers of a body or an interim reply that are taken
// for those of the reply.
func TestIdentityInPieces(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("a", 300)
	tests := []struct {
		text  string
		valid bool
	}{
		{ok + "Request: r1\r\n\r\n", true},
		{ok + "A: b\nrequest:r1\n\n", true},
		{ok + "Long: " + long + "\r\nREQUEST: \t r1 \r\n\r\n", true},
		{ok + "\r\nRequest: r2\r\n\r\n", true},
		{"HTTP/1.1 103 Early\r\nRequest: r2\r\n\r\n" + ok + "Request: r1\r\n\r\n", true},
		{"HTTP/1.1 200 " + strings.Repeat("a", 51) + "\r\nRequest: r1\r\n\r\nRequest: r2\r\n\r\n", true},
		{ok + "Request-Id: r2\r\n\r\n", true},
		{ok + "Request: r2\r\n\r\n", false},
		{ok + "Request:\r\n\r\n", false},
		{ok + "Request: r1\r\nRequest: r2\r\n\r\n", false},
		{ok + "Request: r1" + long + "\r\n\r\n", false},
		{ok + "Request: " + strings.Repeat(" ", 300) + "r1\r\n\r\n", false},
		{"HTTP/1.1 200 " + strings.Repeat("a", 51) + "\r\nRequest: r2\r\n\r\n", false},
		{"HTTP/1.1 200 " + long + "\r\nRequest: r2\r\n\r\n", false},
		{"HTTP/1.1 103 Early\r\n\r\n" + ok + "Request: r2\r\n\r\n", false},
	}
	for _, tt := range tests {
		for name, reader := range map[string]io.Reader{"whole": strings.NewReader(tt.text), "in pieces": iotest.OneByteReader(strings.NewReader(tt.text))} {
			text := &textConn{Reader: reader}
			c := NewConn(text, nil)
			c.expectReply(expectedReply{name: "Request", value: "r1"})
			_, err := io.ReadAll(c)
			if got := err == nil; got != tt.valid || text.closed == tt.valid {
				t.Errorf("%.80q %s: got error %v, closed %t; want valid %t", tt.text, name, err, text.closed, tt.valid)
			}
		}
	}
}

// clock is a clock that stands still.
type clock struct{}

func (clock) Now() time.Time { return time.Time{} }

// TestHeadsAreCharged guards against heads that are within the limit on a single one and together more than
// the memory, also those of interim replies, and against memory that stays charged after a reply.
func TestHeadsAreCharged(t *testing.T) {
	lines := strings.Repeat("a:\r\n", 1000)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n" + lines,
		"HTTP/1.1 200 " + strings.Repeat("a", 60_000),
		"HTTP/1.1 103 Early\r\n" + lines,
		"HTTP/1.1 103 Early\r\n" + lines[:2000] + "\r\nHTTP/1.1 200 OK\r\n" + lines[:2000],
	} {
		memory := guard.New(clock{}, guard.Limits{Budget: 100_000})
		first := NewConn(&textConn{Reader: strings.NewReader("HTTP/1.1 200 OK\r\n" + lines[:1000] + "\r\n")}, memory)
		number := first.expectReply(expectedReply{})
		if _, err := io.ReadAll(first); err != nil {
			t.Fatal(err)
		}
		if memory.Status().HeldBytes == 0 {
			t.Fatalf("the head is not charged")
		}
		second := &textConn{Reader: strings.NewReader(text)}
		c := NewConn(second, memory)
		c.expectReply(expectedReply{})
		if _, err := io.ReadAll(c); !errors.Is(err, ErrMalformed) || !second.closed {
			t.Errorf("%.40q: got error %v, closed %t; want %v and a closed connection", text, err, second.closed, ErrMalformed)
		}
		first.endReply(number - 1)
		if memory.Status().HeldBytes == 0 {
			t.Error("the end of an earlier reply released the memory")
		}
		first.endReply(number)
		if got := memory.Status().HeldBytes; got != 0 {
			t.Errorf("after the replies: %d bytes are charged, want 0", got)
		}
	}
}
